package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestVote_PromotesGoodBuildAndRollsBackBadBuild(t *testing.T) {
	votesOn := func(fails func(*Attempt) bool) []VoteChoice {
		f, endpoints := newFakeFleet(t, nil)
		for id := range uint32(5) {
			endpoints = append(endpoints, f.host(10+id, 2))
		}
		f.router.EndpointsChanged(f.now, endpoints, true)
		f.startCanary(2, 1)
		for range 100 {
			for _, class := range []*Class{f.quote, f.order, f.payment} {
				f.serve(1, class, func(attempt *Attempt) Outcome {
					if attempt.build == 2 && fails(attempt) {
						return Failed
					}
					return Succeeded
				})
			}
		}
		return f.votes
	}
	require.Contains(t, votesOn(func(*Attempt) bool { return false }), Promote)
	require.NotContains(t, votesOn(func(*Attempt) bool { return false }), Rollback)
	n := 0
	require.Contains(t, votesOn(func(*Attempt) bool { n++; return n%3 == 0 }), Rollback)
	require.NotContains(t, votesOn(func(attempt *Attempt) bool { return attempt.Host.ID == 9 }), Rollback) // one failing host
	require.NotContains(t, votesOn(func(attempt *Attempt) bool { return attempt.Request.Class.Idempotency == NonIdempotent }), Promote)
}

func TestVote_NeverPromotesBuildWhileOneClassFails(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.router.EndpointsChanged(f.now, append(endpoints, f.host(10, 2), f.host(11, 2), f.host(12, 2)), true)
	f.startCanary(2, 1)
	for range 300 {
		f.serve(3, f.quote, succeeds)
		f.serve(1, f.order, func(attempt *Attempt) Outcome {
			if attempt.build == 2 {
				return Failed
			}
			return Succeeded
		})
	}
	require.NotContains(t, f.votes, Promote)
}

func TestVote_UsesStatsAndFewVotersInLargeFleet(t *testing.T) {
	votes := map[VoteChoice]int{}
	countVotes := func(rank, failures int, latency Time) {
		f, endpoints := newFakeFleet(t, func(config *Config) { config.Routers, config.Rank, config.Release.SampledShare = 40, rank, 0.2 })
		f.router.EndpointsChanged(f.now, append(endpoints, f.host(10, 2), f.host(11, 2), f.host(12, 2)), true)
		f.startCanary(2, 1)
		for range 4 { // four seconds; the router's first shadow attempts fail, and the reports have the parameters' failures and latency
			f.serve(20, f.quote, func(attempt *Attempt) Outcome {
				if attempt.build == 2 && len(attempt.Host.samples) < 3 {
					return Failed
				}
				return Succeeded
			})
			for _, class := range []*Class{f.quote, f.order, f.payment} {
				f.router.StatsReported(f.now, BuildStats{Build: 1, Class: class, Failures: 1, Samples: 60, MeanLatency: Second / 20})
				f.router.StatsReported(f.now, BuildStats{Build: 2, Class: class, Failures: failures, Samples: 60, MeanLatency: latency})
			}
		}
		for _, v := range f.votes {
			votes[v]++
		}
	}
	for rank := range 40 {
		countVotes(rank, 20, Second/20)
	}
	require.Positive(t, votes[Rollback])
	require.Less(t, votes[Rollback], 40)
	clear(votes)
	for rank := range 40 {
		countVotes(rank, 1, Second/20)
	}
	require.Zero(t, votes[Rollback])
}

func TestVote_DoesNotRollBackForOneFailingHostWithQuorum(t *testing.T) {
	f, endpoints := newFakeFleet(t, func(config *Config) {
		config.Routers, config.Release.Mode, config.Release.PromoteQuorum, config.Release.RollbackQuorum = 60, Quorum, 30, 15
		config.Limits.AllowHedging = false
	})
	f.router.EndpointsChanged(f.now, append(endpoints, f.host(10, 2), f.host(11, 2), f.host(12, 2), f.host(13, 2)), true)
	f.startCanary(2, 1)
	serve := func(fails func(*Attempt) bool) {
		f.serve(200, f.quote, func(attempt *Attempt) Outcome {
			if attempt.build == 2 && fails(attempt) {
				return Failed
			}
			return Succeeded
		})
	}
	serve(func(attempt *Attempt) bool { return attempt.Host.ID == 9 })
	require.NotContains(t, f.votes, Rollback)
	serve(func(*Attempt) bool { return true })
	require.Contains(t, f.votes, Rollback)
	f.attempts = nil
	serve(func(*Attempt) bool { return true })
	require.Positive(t, f.canaryAttempts()) // other routers may not agree, so shadow attempts continue
}

func TestVote_RepeatsUnansweredVoteAtLimitedRate(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.startCanary(0, 0.1)
	f.advance(20 * Second)
	require.Greater(t, len(f.votes), 5)
	require.Less(t, len(f.votes), 20)
	f.router.ReleaseChanged(f.now, ReleaseStatus{VoteResult: VoteAccepted, Build: 2, ExposureCap: 0.1})
	n := len(f.votes)
	f.advance(5 * Second)
	require.Len(t, f.votes, n)
	f.advance(5 * Second) // renewed before it expires
	require.Greater(t, len(f.votes), n)
}

func TestVote_NeitherReleasesNorOverloadsBuildWithFewKnownHosts(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil) // the known hosts are one of build 2 and six of build 1
	f.startCanary(2, 1)
	for range 60 {
		f.serve(1, f.quote, succeeds)
		f.serve(1, f.order, succeeds)
		f.serve(1, f.payment, succeeds)
	}
	require.NotContains(t, f.votes, Promote)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, Phase: Released, ExposureCap: 1})
	f.attempts = nil
	f.serve(100, f.quote, succeeds)
	require.Less(t, f.canaryAttempts(), 50)
	require.NotEmpty(t, endpoints[0].Host.attempts)
}
