package release_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
	"dapplefront/release"
)

var rules = release.Rules{Control: policy.Quorum, LeastTime: policy.Second, VoteLife: 5 * policy.Second,
	ToMoveOn: 2, ToAbort: 1, Stages: []release.Stage{{Share: 0.1, Cap: 0.1}, {Share: 1, Cap: 1}}}

// offered is a machine whose build 2 runs in its first stage since time 0.
func offered() *release.Machine {
	m := release.New(rules, 1)
	m.Handle(0, release.Offer{Build: 2})
	m.Handle(0, release.Ready{Build: 2})
	return m
}

func on(router string, stage int) release.Vote {
	return release.Vote{Router: router, Build: 2, Stage: stage, Voice: policy.Promote}
}

func TestAStageNeedsItsHostsItsTimeAndItsVotes(t *testing.T) {
	m := release.New(rules, 1)
	require.Contains(t, m.Handle(0, release.Offer{Build: 2}), release.Deploy{Build: 2, Share: 0.1})
	m.Handle(0, on("a", 0))
	m.Handle(0, on("b", 0))
	m.Handle(3*policy.Second, release.Tick{})
	require.Equal(t, 0, m.News().Stage, "its hosts don't run yet")
	m.Handle(4*policy.Second, release.Ready{Build: 2})
	m.Handle(4*policy.Second+1, release.Tick{})
	require.Equal(t, 0, m.News().Stage, "its least time has not passed")
	m.Handle(5*policy.Second, release.Tick{})
	require.Equal(t, 1, m.News().Stage)
	require.Equal(t, 0, m.Votes(policy.Promote), "votes for a stage that has passed don't count for the next")
}

func TestTheLastStageReleasesAndRetiresTheEarlierBuild(t *testing.T) {
	m := offered()
	m.Handle(policy.Second, on("a", 0))
	m.Handle(policy.Second, on("b", 0))
	m.Handle(policy.Second, release.Ready{Build: 2})
	m.Handle(3*policy.Second, on("a", 1))
	require.Contains(t, m.Handle(3*policy.Second, on("b", 1)), release.Retire{Build: 1})
	require.Equal(t, policy.Released, m.News().Phase)
	back := m.Handle(4*policy.Second, release.Vote{Router: "a", Build: 2, Stage: 1, Voice: policy.Rollback})
	require.Contains(t, back, release.Deploy{Build: 1, Share: 1}, "a release can be sent back until the next is offered")
	require.Contains(t, back, release.Retire{Build: 2})
}

func TestVotesRunOutAndThoseOfThePastAreMoot(t *testing.T) {
	m := offered()
	m.Handle(0, on("a", 0))
	m.Handle(6*policy.Second, on("b", 0))
	require.Equal(t, 0, m.News().Stage, "the first vote no longer stands")
	m.Handle(6*policy.Second, on("a", 0))
	require.Equal(t, 1, m.News().Stage)
	require.Contains(t, m.Handle(6*policy.Second, on("a", 0)), release.Answer{Why: "it is not the present build or stage"})
}

func TestANewerOfferTakesATrialOff(t *testing.T) {
	m := offered()
	effects := m.Handle(policy.Second, release.Offer{Build: 3})
	require.Contains(t, effects, release.Retire{Build: 2})
	require.Contains(t, effects, release.Deploy{Build: 3, Share: 0.1})
	require.Equal(t, 1, m.Earlier())
	require.IsType(t, release.Refuse{}, m.Handle(policy.Second, release.Offer{Build: 3})[0])
}

func TestAWithdrawalComesOnce(t *testing.T) {
	m := offered()
	require.Contains(t, m.Handle(1, release.Withdraw{Build: 2}), release.Retire{Build: 2})
	require.IsType(t, release.Refuse{}, m.Handle(2, release.Withdraw{Build: 2})[0])
	m.Handle(3, release.Gone{Build: 2})
	require.Equal(t, policy.RolledBack, m.News().Phase)
	require.Equal(t, 0.0, m.News().Cap)
}

func TestUnderAClockVotesOnlyHold(t *testing.T) {
	r := rules
	r.Control, r.ClockTime, r.ToHold = policy.Timed, 2*policy.Second, 1
	m := release.New(r, 1)
	m.Handle(0, release.Offer{Build: 2})
	m.Handle(0, release.Ready{Build: 2})
	m.Handle(policy.Second, release.Vote{Router: "a", Build: 2, Voice: policy.Hold})
	for at := policy.Second; at < 5*policy.Second; at += policy.Second / 10 {
		m.Handle(at, release.Tick{})
	}
	require.Equal(t, 0, m.News().Stage)
	for at := 5 * policy.Second; at < 8*policy.Second; at += policy.Second / 10 {
		m.Handle(at, release.Tick{})
	}
	require.Equal(t, 1, m.News().Stage, "the vote ran out after 6 s")
}
