package release_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
	"dapplefront/release"
)

var rules = release.Rules{Mode: policy.Quorum, MinStageTime: policy.Second, VoteTTL: 5 * policy.Second,
	PromoteQuorum: 2, RollbackQuorum: 1, Stages: []release.Stage{{HostShare: 0.1, ExposureCap: 0.1}, {HostShare: 1, ExposureCap: 1}}}

// offered is a machine whose build 2 runs in its first stage since time 0.
func offered() *release.Machine {
	m := release.New(rules, 1)
	m.Handle(0, release.Offer{Build: 2})
	m.Handle(0, release.HostsReady{Build: 2})
	return m
}

func on(router string, stage int) release.Vote {
	return release.Vote{Router: router, Build: 2, Stage: stage, Choice: policy.Promote}
}

func TestAStageNeedsItsHostsItsTimeAndItsVotes(t *testing.T) {
	m := release.New(rules, 1)
	require.Contains(t, m.Handle(0, release.Offer{Build: 2}), release.Deploy{Build: 2, Share: 0.1})
	m.Handle(0, on("a", 0))
	m.Handle(0, on("b", 0))
	m.Handle(3*policy.Second, release.Tick{})
	require.Equal(t, 0, m.Status().Stage, "its hosts don't run yet")
	m.Handle(4*policy.Second, release.HostsReady{Build: 2})
	m.Handle(4*policy.Second+1, release.Tick{})
	require.Equal(t, 0, m.Status().Stage, "its least time has not passed")
	m.Handle(5*policy.Second, release.Tick{})
	require.Equal(t, 1, m.Status().Stage)
	require.Equal(t, 0, m.Votes(policy.Promote), "votes for a stage that has passed don't count for the next")
}

func TestTheLastStageReleasesAndRetiresTheEarlierBuild(t *testing.T) {
	m := offered()
	m.Handle(policy.Second, on("a", 0))
	m.Handle(policy.Second, on("b", 0))
	m.Handle(policy.Second, release.HostsReady{Build: 2})
	m.Handle(3*policy.Second, on("a", 1))
	require.Contains(t, m.Handle(3*policy.Second, on("b", 1)), release.Retire{Build: 1})
	require.Equal(t, policy.Released, m.Status().Phase)
	back := m.Handle(4*policy.Second, release.Vote{Router: "a", Build: 2, Stage: 1, Choice: policy.Rollback})
	require.Contains(t, back, release.Deploy{Build: 1, Share: 1}, "a release can be sent back until the next is offered")
	require.Contains(t, back, release.Retire{Build: 2})
}

func TestVotesRunOutAndThoseOfThePastAreMoot(t *testing.T) {
	m := offered()
	m.Handle(0, on("a", 0))
	m.Handle(6*policy.Second, on("b", 0))
	require.Equal(t, 0, m.Status().Stage, "the first vote no longer stands")
	m.Handle(6*policy.Second, on("a", 0))
	require.Equal(t, 1, m.Status().Stage)
	require.Contains(t, m.Handle(6*policy.Second, on("a", 0)), release.VoteAnswer{Reason: "it is not the present build or stage"})
}

func TestANewerOfferTakesATrialOff(t *testing.T) {
	m := offered()
	effects := m.Handle(policy.Second, release.Offer{Build: 3})
	require.Contains(t, effects, release.Retire{Build: 2})
	require.Contains(t, effects, release.Deploy{Build: 3, Share: 0.1})
	require.Equal(t, 1, m.PreviousBuild())
	require.IsType(t, release.Reject{}, m.Handle(policy.Second, release.Offer{Build: 3})[0])
}

func TestAWithdrawalComesOnce(t *testing.T) {
	m := offered()
	require.Contains(t, m.Handle(1, release.RollBack{Build: 2}), release.Retire{Build: 2})
	require.IsType(t, release.Reject{}, m.Handle(2, release.RollBack{Build: 2})[0])
	m.Handle(3, release.HostsRemoved{Build: 2})
	require.Equal(t, policy.RolledBack, m.Status().Phase)
	require.Equal(t, 0.0, m.Status().ExposureCap)
}

func TestUnderAClockVotesOnlyHold(t *testing.T) {
	r := rules
	r.Mode, r.StageTime, r.HoldQuorum = policy.Timed, 2*policy.Second, 1
	m := release.New(r, 1)
	m.Handle(0, release.Offer{Build: 2})
	m.Handle(0, release.HostsReady{Build: 2})
	m.Handle(policy.Second, release.Vote{Router: "a", Build: 2, Choice: policy.Hold})
	for at := policy.Second; at < 5*policy.Second; at += policy.Second / 10 {
		m.Handle(at, release.Tick{})
	}
	require.Equal(t, 0, m.Status().Stage)
	for at := 5 * policy.Second; at < 8*policy.Second; at += policy.Second / 10 {
		m.Handle(at, release.Tick{})
	}
	require.Equal(t, 1, m.Status().Stage, "the vote ran out after 6 s")
}
