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
	rules = Limits{MaxCrashes: 3, CrashBackoff: 100 * time.Millisecond, MaxCrashBackoff: time.Second, CrashResetAfter: 10 * time.Second}
	began = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

// served is a machine whose build "one" is released and serves.
func served(t *testing.T) *Machine {
	m := New(rules)
	m.Handle(began, Order{Number: 1, Digest: "one", Build: 1, Goal: GoalRelease})
	for _, in := range []Input{Fetched{"one"}, Verified{"one"}, Started{"one", Process{Pid: 1}}, Ready{"one"}, WarmedUp{"one"}} {
		m.Handle(began, in)
	}
	require.Equal(t, Serving, m.State.Stable.Phase)
	return m
}

// phases are the phases that a run went through, as reported.
func phases(all []Effect) (out []Phase) {
	for _, e := range all {
		if r, ok := e.(ReportTransition); ok {
			out = append(out, r.To)
		}
	}
	return out
}

func hear(m *Machine, inputs ...Input) (all []Effect) {
	for _, in := range inputs {
		all = append(all, m.Handle(began, in)...)
	}
	return all
}

func TestABuildGoesFromOrderToReleaseAndTheEarlierOneLeavesOnlyThen(t *testing.T) {
	m := served(t)
	all := hear(m, Order{Number: 2, Digest: "two", Build: 2, Goal: GoalStage}, Fetched{"two"}, Verified{"two"})
	require.Equal(t, []Phase{Fetching, Verifying, Staged}, phases(all))
	require.NotContains(t, all, Start{"two"}, "it waits until it may start")
	all = hear(m, Order{Number: 3, Digest: "two", Build: 2, Goal: GoalServe}, Started{"two", Process{Pid: 2}}, Ready{"two"}, WarmedUp{"two"})
	require.Contains(t, all, Start{"two"})
	require.Contains(t, all, PublishEndpoint{"two", EndpointServing})
	require.NotContains(t, all, PublishEndpoint{"one", EndpointDraining}, "the earlier build stays until the newer one is released")
	all = hear(m, Order{Number: 4, Digest: "two", Build: 2, Goal: GoalRelease})
	require.Contains(t, all, PublishEndpoint{"one", EndpointDraining})
	all = hear(m, Drained{"one"}, Exited{"one", "as told"})
	require.Contains(t, all, Stop{"one"})
	require.Contains(t, all, PublishEndpoint{"one", EndpointRemoved})
	require.Contains(t, all, CollectGarbage{})
	require.Equal(t, "two", m.State.Stable.Digest)
	require.Len(t, m.State.Instances(), 1)
}

func TestATakeBackOvertakesWhateverIsUnderWay(t *testing.T) {
	back := Order{Number: 9, Digest: "two", Build: 2, Goal: GoalRollback}
	steps := []Input{Order{Number: 2, Digest: "two", Build: 2, Goal: GoalServe}, Fetched{"two"}, Verified{"two"},
		Started{"two", Process{Pid: 2}}, Ready{"two"}, WarmedUp{"two"}}
	for n := 1; n <= len(steps); n++ {
		m := served(t)
		hear(m, steps[:n]...)
		all := hear(m, back)
		all = append(all, hear(m, steps[n:]...)...) // what was under way still comes in
		all = append(all, hear(m, Drained{"two"}, Exited{"two", "as told"})...)
		require.Len(t, m.State.Instances(), 1, "after %d steps", n)
		require.Equal(t, Serving, m.State.Stable.Phase)
		require.Equal(t, RolledBack, phases(all)[len(phases(all))-1])
		require.Empty(t, hear(m, steps[0]), "an older order that arrives late is ignored")
	}
}

func TestAReleasedBuildIsTakenBackToAnOlderOne(t *testing.T) {
	m := served(t)
	all := hear(m, Order{Number: 2, Digest: "one", Build: 1, Goal: GoalRollback, RollbackTo: "zero", RollbackToBuild: 0})
	require.Contains(t, all, PublishEndpoint{"one", EndpointDraining})
	require.Contains(t, all, Fetch{"zero", true})
	hear(m, Drained{"one"}, Exited{"one", ""}, Fetched{"zero"}, Verified{"zero"}, Started{"zero", Process{Pid: 3}}, Ready{"zero"}, WarmedUp{"zero"})
	require.Equal(t, "zero", m.State.Stable.Digest)
}

func TestABuildThatCrashesIsStartedAgainLaterAndLaterThenGivenUp(t *testing.T) {
	m := served(t)
	hear(m, Order{Number: 2, Digest: "two", Build: 2, Goal: GoalServe}, Fetched{"two"}, Verified{"two"})
	var pauses []time.Duration
	for range 3 {
		for _, e := range hear(m, Started{"two", Process{Pid: 2}}, Exited{"two", "exit status 1"}, BackoffElapsed{"two"}) {
			if p, ok := e.(Backoff); ok {
				pauses = append(pauses, p.Delay)
			}
		}
	}
	require.Equal(t, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}, pauses)
	all := hear(m, Exited{"two", "exit status 1"})
	require.Equal(t, Failed, m.State.Candidate.Phase)
	require.Contains(t, all, Stop{"two"})
	require.Equal(t, Serving, m.State.Stable.Phase)
	require.Equal(t, "exit status 1", all[len(all)-2].(ReportTransition).Cause)
}

func TestAReleasedBuildIsNeverGivenUp(t *testing.T) {
	m := served(t)
	for range 20 {
		hear(m, Exited{"one", "killed"}, BackoffElapsed{"one"})
	}
	require.Equal(t, Starting, m.State.Stable.Phase)
}

// No path starts an unchecked build, and the earlier build is there until a newer one has been released and serves.
// Inputs come in any order, sensible or not, with restarts from the saved state in between.
func TestNoPathStartsAnUncheckedBuildOrLosesTheEarlierOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(rules)
		now, number := began, uint64(0)
		checking, checked := map[string]bool{}, map[string]bool{} // what a world outside saw asked for, and passed
		running := map[string]bool{}
		released, takenBack := "", map[string]bool{}
		digest := rapid.SampledFrom([]string{"a", "b", "c"})
		see := func(all []Effect) {
			for _, e := range all {
				switch e := e.(type) {
				case Fetch:
					checked[e.Digest] = false
				case Verify:
					checking[e.Digest] = true
				case Start:
					if !checked[e.Digest] {
						t.Fatalf("%s is started unchecked", e.Digest)
					}
					running[e.Digest] = true
				case Stop:
					if e.Digest == released && !takenBack[e.Digest] {
						t.Fatalf("the released build %s is stopped", e.Digest)
					}
				case PublishEndpoint:
					if e.State == EndpointDraining && e.Digest == released && !takenBack[e.Digest] {
						r := m.State.Stable
						if r == nil || r.Digest == e.Digest || r.Phase != Serving {
							t.Fatalf("the released build %s drains and nothing serves in its place", e.Digest)
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
					takenBack[d] = true
				} else {
					takenBack[d] = false
				}
				in = Order{Number: number, Digest: d, Build: 1, Goal: goal, RollbackTo: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "to")}
			case 2:
				in = Fetched{d}
			case 3:
				if r := m.State.Instance(d); checking[d] && r != nil && r.Phase == Verifying {
					checked[d] = true
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
			default: // kill -9, and a start with what was saved
				raw, err := json.Marshal(m.State)
				if err != nil {
					t.Fatal(err)
				}
				var s State
				if err := json.Unmarshal(raw, &s); err != nil {
					t.Fatal(err)
				}
				var all []Effect
				m, all = Resume(now, rules, s, func(r Instance) (Process, bool) { return r.Process, rapid.Bool().Draw(t, "alive") })
				see(all)
				continue
			}
			see(m.Handle(now, in))
			if seen := map[string]bool{}; true {
				for _, r := range m.State.Instances() {
					if seen[r.Digest] {
						t.Fatalf("two runs of %s: %s", r.Digest, fmt.Sprint(m.State))
					}
					seen[r.Digest] = true
				}
			}
		}
	})
}
