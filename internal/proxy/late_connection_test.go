package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/endpoint"
	"dapplefront/policy"
	"dapplefront/router"
)

// listed returns the entry of a scripted host in an endpoint list.
func listed(h *scriptedHost, state policy.EndpointState) endpoint.Host {
	return endpoint.Host{Host: router.Host{ID: h.entry.ID, Zone: "here", State: state, Build: 1, Weight: 1}, Address: h.listener.Addr().String()}
}

// Guards against an attempt at a host that was listed as draining while the attempt's connection was opened, and for longer
// than the grace of 300 ms when it has opened.
func TestProxy_SendsNothingToHostThatBeganToDrainDuringConnect(t *testing.T) {
	draining, other := startHost(t, 1, 1, respondOK), startHost(t, 2, 1, respondOK)
	r := newTestbench(t, draining)
	releaseRequest := r.holdLoop()
	c := r.dial()
	c.post("/quote", "")
	r.awaitQueued(acceptAndRequest)
	go r.router.loop.Post(func() {
		r.router.endpointsChanged(true, []endpoint.Host{listed(draining, policy.Draining), listed(other, policy.Serving)})
	})
	r.awaitQueued(acceptAndRequest + 1)
	releaseOpened, held := r.queueHold()
	releaseRequest()
	<-held           // the request has been handled, and so has the list
	r.awaitQueued(1) // the connection is open
	time.Sleep(350 * time.Millisecond)
	releaseOpened()
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
	require.Zero(t, draining.requests.Load())
	require.EqualValues(t, 1, other.requests.Load())
	r.waitIdle()
}
