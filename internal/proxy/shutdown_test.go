package proxy

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/endpoint"
	"dapplefront/internal/eventloop"
	"dapplefront/policy"
	"dapplefront/router"
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
	require.Zero(t, counts.Undecided)
}

// withoutDecisions is a fault: the policy never gives up a request.
type withoutDecisions struct{}

func (withoutDecisions) Actions(_ policy.Time, _ router.Event, actions []router.Action, _ map[uint32]endpoint.Host) []router.Action {
	return slices.DeleteFunc(slices.Clone(actions), func(a router.Action) bool { return a.Kind == router.Fail || a.Kind == router.Reject })
}

func (withoutDecisions) WithholdsResponse(string) bool { return false }

// Guards against an exit, or an endless shutdown, with requests that nothing gives up.
func TestProxy_ShutdownFailsRequestsWithoutDecision(t *testing.T) {
	h := startHost(t, 1, 1, func(x exchange) bool { time.Sleep(3 * time.Second); return false })
	r := newTestbench(t, h)
	r.router.loop.Do(func() { r.router.faults = withoutDecisions{} })
	c := r.dial()
	c.post("/quote", "")
	r.eventually(func() bool { return h.requests.Load() >= 1 })
	started := time.Now()
	require.Equal(t, 1, r.router.Shutdown(time.Second, nil))
	require.Less(t, time.Since(started), 3*time.Second)
	r.router = nil
	_, outcome, _ := c.response()
	require.Equal(t, "scrapped", outcome)
}

// Guards against requests that count as undecided because the process is held up when the policy gives them up.
func TestProxy_ShutdownHeldUpAtLastResponseLeavesNothingUndecided(t *testing.T) {
	h := startHost(t, 1, 1, func(x exchange) bool { time.Sleep(3 * time.Second); return false })
	r := newTestbench(t, h)
	c := r.dial()
	c.write("POST /quote HTTP/1.1\r\nHost: r\r\nDapplefront-Patience: 1s\r\nContent-Length: 0\r\n\r\n")
	r.eventually(func() bool { return h.requests.Load() >= 1 })
	const killAfter = 500 * time.Millisecond
	undecided := make(chan int, 1)
	go func() { undecided <- r.router.Shutdown(killAfter, nil) }()
	lastResponse := eventloop.Duration(policy.NewShutdownSchedule(eventloop.FromDuration(killAfter)).LastResponse)
	time.Sleep(lastResponse / 2)
	r.router.Stall(lastResponse)
	require.Zero(t, <-undecided)
	require.EqualValues(t, 1, r.router.ShutdownCounts().GivenUp)
	r.router = nil
}
