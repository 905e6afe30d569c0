package agent

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	limits    = Limits{MaxCrashes: 3, CrashBackoff: 100 * time.Millisecond, MaxCrashBackoff: time.Second, CrashResetAfter: 10 * time.Second}
	startTime = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

// newServingMachine returns a machine whose stable build "one" is in the Serving phase.
func newServingMachine(t *testing.T) *Machine {
	t.Helper()
	m := New(limits)
	m.Handle(startTime, Order{Number: 1, Digest: "one", Build: 1, Goal: GoalRelease})
	for _, in := range []Input{Fetched{"one"}, Verified{"one"}, Started{"one", Process{Pid: 1}}, Ready{"one"}, WarmedUp{"one"}} {
		m.Handle(startTime, in)
	}
	require.Equal(t, Serving, m.State.Stable.Phase)
	return m
}

// reportedPhases returns the target phases of all reported transitions.
func reportedPhases(effects []Effect) (out []Phase) {
	for _, e := range effects {
		if r, ok := e.(ReportTransition); ok {
			out = append(out, r.To)
		}
	}
	return out
}

// handleAll passes inputs to a machine and returns all effects.
func handleAll(m *Machine, inputs ...Input) (all []Effect) {
	for _, in := range inputs {
		all = append(all, m.Handle(startTime, in)...)
	}
	return all
}

func TestMachine_ReplacesStableBuildOnlyAfterCandidateIsReleased(t *testing.T) {
	m := newServingMachine(t)
	all := handleAll(m, Order{Number: 2, Digest: "two", Build: 2, Goal: GoalStage}, Fetched{"two"}, Verified{"two"})
	require.Equal(t, []Phase{Fetching, Verifying, Staged}, reportedPhases(all))
	require.NotContains(t, all, Start{"two"}, "a staged build is not started before an order sets the goal serve")
	all = handleAll(m, Order{Number: 3, Digest: "two", Build: 2, Goal: GoalServe}, Started{"two", Process{Pid: 2}}, Ready{"two"}, WarmedUp{"two"})
	require.Contains(t, all, Start{"two"})
	require.Contains(t, all, PublishEndpoint{"two", EndpointServing})
	require.NotContains(t, all, PublishEndpoint{"one", EndpointDraining}, "the stable build stays until the candidate is released")
	all = handleAll(m, Order{Number: 4, Digest: "two", Build: 2, Goal: GoalRelease})
	require.Contains(t, all, PublishEndpoint{"one", EndpointDraining})
	all = handleAll(m, Drained{"one"}, Exited{"one", "as told"})
	require.Contains(t, all, Stop{"one"})
	require.Contains(t, all, PublishEndpoint{"one", EndpointRemoved})
	require.Contains(t, all, CollectGarbage{})
	require.Equal(t, "two", m.State.Stable.Digest)
	require.Len(t, m.State.Instances(), 1)
}

func TestMachine_RollsBackCandidateInAnyPhase(t *testing.T) {
	rollback := Order{Number: 9, Digest: "two", Build: 2, Goal: GoalRollback}
	steps := []Input{Order{Number: 2, Digest: "two", Build: 2, Goal: GoalServe}, Fetched{"two"}, Verified{"two"},
		Started{"two", Process{Pid: 2}}, Ready{"two"}, WarmedUp{"two"}}
	for n := 1; n <= len(steps); n++ {
		m := newServingMachine(t)
		handleAll(m, steps[:n]...)
		all := handleAll(m, rollback)
		all = append(all, handleAll(m, steps[n:]...)...) // outcomes of earlier effects still arrive
		all = append(all, handleAll(m, Drained{"two"}, Exited{"two", "as told"})...)
		require.Len(t, m.State.Instances(), 1, "after %d steps", n)
		require.Equal(t, Serving, m.State.Stable.Phase)
		require.Equal(t, Removed, reportedPhases(all)[len(reportedPhases(all))-1])
		require.Empty(t, handleAll(m, steps[0]), "an older order that arrives late is ignored")
	}
}

func TestMachine_RollsBackStableBuildToOlderBuild(t *testing.T) {
	m := newServingMachine(t)
	all := handleAll(m, Order{Number: 2, Digest: "one", Build: 1, Goal: GoalRollback, RollbackTo: "zero", RollbackToBuild: 0})
	require.Contains(t, all, PublishEndpoint{"one", EndpointDraining})
	require.Contains(t, all, Fetch{"zero", true})
	handleAll(m, Drained{"one"}, Exited{"one", ""}, Fetched{"zero"}, Verified{"zero"}, Started{"zero", Process{Pid: 3}}, Ready{"zero"}, WarmedUp{"zero"})
	require.Equal(t, "zero", m.State.Stable.Digest)
}

func TestMachine_RestartsCrashingBuildUpToMaxCrashes(t *testing.T) {
	m := newServingMachine(t)
	handleAll(m, Order{Number: 2, Digest: "two", Build: 2, Goal: GoalServe}, Fetched{"two"}, Verified{"two"})
	var delays []time.Duration
	for range 3 {
		for _, e := range handleAll(m, Started{"two", Process{Pid: 2}}, Exited{"two", "exit status 1"}, BackoffElapsed{"two"}) {
			if b, ok := e.(Backoff); ok {
				delays = append(delays, b.Delay)
			}
		}
	}
	require.Equal(t, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}, delays)
	all := handleAll(m, Exited{"two", "exit status 1"})
	require.Equal(t, Failed, m.State.Candidate.Phase)
	require.Contains(t, all, Stop{"two"})
	require.Equal(t, Serving, m.State.Stable.Phase)
	require.Equal(t, "exit status 1", all[len(all)-2].(ReportTransition).Cause)
}

func TestMachine_RestartsReleasedBuildWithoutLimit(t *testing.T) {
	m := newServingMachine(t)
	for range 20 {
		handleAll(m, Exited{"one", "killed"}, BackoffElapsed{"one"})
	}
	require.Equal(t, Starting, m.State.Stable.Phase)
}

// TestMachine_KeepsInvariantsForInputsInAnyOrder checks that no sequence of inputs starts an unverified build, or
// drains the stable build before a released candidate serves. Inputs come in random order, whether or not they match
// the state, with restarts from the saved state in between.
func TestMachine_KeepsInvariantsForInputsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(limits)
		now, number := startTime, uint64(0)
		verifying, verified := map[string]bool{}, map[string]bool{} // builds with a Verify effect; with an accepted Verified input
		running := map[string]bool{}
		released, rolledBack := "", map[string]bool{}
		digest := rapid.SampledFrom([]string{"a", "b", "c"})
		observe := func(all []Effect) {
			for _, e := range all {
				switch e := e.(type) {
				case Fetch:
					verified[e.Digest] = false
				case Verify:
					verifying[e.Digest] = true
				case Start:
					if !verified[e.Digest] {
						t.Fatalf("%s is started without verification", e.Digest)
					}
					running[e.Digest] = true
				case Stop:
					if e.Digest == released && !rolledBack[e.Digest] {
						t.Fatalf("the released build %s is stopped", e.Digest)
					}
				case PublishEndpoint:
					if e.State == EndpointDraining && e.Digest == released && !rolledBack[e.Digest] {
						r := m.State.Stable
						if r == nil || r.Digest == e.Digest || r.Phase != Serving {
							t.Fatalf("the released build %s is drained while no other build serves", e.Digest)
						}
					}
				}
			}
			if r := m.State.Stable; r != nil {
				released = r.Digest
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			d := digest.Draw(t, "digest")
			var in Input
			switch rapid.IntRange(0, 11).Draw(t, "input") {
			case 0, 1:
				number++
				goal := Goal(rapid.IntRange(1, 4).Draw(t, "goal"))
				if goal == GoalRollback {
					rolledBack[d] = true
				} else {
					rolledBack[d] = false
				}
				in = Order{Number: number, Digest: d, Build: 1, Goal: goal, RollbackTo: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "to")}
			case 2:
				in = Fetched{d}
			case 3:
				if r := m.State.Instance(d); verifying[d] && r != nil && r.Phase == Verifying {
					verified[d] = true
				}
				in = Verified{d}
			case 4:
				in = OperationFailed{d, "trouble"}
			case 5:
				in = Started{d, Process{Pid: 7}}
			case 6:
				in = Ready{d}
			case 7:
				in = WarmedUp{d}
			case 8:
				in = Exited{d, "exit"}
			case 9:
				in = Drained{d}
			case 10:
				in = BackoffElapsed{d}
			default: // the agent is killed and restarts from the saved state
				raw, err := json.Marshal(m.State)
				if err != nil {
					t.Fatal(err)
				}
				var s State
				if err := json.Unmarshal(raw, &s); err != nil {
					t.Fatal(err)
				}
				var all []Effect
				m, all = Resume(now, limits, s, func(r Instance) (Process, bool) { return r.Process, rapid.Bool().Draw(t, "alive") })
				observe(all)
				continue
			}
			observe(m.Handle(now, in))
			if seen := map[string]bool{}; true {
				for _, r := range m.State.Instances() {
					if seen[r.Digest] {
						t.Fatalf("the state has two instances of %s: %s", r.Digest, fmt.Sprint(m.State))
					}
					seen[r.Digest] = true
				}
			}
		}
	})
}
