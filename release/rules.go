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
	MinStageTime   policy.Time // with policy.Quorum: minimum time in a stage, counted from when all its hosts are ready
	StageTime      policy.Time // with policy.Timed: time in a stage, counted from when all its hosts are ready
	VoteTTL        policy.Time // how long a vote counts
	PromoteQuorum  int         // number of promote votes that promote a stage; 0 means 1
	RollbackQuorum int         // number of rollback votes that roll the build back; 0 means 1
	HoldQuorum     int         // with policy.Timed: number of hold votes that pause the stage's time; 0 disables holding
}

// Status is the status of the newest release. Its JSON names are stored and sent, so they never change.
type Status struct {
	Build       int          `json:"Build"`
	Stage       int          `json:"Stage"`
	Phase       policy.Phase `json:"Phase"`
	ExposureCap float64      `json:"Cap"`
	Since       policy.Time  `json:"Since"` // when this status began
}
