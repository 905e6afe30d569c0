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

// Rules are the five, in order.
var Rules = []string{RuleAnswer, RuleEffect, RuleDrain, RuleCold, RuleExposure}

// Finding is a moment at which a rule was broken, or seems so. The JSON names stand in a scenario's report.
type Finding struct {
	Rule     string        `json:"Rule"`
	At       time.Duration `json:"At"` // of the recorder's clock
	Text     string        `json:"Text"`
	Doubtful bool          `json:"Doubtful"` // a stall of the machine may explain it
}

// Verdict is what became of one rule. The JSON names stand in a scenario's report.
type Verdict struct {
	Rule     string    `json:"Rule"`
	Checked  int       `json:"Checked"` // moments at which it could have been broken
	Broken   []Finding `json:"Broken"`
	Doubtful []Finding `json:"Doubtful"`
	MaxShare float64   `json:"Most"` // of RuleCold: the largest share of a budget that was used
}

// Kept tells whether the rule was surely kept.
func (v Verdict) Kept() bool { return len(v.Broken)+len(v.Doubtful) == 0 }
