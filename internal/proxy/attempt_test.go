package proxy

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestProxy_IgnoresResponseAfterTimeout(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool {
		if x.requestNumber == 1 {
			time.Sleep(800 * time.Millisecond)
		}
		return respondOK(x)
	}))
	c := r.dial()
	c.post("/transfer", "")
	status, outcome, _ := c.response()
	require.Equal(t, 504, status)
	require.Equal(t, "scrapped", outcome)
	c.requireSilence(600 * time.Millisecond)
	c.post("/transfer", "")
	_, outcome, body := c.response()
	require.Equal(t, "finished right", outcome+" "+body)
	r.waitIdle()
}

func TestProxy_FailsNonIdempotentRequestWhenConnectionIsLost(t *testing.T) {
	disconnect := func(x exchange) bool { return false }
	a, b := startHost(t, 1, 1, disconnect), startHost(t, 2, 1, disconnect)
	r := newTestbench(t, a, b)
	c := r.dial()
	c.post("/transfer", "")
	status, outcome, _ := c.response()
	require.Equal(t, 502, status)
	require.Equal(t, "scrapped", outcome)
	r.waitIdle()
	require.EqualValues(t, 1, a.requests.Load()+b.requests.Load())
}

func TestProxy_RetriesIdempotentRequestOnAnotherHost(t *testing.T) {
	var first atomic.Bool
	serve := func(x exchange) bool { return !first.CompareAndSwap(false, true) && respondOK(x) }
	r := newTestbench(t, startHost(t, 1, 1, serve), startHost(t, 2, 1, serve))
	c := r.dial()
	c.post("/quote", "")
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
}

func TestProxy_RunsNonIdempotentRequestOnceWhenHostsCloseIdleConnections(t *testing.T) {
	var ran, succeeded, failed atomic.Int64
	h := startHost(t, 1, 1, func(x exchange) bool {
		ran.Add(1)
		respondOK(x)
		time.Sleep(time.Duration(x.requestNumber%4) * 300 * time.Microsecond) // the close and the write of the next request nearly coincide
		return false
	})
	r := newTestbench(t, h)
	c := r.dial()
	const requests = 200
	for range requests {
		c.post("/transfer", "")
		switch _, outcome, _ := c.response(); outcome {
		case "finished":
			succeeded.Add(1)
		case "scrapped": // the host closed the connection after the kernel had accepted the request, which may have run
			failed.Add(1)
		default:
			t.Fatalf("outcome %q", outcome)
		}
	}
	r.waitIdle()
	require.Equal(t, succeeded.Load(), ran.Load(), "each request that ran got a response, and ran once")
	require.Greater(t, succeeded.Load(), int64(requests/2), "most closes are detected before the write")
}

func TestProxy_RespondsOnceWhenBothHedgedAttemptsSucceed(t *testing.T) {
	var sent atomic.Int64
	both := func(x exchange) bool {
		if sent.Add(1) > 1 {
			x.respond(200, "second")
			return true
		}
		time.Sleep(700 * time.Millisecond) // long enough to trigger a hedged attempt, but within the timeout
		x.respond(200, "first")
		return true
	}
	r := newTestbench(t, startHost(t, 1, 1, both), startHost(t, 2, 1, both))
	c := r.dial()
	c.post("/quote", "")
	_, outcome, body := c.response()
	require.Equal(t, "finished second", outcome+" "+body)
	c.requireSilence(700 * time.Millisecond)
	r.waitIdle()
	require.EqualValues(t, 2, sent.Load())
}

func TestProxy_RetriesNonIdempotentRequestThatNeverStarted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := startHost(t, 1, 1, respondOK)
	_ = dead.listener.Close() // connections to its address are now refused
	_ = l.Close()
	full := startHost(t, 2, 1, func(x exchange) bool { x.respond(503, "full", "Dapplefront-Unseen: 1"); return true })
	healthy := startHost(t, 3, 1, respondOK)
	r := newTestbench(t, dead, full, healthy)
	c := r.dial()
	for range 20 {
		c.post("/transfer", "")
		_, outcome, _ := c.response()
		require.Equal(t, "finished", outcome, "a non-idempotent request is retried as long as it certainly has not run")
	}
}

func TestProxy_FailsNonIdempotentRequestOnUnreadableResponse(t *testing.T) {
	responses := []string{"rubbish\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"}
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool {
		_, _ = io.WriteString(x.conn, responses[(x.requestNumber-1)%3])
		return true
	}))
	c := r.dial()
	for range responses {
		c.post("/transfer", "")
		status, outcome, _ := c.response()
		require.Equal(t, "502 scrapped", fmt.Sprint(status, " ", outcome))
	}
	r.waitIdle()
}

func TestProxy_AcceptsResponseDelimitedByConnectionClose(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool {
		_, _ = io.WriteString(x.conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 \r\n\r\nto the end")
		return false
	}))
	c := r.dial()
	for range 3 {
		c.post("/transfer", "")
		_, outcome, body := c.response()
		require.Equal(t, "finished to the end", outcome+" "+body)
	}
}
