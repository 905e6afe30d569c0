package controlclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"dapplefront/internal/api"
	"dapplefront/policy"
)

const maxReplyBytes = 64 << 10

// CastVote casts a vote in the background through the given function and calls done once with its result. An error is
// also passed to Failed.
func (h Handler) CastVote(build int, vote func() (policy.ReleaseStatus, error), done func(policy.ReleaseStatus)) {
	go func() {
		status, err := vote()
		if err != nil {
			h.Failed(fmt.Errorf("vote on build %d: %w", build, err))
		}
		done(status)
	}()
}

// Vote casts a vote in the background and calls done once with its result and, if it was accepted, the release status.
func (c *Client) Vote(build, stage int, choice policy.VoteChoice, done func(policy.ReleaseStatus)) {
	c.handler.CastVote(build, func() (policy.ReleaseStatus, error) { return c.vote(build, stage, choice) }, done)
}

// vote casts a vote. A vote that could not be sent was not counted, and its result is VoteRejected. Without a response the
// result is VoteUnknown.
func (c *Client) vote(build, stage int, choice policy.VoteChoice) (policy.ReleaseStatus, error) {
	failed := func(result policy.VoteResult, err error) (policy.ReleaseStatus, error) {
		return policy.ReleaseStatus{Build: build, Stage: stage, VoteResult: result}, err
	}
	ctx, cancel := c.withTimeout()
	defer cancel()
	body, err := json.Marshal(api.Vote{Stage: stage, Choice: api.VoteChoices[choice]})
	if err != nil {
		return failed(policy.VoteRejected, err)
	}
	response, err := c.sendJSON(ctx, http.MethodPut, fmt.Sprintf("/v1/releases/%d/votes/%s", build, c.routerPath()), body)
	if err != nil {
		var notSent *notSentError
		if isDialError(err) || errors.As(err, &notSent) {
			return failed(policy.VoteRejected, err)
		}
		return failed(policy.VoteUnknown, err)
	}
	defer func() { _ = response.Body.Close() }() // an error here doesn't affect the result
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict, http.StatusNotFound:
		return failed(policy.VoteStale, nil)
	case http.StatusGatewayTimeout: // the leader was lost during the change, which may have been made
		return failed(policy.VoteUnknown, fmt.Errorf("status %s", response.Status))
	default:
		return failed(policy.VoteRejected, fmt.Errorf("status %s", response.Status))
	}
	var release api.Release
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&release); err != nil {
		return failed(policy.VoteUnknown, err) // the status says accepted, but the release status is not known
	}
	status, err := release.Status()
	if err != nil {
		return failed(policy.VoteUnknown, err)
	}
	status.VoteResult = policy.VoteAccepted
	return status, nil
}
