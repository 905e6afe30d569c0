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

// Result is what was measured in a scenario, and the audit's verdicts.
type Result struct {
	Spec               Spec
	Verdicts           []audit.Verdict
	Scores             map[string]testbed.Score   // by class
	Latencies          map[string][]time.Duration // by class, of the requests that succeeded
	Transitions        []Transition
	Counts             map[string]proxy.Counts // by router, since its last start
	Elapsed            time.Duration
	Agents             *AgentStatistics // nil without agents
	Stages             []StageScore
	CrossZoneShare     float64         // share of the attempts that reached another zone than their router's
	Plans              *PlanStatistics // nil without traffic plans
	Releases           []api.ReleaseObject
	ConfigUpdates      int // of running routers
	ControllerRestarts RestartCounts
	LoopStats          eventloop.Stats // of all routers' event loops
}

// StageScore is the score of the requests of those seconds in which a release was in one stage and phase.
type StageScore struct {
	Build int          `json:"Build"`
	Stage int          `json:"Stage"`
	Phase policy.Phase `json:"Phase"`
	testbed.Score
}

// The exit codes of a scenario that ran.
const (
	ExitKept     = 0 // all rules were kept
	ExitBroken   = 1 // at least one rule was broken
	ExitDoubtful = 2 // none was surely broken, but the machine stood still, so that the audit can't tell
)

// Kept is how many rules were surely kept, and the first that was not; a broken one comes before a doubtful one.
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

// ExitCode is the exit code for the verdicts.
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

// Summary is the report's last line: how many rules were kept, and of each other rule its name and first violation.
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

// maxColdShare is the largest share of a cold host's budget that was used.
func (r *Result) maxColdShare() (most float64) {
	for _, v := range r.Verdicts {
		most = max(most, v.MaxShare)
	}
	return most
}
