// Package jsonstream follows a stream of JSON values: the response to a GET whose chunked body stays open, such as a
// watch. The stream may move to another address; the old connection is read until the new one has delivered a value.
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
)

var (
	errIdle     = errors.New("it is silent")
	errReplaced = errors.New("a newer stream has taken its place")
)

// Handler handles the events of a stream. Its functions are called one at a time, from goroutines of the stream.
type Handler struct {
	// Open is called for each connection. It returns the path to request and the handler of the values that arrive, however
	// they are spread over lines. An error of the handler ends the connection.
	Open func() (path string, handle func(json.RawMessage) error)
	// Ended is called when the newest connection has ended and no other is open.
	Ended func(err error)
}

// Timeouts are the times that a connection may be silent.
type Timeouts struct {
	FirstValue time.Duration // until the first value, connecting included
	Idle       time.Duration // from then on, between two reads of any bytes
}

const maxValueBytes = 4 << 20 // some 20,000 entries of an endpoint list

// NewHTTPClient returns a client that uses each connection for one request, follows no redirects, and doesn't compress.
// That makes it exact what became of a request.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: 4 << 10,
		WriteBufferSize: 2 << 10, MaxResponseHeaderBytes: 16 << 10, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Stream follows one address at a time. It is safe for concurrent use.
type Stream struct {
	handler  Handler
	timeouts Timeouts
	client   *http.Client

	mu          sync.Mutex // never held while the handler is called
	address     string
	connections []*connection // the newest last
	closed      bool
	wg          sync.WaitGroup // of the connections' goroutines

	handling  sync.Mutex // held while the handler is called
	attempted atomic.Bool
}

type connection struct {
	address  string
	cancel   context.CancelFunc
	gotValue atomic.Bool
}

// New prepares a stream; Open starts it.
func New(address string, t Timeouts, h Handler) *Stream {
	return &Stream{handler: h, timeouts: t, client: NewHTTPClient(), address: address}
}

// Address is the address followed, or to be followed by Open.
func (s *Stream) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Attempted reports whether a first attempt is over: its first value was handled, or it has ended.
func (s *Stream) Attempted() bool { return s.attempted.Load() }

// Open connects, unless the newest connection is to the present address.
func (s *Stream) Open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.connections); s.closed || n > 0 && s.connections[n-1].address == s.address {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{address: s.address, cancel: cancel}
	s.connections = append(s.connections, c)
	s.wg.Go(func() {
		defer cancel()
		s.connectionEnded(c, s.follow(ctx, c))
	})
}

// SetAddress follows another address from now on.
func (s *Stream) SetAddress(address string) {
	s.mu.Lock()
	s.address = address
	s.mu.Unlock()
	s.Open()
}

// Close ends the stream for good and waits until the handler is called no more.
func (s *Stream) Close() {
	s.mu.Lock()
	s.closed = true
	for _, c := range s.connections {
		c.cancel()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Stream) connectionEnded(c *connection, err error) {
	s.mu.Lock()
	newest := s.connections[len(s.connections)-1] == c
	for i, other := range s.connections {
		if other == c {
			s.connections = append(s.connections[:i:i], s.connections[i+1:]...)
			break
		}
	}
	// The end of a connection to an earlier address is not reported: SetAddress has opened the next one, which reports
	// its own end.
	report := newest && !s.closed && c.address == s.address
	s.mu.Unlock()
	if report {
		s.handling.Lock()
		defer s.handling.Unlock()
		s.handler.Ended(err)
	}
	s.attempted.Store(true)
}

// follow reads one connection to its end. The error names the address.
func (s *Stream) follow(ctx context.Context, c *connection) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(s.timeouts.FirstValue, func() { cancel(errIdle) })
	defer idle.Stop()
	err := s.readValues(ctx, c, idle)
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return fmt.Errorf("%s: %w", c.address, err)
}

// readValues requests the stream and delivers its values until an error. It resets the idle timer at each read, once a
// first value has arrived.
func (s *Stream) readValues(ctx context.Context, c *connection, idle *time.Timer) error {
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
	defer func() { _ = response.Body.Close() }() // its end is of no interest
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	body := &boundedBody{Reader: response.Body, remaining: maxValueBytes, onRead: func() {
		if c.gotValue.Load() {
			idle.Reset(s.timeouts.Idle)
		}
	}}
	for values := json.NewDecoder(body); ; {
		var value json.RawMessage
		if err := values.Decode(&value); err != nil { // a partial value at the end is dropped
			return err
		}
		body.remaining = maxValueBytes
		if err := s.deliver(c, value, handle); err != nil {
			return err
		}
		idle.Reset(s.timeouts.Idle)
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
		return 0, fmt.Errorf("a value is longer than %d bytes", maxValueBytes)
	}
	n, err := b.Reader.Read(to[:min(len(to), b.remaining)])
	if b.remaining -= n; n > 0 {
		b.onRead()
	}
	return n, err
}

// deliver hands a value to its handler, unless a newer connection has delivered one. The first value of a connection
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
		s.cancelOlder(c)
	}
	return nil
}

// isReplaced reports whether a newer connection than c has delivered a value.
func (s *Stream) isReplaced(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := false
	for _, other := range s.connections {
		if other == c {
			newer = true
		} else if newer && other.gotValue.Load() {
			return true
		}
	}
	return false
}

// cancelOlder ends all connections that are older than c.
func (s *Stream) cancelOlder(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.connections {
		if other == c {
			return
		}
		other.cancel()
	}
}
