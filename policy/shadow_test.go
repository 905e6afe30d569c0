package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWarmCanaryHostDoesNotGetTheShareOfColdOnes(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	for id := range uint32(5) {
		fresh := f.host(10+id, 2)
		fresh.StartedAt = 6*Second + 1
		list = append(list, fresh)
	}
	f.serve(120, f.quote, succeeds)
	f.router.EndpointsChanged(f.now, list, true)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, ExposureCap: 1})
	f.attempts = nil
	f.serve(40, f.quote, succeeds) // two seconds
	n := map[*Host]int{}
	for _, attempt := range f.attempts {
		n[attempt.Host]++
	}
	require.Positive(t, n[list[6].Host])
	require.LessOrEqual(t, n[list[6].Host], 40/6+2) // what an earlier host gets, and a little
}

func TestShadowAttemptsMakeNoQueueAtACanaryHost(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(120, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 1, ExposureCap: 1})
	trial := list[6].Host
	most := 0
	for range 60 { // it pauses while the others answer
		request := f.arrive(f.quote)
		f.advance(Second / 20)
		for _, attempt := range request.Attempts {
			if attempt.Host != trial {
				f.end(attempt, Succeeded, Second/20)
			}
		}
		most = max(most, len(trial.inFlight))
	}
	require.Positive(t, most)
	require.LessOrEqual(t, most, 2)
}

func TestPrimaryAttemptsAtTheCanaryAreNoShadowAttempts(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(120, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, ExposureCap: 1})
	for i := range list[:6] { // the earlier hosts leave before the release is told
		list[i].State = Draining
	}
	f.router.EndpointsChanged(f.now, list, true)
	f.votes = nil
	f.serve(60, f.payment, func(*Attempt) Outcome { return TimedOut })
	f.advance(Second)
	require.Positive(t, f.attemptsAtBuild(2))
	require.NotContains(t, f.votes, Rollback)
	copies := 0
	for _, attempt := range f.attempts {
		if attempt.IsShadow() {
			copies++
		}
	}
	require.Greater(t, f.attemptsAtBuild(2), copies)
	require.Len(t, f.router.analysis.window(2).samples, copies)
}

// A cold host on trial is due an earlier host's share: two warm ones once got the work of all the cold.
func TestCanaryHostsAreDueTheShareOfBaselineHosts(t *testing.T) {
	f, list := newGossipingFleet(t, func(p *Config) { p.Limits.AllowHedging = false })
	var young []EndpointUpdate
	for id := range uint32(3) {
		l := f.host(40+id, 2)
		l.StartedAt = f.now + 1
		young = append(young, l)
	}
	f.startCanary(2, 1)
	for i := range young {
		young[i].StartedAt = f.now
	}
	f.router.EndpointsChanged(f.now, young, true)
	at := len(f.attempts)
	f.serve(200, f.quote, succeeds)
	n := map[*Host]int{}
	for _, attempt := range f.attempts[at:] {
		n[attempt.Host]++
	}
	require.Less(t, n[list[6].Host], 60, "the warm one gets about what one of six earlier ones gets")
	for _, l := range young {
		require.Positive(t, n[l.Host])
	}
}
