// Package stream keeps one standing answer that comes line by line: a GET whose chunked body stays open, such as a
// watch. What stands may be replaced by one from another address; the old one is read on until the new one speaks.
package stream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Ear is whoever follows a stream. Its functions are called one at a time, from goroutines of the stream.
type Ear struct {
	Path  func() string           // asked for, anew at each start
	Line  func(line []byte) error // without its end; an error ends the stream
	Ended func(err error)         // the newest stream has ended, and no other is under way
}

// Patience is how long a stream may be silent.
type Patience struct {
	First   time.Duration // until its first line, the connection's making included
	Silence time.Duration // from then on
}

const longest = 4 << 20 // bytes of a line: some 20,000 entries of a list

// Client is an HTTP client that uses each connection for one call alone, so that what became of a call is exact.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: 4 << 10,
		WriteBufferSize: 2 << 10, MaxResponseHeaderBytes: 16 << 10, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Stream follows one address at a time.
type Stream struct {
	ear      Ear
	patience Patience
	client   *http.Client

	mu      sync.Mutex // never held while the ear is told
	address string
	runs    []*run // the newest last
	closed  bool
	wait    sync.WaitGroup

	telling sync.Mutex
}

type run struct {
	address string
	stop    context.CancelFunc
	spoke   bool
}

// New prepares a stream; Open starts it.
func New(address string, p Patience, ear Ear) *Stream {
	return &Stream{ear: ear, patience: p, client: Client(), address: address}
}

// Address is the one that is followed, or would be.
func (s *Stream) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Open starts following, unless the present address is followed already.
func (s *Stream) Open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.runs); s.closed || n > 0 && s.runs[n-1].address == s.address {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &run{address: s.address, stop: stop}
	s.runs = append(s.runs, r)
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		defer stop()
		s.ended(r, s.follow(ctx, r))
	}()
}

// Move follows another address from now on.
func (s *Stream) Move(address string) {
	s.mu.Lock()
	s.address = address
	s.mu.Unlock()
	s.Open()
}

// Close ends it for good and waits until the ear is told nothing more.
func (s *Stream) Close() {
	s.mu.Lock()
	s.closed = true
	for _, r := range s.runs {
		r.stop()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

func (s *Stream) ended(r *run, err error) {
	s.mu.Lock()
	newest := s.runs[len(s.runs)-1] == r
	for i, x := range s.runs {
		if x == r {
			s.runs = append(s.runs[:i:i], s.runs[i+1:]...)
			break
		}
	}
	closed := s.closed
	s.mu.Unlock()
	if newest && !closed {
		s.telling.Lock()
		defer s.telling.Unlock()
		s.ear.Ended(err)
	}
}

// follow reads one stream to its end.
func (s *Stream) follow(ctx context.Context, r *run) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	silent := time.AfterFunc(s.patience.First, func() { stop(errors.New("it is silent")) })
	defer silent.Stop()
	why := func(err error) error {
		if ctx.Err() != nil {
			return fmt.Errorf("%s: %w", r.address, context.Cause(ctx))
		}
		return fmt.Errorf("%s: %w", r.address, err)
	}
	ask, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.address+s.ear.Path(), nil)
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
	in := bufio.NewReaderSize(got.Body, 4<<10)
	for {
		line, err := readLine(in)
		if err != nil { // half a line is dropped
			return why(err)
		}
		silent.Reset(s.patience.Silence)
		if err := s.tell(r, line); err != nil {
			return why(err)
		}
	}
}

func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(line)+len(part) > longest {
			return nil, fmt.Errorf("a line is longer than %d bytes", longest)
		}
		switch {
		case err == nil && line == nil:
			return part[:len(part)-1], nil
		case err == nil:
			line = append(line, part...)
			return line[:len(line)-1], nil
		case errors.Is(err, bufio.ErrBufferFull):
			line = append(line, part...)
		default:
			return nil, err
		}
	}
}

// tell hands a line on, unless a newer stream has spoken; the first of a stream ends all older ones.
func (s *Stream) tell(r *run, line []byte) error {
	s.telling.Lock()
	defer s.telling.Unlock()
	s.mu.Lock()
	at := -1
	for i, x := range s.runs {
		if x == r {
			at = i
		} else if at >= 0 && x.spoke {
			s.mu.Unlock()
			return errors.New("a newer stream has taken its place")
		}
	}
	s.mu.Unlock()
	if err := s.ear.Line(line); err != nil {
		return err
	}
	if r.spoke {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.spoke = true
	for _, x := range s.runs {
		if x == r {
			break
		}
		x.stop()
	}
	return nil
}
