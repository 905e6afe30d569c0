package controller

import (
	"github.com/hashicorp/raft"
)

// raftTransport is the raft library's transport with pipelines that end when the library stops reading from them.
//
// The library sends through a pipeline in one goroutine and reads the responses in another, which returns after the
// first that is no success. Nobody takes the later responses then, the pipeline fills up, and the sender waits in
// AppendEntries for good: for the shutdown of the pipeline, which it is to close itself once it returns. With it wait the
// heartbeat to that follower and the shutdown of the instance.
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

// closingPipeline closes itself after the first response that is no success.
type closingPipeline struct {
	raft.AppendPipeline
	responses chan raft.AppendFuture
	closed    chan struct{} // closed by Close, which the library calls once
	forwarded chan struct{} // closed when no more responses are forwarded
}

func newClosingPipeline(inner raft.AppendPipeline) *closingPipeline {
	p := &closingPipeline{AppendPipeline: inner, responses: make(chan raft.AppendFuture), closed: make(chan struct{}),
		forwarded: make(chan struct{})}
	go p.forward()
	return p
}

// Consumer is the channel of responses (raft.AppendPipeline).
func (p *closingPipeline) Consumer() <-chan raft.AppendFuture { return p.responses }

// Close ends the pipeline (raft.AppendPipeline).
func (p *closingPipeline) Close() error {
	err := p.AppendPipeline.Close()
	close(p.closed)
	<-p.forwarded
	return err
}

// forward hands on responses until one is no success, or the pipeline is closed. The inner pipeline is closed by then.
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
				_ = p.AppendPipeline.Close() // the library closes the pipeline too, and is told the error there
				return
			}
		}
	}
}

// endsReading reports whether the library reads nothing more after a response.
func endsReading(response raft.AppendFuture) bool {
	return response.Error() != nil || !response.Response().Success || response.Response().Term > response.Request().Term
}
