// Package platform is a router's link to the operators' control service: its feed of news and complaints, and votes. It
// tells the same as internal/desk does and decides nothing.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"dapplefront/internal/api"
	"dapplefront/internal/controlclient"
	"dapplefront/internal/jsonstream"
	"dapplefront/policy"
)

// ReleaseStatus is where the newest build stands, as the platform tells it.
type ReleaseStatus struct {
	Release     *int     `json:"release"`
	Stage       *int     `json:"tranche"`
	Phase       string   `json:"mode"`
	ExposureCap *float64 `json:"exposure"`
	AgeMs       *float64 `json:"old_ms"`
}

var (
	phases = map[string]policy.Phase{"testing": policy.Canary, "recalling": policy.RollingBack, "live": policy.Released,
		"recalled": policy.RolledBack}
	voteWords  = map[policy.VoteChoice]string{policy.Abstain: "blank", policy.Promote: "go", policy.Hold: "stay", policy.Rollback: "stop"}
	voteErrors = map[int]struct {
		word string
		as   policy.VoteResult
	}{429: {"too_many_calls", policy.VoteRejected}, 409: {"out_of_date", policy.VoteStale}, 500: {"unavailable", policy.VoteRejected},
		400: {"bad_request", policy.VoteRejected}}
)

// Status is the module's word for news; an error where it can't be.
func (n ReleaseStatus) Status() (policy.ReleaseStatus, error) {
	phase, ok := phases[n.Phase]
	switch {
	case n.Release == nil || n.Stage == nil || n.ExposureCap == nil || n.AgeMs == nil:
		return policy.ReleaseStatus{}, errors.New("news without release, tranche, exposure or old_ms")
	case !ok:
		return policy.ReleaseStatus{}, fmt.Errorf("news of the mode %q, which is none known", n.Phase)
	case *n.Release < 0 || *n.Stage < 0 || *n.AgeMs < 0 || !(*n.ExposureCap >= 0 && *n.ExposureCap <= 1):
		return policy.ReleaseStatus{}, errors.New("news with a figure that can't be")
	}
	return policy.ReleaseStatus{Build: *n.Release, Stage: *n.Stage, Phase: phase, ExposureCap: *n.ExposureCap,
		Age: policy.Time(*n.AgeMs * 10)}, nil
}

// Client is one router's link.
type Client struct {
	handler      controlclient.Handler
	hostID       func(unit string, at time.Time) (uint32, bool)
	voteTimeout  time.Duration
	feed         *jsonstream.Stream
	http         *http.Client
	feedFailures atomic.Int64 // of the feed, in a row
	cancel       context.CancelFunc
	ctx          context.Context
}

// FeedTimeouts are a feed's times: it gives a sign of life every second.
var FeedTimeouts = jsonstream.Timeouts{FirstValue: 2 * time.Second, Idle: 3500 * time.Millisecond}

// Open starts the feed. number tells which host a unit was at a time; within is how long a vote waits for its reply.
func Open(address string, within time.Duration, number func(string, time.Time) (uint32, bool), hear controlclient.Handler) *Client {
	l := &Client{handler: hear, hostID: number, voteTimeout: within, http: jsonstream.NewHTTPClient()}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.feed = jsonstream.New(address, FeedTimeouts, jsonstream.Handler{Ended: l.feedEnded,
		Open: func() (string, func(json.RawMessage) error) { return "/apis/fleet/feed", l.handleFeedValue }})
	l.feed.Open()
	return l
}

// SetAddress goes over to another address at once; the old feed is heard until the new one speaks.
func (l *Client) SetAddress(address string) { l.feed.SetAddress(address) }

// Address is the one that is spoken to.
func (l *Client) Address() string { return l.feed.Address() }

// Attempted tells whether the feed has been asked for once, and has spoken or failed to.
func (l *Client) Attempted() bool { return l.feed.Attempted() }

// Close ends the link; votes under way end as unclear.
func (l *Client) Close() {
	l.cancel()
	l.feed.Close()
}

// feedEnded takes the feed up again, at once the first time and then with a growing wait.
func (l *Client) feedEnded(err error) {
	l.handler.Failed(err)
	n := l.feedFailures.Add(1)
	if n == 1 {
		l.feed.Open()
		return
	}
	const first, last = 100 * time.Millisecond, time.Second
	time.AfterFunc(min(last, first<<min(n-2, 10)), l.feed.Open)
}

func (l *Client) handleFeedValue(text json.RawMessage) error {
	var m struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	switch m.Type {
	case "stage":
		var n ReleaseStatus
		if err := json.Unmarshal(m.Object, &n); err != nil {
			return err
		}
		news, err := n.Status()
		if err != nil {
			return err
		}
		l.handler.Release(news)
	case "flag":
		var f struct {
			Unit    string   `json:"unit"`
			Product string   `json:"product"`
			OldMs   *float64 `json:"old_ms"`
		}
		if err := json.Unmarshal(m.Object, &f); err != nil {
			return err
		}
		if f.Unit == "" || f.OldMs == nil || *f.OldMs < 0 {
			return errors.New("a flag without unit or old_ms")
		}
		if n, ok := l.hostID(f.Unit, time.Now().Add(-time.Duration(*f.OldMs*float64(time.Millisecond)))); ok {
			l.handler.Complaint(api.Complaint{Host: n, Class: f.Product, AgeMs: int64(*f.OldMs)})
		}
	} // others are signs of life, or of newer platforms
	l.feedFailures.Store(0)
	return nil
}

// Vote casts a vote in the background and calls done once with what became of it.
func (l *Client) Vote(build, stage int, voice policy.VoteChoice, done func(policy.ReleaseStatus)) {
	l.handler.VoteResult(build, func() (policy.ReleaseStatus, error) { return l.vote(build, stage, voice) }, done)
}

func (l *Client) vote(build, stage int, voice policy.VoteChoice) (policy.ReleaseStatus, error) {
	became := func(a policy.VoteResult, err error) (policy.ReleaseStatus, error) {
		return policy.ReleaseStatus{Build: build, Stage: stage, VoteResult: a}, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.voteTimeout)
	defer cancel()
	var whole atomic.Bool // all of it was written, so that it may count
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(w httptrace.WroteRequestInfo) {
		whole.Store(w.Err == nil)
	}})
	body, err := json.Marshal(map[string]any{"release": build, "tranche": stage, "ruling": voteWords[voice]})
	if err != nil {
		return became(policy.VoteRejected, err)
	}
	ask, err := http.NewRequestWithContext(ctx, "POST", "http://"+l.feed.Address()+"/apis/fleet/ballots", bytes.NewReader(body))
	if err != nil {
		return became(policy.VoteRejected, err)
	}
	ask.Header.Set("Content-Type", "application/json")
	got, err := l.http.Do(ask)
	if err != nil {
		if whole.Load() {
			return became(policy.VoteUnknown, err)
		}
		return became(policy.VoteRejected, err)
	}
	defer got.Body.Close()
	const largest = 64 << 10
	text, err := io.ReadAll(io.LimitReader(got.Body, largest))
	if err != nil {
		return became(policy.VoteUnknown, err)
	}
	var answer struct {
		ReleaseStatus
		Error string `json:"error"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return became(policy.VoteUnknown, err)
	}
	if got.StatusCode == http.StatusOK {
		n, err := answer.Status()
		if err != nil {
			return became(policy.VoteUnknown, err)
		}
		n.VoteResult = policy.VoteAccepted
		return n, nil
	}
	if r, ok := voteErrors[got.StatusCode]; ok && r.word == answer.Error {
		return became(r.as, fmt.Errorf("status %s, %s", got.Status, answer.Error))
	}
	return became(policy.VoteUnknown, fmt.Errorf("status %s, %.100s", got.Status, text))
}

// Report does nothing: the platform counts tasks itself.
func (l *Client) Report(int, map[string]int) {}

// AcknowledgePlan does nothing: the platform has no plans.
func (l *Client) AcknowledgePlan(uint64, string) {}
