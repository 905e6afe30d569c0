package jsonstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeServer says what a test has it say, to one caller at a time.
type fakeServer struct {
	*httptest.Server
	values chan string
}

func newFakeServer(t *testing.T) *fakeServer {
	s := &fakeServer{values: make(chan string)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case text := <-s.values:
				if text == "end" {
					panic(http.ErrAbortHandler)
				}
				fmt.Fprint(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

func (s *fakeServer) address() string { return s.Listener.Addr().String() }

// The end of a stream at an address that was left tells nothing, even where the newer one has failed meanwhile: that was
// told already, and a second word would start a second chain of new tries.
func TestTheEndOfAnOlderStreamStartsNoSecondChainOfTries(t *testing.T) {
	old, next := newFakeServer(t), newFakeServer(t)
	heard, ended := make(chan string, 10), make(chan error, 10)
	s := New(old.address(), Timeouts{FirstValue: time.Minute, Idle: time.Minute}, Handler{
		Open: func() (string, func(json.RawMessage) error) {
			return "/", func(v json.RawMessage) error { heard <- string(v); return nil }
		},
		Ended: func(err error) { ended <- err }})
	t.Cleanup(s.Close)
	runs := func() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.connections) }
	s.Open()
	old.values <- "{}"
	require.Equal(t, "{}", <-heard)
	s.SetAddress(next.address())
	next.values <- "end"
	require.Error(t, <-ended)
	old.values <- `{"still":"here"}`
	require.Equal(t, `{"still":"here"}`, <-heard)
	old.values <- "end"
	require.Eventually(t, func() bool { return runs() == 0 }, 10*time.Second, time.Millisecond)
	s.Open()
	next.values <- `{"a":1}{"b":2}`
	require.Equal(t, `{"a":1}`, <-heard)
	require.Equal(t, `{"b":2}`, <-heard)
	require.Empty(t, ended)
}
