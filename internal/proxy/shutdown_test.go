package proxy

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestProxy_ShutdownRespondsToRequestsInFlightAndClosesConnections(t *testing.T) {
	h := startHost(t, 1, 1, func(x exchange) bool { time.Sleep(200 * time.Millisecond); return respondOK(x) })
	r := newTestbench(t, h)
	c, idle := r.dial(), r.dial()
	c.post("/quote", "")
	r.eventually(func() bool { return h.requests.Load() == 1 })
	done := make(chan int)
	go func() { done <- r.router.Shutdown(5*time.Second, nil) }()
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
	c.requireClosed()
	idle.requireClosed()
	require.Zero(t, <-done)
	r.router = nil
	_, err := net.Dial("tcp", r.hosts[0].listener.Addr().String())
	require.NoError(t, err)
}

func TestProxy_AbortedShutdownRespondsToRequestsInFlight(t *testing.T) {
	h := startHost(t, 1, 1, func(x exchange) bool { time.Sleep(3 * time.Second); return false })
	r := newTestbench(t, h)
	c := r.dial()
	c.post("/quote", "")
	r.eventually(func() bool { return h.requests.Load() >= 1 })
	abort := make(chan struct{})
	close(abort)
	started := time.Now()
	require.Zero(t, r.router.Shutdown(5*time.Second, abort))
	require.Less(t, time.Since(started), abortGrace+time.Second)
	counts := r.router.ShutdownCounts()
	r.router = nil
	_, outcome, _ := c.response()
	require.Equal(t, "scrapped", outcome)
	require.EqualValues(t, 1, counts.GivenUp)
	require.Zero(t, counts.CutOffByExit)
}
