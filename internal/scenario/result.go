package scenario

import (
	"fmt"
	"strings"
	"time"

	"dapplefront/internal/api"
	"dapplefront/internal/audit"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/proxy"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
)

// Result holds the measurements of a scenario and the audit's verdicts.
type Result struct {
	Spec               Spec
	Verdicts           []audit.Verdict
	Scores             map[string]testbed.Score   // by class
	Latencies          map[string][]time.Duration // by class: latencies of the requests that succeeded
	Transitions        []Transition
	Counts             map[string]proxy.Counts // by router: counts since its last start
	Elapsed            time.Duration
	Agents             *AgentStatistics // nil without agents
	Stages             []StageScore
	CrossZoneShare     float64         // share of the attempts that reached a host in another zone than the router's
	Plans              *PlanStatistics // nil without traffic plans
	Releases           []api.ReleaseObject
	ConfigUpdates      int // configuration updates of routers; an update also counts while its router is down
	ControllerRestarts RestartCounts
	LoopStats          eventloop.Stats // sum over all routers' event loops
}

// StageScore is the score of the requests that ended while a release was in a given stage and phase, read once per second.
type StageScore struct {
	Build int          `json:"Build"`
	Stage int          `json:"Stage"`
	Phase policy.Phase `json:"Phase"`
	testbed.Score
}

// The exit codes of a scenario that was run.
const (
	ExitKept     = 0 // all rules were kept
	ExitBroken   = 1 // at least one rule was broken
	ExitDoubtful = 2 // no rule was certainly broken, but because the machine stalled the audit can't tell for at least one
)

// Kept returns the number of rules that were certainly kept, and the first verdict on a rule that was not. Broken rules
// come before doubtful ones.
func (r *Result) Kept() (kept int, first *audit.Verdict) {
	for i, v := range r.Verdicts {
		if v.Kept() {
			kept++
		} else if first == nil || len(first.Broken) == 0 && len(v.Broken) > 0 {
			first = &r.Verdicts[i]
		}
	}
	return kept, first
}

// ExitCode returns the exit code for the verdicts.
func (r *Result) ExitCode() int {
	kept, first := r.Kept()
	switch {
	case kept == len(r.Verdicts):
		return ExitKept
	case len(first.Broken) > 0:
		return ExitBroken
	}
	return ExitDoubtful
}

// Summary returns the report's last line: the number of rules that were kept, and for each other rule its name and the time
// of its first finding.
func (r *Result) Summary() string {
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

// maxColdShare returns the largest share of a cold host's overload budget that was used.
func (r *Result) maxColdShare() (most float64) {
	for _, v := range r.Verdicts {
		most = max(most, v.MaxShare)
	}
	return most
}
