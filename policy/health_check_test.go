package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Only health checks use a degraded path to other zones. Requests stay in the local zone until health checks succeed.
func TestHealthCheck_ProbesDegradedPathInsteadOfSendingRequests(t *testing.T) {
	f, _ := newGossipingFleet(t, nil)
	remote := []EndpointUpdate{f.hostAt(30, 1, f.remoteZone), f.hostAt(31, 1, f.remoteZone), f.hostAt(32, 1, f.remoteZone)}
	f.router.EndpointsChanged(f.now, remote, true)
	remoteAttempts := func(from int) (n int) {
		for _, attempt := range f.attempts[from:] {
			if attempt.Host.Zone == f.remoteZone {
				n++
			}
		}
		return n
	}
	f.serve(60, f.quote, succeeds)
	require.Positive(t, remoteAttempts(0))
	failRemote := func(attempt *Attempt) Outcome {
		if attempt.Host.Zone == f.remoteZone {
			return ConnectFailed
		}
		return Succeeded
	}
	f.serve(120, f.quote, failRemote)
	require.False(t, f.router.mergesZones())
	at, checks := len(f.attempts), 0
	for range 40 {
		f.healthChecked = nil
		f.serve(10, f.quote, failRemote)
		for _, host := range f.healthChecked {
			checks++
			require.Equal(t, f.remoteZone, host.Zone)
			f.router.HealthChecked(f.now, host, TimedOut, Second/4, nil)
		}
	}
	require.Less(t, remoteAttempts(at), 4) // the few attempts that detect the recovery of ejected hosts
	require.Positive(t, checks)
	for range 8 {
		f.router.HealthChecked(f.now, remote[0].Host, Succeeded, Second/1000, nil)
	}
	require.True(t, f.router.mergesZones())
}

// Results of health checks that are late, duplicated or of a removed host cause no failed request and no attempt at
// that host.
func TestHealthCheck_ToleratesLateDuplicateAndRemovedHostResults(t *testing.T) {
	f, endpoints := newGossipingFleet(t, nil)
	removed := endpoints[0]
	removed.State = Removed
	f.router.EndpointsChanged(f.now, []EndpointUpdate{removed}, true)
	for _, outcome := range []Outcome{Succeeded, TimedOut, ConnectFailed, Failed} {
		for range 3 {
			f.router.HealthChecked(f.now, removed.Host, outcome, 10*Second, nil)
			f.router.HealthChecked(f.now, endpoints[1].Host, outcome, 10*Second, &LoadReport{ActiveRequests: -1})
		}
	}
	f.serve(30, f.quote, succeeds)
	require.Empty(t, f.failed)
	for _, attempt := range f.attempts {
		require.NotEqual(t, removed.Host, attempt.Host)
	}
}
