// Package jsonstream keeps one standing answer that comes value by value: a GET whose chunked body stays open and holds JSON
// objects, such as a watch. What stands may be replaced by one from another address; the old one is read on until the
// new one speaks.
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

// Handler is whoever follows a stream. Its functions are called one at a time, from goroutines of the stream.
type Handler struct {
	// Open is called at each start: the path to ask for, and what is told each value, however it is laid out in lines.
	// An error of value ends the stream.
	Open  func() (path string, value func(json.RawMessage) error)
	Ended func(err error) // the newest stream has ended, and no other is under way
}

// Timeouts are how long a stream may be silent.
type Timeouts struct {
	FirstValue time.Duration // until its first value, the connection's making included
	Idle       time.Duration // from then on, between two bytes of any kind
}

const maxValueBytes = 4 << 20 // bytes of a value: some 20,000 entries of a list

// NewHTTPClient is an HTTP client that uses each connection for one call alone, so that what became of a call is exact.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: 4 << 10,
		WriteBufferSize: 2 << 10, MaxResponseHeaderBytes: 16 << 10, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Stream follows one address at a time.
type Stream struct {
	handler  Handler
	timeouts Timeouts
	client   *http.Client

	mu          sync.Mutex // never held while the handler is called
	address     string
	connections []*connection // the newest last
	closed      bool
	wg          sync.WaitGroup

	handling  sync.Mutex
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

// Address is the one that is followed, or would be.
func (s *Stream) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Attempted tells whether a first attempt has been made, whatever came of it: its first value was handled, or it has ended.
func (s *Stream) Attempted() bool { return s.attempted.Load() }

// Open starts following, unless the present address is followed already.
func (s *Stream) Open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.connections); s.closed || n > 0 && s.connections[n-1].address == s.address {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &connection{address: s.address, cancel: stop}
	s.connections = append(s.connections, r)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer stop()
		s.connectionEnded(r, s.follow(ctx, r))
	}()
}

// SetAddress follows another address from now on.
func (s *Stream) SetAddress(address string) {
	s.mu.Lock()
	s.address = address
	s.mu.Unlock()
	s.Open()
}

// Close ends it for good and waits until the handler is told nothing more.
func (s *Stream) Close() {
	s.mu.Lock()
	s.closed = true
	for _, r := range s.connections {
		r.cancel()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Stream) connectionEnded(r *connection, err error) {
	s.mu.Lock()
	newest := s.connections[len(s.connections)-1] == r
	for i, x := range s.connections {
		if x == r {
			s.connections = append(s.connections[:i:i], s.connections[i+1:]...)
			break
		}
	}
	// An older address has nothing to start anew: whoever moved on has opened the next, whose end is told by itself.
	told := newest && !s.closed && r.address == s.address
	s.mu.Unlock()
	if told {
		s.handling.Lock()
		defer s.handling.Unlock()
		s.handler.Ended(err)
	}
	s.attempted.Store(true)
}

// follow reads one stream to its end.
func (s *Stream) follow(ctx context.Context, r *connection) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	silent := time.AfterFunc(s.timeouts.FirstValue, func() { stop(errors.New("it is silent")) })
	defer silent.Stop()
	s.handling.Lock()
	path, value := s.handler.Open()
	s.handling.Unlock()
	why := func(err error) error {
		if ctx.Err() != nil {
			return fmt.Errorf("%s: %w", r.address, context.Cause(ctx))
		}
		return fmt.Errorf("%s: %w", r.address, err)
	}
	ask, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.address+path, nil)
	if err != nil {
		return why(err)
	}
	got, err := s.client.Do(ask)
	if err != nil {
		return why(err)
	}
	defer got.Body.Close()
	if got.StatusCode != http.StatusOK {
		return why(fmt.Errorf("status %s", got.Status))
	}
	in := &boundedBody{Reader: got.Body, remaining: maxValueBytes, onRead: func() {
		if r.gotValue.Load() {
			silent.Reset(s.timeouts.Idle)
		}
	}}
	for values := json.NewDecoder(in); ; {
		var v json.RawMessage
		if err := values.Decode(&v); err != nil { // half a value at the end is dropped
			return why(err)
		}
		in.remaining = maxValueBytes
		if err := s.deliver(r, v, value); err != nil {
			return why(err)
		}
		silent.Reset(s.timeouts.Idle)
	}
}

// boundedBody is an answer's body whose every byte is a sign of life, and whose values are bounded.
type boundedBody struct {
	io.Reader
	onRead    func()
	remaining int // bytes that may still come until a value is whole
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

// deliver hands a value on, unless a newer stream has spoken; the first of a stream ends all older ones.
func (s *Stream) deliver(r *connection, v json.RawMessage, value func(json.RawMessage) error) error {
	s.handling.Lock()
	defer s.handling.Unlock()
	s.mu.Lock()
	at := -1
	for i, x := range s.connections {
		if x == r {
			at = i
		} else if at >= 0 && x.gotValue.Load() {
			s.mu.Unlock()
			return errors.New("a newer stream has taken its place")
		}
	}
	s.mu.Unlock()
	if err := value(v); err != nil {
		return err
	}
	s.attempted.Store(true)
	if r.gotValue.Swap(true) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.connections {
		if x == r {
			break
		}
		x.cancel()
	}
	return nil
}
