package api

import (
	"fmt"
	"slices"

	"dapplefront/policy"
)

// Phases and VoteChoices are the names of the policy's constants, by their values.
var (
	Phases      = []string{"trial", "going-back", "released", "withdrawn"}
	VoteChoices = []string{"none", "on", "hold", "back"}
)

// unitsPerMs is how many units of policy.Time are a millisecond.
const unitsPerMs = policy.Second / 1000

// Release is the status of a release.
type Release struct {
	Build       int     `json:"build"`
	Stage       int     `json:"stage"`
	Phase       string  `json:"phase"` // one of Phases
	ExposureCap float64 `json:"cap"`
	AgeMs       int64   `json:"ageMs"` // since this status began
	Version     int64   `json:"version"`
}

// Status is the release in the policy's terms. An unknown phase or a value out of its range is an error.
func (r Release) Status() (policy.ReleaseStatus, error) {
	phase := slices.Index(Phases, r.Phase)
	validCap := r.ExposureCap >= 0 && r.ExposureCap <= 1 // false for NaN
	if phase < 0 || r.Build < 1 || r.Stage < 0 || !validCap || r.AgeMs < 0 {
		return policy.ReleaseStatus{}, fmt.Errorf("news of a release that makes no sense: %+v", r)
	}
	return policy.ReleaseStatus{Build: r.Build, Stage: r.Stage, Phase: policy.Phase(phase), ExposureCap: r.ExposureCap,
		Age: policy.Time(r.AgeMs) * unitsPerMs}, nil
}

// ReleaseObject is a release as the controller shows it: what was asked for, and how it stands.
type ReleaseObject struct {
	Release
	Digest    string            `json:"digest,omitempty"`
	Note      string            `json:"note,omitempty"`
	Labels    map[string]string `json:"labels,omitempty"`
	Steps     []Step            `json:"steps,omitempty"`
	CreatedMs int64             `json:"createdMs"`       // of the controllers' time
	WaitsFor  string            `json:"waits,omitempty"` // the step that holds back the present stage's hosts
	Votes     *Votes            `json:"votes,omitempty"` // of the newest release
	Requests  map[string]int    `json:"tasks,omitempty"` // requests by outcome: finished, turned back, scrapped
	Hosts     map[string]int    `json:"hosts,omitempty"` // by state
	History   []HistoryEntry    `json:"trace,omitempty"`
}

// ReleaseList is a page of releases, by build.
type ReleaseList struct {
	Releases []ReleaseObject `json:"releases"`
	Next     int             `json:"next,omitempty"` // for ?after= where there are more
}

// Step is something that must be done before a stage's hosts start.
type Step struct {
	Name         string `json:"name"`
	Stage        int    `json:"stage"`
	Irreversible bool   `json:"final,omitempty"`    // once done, the build can't be rolled back
	ExpectedMs   int64  `json:"withinMs,omitempty"` // a step that takes longer counts as stalled; 0 for no limit
	State        string `json:"state,omitempty"`    // later, waiting, stalled, done
	By           string `json:"by,omitempty"`       // who reported it done
}

// Votes are the votes that stand, and the quorums.
type Votes struct {
	Promote        int `json:"on"`
	Rollback       int `json:"back"`
	PromoteQuorum  int `json:"needed"`
	RollbackQuorum int `json:"neededBack"`
}

// HistoryEntry is one line of a release's history.
type HistoryEntry struct {
	AtMs int64  `json:"atMs"` // of the controllers' time
	Text string `json:"what"`
}

// CreateRelease asks for a release; with the header Idempotency-Key it may be repeated.
type CreateRelease struct {
	Build  int               `json:"build"`
	Digest string            `json:"digest,omitempty"`
	Note   string            `json:"note,omitempty"`
	Labels map[string]string `json:"labels,omitempty"`
	Steps  []Step            `json:"steps,omitempty"`
}

// PatchRelease changes a release's note and labels; null removes a label.
type PatchRelease struct {
	Note   *string            `json:"note,omitempty"`
	Labels map[string]*string `json:"labels,omitempty"`
}

// StepDone reports a step done, by whom.
type StepDone struct {
	By string `json:"by,omitempty"`
}

// Vote is a router's vote on a build.
type Vote struct {
	Stage  int    `json:"stage"`
	Choice string `json:"voice"` // one of VoteChoices
}

// BuildReport adds requests at a build by their outcome, and replaces its hosts by state.
type BuildReport struct {
	Requests map[string]int `json:"tasks,omitempty"`
	Hosts    map[string]int `json:"hosts,omitempty"`
}
