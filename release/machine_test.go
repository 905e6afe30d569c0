package release_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
	"dapplefront/release"
)

var rules = release.Rules{Mode: policy.Quorum, MinStageTime: policy.Second, VoteTTL: 5 * policy.Second,
	PromoteQuorum: 2, RollbackQuorum: 1, Stages: []release.Stage{{HostShare: 0.1, ExposureCap: 0.1}, {HostShare: 1, ExposureCap: 1}}}

// inFirstStage is a machine whose canary, build 2, has all hosts of its first stage since time 0.
func inFirstStage() *release.Machine {
	m := release.New(rules, 1)
	m.Handle(0, release.Offer{Build: 2})
	m.Handle(0, release.HostsReady{Build: 2})
	return m
}

func promoteVote(router string, stage int) release.Vote {
	return release.Vote{Router: router, Build: 2, Stage: stage, Choice: policy.Promote}
}

func TestMachine_PromotesAStageAfterItsHostsItsLeastTimeAndItsQuorum(t *testing.T) {
	m := release.New(rules, 1)
	require.Contains(t, m.Handle(0, release.Offer{Build: 2}), release.Deploy{Build: 2, Share: 0.1})
	m.Handle(0, promoteVote("a", 0))
	m.Handle(0, promoteVote("b", 0))
	m.Handle(3*policy.Second, release.Tick{})
	require.Equal(t, 0, m.Status().Stage, "its hosts don't run yet")
	m.Handle(4*policy.Second, release.HostsReady{Build: 2})
	m.Handle(4*policy.Second+1, release.Tick{})
	require.Equal(t, 0, m.Status().Stage, "MinStageTime has not passed")
	m.Handle(5*policy.Second, release.Tick{})
	require.Equal(t, 1, m.Status().Stage)
	require.Equal(t, 0, m.Votes(policy.Promote), "votes for a stage that has passed don't count for the next")
}

func TestMachine_ReleasesFromTheLastStageAndCanStillRollBack(t *testing.T) {
	m := inFirstStage()
	m.Handle(policy.Second, promoteVote("a", 0))
	m.Handle(policy.Second, promoteVote("b", 0))
	m.Handle(policy.Second, release.HostsReady{Build: 2})
	m.Handle(3*policy.Second, promoteVote("a", 1))
	require.Contains(t, m.Handle(3*policy.Second, promoteVote("b", 1)), release.Retire{Build: 1})
	require.Equal(t, policy.Released, m.Status().Phase)
	effects := m.Handle(4*policy.Second, release.Vote{Router: "a", Build: 2, Stage: 1, Choice: policy.Rollback})
	require.Contains(t, effects, release.Deploy{Build: 1, Share: 1}, "a released build can be rolled back until the next is offered")
	require.Contains(t, effects, release.Retire{Build: 2})
}

func TestMachine_ExpiresVotesAndRejectsThoseForAPastStage(t *testing.T) {
	m := inFirstStage()
	m.Handle(0, promoteVote("a", 0))
	m.Handle(6*policy.Second, promoteVote("b", 0))
	require.Equal(t, 0, m.Status().Stage, "the first vote has expired")
	m.Handle(6*policy.Second, promoteVote("a", 0))
	require.Equal(t, 1, m.Status().Stage)
	require.Contains(t, m.Handle(6*policy.Second, promoteVote("a", 0)), release.VoteAnswer{Reason: "it is not the present build or stage"})
}

func TestMachine_SupersedesACanaryByANewerOffer(t *testing.T) {
	m := inFirstStage()
	effects := m.Handle(policy.Second, release.Offer{Build: 3})
	require.Contains(t, effects, release.Retire{Build: 2})
	require.Contains(t, effects, release.Deploy{Build: 3, Share: 0.1})
	require.Equal(t, 1, m.PreviousBuild())
	require.IsType(t, release.Reject{}, m.Handle(policy.Second, release.Offer{Build: 3})[0])
}

func TestMachine_RollsBackOnceOnly(t *testing.T) {
	m := inFirstStage()
	require.Contains(t, m.Handle(1, release.RollBack{Build: 2}), release.Retire{Build: 2})
	require.IsType(t, release.Reject{}, m.Handle(2, release.RollBack{Build: 2})[0])
	m.Handle(3, release.HostsRemoved{Build: 2})
	require.Equal(t, policy.RolledBack, m.Status().Phase)
	require.Zero(t, m.Status().ExposureCap)
}

func TestMachine_TimedModeIsHeldByVotes(t *testing.T) {
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
	require.Equal(t, 1, m.Status().Stage, "the vote expired after 6 s")
}
