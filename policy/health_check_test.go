package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A way that is poor is left to probes; tasks stay nearby until these are answered.
func TestDegradedPathIsProbedAndNotTried(t *testing.T) {
	f, _ := newGossipingFleet(t, nil)
	far := []EndpointUpdate{f.hostAt(30, 1, f.remoteZone), f.hostAt(31, 1, f.remoteZone), f.hostAt(32, 1, f.remoteZone)}
	f.router.EndpointsChanged(f.now, far, true)
	crossed := func(from int) (n int) {
		for _, attempt := range f.attempts[from:] {
			if attempt.Host.Zone == f.remoteZone {
				n++
			}
		}
		return n
	}
	f.serve(60, f.quote, succeeds)
	require.Positive(t, crossed(0))
	cut := func(attempt *Attempt) Outcome {
		if attempt.Host.Zone == f.remoteZone {
			return ConnectFailed
		}
		return Succeeded
	}
	f.serve(120, f.quote, cut)
	require.False(t, f.router.mergesZones())
	at, probes := len(f.attempts), 0
	for range 40 {
		f.healthChecked = nil
		f.serve(10, f.quote, cut)
		for _, host := range f.healthChecked {
			probes++
			require.Equal(t, f.remoteZone, host.Zone)
			f.router.HealthChecked(f.now, host, TimedOut, Second/4, nil)
		}
	}
	require.Less(t, crossed(at), 4) // a trickle to hosts that seem sick
	require.Positive(t, probes)
	for range 8 {
		f.router.HealthChecked(f.now, far[0].Host, Succeeded, Second/1000, nil)
	}
	require.True(t, f.router.mergesZones())
}

// Probe answers that are late, doubled or of a host that has gone move no rule's bound.
func TestStrayHealthChecksDoNoHarm(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	gone := list[0]
	gone.State = Removed
	f.router.EndpointsChanged(f.now, []EndpointUpdate{gone}, true)
	for _, outcome := range []Outcome{Succeeded, TimedOut, ConnectFailed, Failed} {
		for range 3 {
			f.router.HealthChecked(f.now, gone.Host, outcome, 10*Second, nil)
			f.router.HealthChecked(f.now, list[1].Host, outcome, 10*Second, &LoadReport{ActiveRequests: -1})
		}
	}
	f.serve(30, f.quote, succeeds)
	require.Empty(t, f.failed)
	for _, attempt := range f.attempts {
		require.NotEqual(t, gone.Host, attempt.Host)
	}
}
