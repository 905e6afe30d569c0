// Package api is the REST shape between routers, agents and the release controller: the JSON of releases, their
// votes and their watch. Times are milliseconds, shares numbers from 0 to 1.
//
//	GET  /v1/releases                          all releases, the newest last
//	GET  /v1/releases/{build}                  one
//	GET  /v1/watch?router=NAME                 server-sent events: news, counts, complaint; resumed by Last-Event-ID
//	PUT  /v1/releases/{build}/votes/{router}   a vote; 200 counted, 409 moot, 429 too many
//	POST /v1/complaints                        a client found an answer wrong
//	GET  /v1/agents/{name}/orders              server-sent events: order; resumed by Last-Event-ID
//	POST /v1/agents/{name}/reports             what an agent's builds have gone through, in order
package api

import (
	"fmt"

	"dapplefront/policy"
)

// Names of the watch's events.
const (
	EventRelease   = "news"
	EventCounts    = "counts"
	EventComplaint = "complaint"
)

// Release is where a release stands.
type Release struct {
	Build       int     `json:"build"`
	Stage       int     `json:"stage"`
	Phase       string  `json:"phase"` // trial, going-back, released, withdrawn
	ExposureCap float64 `json:"cap"`
	AgeMs       int64   `json:"ageMs"` // since this state began
	Version     int64   `json:"version"`
}

// Counts is what was counted of one build and category.
type Counts struct {
	Build    int     `json:"build"`
	Class    string  `json:"category"`
	Failures int     `json:"bad"`
	Samples  int     `json:"samples"`
	MeanMs   float64 `json:"meanMs"`
	AgeMs    int64   `json:"ageMs"`
}

// Complaint is a client's word that an answer was wrong.
type Complaint struct {
	Router string `json:"router"`
	Host   uint32 `json:"host"`
	Class  string `json:"category"`
	AgeMs  int64  `json:"ageMs"` // since the task was sent
}

// Vote is a router's word on a build.
type Vote struct {
	Stage  int    `json:"stage"`
	Choice string `json:"voice"` // on, hold, back, none
}

// Phases and voices by their names, in the order of logic's constants.
var (
	Phases      = []string{"trial", "going-back", "released", "withdrawn"}
	VoteChoices = []string{"none", "on", "hold", "back"}
)

// Status is a release in the module's words.
func (r Release) Status() (policy.ReleaseStatus, error) {
	for i, name := range Phases {
		if name != r.Phase {
			continue
		}
		if r.Build < 1 || r.Stage < 0 || !(r.ExposureCap >= 0 && r.ExposureCap <= 1) || r.AgeMs < 0 {
			break
		}
		return policy.ReleaseStatus{Build: r.Build, Stage: r.Stage, Phase: policy.Phase(i), ExposureCap: r.ExposureCap,
			Age: policy.Time(r.AgeMs) * 10}, nil
	}
	return policy.ReleaseStatus{}, fmt.Errorf("news of a release that makes no sense: %+v", r)
}

// Order is what the controller wants of a host's agent: numbered goals, of which an older one arriving late is ignored.
type Order struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Build  int    `json:"build"`
	Goal   string `json:"goal"` // stage, serve, release, take-back
	Old    bool   `json:"old,omitempty"`
	To     string `json:"to,omitempty"` // with take-back of a released build: what to run in its place
	ToNum  int    `json:"toBuild,omitempty"`
}

// AgentReport is one transition of a build at a host, or a change of how its process is to be listed.
type AgentReport struct {
	Number  uint64 `json:"number"` // of the agent's reports, in order
	Build   int    `json:"build"`
	Digest  string `json:"digest"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
	Cause   string `json:"cause,omitempty"`
	AtMs    int64  `json:"atMs"`              // since the epoch
	Listing string `json:"listing,omitempty"` // serving, draining, gone
	Address string `json:"address,omitempty"`
	UpMs    int64  `json:"upMs,omitempty"`
}
