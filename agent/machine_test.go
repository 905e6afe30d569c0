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
	rules = Rules{Crashes: 3, Pause: 100 * time.Millisecond, Longest: time.Second, Steady: 10 * time.Second}
	began = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

// served is a machine whose build "one" is released and serves.
func served(t *testing.T) *Machine {
	m := New(rules)
	m.Hear(began, Order{Number: 1, Digest: "one", Build: 1, Goal: Release})
	for _, in := range []Input{Fetched{"one"}, Checked{"one"}, Started{"one", Process{Pid: 1}}, Ready{"one"}, Warm{"one"}} {
		m.Hear(began, in)
	}
	require.Equal(t, Serving, m.State.Earlier.Phase)
	return m
}

// phases are the phases that a run went through, as reported.
func phases(all []Effect) (out []Phase) {
	for _, e := range all {
		if r, ok := e.(Report); ok {
			out = append(out, r.To)
		}
	}
	return out
}

func hear(m *Machine, inputs ...Input) (all []Effect) {
	for _, in := range inputs {
		all = append(all, m.Hear(began, in)...)
	}
	return all
}

func TestABuildGoesFromOrderToReleaseAndTheEarlierOneLeavesOnlyThen(t *testing.T) {
	m := served(t)
	all := hear(m, Order{Number: 2, Digest: "two", Build: 2, Goal: Stage}, Fetched{"two"}, Checked{"two"})
	require.Equal(t, []Phase{Fetching, Checking, Staged}, phases(all))
	require.NotContains(t, all, Start{"two"}, "it waits until it may start")
	all = hear(m, Order{Number: 3, Digest: "two", Build: 2, Goal: Serve}, Started{"two", Process{Pid: 2}}, Ready{"two"}, Warm{"two"})
	require.Contains(t, all, Start{"two"})
	require.Contains(t, all, List{"two", Listed})
	require.NotContains(t, all, List{"one", Drains}, "the earlier build stays until the newer one is released")
	all = hear(m, Order{Number: 4, Digest: "two", Build: 2, Goal: Release})
	require.Contains(t, all, List{"one", Drains})
	all = hear(m, Drained{"one"}, Exited{"one", "as told"})
	require.Contains(t, all, Stop{"one"})
	require.Contains(t, all, List{"one", Unlisted})
	require.Contains(t, all, Collect{})
	require.Equal(t, "two", m.State.Earlier.Digest)
	require.Len(t, m.State.Runs(), 1)
}

func TestATakeBackOvertakesWhateverIsUnderWay(t *testing.T) {
	back := Order{Number: 9, Digest: "two", Build: 2, Goal: TakeBack}
	steps := []Input{Order{Number: 2, Digest: "two", Build: 2, Goal: Serve}, Fetched{"two"}, Checked{"two"},
		Started{"two", Process{Pid: 2}}, Ready{"two"}, Warm{"two"}}
	for n := 1; n <= len(steps); n++ {
		m := served(t)
		hear(m, steps[:n]...)
		all := hear(m, back)
		all = append(all, hear(m, steps[n:]...)...) // what was under way still comes in
		all = append(all, hear(m, Drained{"two"}, Exited{"two", "as told"})...)
		require.Len(t, m.State.Runs(), 1, "after %d steps", n)
		require.Equal(t, Serving, m.State.Earlier.Phase)
		require.Equal(t, TakenBack, phases(all)[len(phases(all))-1])
		require.Empty(t, hear(m, steps[0]), "an older order that arrives late is ignored")
	}
}

func TestAReleasedBuildIsTakenBackToAnOlderOne(t *testing.T) {
	m := served(t)
	all := hear(m, Order{Number: 2, Digest: "one", Build: 1, Goal: TakeBack, To: "zero", ToNum: 0})
	require.Contains(t, all, List{"one", Drains})
	require.Contains(t, all, Fetch{"zero", true})
	hear(m, Drained{"one"}, Exited{"one", ""}, Fetched{"zero"}, Checked{"zero"}, Started{"zero", Process{Pid: 3}}, Ready{"zero"}, Warm{"zero"})
	require.Equal(t, "zero", m.State.Earlier.Digest)
}

func TestABuildThatCrashesIsStartedAgainLaterAndLaterThenGivenUp(t *testing.T) {
	m := served(t)
	hear(m, Order{Number: 2, Digest: "two", Build: 2, Goal: Serve}, Fetched{"two"}, Checked{"two"})
	var pauses []time.Duration
	for range 3 {
		for _, e := range hear(m, Started{"two", Process{Pid: 2}}, Exited{"two", "exit status 1"}, Retry{"two"}) {
			if p, ok := e.(Pause); ok {
				pauses = append(pauses, p.For)
			}
		}
	}
	require.Equal(t, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}, pauses)
	all := hear(m, Exited{"two", "exit status 1"})
	require.Equal(t, Failed, m.State.Newer.Phase)
	require.Contains(t, all, Stop{"two"})
	require.Equal(t, Serving, m.State.Earlier.Phase)
	require.Equal(t, "exit status 1", all[len(all)-2].(Report).Cause)
}

func TestAReleasedBuildIsNeverGivenUp(t *testing.T) {
	m := served(t)
	for range 20 {
		hear(m, Exited{"one", "killed"}, Retry{"one"})
	}
	require.Equal(t, Starting, m.State.Earlier.Phase)
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
				case Check:
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
				case List:
					if e.Standing == Drains && e.Digest == released && !takenBack[e.Digest] {
						r := m.State.Earlier
						if r == nil || r.Digest == e.Digest || r.Phase != Serving {
							t.Fatalf("the released build %s drains and nothing serves in its place", e.Digest)
						}
					}
				}
			}
			if r := m.State.Earlier; r != nil {
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
				if goal == TakeBack {
					takenBack[d] = true
				} else {
					takenBack[d] = false
				}
				in = Order{Number: number, Digest: d, Build: 1, Goal: goal, To: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "to")}
			case 2:
				in = Fetched{d}
			case 3:
				if r := m.State.Run(d); checking[d] && r != nil && r.Phase == Checking {
					checked[d] = true
				}
				in = Checked{d}
			case 4:
				in = Trouble{d, "trouble"}
			case 5:
				in = Started{d, Process{Pid: 7}}
			case 6:
				in = Ready{d}
			case 7:
				in = Warm{d}
			case 8:
				in = Exited{d, "exit"}
			case 9:
				in = Drained{d}
			case 10:
				in = Retry{d}
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
				m, all = Resume(now, rules, s, func(r Run) (Process, bool) { return r.Process, rapid.Bool().Draw(t, "alive") })
				see(all)
				continue
			}
			see(m.Hear(now, in))
			if seen := map[string]bool{}; true {
				for _, r := range m.State.Runs() {
					if seen[r.Digest] {
						t.Fatalf("two runs of %s: %s", r.Digest, fmt.Sprint(m.State))
					}
					seen[r.Digest] = true
				}
			}
		}
	})
}
