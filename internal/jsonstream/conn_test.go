package jsonstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against input that counts as handled while it is unread, or while its reader is still processing it.
func TestWatchedConn_IsPendingUntilReaderAsksForMore(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	tcp, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	closed := false
	c, err := newWatchedConn(tcp.(*net.TCPConn), func(*watchedConn) { closed = true })
	require.NoError(t, err)
	peer, err := l.Accept()
	require.NoError(t, err)
	require.False(t, c.pending(), "nothing has arrived")

	_, err = io.WriteString(peer, "hi")
	require.NoError(t, err)
	require.Eventually(t, c.pending, 10*time.Second, time.Millisecond, "unread")
	buffer := make([]byte, 10)
	n, err := c.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "hi", string(buffer[:n]))
	require.True(t, c.pending(), "read and perhaps not processed")

	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(buffer)
		ended <- err
	}()
	require.Eventually(t, func() bool { return !c.pending() }, 10*time.Second, time.Millisecond, "the reader waits for more")
	require.NoError(t, peer.Close())
	require.ErrorIs(t, <-ended, io.EOF)
	require.False(t, c.pending())
	require.NoError(t, c.Close())
	require.True(t, closed)
	require.False(t, c.pending())
}

// Guards against a value that counts as handled before its handler has returned.
func TestStream_IsPendingWhileValueIsHandled(t *testing.T) {
	values := make(chan string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for value := range values {
			_, _ = fmt.Fprintln(w, value)
			w.(http.Flusher).Flush()
		}
	}))
	defer server.Close()
	defer close(values)
	entered, proceed := make(chan bool), make(chan bool)
	s := New(server.Listener.Addr().String(), Timeouts{FirstValue: time.Minute, Idle: time.Minute}, Handler{
		Open: func() (string, func(json.RawMessage) error) {
			return "/", func(json.RawMessage) error { entered <- true; <-proceed; return nil }
		},
		Ended: func(error) {}})
	defer s.Close()
	s.Open()
	for range 3 {
		values <- "{}"
		<-entered
		require.True(t, s.Pending())
		proceed <- true
		require.Eventually(t, func() bool { return !s.Pending() }, 10*time.Second, time.Millisecond)
	}
}
