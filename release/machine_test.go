package release_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
	"dapplefront/release"
)

var rules = release.Rules{Mode: policy.Quorum, MinStageTime: policy.Second, VoteTTL: 5 * policy.Second,
	PromoteQuorum: 2, RollbackQuorum: 1, Stages: []release.Stage{{HostShare: 0.1, ExposureCap: 0.1}, {HostShare: 1, ExposureCap: 1}}}

// inFirstStage returns a machine with build 2 as the canary in its first stage. All hosts of the stage are ready at time 0.
func inFirstStage() *release.Machine {
	m := release.New(rules, 1)
	m.Handle(0, release.Offer{Build: 2})
	m.Handle(0, release.HostsReady{Build: 2})
	return m
}

func promoteVote(router string, stage int) release.Vote {
	return release.Vote{Router: router, Build: 2, Stage: stage, Choice: policy.Promote}
}

func TestMachine_PromotesStageAfterHostsReadyMinStageTimeAndQuorum(t *testing.T) {
	m := release.New(rules, 1)
	require.Contains(t, m.Handle(0, release.Offer{Build: 2}), release.Deploy{Build: 2, Share: 0.1})
	m.Handle(0, promoteVote("a", 0))
	m.Handle(0, promoteVote("b", 0))
	m.Handle(3*policy.Second, release.Tick{})
	require.Equal(t, 0, m.Status().Stage, "the hosts of the stage are not ready yet")
	m.Handle(4*policy.Second, release.HostsReady{Build: 2})
	m.Handle(4*policy.Second+1, release.Tick{})
	require.Equal(t, 0, m.Status().Stage, "MinStageTime has not passed")
	m.Handle(5*policy.Second, release.Tick{})
	require.Equal(t, 1, m.Status().Stage)
	require.Equal(t, 0, m.Votes(policy.Promote), "votes for an earlier stage must not count for the next one")
}

func TestMachine_ReleasesAfterLastStageAndCanStillRollBack(t *testing.T) {
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

func TestMachine_ExpiresVotesAndRejectsVotesForPastStage(t *testing.T) {
	m := inFirstStage()
	m.Handle(0, promoteVote("a", 0))
	m.Handle(6*policy.Second, promoteVote("b", 0))
	require.Equal(t, 0, m.Status().Stage, "the first vote has expired")
	m.Handle(6*policy.Second, promoteVote("a", 0))
	require.Equal(t, 1, m.Status().Stage)
	require.Contains(t, m.Handle(6*policy.Second, promoteVote("a", 0)), release.VoteResponse{Reason: "it is not the present build or stage"})
}

func TestMachine_SupersedesCanaryOnNewerOffer(t *testing.T) {
	m := inFirstStage()
	effects := m.Handle(policy.Second, release.Offer{Build: 3})
	require.Contains(t, effects, release.Retire{Build: 2})
	require.Contains(t, effects, release.Deploy{Build: 3, Share: 0.1})
	require.Equal(t, 1, m.PreviousBuild())
	require.IsType(t, release.Reject{}, m.Handle(policy.Second, release.Offer{Build: 3})[0])
}

func TestMachine_RejectsSecondRollBack(t *testing.T) {
	m := inFirstStage()
	require.Contains(t, m.Handle(1, release.RollBack{Build: 2}), release.Retire{Build: 2})
	require.IsType(t, release.Reject{}, m.Handle(2, release.RollBack{Build: 2})[0])
	m.Handle(3, release.HostsRemoved{Build: 2})
	require.Equal(t, policy.RolledBack, m.Status().Phase)
	require.Zero(t, m.Status().ExposureCap)
}

func TestMachine_PausesTimedStageOnHoldVotes(t *testing.T) {
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
	require.Equal(t, 1, m.Status().Stage, "the hold vote expired at 6 s")
}

// state returns a machine whose newest release, build 2, is in the named state of the table in the package documentation.
func state(t *testing.T, name string) *release.Machine {
	t.Helper()
	m := release.New(rules, 1)
	m.Handle(0, release.Offer{Build: 2})
	switch name {
	case "deploying":
	case "analyzing":
		m.Handle(0, release.HostsReady{Build: 2})
	case "analyzing last", "released":
		m.Handle(0, release.HostsReady{Build: 2})
		m.Handle(policy.Second, promoteVote("a", 0))
		m.Handle(policy.Second, promoteVote("b", 0))
		m.Handle(policy.Second, release.HostsReady{Build: 2})
		m.Handle(policy.Second, promoteVote("a", 1))
		if name == "released" {
			m.Handle(2*policy.Second, promoteVote("b", 1))
		}
	case "rolling back":
		m.Handle(0, release.RollBack{Build: 2})
	case "rolled back":
		m.Handle(0, release.RollBack{Build: 2})
		m.Handle(0, release.HostsRemoved{Build: 2})
	default:
		require.Fail(t, "unknown state", name)
	}
	return m
}

func TestMachine_FollowsTransitionTable(t *testing.T) {
	const now = 2 * policy.Second
	canary := func(build, stage int) release.Effect {
		return release.Notify{Status: release.Status{Build: build, Stage: stage, Phase: policy.Canary, ExposureCap: rules.Stages[stage].ExposureCap, Since: now}}
	}
	status := func(stage int, phase policy.Phase, exposureCap float64) release.Effect {
		return release.Notify{Status: release.Status{Build: 2, Stage: stage, Phase: phase, ExposureCap: exposureCap, Since: now}}
	}
	deployNewer := []release.Effect{release.Deploy{Build: 3, Share: 0.1}, canary(3, 0)}
	retire := release.Retire{Build: 2}
	voteAccepted := release.VoteResponse{Accepted: true}
	rejectRollBack := release.Reject{Reason: "it is not the newest release, or it is going back already"}
	for _, c := range []struct {
		state   string
		input   release.Input
		effects []release.Effect
	}{
		{"deploying", release.HostsReady{Build: 2}, nil},
		{"deploying", release.HostsRemoved{Build: 2}, nil},
		{"deploying", release.RollBack{Build: 2}, []release.Effect{status(0, policy.RollingBack, 0), retire}},
		{"deploying", release.Offer{Build: 3}, append([]release.Effect{status(0, policy.RolledBack, 0), retire}, deployNewer...)},
		{"analyzing", release.HostsReady{Build: 2}, nil},
		{"analyzing", release.HostsRemoved{Build: 2}, nil},
		{"analyzing", promoteVote("a", 0), []release.Effect{voteAccepted}},
		{"analyzing", release.RollBack{Build: 2}, []release.Effect{status(0, policy.RollingBack, 0), retire}},
		{"analyzing", release.Offer{Build: 3}, append([]release.Effect{status(0, policy.RolledBack, 0), retire}, deployNewer...)},
		{"analyzing last", promoteVote("b", 1), []release.Effect{voteAccepted, status(1, policy.Released, 1), release.Retire{Build: 1}}},
		{"released", release.HostsReady{Build: 2}, nil},
		{"released", release.HostsRemoved{Build: 2}, nil},
		{"released", release.RollBack{Build: 2}, []release.Effect{release.Deploy{Build: 1, Share: 1}, status(1, policy.RollingBack, 0), retire}},
		{"released", release.Offer{Build: 3}, deployNewer},
		{"rolling back", release.HostsReady{Build: 2}, nil},
		{"rolling back", release.HostsRemoved{Build: 2}, []release.Effect{status(0, policy.RolledBack, 0)}},
		{"rolling back", release.RollBack{Build: 2}, []release.Effect{rejectRollBack}},
		{"rolling back", release.Offer{Build: 3}, append([]release.Effect{status(0, policy.RolledBack, 0)}, deployNewer...)},
		{"rolled back", release.HostsReady{Build: 2}, nil},
		{"rolled back", release.HostsRemoved{Build: 2}, nil},
		{"rolled back", release.RollBack{Build: 2}, []release.Effect{rejectRollBack}},
		{"rolled back", release.Offer{Build: 3}, deployNewer},
	} {
		t.Run(fmt.Sprintf("%s %T", c.state, c.input), func(t *testing.T) {
			require.Equal(t, c.effects, state(t, c.state).Handle(now, c.input))
		})
	}
}
