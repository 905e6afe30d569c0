package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// abandon sends a request, waits until the host has received it, and closes the connection.
func (r *fixture) abandon(host *fakeHost, text string) {
	r.Helper()
	before := host.requests.Load()
	c := r.connect()
	_, _ = io.WriteString(c, text)
	r.eventually(func() bool { return host.requests.Load() > before })
	_ = c.Close()
	r.eventually(func() bool { requests, _, _, _ := r.node.instance.InFlight(); return requests == 0 })
}

// send sends a request on a new connection and returns the status of the response.
func (r *fixture) send(text string) int {
	r.Helper()
	c := r.connect()
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, text)
	return c.read().status
}

// waitForAttempts waits until no attempt is in flight and every request has its response.
func (r *fixture) waitForAttempts() {
	r.Helper()
	r.eventually(func() bool { return r.node.instance.RequestsInFlight() == 0 })
}

// Guards against an id that runs twice because its client left and the same request came again, while the attempt was at the
// host or after it had ended.
func TestNode_RunsIDOnceThatComesAgainAfterItsClientLeft(t *testing.T) {
	for _, class := range []string{"pay", "order"} {
		t.Run(class, func(t *testing.T) {
			release := make(chan bool)
			host := newFakeHost(t, "a", respondAfter(release))
			r := startNode(t, host)
			text, _ := requestText("POST", class, map[string]string{"order": "Idempotency-Key: k"}[class])
			r.abandon(host, text)
			ran := host.requests.Load()
			require.Equal(t, 400, r.send(text), "the attempt is in flight")
			release <- true
			r.waitForAttempts()
			require.Equal(t, 400, r.send(text), "the attempt has ended")
			require.Equal(t, ran, host.requests.Load())
		})
	}
}

// Guards against an id that runs twice because its request had its response before its attempt ended, or may have run
// although it failed.
func TestNode_RunsIDOnceThatComesAgainAfterItsRequestFailed(t *testing.T) {
	for name, test := range map[string]struct {
		serve func(net.Conn, *http.Request) bool
		first int // status of the first response
		again int // status of the second response
		runs  int64
	}{
		"no response":              {func(net.Conn, *http.Request) bool { return true }, 504, 400, 1},
		"connection closed":        {func(net.Conn, *http.Request) bool { return false }, 502, 400, 1},
		"error":                    {func(c net.Conn, _ *http.Request) bool { respond(c, 500, ""); return true }, 502, 400, 1},
		"rejected before the run":  {func(c net.Conn, _ *http.Request) bool { respond(c, 503, "", "Not-Started: 1"); return true }, 503, 503, 0},
		"response after a timeout": {func(net.Conn, *http.Request) bool { time.Sleep(700 * time.Millisecond); return false }, 504, 400, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := newFakeHost(t, "a", func(c net.Conn, q *http.Request, b []byte) bool {
				if q.Method != http.MethodPost {
					return respondOK(c, q, b)
				}
				return test.serve(c, q)
			})
			r := startNode(t, host)
			text, _ := requestText("POST", "pay")
			before := host.requests.Load()
			require.Equal(t, test.first, r.send(text))
			r.waitForAttempts()
			require.Equal(t, test.again, r.send(text))
			if test.runs > 0 {
				require.Equal(t, test.runs, host.requests.Load()-before)
			}
		})
	}
}

// Guards against an id that can never be used again: a refused request frees its id at once.
func TestNode_FreesIDOfRefusedRequest(t *testing.T) {
	host := newFakeHost(t, "a", respondOK)
	r := startNode(t, host)
	text, id := requestText("GET", "quote")
	require.Equal(t, 400, r.send(strings.Replace(text, "900", "soon", 1)))
	require.Equal(t, 200, r.send(text))
	c := r.connect()
	_, _ = fmt.Fprint(c, text, text) // the second one exceeds the number of requests at once
	require.Equal(t, 200, c.read().status)
	require.NotZero(t, c.read().status)
	require.Equal(t, 200, r.send(text), id)
}
