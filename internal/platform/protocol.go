package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"dapplefront/policy"
)

// Paths of the control service, as defined in section "The platform" of the operators' protocol page. That section also
// defines all JSON names and values in this file.
const (
	feedPath  = "/apis/fleet/feed"
	votesPath = "/apis/fleet/ballots"
)

// Types of the feed's messages that are handled. Others are keep-alives or come from later versions of the platform.
const (
	messageReleaseStatus = "stage"
	messageComplaint     = "flag"
)

// message is one object of the feed.
type message struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// ReleaseStatus is the release status of the newest build as the platform sends it. Required numbers are pointers, so that
// a missing one is detected.
type ReleaseStatus struct {
	Build       *int     `json:"release"`
	Stage       *int     `json:"tranche"`
	Phase       string   `json:"mode"`     // a key of phases
	ExposureCap *float64 `json:"exposure"` // from 0 to 1
	AgeMs       *float64 `json:"old_ms"`   // milliseconds since the status changed
}

// complaint reports that an endpoint gave a wrong response to an attempt.
type complaint struct {
	Endpoint string   `json:"unit"`
	Class    string   `json:"product"`
	AgeMs    *float64 `json:"old_ms"` // milliseconds since the attempt was sent
}

// voteRequest is the body of a vote. Earlier versions wrote the fields in the same order.
type voteRequest struct {
	Build  int    `json:"release"`
	Choice string `json:"ruling"` // a value of choiceNames
	Stage  int    `json:"tranche"`
}

// voteResponse is the response to a vote: the release status or an error code.
type voteResponse struct {
	ReleaseStatus
	Error string `json:"error"`
}

// phases maps the platform's modes to the policy's phases.
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

// voteErrors lists the error responses that say that a vote was not counted, by HTTP status: the error code and the result
// of the vote.
var voteErrors = map[int]struct {
	code   string
	result policy.VoteResult
}{
	http.StatusTooManyRequests:     {"too_many_calls", policy.VoteRejected},
	http.StatusConflict:            {"out_of_date", policy.VoteStale},
	http.StatusInternalServerError: {"unavailable", policy.VoteRejected},
	http.StatusBadRequest:          {"bad_request", policy.VoteRejected},
}

// Status converts the status to the policy's type. It returns an error if a field is missing or out of range.
func (s ReleaseStatus) Status() (policy.ReleaseStatus, error) {
	const ticksPerMillisecond = 10
	phase, ok := phases[s.Phase]
	switch {
	case s.Build == nil || s.Stage == nil || s.ExposureCap == nil || s.AgeMs == nil:
		return policy.ReleaseStatus{}, errors.New("release status: release, tranche, exposure or old_ms is missing")
	case !ok:
		return policy.ReleaseStatus{}, fmt.Errorf("release status: unknown mode %q", s.Phase)
	case *s.Build < 0 || *s.Stage < 0 || *s.AgeMs < 0 || !(*s.ExposureCap >= 0 && *s.ExposureCap <= 1):
		return policy.ReleaseStatus{}, errors.New("release status: release, tranche, exposure or old_ms is out of range")
	}
	return policy.ReleaseStatus{Build: *s.Build, Stage: *s.Stage, Phase: phase, ExposureCap: *s.ExposureCap,
		Age: policy.Time(*s.AgeMs * ticksPerMillisecond)}, nil
}

// check returns an error if the endpoint or the age is missing or the age is negative.
func (c complaint) check() error {
	if c.Endpoint == "" || c.AgeMs == nil || *c.AgeMs < 0 {
		return errors.New("complaint (flag): unit or old_ms is missing, or old_ms is negative")
	}
	return nil
}

// age is the time since the attempt was sent.
func (c complaint) age() time.Duration { return time.Duration(*c.AgeMs * float64(time.Millisecond)) }

// decodeVoteResponse decodes the response to a vote. Along with an error, it returns the vote's result: after a response that
// can't be decoded, it is unknown whether the vote was counted.
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
