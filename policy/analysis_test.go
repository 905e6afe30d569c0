package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAnalysis_ComparesLatencyWithEarlierReports(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.router.analysis.stats = []BuildStats{{Build: 1, Class: f.quote, Samples: 90, MeanLatency: 500, receivedAt: Second},
		{Build: 2, Class: f.quote, Samples: 90, MeanLatency: 1000, receivedAt: 9 * Second}}
	gap, _ := f.router.analysis.logLatencyGapToPast(nil, 1, 2, 2*Second, 8*Second)
	require.InDelta(t, 0.69, gap, 0.01)
}

func TestAnalysis_AppliesShadowTimeoutToPrimaryAttempts(t *testing.T) {
	f, endpoints := newFakeFleet(t, func(config *Config) { config.Limits.AllowHedging = false })
	f.router.EndpointsChanged(f.now, append(endpoints, f.host(10, 2), f.host(11, 2), f.host(12, 2)), true)
	f.quote.LatencyObjective = Second / 7 // too short for an attempt to time out early and be retried in time
	f.serve(120, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 1, ExposureCap: 1})
	f.votes = nil
	n := map[int]int{}
	for range 800 { // one attempt in 22 takes long at both builds
		request := f.arrive(f.quote)
		f.advance(Second / 20)
		for i := 0; i < len(request.Attempts); i++ {
			attempt := request.Attempts[i]
			latency := Second / 20
			if n[attempt.build]++; n[attempt.build]%22 == 0 {
				latency = Second * 8 / 10
			}
			if latency > f.timeouts[attempt] {
				f.end(attempt, TimedOut, f.timeouts[attempt])
			} else {
				f.end(attempt, Succeeded, latency)
			}
		}
	}
	require.Greater(t, f.canaryAttempts(), 10)
	require.NotContains(t, f.votes, Rollback)
}

func TestAnalysis_IgnoresFaultThatBeginsDuringCanary(t *testing.T) {
	var canary, baseline []attemptSample
	for i := range Time(200) { // attempts fail in the last two of ten seconds, when there are many shadow attempts
		late, at := i >= 160, i*Second/20
		x := attemptSample{at: at, host: &Host{}, outcome: Succeeded}
		if baseline = append(baseline, x); late && i%2 == 0 {
			baseline[i].outcome = Failed
		}
		if late {
			canary = append(canary, baseline[i])
		}
	}
	all := func(attemptSample) bool { return true }
	strata, _ := strataByTime(canary, baseline, all, 0)
	require.Less(t, failureEvidence(withRateFloor(strata, 0.01), 0.06, 0.15, 0.6), 3.0)
}

func TestAnalysis_IgnoresChangedMixOfClasses(t *testing.T) {
	require.Less(t, failureEvidence([]stratum{{90, 100, 0.9}, {1, 900, 0.01}}, 0.1, 0.3), 1.0)
}

func TestAnalysis_CountsComplaintsAgainstBuild(t *testing.T) {
	f, _ := newFakeFleet(t, func(config *Config) { config.Release.ComplaintShare = 0.3 })
	f.startCanary(2, 1)
	f.serve(40, f.quote, succeeds)
	before, _ := f.router.evidence()
	for range 3 {
		f.router.ComplaintReceived(f.now, f.attempts[len(f.attempts)-1].Host, f.quote, Second/2)
		for _, host := range f.router.hosts {
			if host.Build == 2 {
				f.router.ComplaintReceived(f.now, host, f.quote, Second/2)
			}
		}
	}
	after, _ := f.router.evidence()
	require.Greater(t, after, 7*before)
}

func TestAnalysis_IgnoresTimeoutsOfColdHosts(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.startCanary(1, 0.5)
	endpoints[6].StartedAt = f.now
	f.router.EndpointsChanged(f.now, endpoints, true)
	f.serve(60, f.quote, func(attempt *Attempt) Outcome {
		if attempt.build == 2 {
			return TimedOut
		}
		return Succeeded
	})
	odds, _ := f.router.evidence()
	require.LessOrEqual(t, odds, 1.0)
}

func TestAnalysis_IgnoresTimeoutsShorterThanLatencyObjective(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.router.EndpointsChanged(f.now, append(endpoints, f.host(10, 2), f.host(11, 2), f.host(12, 2)), true)
	f.startCanary(2, 1)
	for range 60 {
		request := &Request{Class: f.quote, Timeout: Second / 4}
		f.router.RequestArrived(f.now, request)
		f.advance(Second / 20)
		for _, attempt := range request.Attempts {
			outcome := Succeeded
			if attempt.build == 2 {
				outcome = TimedOut
			}
			f.end(attempt, outcome, Second/4)
		}
	}
	require.NotContains(t, f.votes, Rollback)
}

func TestAnalysis_RollsBackReleasedBuildThatSlowsEveryHost(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.startCanary(2, 1)
	f.serve(60, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, Phase: Released, ExposureCap: 1})
	for i := range endpoints[:6] {
		endpoints[i].Build = 2
	}
	f.router.EndpointsChanged(f.now, endpoints, true)
	for range 250 {
		request := f.arrive(f.quote)
		f.advance(Second / 10)
		for _, attempt := range request.Attempts {
			f.end(attempt, Succeeded, Second/8) // more than twice as long as before the canary
		}
	}
	require.Contains(t, f.votes, Rollback)
}

// Each of hundreds of routers receives few complaints. Only the complaints of all routers, compared with the release
// controller's statistics, show that a build's responses are wrong.
func TestAnalysis_ComparesComplaintsOfAllRoutersWithStats(t *testing.T) {
	votesAfter := func(complaints int) []VoteChoice {
		f, _ := newGossipingFleet(t, func(config *Config) { config.Routers, config.Rank, config.Release.Mode = 300, 0, Quorum })
		count := func(build, n int) {
			for _, class := range []*Class{f.quote, f.order, f.payment} {
				f.router.StatsReported(f.now, BuildStats{Build: build, Class: class, Samples: n, MeanLatency: Second / 20, Window: 2 * Second})
			}
		}
		count(1, 400)
		f.startCanary(2, 1)
		for range 10 {
			f.serve(10, f.quote, succeeds)
			count(1, 200)
			count(2, 200)
		}
		for range complaints {
			f.router.GossipReceived(f.now, 9, encodeComplaints(2, 4))
		}
		f.votes = nil
		f.advance(2 * Second)
		return f.votes
	}
	require.NotContains(t, votesAfter(1), Rollback)
	require.Contains(t, votesAfter(120), Rollback)
}
