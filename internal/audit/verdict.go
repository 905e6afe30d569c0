package audit

import "time"

// The five rules, by their names in reports.
const (
	RuleAnswer   = "answer"
	RuleEffect   = "effect"
	RuleDrain    = "drain"
	RuleCold     = "cold"
	RuleExposure = "exposure"
)

// Rules lists the five rules in the order of reports.
var Rules = []string{RuleAnswer, RuleEffect, RuleDrain, RuleCold, RuleExposure}

// Finding is one violation of a rule, or an apparent one if it is doubtful. The JSON names are part of a scenario's report.
type Finding struct {
	Rule     string        `json:"Rule"`
	At       time.Duration `json:"At"` // on the recorder's clock
	Text     string        `json:"Text"`
	Doubtful bool          `json:"Doubtful"` // a stall of the machine may be the cause
}

// Verdict is the result for one rule. The JSON names are part of a scenario's report.
type Verdict struct {
	Rule     string    `json:"Rule"`
	Checked  int       `json:"Checked"` // number of checks, each of which could have found a violation
	Broken   []Finding `json:"Broken"`
	Doubtful []Finding `json:"Doubtful"`
	MaxShare float64   `json:"Most"` // RuleCold only: the largest share of a budget that was used
}

// Kept reports whether the rule was kept without doubt: no finding at all, not even a doubtful one.
func (v Verdict) Kept() bool { return len(v.Broken)+len(v.Doubtful) == 0 }
