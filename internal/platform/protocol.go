package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"dapplefront/policy"
)

// Paths of the control service, by "The platform" in the operators' protocol page. All JSON names and words in this file
// are that section's.
const (
	feedPath  = "/apis/fleet/feed"
	votesPath = "/apis/fleet/ballots"
)

// Types of the feed's messages. Others are keep-alives or of later versions of the platform.
const (
	messageReleaseStatus = "stage"
	messageComplaint     = "flag"
)

// message is one object of the feed.
type message struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// ReleaseStatus is the release status of the newest build as the platform sends it. Fields that have to be there are
// pointers, so that a missing one is noticed.
type ReleaseStatus struct {
	Build       *int     `json:"release"`
	Stage       *int     `json:"tranche"`
	Phase       string   `json:"mode"`     // a key of phases
	ExposureCap *float64 `json:"exposure"` // from 0 to 1
	AgeMs       *float64 `json:"old_ms"`   // since the status changed
}

// complaint reports a wrong response of an endpoint to an attempt.
type complaint struct {
	Endpoint string   `json:"unit"`
	Class    string   `json:"product"`
	AgeMs    *float64 `json:"old_ms"` // since the attempt was sent
}

// voteRequest is a vote. Its fields are in the order in which earlier versions wrote them.
type voteRequest struct {
	Build  int    `json:"release"`
	Choice string `json:"ruling"` // a value of choiceNames
	Stage  int    `json:"tranche"`
}

// voteResponse is the answer to a vote: the release status, or what was wrong.
type voteResponse struct {
	ReleaseStatus
	Error string `json:"error"`
}

// phases maps the platform's modes to the router's terms.
var phases = map[string]policy.Phase{
	"testing":   policy.Canary,
	"recalling": policy.RollingBack,
	"live":      policy.Released,
	"recalled":  policy.RolledBack,
}

// choiceNames maps votes to the platform's rulings.
var choiceNames = map[policy.VoteChoice]string{
	policy.Abstain:  "blank",
	policy.Promote:  "go",
	policy.Hold:     "stay",
	policy.Rollback: "stop",
}

// voteErrors are the answers that say that a vote was not counted, by status: the error code and the result of the vote.
var voteErrors = map[int]struct {
	code   string
	result policy.VoteResult
}{
	http.StatusTooManyRequests:     {"too_many_calls", policy.VoteRejected},
	http.StatusConflict:            {"out_of_date", policy.VoteStale},
	http.StatusInternalServerError: {"unavailable", policy.VoteRejected},
	http.StatusBadRequest:          {"bad_request", policy.VoteRejected},
}

// Status is the status in the router's terms; an error if a field is missing or out of range.
func (s ReleaseStatus) Status() (policy.ReleaseStatus, error) {
	const ticksPerMillisecond = 10
	phase, ok := phases[s.Phase]
	switch {
	case s.Build == nil || s.Stage == nil || s.ExposureCap == nil || s.AgeMs == nil:
		return policy.ReleaseStatus{}, errors.New("news without release, tranche, exposure or old_ms")
	case !ok:
		return policy.ReleaseStatus{}, fmt.Errorf("news of the mode %q, which is none known", s.Phase)
	case *s.Build < 0 || *s.Stage < 0 || *s.AgeMs < 0 || !(*s.ExposureCap >= 0 && *s.ExposureCap <= 1):
		return policy.ReleaseStatus{}, errors.New("news with a figure that can't be")
	}
	return policy.ReleaseStatus{Build: *s.Build, Stage: *s.Stage, Phase: phase, ExposureCap: *s.ExposureCap,
		Age: policy.Time(*s.AgeMs * ticksPerMillisecond)}, nil
}

// check returns an error for a complaint without endpoint or age.
func (c complaint) check() error {
	if c.Endpoint == "" || c.AgeMs == nil || *c.AgeMs < 0 {
		return errors.New("a flag without unit or old_ms")
	}
	return nil
}

// age is the time since the attempt was sent.
func (c complaint) age() time.Duration { return time.Duration(*c.AgeMs * float64(time.Millisecond)) }

// decodeVoteResponse reads the answer to a vote. An error comes with the vote's result: what can't be read leaves open
// whether the vote was counted.
func decodeVoteResponse(response *http.Response, text []byte) (policy.ReleaseStatus, policy.VoteResult, error) {
	var body voteResponse
	if err := json.Unmarshal(text, &body); err != nil {
		return policy.ReleaseStatus{}, policy.VoteUnknown, err
	}
	if response.StatusCode == http.StatusOK {
		status, err := body.Status()
		if err != nil {
			return policy.ReleaseStatus{}, policy.VoteUnknown, err
		}
		return status, policy.VoteAccepted, nil
	}
	if e, ok := voteErrors[response.StatusCode]; ok && e.code == body.Error {
		return policy.ReleaseStatus{}, e.result, fmt.Errorf("status %s, %s", response.Status, body.Error)
	}
	return policy.ReleaseStatus{}, policy.VoteUnknown, fmt.Errorf("status %s, %.100s", response.Status, text)
}
