package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/router"
)

// slowQuotes responds late to requests for /quote, but within their timeout.
func slowQuotes(x exchange) bool {
	if x.URL.Path == "/quote" {
		time.Sleep(800 * time.Millisecond)
	}
	return respondOK(x)
}

// Guards against a hedged attempt that is sent after a new configuration forbids two attempts of a request at once. The request
// that was sent before still gets its response.
func TestProxy_SendsNoHedgedAttemptAfterConfigForbidsIt(t *testing.T) {
	const slowAfter = 300 * time.Millisecond // the attempt is hedged at this age
	for name, change := range map[string]func(*testbench){
		"timer set before the change": func(r *testbench) {
			require.NoError(r, r.router.UpdateConfig(r.changedConfig("two-at-once = off")))
		},
		"connection being opened during the change": func(r *testbench) {
			release := r.holdLoop()
			changed := make(chan error, 1)
			go func() { changed <- r.router.UpdateConfig(r.changedConfig("two-at-once = off")) }()
			r.awaitQueued(1)
			time.Sleep(slowAfter + 50*time.Millisecond)
			release() // the timer is due before the change, and the connection opens after it
			require.NoError(r, <-changed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestbench(t, startHost(t, 1, 1, slowQuotes), startHost(t, 2, 1, slowQuotes))
			c := r.dial()
			c.post("/quote", "")
			r.eventually(func() bool { return r.received() == 1 })
			change(r)
			_, outcome, _ := c.response()
			require.Equal(t, "finished", outcome)
			require.Equal(t, 1, r.received())
			r.waitIdle()
		})
	}
}

// Guards against a health check that is sent after a new configuration forbids them, because its connection was being opened.
func TestProxy_SendsNoHealthCheckAfterConfigForbidsIt(t *testing.T) {
	h := startHost(t, 1, 1, respondOK)
	r := newTestbench(t, h)
	withChecks := r.changedConfig("[probes]\npath = /probe\n")
	require.NoError(t, r.router.UpdateConfig(withChecks))
	r.router.loop.Do(func() { r.router.checkHealth(h.entry.ID) })
	r.eventually(func() bool { return h.requests.Load() == 1 })
	time.Sleep(50 * time.Millisecond) // the check has ended
	r.router.loop.Do(func() {
		for range 2 { // one of them needs a new connection
			r.router.checkHealth(h.entry.ID)
		}
		require.NoError(t, r.router.handle(router.ConfigChanged{Config: r.config.Router}))
		r.router.config = r.config
	})
	r.eventually(func() bool { return h.conns.Load() == 2 })
	r.waitIdle()
	require.EqualValues(t, 1, h.requests.Load())
}
