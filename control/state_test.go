package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dapplefront/policy"
	"dapplefront/release"
)

var config = Config{
	Rules: release.Rules{Mode: policy.Quorum, Stages: []release.Stage{{HostShare: .1, ExposureCap: .05}, {HostShare: 1, ExposureCap: 1}},
		MinStageTime: policy.Second, VoteTTL: 10 * policy.Second, PromoteQuorum: 1, RollbackQuorum: 1},
	PromoteShare: .5, RollbackShare: .1, RouterTimeout: 30 * policy.Second, MaxEvents: 50, MaxCreationKeys: 5,
}

// apply applies a command and requires that it is accepted.
func apply(t *testing.T, s *State, index uint64, c Command) {
	t.Helper()
	_, err := s.Apply(index, c)
	require.NoError(t, err)
}

func TestState_ClockNeverDecreases(t *testing.T) {
	s := New(config, 1)
	apply(t, s, 1, Command{Kind: CreateRelease, Build: 2, At: 100 * policy.Second})
	apply(t, s, 2, Command{Kind: HostsReady, Build: 2, At: 50 * policy.Second}) // a new leader's clock that is far behind
	require.Equal(t, 100*policy.Second, s.Clock())
	apply(t, s, 3, Command{Kind: CastVote, Build: 2, Router: "r", Choice: policy.Promote, At: 60 * policy.Second})
	require.Zero(t, s.Status().Stage)
	require.True(t, s.Due(101*policy.Second))
	apply(t, s, 4, Command{Kind: Tick, At: 101 * policy.Second})
	require.Equal(t, 1, s.Status().Stage)
}

// drawCommand draws a valid or invalid command.
func drawCommand(t *rapid.T, at policy.Time) Command {
	note := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "note")
	c := Command{At: at, Kind: rapid.SampledFrom([]CommandKind{CreateRelease, PatchRelease, RollBackRelease, DeleteRelease, CastVote, HostsReady, HostsRemoved, CompleteStep, ReportCounts, Tick, JoinRouter, LeaveRouter, EmitEvent, "none"}).Draw(t, "do"),
		Build: rapid.IntRange(0, 6).Draw(t, "build"), Stage: rapid.IntRange(-1, 3).Draw(t, "stage"), Choice: policy.VoteChoice(rapid.IntRange(-1, 4).Draw(t, "voice")),
		Router: rapid.SampledFrom([]string{"", "r1", "r2", "r3"}).Draw(t, "router"), Name: rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "name"),
		Key: rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key"), Hash: note, Note: &note, IfVersion: uint64(rapid.IntRange(0, 3).Draw(t, "version"))}
	if rapid.Bool().Draw(t, "steps") {
		c.Steps = []Step{{Name: "s1", Stage: 0, ExpectedTime: policy.Second}, {Name: "s2", Stage: 1, Irreversible: rapid.Bool().Draw(t, "final")}}
	}
	return c
}

func TestState_IsSoundAndTheSameOnEveryInstanceAfterAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(config, 1), New(config, 1)
		var now policy.Time
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			now += policy.Time(rapid.IntRange(0, 20_000).Draw(t, "passes"))
			c := drawCommand(t, now)
			before := a.LastEvent()
			reply, err := a.Apply(uint64(i+1), c)
			replyB, errB := b.Apply(uint64(i+1), c)
			require.Equal(t, string(encode(reply)), string(encode(replyB)))
			require.Equal(t, err, errB)
			if err != nil {
				var rejected *Error
				require.ErrorAs(t, err, &rejected)
				require.Equal(t, c.Kind, rejected.Op)
			}
			if err != nil && c.Kind != CastVote { // a rejected command applies only changes that are due with time
				for _, e := range eventsOrNil(a.EventsSince(before, "r1", 100)) {
					require.NotEqual(t, "deleted", e.Kind)
				}
			}
			if i%7 == 3 { // restart instance b from its snapshot
				text, err := b.Save()
				require.NoError(t, err)
				b, err = Load(config, text)
				require.NoError(t, err)
			}
			last := 0
			for _, r := range a.List(nil, nil, 0, 1000) {
				require.Greater(t, r.Build, last)
				last = r.Build
				for k, d := range r.StepStatuses {
					if d.DoneAt == 0 && r.Phase == policy.Released {
						require.Greater(t, r.Steps[k].Stage, 1, "released before the step was done")
					}
					if k > 0 && d.DoneAt != 0 {
						require.NotZero(t, r.StepStatuses[k-1].DoneAt, "the step was done before its predecessor")
					}
					if d.DoneAt != 0 && r.Steps[k].Irreversible {
						require.NotEqual(t, policy.RolledBack, r.Phase, "rolled back after an irreversible step")
						require.NotEqual(t, policy.RollingBack, r.Phase)
					}
				}
			}
		}
		x, err := a.Save()
		require.NoError(t, err)
		y, err := b.Save()
		require.NoError(t, err)
		require.JSONEq(t, string(x), string(y))
	})
}

// eventsOrNil returns the events, or nil if some have been dropped.
func eventsOrNil(e []Event, ok bool) []Event {
	if !ok {
		return nil
	}
	return e
}

func TestState_QuorumsFollowNumberOfMemberRouters(t *testing.T) {
	s := New(config, 1)
	for i := range 10 {
		apply(t, s, uint64(i), Command{Kind: JoinRouter, Router: fmt.Sprint("r", i), At: policy.Second})
	}
	_, promote, rollback := s.Votes(policy.Promote)
	require.Equal(t, []int{5, 1}, []int{promote, rollback})
	apply(t, s, 11, Command{Kind: JoinRouter, Router: "r0", At: 20 * policy.Second})
	apply(t, s, 12, Command{Kind: LeaveRouter, Router: "r9", At: 21 * policy.Second})
	_, promote, _ = s.Votes(policy.Promote)
	require.Equal(t, 5, promote)
	require.True(t, s.Due(32*policy.Second), "eight routers have had no contact for longer than RouterTimeout")
	apply(t, s, 13, Command{Kind: Tick, At: 32 * policy.Second})
	_, promote, _ = s.Votes(policy.Promote)
	require.Equal(t, 1, promote)
}

func FuzzLoad(f *testing.F) {
	s := New(config, 1)
	_, err := s.Apply(1, Command{Kind: CreateRelease, Build: 2, Steps: []Step{{Name: "a"}}})
	require.NoError(f, err)
	text, err := s.Save()
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Load(config, text)
		if err != nil {
			return
		}
		// Neither command may panic in any loaded state; rejections are fine.
		_, _ = s.Apply(5, Command{Kind: CastVote, Build: 2, Router: "r", Choice: policy.Rollback, At: 5})
		_, _ = s.Apply(6, Command{Kind: Tick, At: 50 * policy.Second})
	})
}
