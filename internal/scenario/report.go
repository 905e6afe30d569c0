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
	"dapplefront/internal/eventloop"
	"dapplefront/internal/testbed"
)

// phaseNames holds the names of a release's phases in printed reports, by policy.Phase.
var phaseNames = []string{"canary", "rolling back", "released", "rolled back"}

// Print writes the report as text. Its last line is the summary.
func (r *Result) Print(w io.Writer) error {
	var b strings.Builder
	r.printSpec(&b)
	r.printClasses(&b)
	r.printStages(&b)
	if r.Agents != nil {
		r.Agents.print(&b)
	}
	r.printTotals(&b)
	r.printVerdicts(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Result) printSpec(b *strings.Builder) {
	fmt.Fprintf(b, "\nscenario: %s; %v with %d routers, %d hosts in %d zones, %g requests per second to each router\n", r.Spec.Name,
		r.Spec.Length.Round(time.Second), r.Spec.Routers, r.Spec.Hosts, r.Spec.Zones, r.Spec.RequestRate)
	for _, rollout := range r.Spec.Rollouts {
		fmt.Fprintf(b, "  build offered at %5.1f s: %s\n", rollout.At.Seconds(), rollout.Kind)
	}
	for _, fault := range r.Spec.Faults {
		fmt.Fprintf(b, "  fault at %5.1f s for %4.1f s: %s", fault.At.Seconds(), fault.Duration.Seconds(), fault.Kind)
		if fault.Share > 0 {
			fmt.Fprintf(b, ", share %.0f%%", 100*fault.Share)
		}
		if fault.Magnitude > 0 {
			fmt.Fprintf(b, ", magnitude %.2g", fault.Magnitude)
		}
		b.WriteByte('\n')
	}
}

func (r *Result) printClasses(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-10s %7s %8s %6s %12s %9s %8s %6s %6s %8s %8s\n", "class", "sent", "in time", "late", "rejected",
		"failed", "refused", "lost", "wrong", "p50", "p99")
	for _, class := range requestClasses {
		score, latencies := r.Scores[class.Name], r.Latencies[class.Name]
		slices.Sort(latencies)
		fmt.Fprintf(b, "%-10s %7d %7.2f%% %6d %12d %9d %8d %6d %6d %8s %8s\n", class.Name, score.Requests, inTimePercent(score),
			score.Late, score.Rejected, score.Failed, score.Refused, score.Lost+score.TimedOut, score.Wrong,
			percentile(latencies, .5), percentile(latencies, .99))
	}
}

func (r *Result) printStages(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-30s %8s %8s %8s %6s %12s %9s\n", "release", "start", "sent", "in time", "late", "rejected", "failed")
	for _, s := range r.Stages {
		start := "-"
		for _, t := range r.Transitions {
			if t.Build == s.Build && t.Stage == s.Stage && t.Phase == s.Phase {
				start = fmt.Sprintf("%.1f s", t.At.Seconds())
			}
		}
		fmt.Fprintf(b, "%-30s %8s %8d %7.2f%% %6d %12d %9d\n", fmt.Sprintf("build %d, stage %d, %s", s.Build, s.Stage, phaseNames[s.Phase]),
			start, s.Requests, inTimePercent(s.Score), s.Late, s.Rejected, s.Failed)
	}
}

func (s *AgentStatistics) print(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-10s %6s %8s %8s\n", "agents", "count", "p50", "p99")
	phases := []agent.Phase{agent.Fetching, agent.Verifying, agent.Staged, agent.Starting, agent.WarmingUp, agent.Draining, agent.Stopping}
	for _, phase := range phases {
		if durations := s.PhaseDurations[string(phase)]; len(durations) > 0 {
			slices.Sort(durations)
			fmt.Fprintf(b, "%-10s %6d %8s %8s\n", phase, len(durations), percentile(durations, .5), percentile(durations, .99))
		}
	}
	if slices.Sort(s.OrderToReady); len(s.OrderToReady) > 0 {
		fmt.Fprintf(b, "from order to serving: p50 %s, p99 %s\n", percentile(s.OrderToReady, .5), percentile(s.OrderToReady, .99))
	}
	for _, build := range slices.Sorted(maps.Keys(s.TrafficAfterRemoval)) {
		fmt.Fprintf(b, "build %d: last request %s after its removal was ordered\n", build, s.TrafficAfterRemoval[build].Round(time.Millisecond))
	}
}

func (r *Result) printTotals(b *strings.Builder) {
	fmt.Fprintf(b, "\ncross-zone attempts: %.2f%%; largest share of a cold host's budget used: %.0f%%\n", 100*r.CrossZoneShare, 100*r.maxColdShare())
	if restarts := r.ControllerRestarts; restarts.All > 0 {
		fmt.Fprintf(b, "controller restarts: %d, of them %d of the leader\n", restarts.All, restarts.Leaders)
	}
	for _, release := range r.Releases {
		fmt.Fprintf(b, "build %d, as reported to the controllers: %d succeeded, %d rejected, %d failed; %d history entries\n", release.Build,
			release.Requests["finished"], release.Requests["turned back"], release.Requests["scrapped"], len(release.History))
	}
	if p := r.Plans; p != nil {
		fmt.Fprintf(b, "plans: %d versions, %.1f weights changed per version, %d recomputed; %d acknowledged by a router, %d rejected\n",
			p.Versions, float64(p.ChangedWeights)/max(1, float64(p.Versions)), p.Recomputed, p.Followed, p.Rejected)
		if p.Reason != "" {
			fmt.Fprintf(b, "  reason of a rejection: %s\n", p.Reason)
		}
	}
}

// PrintLoops writes the queue delays, timer delays and run times of the routers' event loops.
func (r *Result) PrintLoops(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-20s %9s %9s %9s %9s %9s\n", "event loops", "count", "p50", "p90", "p99", "longest")
	for _, row := range []struct {
		name      string
		histogram *eventloop.Histogram
	}{
		{"queue delay", &r.LoopStats.QueueDelay},
		{"timer delay", &r.LoopStats.TimerDelay},
		{"run time", &r.LoopStats.RunTime},
	} {
		h := row.histogram
		fmt.Fprintf(&b, "%-20s %9d %9s %9s %9s %9s\n", row.name, h.Count(), formatDuration(h.Quantile(.5)),
			formatDuration(h.Quantile(.9)), formatDuration(h.Quantile(.99)), formatDuration(h.Longest))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formatDuration rounds a duration to microseconds below 1 ms, and to milliseconds otherwise.
func formatDuration(d time.Duration) string {
	if d < time.Millisecond {
		return d.Round(time.Microsecond).String()
	}
	return d.Round(time.Millisecond).String()
}

func (r *Result) printVerdicts(b *strings.Builder) {
	fmt.Fprintf(b, "\n%-10s %9s  %s\n", "rule", "checked", "verdict")
	for _, v := range r.Verdicts {
		fmt.Fprintf(b, "%-10s %9d  %s\n", v.Rule, v.Checked, describeVerdict(v))
	}
	fmt.Fprintf(b, "\n%s\n", r.Summary())
}

// inTimePercent returns the percentage of requests that succeeded within their latency objective.
func inTimePercent(s testbed.Score) float64 {
	return 100 * float64(s.InTime) / max(1, float64(s.Requests))
}

// percentile returns the duration at a share of a sorted list, as text; "-" for an empty list.
func percentile(sorted []time.Duration, share float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return sorted[int(share*float64(len(sorted)-1))].Round(time.Millisecond).String()
}

func describeVerdict(v audit.Verdict) string {
	var parts []string
	if n := len(v.Broken); n > 0 {
		parts = append(parts, fmt.Sprintf("broken %d times, first at %.2f s: %s", n, v.Broken[0].At.Seconds(), v.Broken[0].Text))
	}
	if n := len(v.Doubtful); n > 0 {
		parts = append(parts, fmt.Sprintf("can't tell %d times because the machine stalled, first at %.2f s: %s", n,
			v.Doubtful[0].At.Seconds(), v.Doubtful[0].Text))
	}
	if len(parts) == 0 {
		return "kept"
	}
	return strings.Join(parts, "; ")
}

// WriteJSON writes the report as JSON. Its keys are stable, because other programs read them.
func (r *Result) WriteJSON(w io.Writer) error {
	type classReport struct {
		testbed.Score
		P50Ms float64 `json:"P50Ms"`
		P99Ms float64 `json:"P99Ms"`
	}
	report := struct {
		Spec           Spec                   `json:"Plan"`
		ElapsedMs      int64                  `json:"TookMs"`
		Classes        map[string]classReport `json:"Categories"`
		Transitions    []Transition           `json:"Moves"`
		Stages         []StageScore           `json:"Stages"`
		Agents         *AgentStatistics       `json:"Agents,omitempty"`
		Routers        any                    `json:"Routers"`
		Rules          []audit.Verdict        `json:"Rules"`
		CrossZoneShare float64                `json:"Crossed"`
		MaxColdShare   float64                `json:"Cold"`
		Plans          *PlanStatistics        `json:"Planned,omitempty"`
		Summary        string                 `json:"Last"`
	}{r.Spec, r.Elapsed.Milliseconds(), map[string]classReport{}, r.Transitions, r.Stages, r.Agents, r.Counts, r.Verdicts,
		r.CrossZoneShare, r.maxColdShare(), r.Plans, r.Summary()}
	for class, score := range r.Scores {
		latencies := slices.Clone(r.Latencies[class])
		slices.Sort(latencies)
		c := classReport{Score: score}
		if n := len(latencies); n > 0 {
			c.P50Ms, c.P99Ms = latencies[n/2].Seconds()*1000, latencies[int(.99*float64(n-1))].Seconds()*1000
		}
		report.Classes[class] = c
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
