package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"dapplefront/policy"
)

const maxResponseBytes = 64 << 10

// Vote casts a vote in the background and calls done once with its result and, if it was accepted, the release status.
func (c *Client) Vote(build, stage int, choice policy.VoteChoice, done func(policy.ReleaseStatus)) {
	c.handler.CastVote(build, func() (policy.ReleaseStatus, error) { return c.vote(build, stage, choice) }, done)
}

// vote casts a vote. The vote is certainly not counted if the request could not be written completely or if the platform
// says so; after any other failure, its result is unknown.
func (c *Client) vote(build, stage int, choice policy.VoteChoice) (policy.ReleaseStatus, error) {
	failed := func(result policy.VoteResult, err error) (policy.ReleaseStatus, error) {
		return policy.ReleaseStatus{Build: build, Stage: stage, VoteResult: result}, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.voteTimeout)
	defer cancel()
	var written atomic.Bool // whether the whole request was written, so that the vote may have been counted
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(w httptrace.WroteRequestInfo) {
		written.Store(w.Err == nil)
	}})
	request, err := c.newVoteRequest(ctx, build, stage, choice)
	if err != nil {
		return failed(policy.VoteRejected, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if written.Load() {
			return failed(policy.VoteUnknown, err)
		}
		return failed(policy.VoteRejected, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read or is no longer needed
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return failed(policy.VoteUnknown, err)
	}
	status, result, err := decodeVoteResponse(response, text)
	if err != nil {
		return failed(result, err)
	}
	status.VoteResult = result
	return status, nil
}

func (c *Client) newVoteRequest(ctx context.Context, build, stage int, choice policy.VoteChoice) (*http.Request, error) {
	body, err := json.Marshal(voteRequest{Build: build, Choice: choiceNames[choice], Stage: stage})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.feed.Address()+votesPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
