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

// lateStream opens a stream whose connections are late with their first value after a short time.
func lateStream(t *testing.T, server *fakeServer) (s *Stream, received chan string, ended chan error) {
	t.Helper()
	received, ended = make(chan string, 10), make(chan error, 10)
	s = New(server.address(), Timeouts{FirstValue: 50 * time.Millisecond, Idle: time.Minute}, Handler{
		Open: func() (string, func(json.RawMessage) error) {
			return "/", func(v json.RawMessage) error { received <- string(v); return nil }
		},
		Ended: func(err error) { ended <- err }})
	t.Cleanup(s.Close)
	s.Open()
	require.ErrorIs(t, <-ended, errIdle)
	return s, received, ended
}

// Guards against a crowd of callers that none gets a response in: a late response is used, although the call was reported
// as failed and made again, and its end is reported again.
func TestStream_UsesFirstValueThatArrivesAfterTimeout(t *testing.T) {
	server := newFakeServer(t)
	s, received, ended := lateStream(t, server)
	server.values <- "{}"
	require.Equal(t, "{}", <-received)
	s.Open() // the stream is open
	require.Empty(t, ended)
	server.values <- "end"
	require.Error(t, <-ended)
	require.Empty(t, ended)
}

// Guards against two connections that deliver the same list: the first value ends all other connections to the address,
// and none of them is reported.
func TestStream_FirstValueEndsOtherCallsThatTimedOut(t *testing.T) {
	server := newFakeServer(t)
	s, received, ended := lateStream(t, server)
	s.Open()
	require.ErrorIs(t, <-ended, errIdle)
	open := func() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.connections) }
	require.Equal(t, 2, open(), "a call that has timed out must be kept")
	server.values <- "{}" // of either connection
	require.Equal(t, "{}", <-received)
	require.Eventually(t, func() bool { return open() == 1 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { s.socketsMu.Lock(); defer s.socketsMu.Unlock(); return len(s.sockets) == 1 }, 10*time.Second, time.Millisecond)
	require.Empty(t, ended)
}

// Guards against a service that accepts calls and never responds: a call that has timed out is not kept for ever.
func TestStream_EndsCallThatStaysWithoutResponse(t *testing.T) {
	server := newFakeServer(t)
	s, _, ended := lateStream(t, server)
	s.mu.Lock()
	s.connections[0].idle.Reset(0) // lateValueTimeout has passed
	s.mu.Unlock()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.connections) == 0 }, 10*time.Second, time.Millisecond)
	require.Empty(t, ended, "the call was reported when it timed out")
}

// Guards against descriptors that run out while a service accepts calls and does not respond.
func TestStream_KeepsOldestAndNewestOfManyCallsThatTimedOut(t *testing.T) {
	server := newFakeServer(t)
	s, received, ended := lateStream(t, server)
	s.mu.Lock()
	oldest := s.connections[0]
	s.mu.Unlock()
	for range 3 * maxLateConnections {
		s.Open()
		require.ErrorIs(t, <-ended, errIdle)
	}
	s.mu.Lock()
	require.Len(t, s.connections, maxLateConnections)
	require.Same(t, oldest, s.connections[0])
	newest := s.connections[maxLateConnections-1]
	s.mu.Unlock()
	require.Eventually(t, func() bool {
		s.socketsMu.Lock()
		defer s.socketsMu.Unlock()
		return len(s.sockets) == maxLateConnections
	},
		10*time.Second, time.Millisecond)
	s.Open()
	s.mu.Lock()
	require.NotSame(t, newest, s.connections[len(s.connections)-1], "the next call is made")
	s.mu.Unlock()
	server.values <- "{}"
	require.Equal(t, "{}", <-received)
}
