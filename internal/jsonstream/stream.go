// Package jsonstream reads a stream of JSON values: the response to a GET request whose chunked body stays open, such as a
// watch. The stream may move to another address. The old connection is read until the new one has delivered a value.
//
// A connection that has not delivered its first value in time is reported as failed and may be opened again, but it is read
// until another one delivers a value: a service that handles calls in turn would otherwise work for callers that have left,
// and each new call would start at the end of its queue.
package jsonstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dapplefront/internal/transport"
)

var (
	errIdle     = errors.New("the connection has been silent for too long")
	errReplaced = errors.New("replaced by a newer connection")
)

// Handler handles the events of a stream. Its functions are called one at a time, from goroutines of the stream.
type Handler struct {
	// Open is called for each connection. It returns the path to request and the handler of the values that arrive,
	// regardless of line breaks between or within them. An error of the handler ends the connection.
	Open func() (path string, handle func(json.RawMessage) error)
	// Ended is called once for each connection that has ended, or is late with its first value, while it was the newest one.
	// It is not called for a connection to an earlier address or after the stream was closed.
	Ended func(err error)
}

// Timeouts limit how long a connection may be silent.
type Timeouts struct {
	FirstValue time.Duration // until the first value, including the time to connect; then the connection counts as failed
	Idle       time.Duration // after the first value, between two reads that return at least one byte
}

const (
	maxValueBytes = 4 << 20 // about 20,000 entries of an endpoint list

	// lateValueTimeout is how long a connection that is late with its first value is still read.
	lateValueTimeout = 30 * time.Second

	// maxLateConnections is the maximum number of connections that are late with their first value. Each needs a descriptor.
	maxLateConnections = 3

	// DialTimeout limits the time to open a TCP connection.
	DialTimeout = time.Second
)

// NewHTTPClient returns a client that uses each connection for one request, follows no redirects and doesn't compress, so
// that the outcome of each request is unambiguous.
func NewHTTPClient() *http.Client { return newHTTPClient(dialer.DialContext) }

var dialer = &net.Dialer{Timeout: DialTimeout}

func newHTTPClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: 4 << 10,
		WriteBufferSize: 2 << 10, MaxResponseHeaderBytes: 16 << 10, DialContext: dial},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Stream reads the stream from one address at a time. It is safe for concurrent use.
type Stream struct {
	handler  Handler
	timeouts Timeouts
	client   *http.Client

	mu          sync.Mutex // not held while the handler is called
	address     string
	connections []*connection // open connections, the newest last
	closed      bool
	wg          sync.WaitGroup // goroutines of the connections

	socketsMu sync.Mutex
	sockets   map[*transport.WatchedConn]bool // open TCP connections

	handling  sync.Mutex // held while the handler is called
	attempted atomic.Bool
}

// New returns a stream that is not connected. Open connects it.
func New(address string, t Timeouts, h Handler) *Stream {
	s := &Stream{handler: h, timeouts: t, address: address, sockets: map[*transport.WatchedConn]bool{}}
	s.client = newHTTPClient(s.dial)
	return s
}

// dial opens a TCP connection that Pending asks until it is closed.
func (s *Stream) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	socket, err := transport.NewWatchedConn(tcp, s.socketClosed)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.socketsMu.Lock()
	defer s.socketsMu.Unlock()
	s.sockets[socket] = true
	return socket, nil
}

func (s *Stream) socketClosed(socket *transport.WatchedConn) {
	s.socketsMu.Lock()
	defer s.socketsMu.Unlock()
	delete(s.sockets, socket)
}

// Pending reports whether values, or parts of them, may have arrived that the handler has not handled.
func (s *Stream) Pending() bool {
	s.socketsMu.Lock()
	defer s.socketsMu.Unlock()
	for socket := range s.sockets {
		if socket.Pending() {
			return true
		}
	}
	return false
}

// Address returns the address of the stream.
func (s *Stream) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Attempted reports whether a first connection has delivered a value or has ended without one.
func (s *Stream) Attempted() bool { return s.attempted.Load() }

// Open connects to the stream's address, unless the newest connection is to this address and has not failed.
func (s *Stream) Open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.isOpen() {
		return
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	c := &connection{address: s.address, cancel: cancel}
	s.connections = append(s.connections, c)
	s.wg.Go(func() {
		defer cancel(nil)
		s.connectionEnded(c, s.follow(ctx, c))
	})
}

// isOpen reports whether the newest connection is to the stream's address and has not failed.
func (s *Stream) isOpen() bool {
	if len(s.connections) == 0 {
		return false
	}
	newest := s.connections[len(s.connections)-1]
	return newest.address == s.address && !newest.failed
}

// SetAddress changes the address of the stream and connects to it. The connection to the old address is read until the new
// one has delivered a value.
func (s *Stream) SetAddress(address string) {
	s.mu.Lock()
	s.address = address
	s.mu.Unlock()
	s.Open()
}

// Close closes the stream permanently and waits until all calls of the handler have returned.
func (s *Stream) Close() {
	s.mu.Lock()
	s.closed = true
	for _, c := range s.connections {
		c.cancel(nil)
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// follow reads one connection until it ends. The error names the address.
func (s *Stream) follow(ctx context.Context, c *connection) error {
	s.mu.Lock()
	c.idle = time.AfterFunc(s.timeouts.FirstValue, func() { s.timedOut(c) })
	s.mu.Unlock()
	defer c.idle.Stop()
	err := s.readValues(ctx, c)
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return fmt.Errorf("%s: %w", c.address, err)
}

// readValues requests the stream and delivers its values until an error occurs. After the first value it resets the idle
// timer at each read.
func (s *Stream) readValues(ctx context.Context, c *connection) error {
	s.handling.Lock()
	path, handle := s.handler.Open()
	s.handling.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the error is irrelevant
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	body := &boundedBody{Reader: response.Body, remaining: maxValueBytes, onRead: func() {
		if c.gotValue.Load() {
			c.idle.Reset(s.timeouts.Idle)
		}
	}}
	for values := json.NewDecoder(body); ; {
		var value json.RawMessage
		if err := values.Decode(&value); err != nil { // a partial value at the end is discarded
			return err
		}
		body.remaining = maxValueBytes
		if err := s.deliver(c, value, handle); err != nil {
			return err
		}
		c.idle.Reset(s.timeouts.Idle)
	}
}

// boundedBody is a response body that limits the bytes of a value and reports each read.
type boundedBody struct {
	io.Reader
	onRead    func()
	remaining int // bytes that may still be read until a value is complete
}

func (b *boundedBody) Read(to []byte) (int, error) {
	if b.remaining == 0 {
		return 0, fmt.Errorf("a JSON value is longer than %d bytes", maxValueBytes)
	}
	n, err := b.Reader.Read(to[:min(len(to), b.remaining)])
	if b.remaining -= n; n > 0 {
		b.onRead()
	}
	return n, err
}

// deliver passes a value to its handler, unless a newer connection has delivered a value. The first value of a connection
// ends all older connections.
func (s *Stream) deliver(c *connection, value json.RawMessage, handle func(json.RawMessage) error) error {
	s.handling.Lock()
	defer s.handling.Unlock()
	if s.isReplaced(c) {
		return errReplaced
	}
	if err := handle(value); err != nil {
		return err
	}
	s.attempted.Store(true)
	if first := !c.gotValue.Swap(true); first {
		s.replaceOthers(c)
	}
	return nil
}
