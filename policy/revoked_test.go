package policy

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an attempt that was not sent counting as evidence about its host or its build, or against the retry budget.
func TestRouter_RevokedAttemptCountsForNothing(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.serve(80, f.quote, succeeds)
	request := f.arrive(f.quote)
	f.advance(Second / 20) // not yet slow
	type state struct {
		retries, baselineAttempts, ended int
		paths                            [2]healthStats
		inFlight                         [2]int
	}
	observe := func() state {
		traffic := &f.router.traffic
		return state{len(traffic.retries), len(traffic.baselineAttempts), len(traffic.ended), f.router.zones.paths, f.router.snapshot().inFlight}
	}
	before, hosts := observe(), map[*Host]Host{}
	for _, host := range f.router.hosts {
		hosts[host] = Host{attempts: slices.Clone(host.attempts), samples: slices.Clone(host.samples), connectedAt: host.connectedAt, health: host.health}
	}
	f.router.handleRequestEvent(request, attemptSlow)
	require.Len(t, request.Attempts, 2)
	hedged := request.Attempts[1]
	require.Len(t, f.router.traffic.retries, before.retries+1)
	f.end(hedged, Revoked, 0)
	require.Equal(t, before, observe())
	was := hosts[hedged.Host]
	require.Equal(t, was.attempts, hedged.Host.attempts)
	require.Equal(t, was.samples, hedged.Host.samples)
	require.Equal(t, was.connectedAt, hedged.Host.connectedAt)
	require.Equal(t, was.health, hedged.Host.health)
	require.Empty(t, hedged.Host.inFlight)
	require.Len(t, request.Attempts, 2, "an attempt is still in flight, so no other one follows")
	require.Empty(t, f.rejected)
	require.Empty(t, f.failed)
}

// Guards against an attempt at the canary that was not sent using up a part of the canary's exposure.
func TestRouter_RevokedAttemptDoesNotCountAsExposure(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.startCanary(1, 0.5)
	shadow := f.shadowAttempt()
	sent := len(f.router.traffic.canaryAttempts)
	f.end(shadow, Revoked, 0)
	require.Len(t, f.router.traffic.canaryAttempts, sent-1)
}
