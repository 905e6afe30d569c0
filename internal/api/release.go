package api

import (
	"fmt"
	"slices"

	"dapplefront/policy"
)

// Phases and VoteChoices are the names of the constants of policy.Phase and policy.VoteChoice, indexed by the constants' values.
var (
	Phases      = []string{"trial", "going-back", "released", "withdrawn"}
	VoteChoices = []string{"none", "on", "hold", "back"}
)

// unitsPerMs is the number of units of policy.Time in a millisecond.
const unitsPerMs = policy.Second / 1000

// Release is the status of a release.
type Release struct {
	Build       int     `json:"build"`
	Stage       int     `json:"stage"`
	Phase       string  `json:"phase"` // one of Phases
	ExposureCap float64 `json:"cap"`
	AgeMs       int64   `json:"ageMs"`   // since the current phase or stage began
	Version     int64   `json:"version"` // version of the release object; in an event, the event's id
}

// Status converts the release to the type of package policy. It fails if the phase is unknown or a value is out of range.
func (r Release) Status() (policy.ReleaseStatus, error) {
	phase := slices.Index(Phases, r.Phase)
	validCap := r.ExposureCap >= 0 && r.ExposureCap <= 1 // false for NaN
	if phase < 0 || r.Build < 1 || r.Stage < 0 || !validCap || r.AgeMs < 0 {
		return policy.ReleaseStatus{}, fmt.Errorf("invalid release status: %+v", r)
	}
	return policy.ReleaseStatus{Build: r.Build, Stage: r.Stage, Phase: policy.Phase(phase), ExposureCap: r.ExposureCap,
		Age: policy.Time(r.AgeMs) * unitsPerMs}, nil
}

// ReleaseObject is a release as the controller returns it: the fields of its creation, and its current status.
type ReleaseObject struct {
	Release
	Digest    string            `json:"digest,omitempty"`
	Note      string            `json:"note,omitempty"`
	Labels    map[string]string `json:"labels,omitempty"`
	Steps     []Step            `json:"steps,omitempty"`
	CreatedMs int64             `json:"createdMs"`       // on the controllers' clock
	WaitsFor  string            `json:"waits,omitempty"` // name of the step that the deployment of the current stage waits for
	Votes     *Votes            `json:"votes,omitempty"` // only for the newest release
	Requests  map[string]int    `json:"tasks,omitempty"` // number of requests by outcome: finished, turned back, scrapped
	Hosts     map[string]int    `json:"hosts,omitempty"` // number of hosts by state
	History   []HistoryEntry    `json:"trace,omitempty"`
}

// ReleaseList is a page of releases, in order of their builds.
type ReleaseList struct {
	Releases []ReleaseObject `json:"releases"`
	Next     int             `json:"next,omitempty"` // value of ?after= for the next page; 0 if this is the last one
}

// Step is a task that must be done before the hosts of a stage start.
type Step struct {
	Name         string `json:"name"`
	Stage        int    `json:"stage"`
	Irreversible bool   `json:"final,omitempty"`    // once the step is done, the build can't be rolled back
	ExpectedMs   int64  `json:"withinMs,omitempty"` // a step that takes longer is stalled; 0 means no limit
	State        string `json:"state,omitempty"`    // later, waiting, stalled, done
	By           string `json:"by,omitempty"`       // who reported that the step is done
}

// Votes are the numbers of valid votes, and the quorums.
type Votes struct {
	Promote        int `json:"on"`
	Rollback       int `json:"back"`
	PromoteQuorum  int `json:"needed"`
	RollbackQuorum int `json:"neededBack"`
}

// HistoryEntry is one line of a release's history.
type HistoryEntry struct {
	AtMs int64  `json:"atMs"` // on the controllers' clock
	Text string `json:"what"`
}

// CreateRelease requests a release. The request may be repeated if it has the header Idempotency-Key.
type CreateRelease struct {
	Build  int               `json:"build"`
	Digest string            `json:"digest,omitempty"`
	Note   string            `json:"note,omitempty"`
	Labels map[string]string `json:"labels,omitempty"`
	Steps  []Step            `json:"steps,omitempty"`
}

// PatchRelease changes the note and the labels of a release. A label whose value is null is removed.
type PatchRelease struct {
	Note   *string            `json:"note,omitempty"`
	Labels map[string]*string `json:"labels,omitempty"`
}

// StepDone reports that a step is done, and who reports it.
type StepDone struct {
	By string `json:"by,omitempty"`
}

// Vote is a router's vote on a build.
type Vote struct {
	Stage  int    `json:"stage"`
	Choice string `json:"voice"` // one of VoteChoices
}

// BuildReport adds to the numbers of a build's requests by outcome, and replaces the numbers of its hosts by state.
type BuildReport struct {
	Requests map[string]int `json:"tasks,omitempty"`
	Hosts    map[string]int `json:"hosts,omitempty"`
}
