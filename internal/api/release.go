package api

import "dapplefront/plan"

// ReleaseObject is a release as the controller shows it: what was asked for, and how it stands.
type ReleaseObject struct {
	Release
	Digest    string            `json:"digest,omitempty"`
	Note      string            `json:"note,omitempty"`
	Labels    map[string]string `json:"labels,omitempty"`
	Steps     []Step            `json:"steps,omitempty"`
	CreatedMs int64             `json:"createdMs"` // of the controllers' time
	WaitsFor  string            `json:"waits,omitempty"`
	Votes     *Votes            `json:"votes,omitempty"` // of the newest release
	Tasks     map[string]int    `json:"tasks,omitempty"` // finished, turned back, scrapped
	Hosts     map[string]int    `json:"hosts,omitempty"` // by state
	History   []HistoryEntry    `json:"trace,omitempty"`
}

// ReleaseList is a page of releases; Next is what to ask for with ?after= where there are more.
type ReleaseList struct {
	Releases []ReleaseObject `json:"releases"`
	Next     int             `json:"next,omitempty"`
}

// Step is something that must be done before a stage's hosts start.
type Step struct {
	Name         string `json:"name"`
	Stage        int    `json:"stage"`
	Irreversible bool   `json:"final,omitempty"` // it can't be undone
	WithinMs     int64  `json:"withinMs,omitempty"`
	State        string `json:"state,omitempty"` // later, waiting, stalled, done
	By           string `json:"by,omitempty"`
}

// Votes are those that stand, and how many move the release.
type Votes struct {
	On         int `json:"on"`
	Back       int `json:"back"`
	Needed     int `json:"needed"`
	NeededBack int `json:"neededBack"`
}

// HistoryEntry is one line of a release's trace.
type HistoryEntry struct {
	AtMs int64  `json:"atMs"`
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

// PatchRelease changes a release's note and labels; a label of null goes.
type PatchRelease struct {
	Note   *string            `json:"note,omitempty"`
	Labels map[string]*string `json:"labels,omitempty"`
}

// StepDone reports a step done, by whom.
type StepDone struct {
	By string `json:"by,omitempty"`
}

// BuildReport adds what became of tasks at a build, and says where its hosts are.
type BuildReport struct {
	Tasks map[string]int `json:"tasks,omitempty"`
	Hosts map[string]int `json:"hosts,omitempty"`
}

// Published is a plan's version for all locations.
type Published struct {
	Build int                     `json:"build,omitempty"`
	Stage int                     `json:"stage,omitempty"`
	ForMs int64                   `json:"forMs"`
	For   map[string]plan.Weights `json:"for"`
}

// Status is how a controller stands.
type Status struct {
	Name     string            `json:"name"`
	Leads    bool              `json:"leads"`
	Leader   string            `json:"leader,omitempty"`
	BehindMs int64             `json:"behindMs"`
	Version  uint64            `json:"version"`
	Events   uint64            `json:"events"`
	Routers  int               `json:"routers"`
	Watchers int               `json:"watchers"`
	Slow     int               `json:"slow"` // watchers cut off
	Members  map[string]string `json:"members"`
}

// Controller is where another controller is: its address for controllers, to take it in, and its URL.
type Controller struct {
	Address string `json:"address,omitempty"`
	URL     string `json:"url,omitempty"`
}

// Problem is an error in the form of RFC 9457, with the field of the request that was wrong.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Field  string `json:"field,omitempty"`
}
