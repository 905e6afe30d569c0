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

// fakeServer sends the texts that a test writes to values to one client at a time. The text "end" aborts the connection.
type fakeServer struct {
	*httptest.Server
	values chan string
}

func newFakeServer(t *testing.T) *fakeServer {
	t.Helper()
	s := &fakeServer{values: make(chan string)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			select {
			case text := <-s.values:
				if text == "end" {
					panic(http.ErrAbortHandler)
				}
				_, _ = fmt.Fprint(w, text)
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

// The end of a connection to an earlier address is not reported, even if the newer connection has failed in the meantime:
// the end of the newer connection was reported, and a second report would start a second series of retries.
func TestStream_DoesNotReportEndOfOlderConnection(t *testing.T) {
	old, next := newFakeServer(t), newFakeServer(t)
	received, ended := make(chan string, 10), make(chan error, 10)
	s := New(old.address(), Timeouts{FirstValue: time.Minute, Idle: time.Minute}, Handler{
		Open: func() (string, func(json.RawMessage) error) {
			return "/", func(v json.RawMessage) error { received <- string(v); return nil }
		},
		Ended: func(err error) { ended <- err }})
	t.Cleanup(s.Close)
	open := func() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.connections) }
	s.Open()
	old.values <- "{}"
	require.Equal(t, "{}", <-received)
	s.SetAddress(next.address())
	next.values <- "end"
	require.Error(t, <-ended)
	old.values <- `{"still":"here"}`
	require.Equal(t, []string{`{"still":"here"}`}, []string{<-received})
	old.values <- "end"
	require.Eventually(t, func() bool { return open() == 0 }, 10*time.Second, time.Millisecond)
	s.Open()
	next.values <- `{"a":1}{"b":2}`
	require.Equal(t, []string{`{"a":1}`}, []string{<-received})
	require.Equal(t, []string{`{"b":2}`}, []string{<-received})
	require.Empty(t, ended)
}
