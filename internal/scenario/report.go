package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"dapplefront/agent"
	"dapplefront/internal/audit"
	"dapplefront/internal/testbed"
)

// Print writes what a person reads at a glance. The last line says how many rules were kept.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "\nday: %s; %v with %d routers, %d hosts in %d locations, %g tasks a second for each router\n", r.Plan.Name,
		r.Plan.Length.Round(time.Second), r.Plan.Routers, r.Plan.Hosts, r.Plan.Locations, r.Plan.Rate)
	for _, o := range r.Plan.Offers {
		fmt.Fprintf(w, "  build offered at %5.1f s: %s\n", o.At.Seconds(), o.Kind)
	}
	for _, t := range r.Plan.Troubles {
		fmt.Fprintf(w, "  trouble at %5.1f s for %4.1f s: %s", t.At.Seconds(), t.For.Seconds(), t.Kind)
		if t.Share > 0 {
			fmt.Fprintf(w, ", share %.0f%%", 100*t.Share)
		}
		if t.Size > 0 {
			fmt.Fprintf(w, ", size %.2g", t.Size)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "\n%-10s %7s %8s %6s %12s %9s %8s %6s %6s %8s %8s\n", "category", "asked", "in time", "late", "turned back",
		"scrapped", "refused", "lost", "wrong", "p50", "p99")
	for _, wish := range wishes {
		s, t := r.Scores[wish.Name], r.Times[wish.Name]
		slices.Sort(t)
		fmt.Fprintf(w, "%-10s %7d %7.2f%% %6d %12d %9d %8d %6d %6d %8s %8s\n", wish.Name, s.Asked,
			100*float64(s.InTime)/max(1, float64(s.Asked)), s.Late, s.Rejected, s.Failed, s.Refused, s.Lost+s.TimedOut, s.Wrong,
			at(t, .5), at(t, .99))
	}
	fmt.Fprintf(w, "\n%-30s %8s %8s %8s %6s %12s %9s\n", "release", "moment", "asked", "in time", "late", "turned back", "scrapped")
	for _, x := range r.Stages {
		moment := "-"
		for _, m := range r.Moves {
			if m.Build == x.Build && m.Stage == x.Stage && m.Phase == x.Phase {
				moment = fmt.Sprintf("%.1f s", m.At.Seconds())
			}
		}
		fmt.Fprintf(w, "%-30s %8s %8d %7.2f%% %6d %12d %9d\n", fmt.Sprintf("build %d, stage %d, %s", x.Build, x.Stage, phases[x.Phase]),
			moment, x.Asked, 100*float64(x.InTime)/max(1, float64(x.Asked)), x.Late, x.Rejected, x.Failed)
	}
	if a := r.Agents; a != nil {
		fmt.Fprintf(w, "\n%-10s %6s %8s %8s\n", "agents", "times", "p50", "p99")
		for _, p := range []agent.Phase{agent.Fetching, agent.Verifying, agent.Staged, agent.Starting, agent.WarmingUp, agent.Draining, agent.Stopping} {
			if t := a.Phases[string(p)]; len(t) > 0 {
				slices.Sort(t)
				fmt.Fprintf(w, "%-10s %6d %8s %8s\n", p, len(t), at(t, .5), at(t, .99))
			}
		}
		if slices.Sort(a.Serving); len(a.Serving) > 0 {
			fmt.Fprintf(w, "from order to serving: p50 %s, p99 %s\n", at(a.Serving, .5), at(a.Serving, .99))
		}
		for _, n := range slices.Sorted(maps.Keys(a.Retired)) {
			fmt.Fprintf(w, "build %d: last task %s after its taking off was ordered\n", n, a.Retired[n].Round(time.Millisecond))
		}
	}
	fmt.Fprintf(w, "\nsends that crossed locations: %.2f%%; most of a cold host's budget used: %.0f%%\n", 100*r.Crossed, 100*r.cold())
	if r.Killed[0] > 0 {
		fmt.Fprintf(w, "controllers ended and started again: %d, of them %d that led\n", r.Killed[0], r.Killed[1])
	}
	for _, x := range r.Releases {
		fmt.Fprintf(w, "build %d, as the controllers were told: %d finished, %d turned back, %d scrapped; %d lines of trace\n", x.Build,
			x.Requests["finished"], x.Requests["turned back"], x.Requests["scrapped"], len(x.History))
	}
	if p := r.Planned; p != nil {
		fmt.Fprintf(w, "plans: %d versions, %.1f weights changed in each, %d weighed anew; %d words of routers that follow, %d turned down\n",
			p.Versions, float64(p.Changed)/max(1, float64(p.Versions)), p.Whole, p.Followed, p.TurnedDown)
		if p.Reason != "" {
			fmt.Fprintf(w, "  last reason: %s\n", p.Reason)
		}
	}
	fmt.Fprintf(w, "\n%-10s %9s  %s\n", "rule", "checked", "verdict")
	for _, v := range r.Verdicts {
		fmt.Fprintf(w, "%-10s %9d  %s\n", v.Rule, v.Checked, sentence(v))
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, r.Last())
}

// cold is the largest share of a cold host's budget that was used.
func (r *Result) cold() (most float64) {
	for _, v := range r.Verdicts {
		most = max(most, v.MaxShare)
	}
	return most
}

func at(sorted []time.Duration, share float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return sorted[int(share*float64(len(sorted)-1))].Round(time.Millisecond).String()
}

func sentence(v audit.Verdict) string {
	var out []string
	if n := len(v.Broken); n > 0 {
		out = append(out, fmt.Sprintf("broken %d times, first at %.2f s: %s", n, v.Broken[0].At.Seconds(), v.Broken[0].Text))
	}
	if n := len(v.Doubtful); n > 0 {
		out = append(out, fmt.Sprintf("can't tell %d times, as the machine stood still, first at %.2f s: %s", n,
			v.Doubtful[0].At.Seconds(), v.Doubtful[0].Text))
	}
	if len(out) == 0 {
		return "kept"
	}
	return strings.Join(out, "; ")
}

// Last is the last line: what became of the rules, with those that were not kept and the first moment of each.
func (r *Result) Last() string {
	kept, _ := r.Kept()
	var broken, doubtful []string
	for _, v := range r.Verdicts {
		if len(v.Broken) > 0 {
			broken = append(broken, fmt.Sprintf("%s at %.2f s", v.Rule, v.Broken[0].At.Seconds()))
		} else if len(v.Doubtful) > 0 {
			doubtful = append(doubtful, fmt.Sprintf("%s at %.2f s", v.Rule, v.Doubtful[0].At.Seconds()))
		}
	}
	line := fmt.Sprintf("rules kept: %d of %d", kept, len(r.Verdicts))
	if len(broken) > 0 {
		line += "; broken: " + strings.Join(broken, ", ")
	}
	if len(doubtful) > 0 {
		line += "; can't tell: " + strings.Join(doubtful, ", ")
	}
	return line
}

// Exit is the day's exit code: 0 when all rules were kept, 1 when one broke, 2 when the audit can't tell.
func (r *Result) Exit() int {
	kept, first := r.Kept()
	switch {
	case kept == len(r.Verdicts):
		return 0
	case len(first.Broken) > 0:
		return 1
	}
	return 2
}

// WriteJSON writes the same for programs.
func (r *Result) WriteJSON(w io.Writer) error {
	type figure struct {
		testbed.Score
		P50Ms float64 `json:"P50Ms"`
		P99Ms float64 `json:"P99Ms"`
	}
	out := struct {
		Plan       Plan              `json:"Plan"`
		TookMs     int64             `json:"TookMs"`
		Categories map[string]figure `json:"Categories"`
		Moves      []Move            `json:"Moves"`
		Stages     []StageScore      `json:"Stages"`
		Agents     *AgentTimes       `json:"Agents,omitempty"`
		Routers    any               `json:"Routers"`
		Rules      []audit.Verdict   `json:"Rules"`
		Crossed    float64           `json:"Crossed"`
		Cold       float64           `json:"Cold"`
		Planned    *PlanTimes        `json:"Planned,omitempty"`
		Last       string            `json:"Last"`
	}{r.Plan, r.Took.Milliseconds(), map[string]figure{}, r.Moves, r.Stages, r.Agents, r.Counts, r.Verdicts, r.Crossed, r.cold(), r.Planned, r.Last()}
	for name, s := range r.Scores {
		t := slices.Clone(r.Times[name])
		slices.Sort(t)
		f := figure{Score: s}
		if n := len(t); n > 0 {
			f.P50Ms, f.P99Ms = t[n/2].Seconds()*1000, t[int(.99*float64(n-1))].Seconds()*1000
		}
		out.Categories[name] = f
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(out)
}
