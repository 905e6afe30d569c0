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

// News is where the newest build stands, as the platform tells it.
type News struct {
	Release  *int     `json:"release"`
	Tranche  *int     `json:"tranche"`
	Mode     string   `json:"mode"`
	Exposure *float64 `json:"exposure"`
	OldMs    *float64 `json:"old_ms"`
}

var (
	modes = map[string]policy.Phase{"testing": policy.Canary, "recalling": policy.RollingBack, "live": policy.Released,
		"recalled": policy.RolledBack}
	rulings = map[policy.VoteChoice]string{policy.Abstain: "blank", policy.Promote: "go", policy.Hold: "stay", policy.Rollback: "stop"}
	refused = map[int]struct {
		word string
		as   policy.VoteResult
	}{429: {"too_many_calls", policy.VoteRejected}, 409: {"out_of_date", policy.VoteStale}, 500: {"unavailable", policy.VoteRejected},
		400: {"bad_request", policy.VoteRejected}}
)

// Read is the module's word for news; an error where it can't be.
func (n News) Read() (policy.ReleaseStatus, error) {
	phase, ok := modes[n.Mode]
	switch {
	case n.Release == nil || n.Tranche == nil || n.Exposure == nil || n.OldMs == nil:
		return policy.ReleaseStatus{}, errors.New("news without release, tranche, exposure or old_ms")
	case !ok:
		return policy.ReleaseStatus{}, fmt.Errorf("news of the mode %q, which is none known", n.Mode)
	case *n.Release < 0 || *n.Tranche < 0 || *n.OldMs < 0 || !(*n.Exposure >= 0 && *n.Exposure <= 1):
		return policy.ReleaseStatus{}, errors.New("news with a figure that can't be")
	}
	return policy.ReleaseStatus{Build: *n.Release, Stage: *n.Tranche, Phase: phase, ExposureCap: *n.Exposure,
		Age: policy.Time(*n.OldMs * 10)}, nil
}

// Client is one router's link.
type Client struct {
	hear   controlclient.Handler
	number func(unit string, at time.Time) (uint32, bool)
	within time.Duration
	feed   *jsonstream.Stream
	client *http.Client
	fails  atomic.Int64 // of the feed, in a row
	stop   context.CancelFunc
	over   context.Context
}

// Within are a feed's times: it gives a sign of life every second.
var Within = jsonstream.Timeouts{First: 2 * time.Second, Silence: 3500 * time.Millisecond}

// Open starts the feed. number tells which host a unit was at a time; within is how long a vote waits for its reply.
func Open(address string, within time.Duration, number func(string, time.Time) (uint32, bool), hear controlclient.Handler) *Client {
	l := &Client{hear: hear, number: number, within: within, client: jsonstream.Client()}
	l.over, l.stop = context.WithCancel(context.Background())
	l.feed = jsonstream.New(address, Within, jsonstream.Handler{Ended: l.ended,
		Open: func() (string, func(json.RawMessage) error) { return "/apis/fleet/feed", l.value }})
	l.feed.Open()
	return l
}

// Move goes over to another address at once; the old feed is heard until the new one speaks.
func (l *Client) Move(address string) { l.feed.Move(address) }

// Address is the one that is spoken to.
func (l *Client) Address() string { return l.feed.Address() }

// Tried tells whether the feed has been asked for once, and has spoken or failed to.
func (l *Client) Tried() bool { return l.feed.Tried() }

// Close ends the link; votes under way end as unclear.
func (l *Client) Close() {
	l.stop()
	l.feed.Close()
}

// ended takes the feed up again, at once the first time and then with a growing wait.
func (l *Client) ended(err error) {
	l.hear.Failed(err)
	n := l.fails.Add(1)
	if n == 1 {
		l.feed.Open()
		return
	}
	const first, last = 100 * time.Millisecond, time.Second
	time.AfterFunc(min(last, first<<min(n-2, 10)), l.feed.Open)
}

func (l *Client) value(text json.RawMessage) error {
	var m struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	switch m.Type {
	case "stage":
		var n News
		if err := json.Unmarshal(m.Object, &n); err != nil {
			return err
		}
		news, err := n.Read()
		if err != nil {
			return err
		}
		l.hear.Release(news)
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
		if n, ok := l.number(f.Unit, time.Now().Add(-time.Duration(*f.OldMs*float64(time.Millisecond)))); ok {
			l.hear.Complaint(api.Complaint{Host: n, Class: f.Product, AgeMs: int64(*f.OldMs)})
		}
	} // others are signs of life, or of newer platforms
	l.fails.Store(0)
	return nil
}

// Vote casts a vote in the background and calls done once with what became of it.
func (l *Client) Vote(build, stage int, voice policy.VoteChoice, done func(policy.ReleaseStatus)) {
	l.hear.VoteResult(build, func() (policy.ReleaseStatus, error) { return l.vote(build, stage, voice) }, done)
}

func (l *Client) vote(build, stage int, voice policy.VoteChoice) (policy.ReleaseStatus, error) {
	became := func(a policy.VoteResult, err error) (policy.ReleaseStatus, error) {
		return policy.ReleaseStatus{Build: build, Stage: stage, VoteResult: a}, err
	}
	ctx, cancel := context.WithTimeout(l.over, l.within)
	defer cancel()
	var whole atomic.Bool // all of it was written, so that it may count
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(w httptrace.WroteRequestInfo) {
		whole.Store(w.Err == nil)
	}})
	body, err := json.Marshal(map[string]any{"release": build, "tranche": stage, "ruling": rulings[voice]})
	if err != nil {
		return became(policy.VoteRejected, err)
	}
	ask, err := http.NewRequestWithContext(ctx, "POST", "http://"+l.feed.Address()+"/apis/fleet/ballots", bytes.NewReader(body))
	if err != nil {
		return became(policy.VoteRejected, err)
	}
	ask.Header.Set("Content-Type", "application/json")
	got, err := l.client.Do(ask)
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
		News
		Error string `json:"error"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return became(policy.VoteUnknown, err)
	}
	if got.StatusCode == http.StatusOK {
		n, err := answer.Read()
		if err != nil {
			return became(policy.VoteUnknown, err)
		}
		n.VoteResult = policy.VoteAccepted
		return n, nil
	}
	if r, ok := refused[got.StatusCode]; ok && r.word == answer.Error {
		return became(r.as, fmt.Errorf("status %s, %s", got.Status, answer.Error))
	}
	return became(policy.VoteUnknown, fmt.Errorf("status %s, %.100s", got.Status, text))
}

// Report does nothing: the platform counts tasks itself.
func (l *Client) Report(int, map[string]int) {}

// AcknowledgePlan does nothing: the platform has no plans.
func (l *Client) AcknowledgePlan(uint64, string) {}
