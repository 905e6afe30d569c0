package release

import "dapplefront/policy"

// Stage is one step of a rollout.
type Stage struct {
	HostShare   float64 // share of the fleet's hosts that run the build, from 0 to 1
	ExposureCap float64 // share of each router's requests that may go to the build, from 0 to 1
}

// Rules configure a Machine. Times are in units of policy.Time.
type Rules struct {
	Mode           policy.PromotionMode
	Stages         []Stage
	MinStageTime   policy.Time // with policy.Quorum: least time in a stage, from when all its hosts run
	StageTime      policy.Time // with policy.Timed: time in a stage, from when all its hosts run
	VoteTTL        policy.Time // how long a vote counts
	PromoteQuorum  int         // promote votes that end a stage; 0 counts as 1
	RollbackQuorum int         // rollback votes that roll the build back; 0 counts as 1
	HoldQuorum     int         // with policy.Timed: hold votes that stop the stage's time; 0 for never
}

// Status is where the newest release stands. It is stored and sent under its JSON names.
type Status struct {
	Build       int          `json:"Build"`
	Stage       int          `json:"Stage"`
	Phase       policy.Phase `json:"Phase"`
	ExposureCap float64      `json:"Cap"`
	Since       policy.Time  `json:"Since"` // when this status began
}
