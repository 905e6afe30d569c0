package controller

import (
	"github.com/hashicorp/raft"
)

// raftTransport is the raft library's transport with pipelines that close when the library stops reading from them.
//
// The library sends through a pipeline in one goroutine and reads the responses in another, which returns after the first
// unsuccessful response. Later responses are then not read, the pipeline fills up, and the sender blocks forever in
// AppendEntries. That call returns only when the pipeline is closed, but the sender closes the pipeline only after the call. The
// heartbeat to that follower and the shutdown of the instance block with it.
type raftTransport struct {
	*raft.NetworkTransport
}

// AppendEntriesPipeline opens a pipeline to another instance (raft.Transport).
func (t raftTransport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	pipeline, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return newClosingPipeline(pipeline), nil
}

// closingPipeline closes itself after the first unsuccessful response.
type closingPipeline struct {
	raft.AppendPipeline
	responses chan raft.AppendFuture
	closed    chan struct{} // closed by Close, which the library calls once
	forwarded chan struct{} // closed when forward has returned
}

func newClosingPipeline(inner raft.AppendPipeline) *closingPipeline {
	p := &closingPipeline{AppendPipeline: inner, responses: make(chan raft.AppendFuture), closed: make(chan struct{}),
		forwarded: make(chan struct{})}
	go p.forward()
	return p
}

// Consumer returns the channel of responses (raft.AppendPipeline).
func (p *closingPipeline) Consumer() <-chan raft.AppendFuture { return p.responses }

// Close closes the pipeline (raft.AppendPipeline).
func (p *closingPipeline) Close() error {
	err := p.AppendPipeline.Close()
	close(p.closed)
	<-p.forwarded
	return err
}

// forward forwards responses up to the first unsuccessful one or until the pipeline is closed. The inner pipeline is closed
// when forward returns.
func (p *closingPipeline) forward() {
	defer close(p.forwarded)
	for {
		select {
		case <-p.closed:
			return
		case response := <-p.AppendPipeline.Consumer():
			last := endsReading(response)
			select {
			case p.responses <- response:
			case <-p.closed:
				return
			}
			if last {
				_ = p.AppendPipeline.Close() // the library also closes the pipeline, and gets the error there
				return
			}
		}
	}
}

// endsReading reports whether the library stops reading responses after the given one.
func endsReading(response raft.AppendFuture) bool {
	return response.Error() != nil || !response.Response().Success || response.Response().Term > response.Request().Term
}
