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
