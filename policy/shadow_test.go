package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPickCanary_GivesWarmHostNoAttemptsDueToColdHosts(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	for id := range uint32(5) {
		coldHost := f.host(10+id, 2)
		coldHost.StartedAt = 6*Second + 1
		endpoints = append(endpoints, coldHost)
	}
	f.serve(120, f.quote, succeeds)
	f.router.EndpointsChanged(f.now, endpoints, true)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, ExposureCap: 1})
	f.attempts = nil
	f.serve(40, f.quote, succeeds) // takes two seconds
	n := map[*Host]int{}
	for _, attempt := range f.attempts {
		n[attempt.Host]++
	}
	require.Positive(t, n[endpoints[6].Host])
	require.LessOrEqual(t, n[endpoints[6].Host], 40/6+2) // as many as a baseline host gets, plus a margin
}

func TestPickCanary_BuildsNoQueueAtUnresponsiveHost(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.serve(120, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 1, ExposureCap: 1})
	canary := endpoints[6].Host
	most := 0
	for range 60 { // the canary host doesn't respond while the other hosts do
		request := f.arrive(f.quote)
		f.advance(Second / 20)
		for _, attempt := range request.Attempts {
			if attempt.Host != canary {
				f.end(attempt, Succeeded, Second/20)
			}
		}
		most = max(most, len(canary.inFlight))
	}
	require.Positive(t, most)
	require.LessOrEqual(t, most, 2)
}

func TestRouter_ExcludesPrimaryAttemptsAtCanaryFromEvidence(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.serve(120, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, ExposureCap: 1})
	for i := range endpoints[:6] { // baseline hosts drain before the router learns of the release
		endpoints[i].State = Draining
	}
	f.router.EndpointsChanged(f.now, endpoints, true)
	f.votes = nil
	f.serve(60, f.payment, func(*Attempt) Outcome { return TimedOut })
	f.advance(Second)
	require.Positive(t, f.canaryAttempts())
	require.NotContains(t, f.votes, Rollback)
	shadows := 0
	for _, attempt := range f.attempts {
		if attempt.IsShadow() {
			shadows++
		}
	}
	require.Greater(t, f.canaryAttempts(), shadows)
	require.Len(t, f.router.analysis.window(2).samples, shadows)
}

// A cold canary host gets attempts, and a warm one gets about as many as a baseline host: it doesn't get those that
// cold hosts can't serve.
func TestPickCanary_GivesHostsTheShareOfBaselineHosts(t *testing.T) {
	f, endpoints := newGossipingFleet(t, func(config *Config) { config.Limits.AllowHedging = false })
	var coldHosts []EndpointUpdate
	for id := range uint32(3) {
		coldHost := f.host(40+id, 2)
		coldHost.StartedAt = f.now + 1
		coldHosts = append(coldHosts, coldHost)
	}
	f.startCanary(2, 1)
	for i := range coldHosts {
		coldHosts[i].StartedAt = f.now
	}
	f.router.EndpointsChanged(f.now, coldHosts, true)
	at := len(f.attempts)
	f.serve(200, f.quote, succeeds)
	n := map[*Host]int{}
	for _, attempt := range f.attempts[at:] {
		n[attempt.Host]++
	}
	require.Less(t, n[endpoints[6].Host], 60, "the warm host should get about as many attempts as one of six baseline hosts")
	for _, coldHost := range coldHosts {
		require.Positive(t, n[coldHost.Host])
	}
}
