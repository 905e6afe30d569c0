// Package eds follows the endpoint list by xDS endpoint discovery (EDS) over gRPC, either by complete lists
// (state-of-the-world) or by changes (incremental). An invalid version is rejected (NACK) with the reason, and the last
// accepted list stays in force. A stream that breaks is reported and not opened again until Ask, as when to do so is the
// caller's decision; the next stream says which versions are held.
package eds

import (
	"context"
	"fmt"
	"sync"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Handler handles the events of a watch.
type Handler struct {
	Updated  func(complete bool, hosts []Host) // a version was accepted; called before it is acknowledged (ACK)
	Rejected func(err error)                   // a version was rejected
	Failed   func(err error)                   // the stream has ended
}

// Watch follows one discovery service for one router. It is safe for concurrent use; its handler's functions are called
// one at a time, from goroutines of the watch.
type Watch struct {
	address       string
	nodeID        string
	resourceNames []string
	incremental   bool
	handler       Handler

	mu     sync.Mutex
	conn   *grpc.ClientConn
	cancel context.CancelFunc // of the open stream; nil if there is none
	done   chan struct{}      // closed when the last stream's goroutine has returned
	list   *endpointList
	closed bool
}

// New prepares a watch of the named resources; Ask starts it.
func New(address, nodeID string, resourceNames []string, incremental bool, handler Handler) (*Watch, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, fmt.Errorf("endpoint discovery at %s: %w", address, err)
	}
	return &Watch{address: address, nodeID: nodeID, resourceNames: resourceNames, incremental: incremental, handler: handler,
		conn: conn, list: newEndpointList()}, nil
}

// Ask opens the stream. While one is open it does nothing.
func (w *Watch) Ask() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	w.cancel, w.done = cancel, done
	w.conn.ResetConnectBackoff() // the backoff is the caller's
	go func() {
		defer close(done)
		var err error
		if w.incremental {
			err = w.deltaEndpoints(ctx)
		} else {
			err = w.streamEndpoints(ctx)
		}
		w.mu.Lock()
		w.cancel = nil
		closed := w.closed
		w.mu.Unlock()
		cancel()
		if !closed {
			w.handler.Failed(err)
		}
	}()
}

// Close ends the watch for good and waits until the handler is called no more.
func (w *Watch) Close() {
	w.mu.Lock()
	w.closed = true
	done := w.done
	if w.cancel != nil {
		w.cancel()
	}
	w.mu.Unlock()
	_ = w.conn.Close() // fails only if it is closed already
	if done != nil {
		<-done
	}
}

func (w *Watch) node() *corev3.Node { return &corev3.Node{Id: w.nodeID, UserAgentName: "dapplefront"} }
