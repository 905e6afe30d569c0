// Package eds watches the endpoint list through xDS endpoint discovery (EDS) over gRPC, with complete lists
// (state-of-the-world) or with changes (incremental). An invalid version is rejected (NACK) with the reason, and the last
// accepted list stays in use. A stream that breaks is reported and is not opened again until Subscribe is called, because the
// caller decides when to retry. The next stream tells the service which versions the router has.
package eds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"dapplefront/internal/endpoint"
)

const (
	// connectTimeout limits the time to connect, including the HTTP/2 handshake.
	connectTimeout = time.Second

	// firstResponseTimeout is the time after which a stream without a response has failed, including the time to connect.
	// With the policy's longest backoff after a failed call it adds up to 6 s.
	firstResponseTimeout = 2250 * time.Millisecond
)

// keepAlive detects within some seconds that the service's machine has vanished. It does not need the service's consent, as
// HTTP/2 pings do.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// errNoResponse is why a stream ends to which the service does not respond.
var errNoResponse = fmt.Errorf("no response within %v", firstResponseTimeout)

// Watch watches the endpoint list of one discovery service for one router. It is safe for concurrent use. Its handler's
// functions are called one at a time, from goroutines of the watch.
type Watch struct {
	address       string
	nodeID        string
	resourceNames []string
	incremental   bool
	handler       endpoint.Handler

	mu     sync.Mutex
	conn   *grpc.ClientConn
	cancel context.CancelFunc // of the open stream; nil if there is none
	done   chan struct{}      // closed when the last stream's goroutine has returned
	list   *endpointList
	closed bool
}

// New prepares a watch of the named resources; Subscribe starts it.
func New(address, nodeID string, resourceNames []string, incremental bool, handler endpoint.Handler) (*Watch, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: connectTimeout}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}))
	if err != nil {
		return nil, fmt.Errorf("endpoint discovery at %s: %w", address, err)
	}
	return &Watch{address: address, nodeID: nodeID, resourceNames: resourceNames, incremental: incremental, handler: handler,
		conn: conn, list: newEndpointList()}, nil
}

// Subscribe opens the stream. It does nothing while the stream is open.
func (w *Watch) Subscribe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.cancel != nil {
		return
	}
	ctx, cancelCause := context.WithCancelCause(context.Background())
	cancel := func() { cancelCause(nil) }
	done := make(chan struct{})
	w.cancel, w.done = cancel, done
	responded := time.AfterFunc(firstResponseTimeout, func() { cancelCause(errNoResponse) })
	w.conn.ResetConnectBackoff() // the caller applies the backoff
	go func() {
		defer close(done)
		var err error
		if w.incremental {
			err = w.deltaEndpoints(ctx, responded)
		} else {
			err = w.streamEndpoints(ctx, responded)
		}
		responded.Stop()
		if errors.Is(context.Cause(ctx), errNoResponse) {
			err = errNoResponse
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

// Close ends the watch permanently. After it returns, the handler is not called any more.
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
