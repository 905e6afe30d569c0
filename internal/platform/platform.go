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
	"dapplefront/internal/desk"
	"dapplefront/internal/stream"
	"dapplefront/logic"
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
	modes = map[string]logic.Phase{"testing": logic.OnTrial, "recalling": logic.GoingBack, "live": logic.Released,
		"recalled": logic.Withdrawn}
	rulings = map[logic.Voice]string{logic.NoVote: "blank", logic.On: "go", logic.Hold: "stay", logic.Back: "stop"}
	refused = map[int]struct {
		word string
		as   logic.Answer
	}{429: {"too_many_calls", logic.Refused}, 409: {"out_of_date", logic.Moot}, 500: {"unavailable", logic.Refused},
		400: {"bad_request", logic.Refused}}
)

// Read is the module's word for news; an error where it can't be.
func (n News) Read() (logic.News, error) {
	phase, ok := modes[n.Mode]
	switch {
	case n.Release == nil || n.Tranche == nil || n.Exposure == nil || n.OldMs == nil:
		return logic.News{}, errors.New("news without release, tranche, exposure or old_ms")
	case !ok:
		return logic.News{}, fmt.Errorf("news of the mode %q, which is none known", n.Mode)
	case *n.Release < 0 || *n.Tranche < 0 || *n.OldMs < 0 || !(*n.Exposure >= 0 && *n.Exposure <= 1):
		return logic.News{}, errors.New("news with a figure that can't be")
	}
	return logic.News{Build: *n.Release, Stage: *n.Tranche, Phase: phase, Cap: *n.Exposure,
		Age: logic.Time(*n.OldMs * 10)}, nil
}

// Link is one router's link.
type Link struct {
	hear   desk.Hear
	number func(unit string, at time.Time) (uint32, bool)
	within time.Duration
	feed   *stream.Stream
	client *http.Client
	fails  atomic.Int64 // of the feed, in a row
	stop   context.CancelFunc
	over   context.Context
}

// Within are a feed's times: it gives a sign of life every second.
var Within = stream.Timeouts{First: 2 * time.Second, Silence: 3500 * time.Millisecond}

// Open starts the feed. number tells which host a unit was at a time; within is how long a vote waits for its reply.
func Open(address string, within time.Duration, number func(string, time.Time) (uint32, bool), hear desk.Hear) *Link {
	l := &Link{hear: hear, number: number, within: within, client: stream.Client()}
	l.over, l.stop = context.WithCancel(context.Background())
	l.feed = stream.New(address, Within, stream.Handler{Ended: l.ended,
		Open: func() (string, func(json.RawMessage) error) { return "/apis/fleet/feed", l.value }})
	l.feed.Open()
	return l
}

// Move goes over to another address at once; the old feed is heard until the new one speaks.
func (l *Link) Move(address string) { l.feed.Move(address) }

// Address is the one that is spoken to.
func (l *Link) Address() string { return l.feed.Address() }

// Tried tells whether the feed has been asked for once, and has spoken or failed to.
func (l *Link) Tried() bool { return l.feed.Tried() }

// Close ends the link; votes under way end as unclear.
func (l *Link) Close() {
	l.stop()
	l.feed.Close()
}

// ended takes the feed up again, at once the first time and then with a growing wait.
func (l *Link) ended(err error) {
	l.hear.Trouble(err)
	n := l.fails.Add(1)
	if n == 1 {
		l.feed.Open()
		return
	}
	const first, last = 100 * time.Millisecond, time.Second
	time.AfterFunc(min(last, first<<min(n-2, 10)), l.feed.Open)
}

func (l *Link) value(text json.RawMessage) error {
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
			l.hear.Complaint(api.Complaint{Host: n, Category: f.Product, AgeMs: int64(*f.OldMs)})
		}
	} // others are signs of life, or of newer platforms
	l.fails.Store(0)
	return nil
}

// Vote casts a vote in the background and calls done once with what became of it.
func (l *Link) Vote(build, stage int, voice logic.Voice, done func(logic.News)) {
	l.hear.Cast(build, func() (logic.News, error) { return l.vote(build, stage, voice) }, done)
}

func (l *Link) vote(build, stage int, voice logic.Voice) (logic.News, error) {
	became := func(a logic.Answer, err error) (logic.News, error) {
		return logic.News{Build: build, Stage: stage, Answer: a}, err
	}
	ctx, cancel := context.WithTimeout(l.over, l.within)
	defer cancel()
	var whole atomic.Bool // all of it was written, so that it may count
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(w httptrace.WroteRequestInfo) {
		whole.Store(w.Err == nil)
	}})
	body, err := json.Marshal(map[string]any{"release": build, "tranche": stage, "ruling": rulings[voice]})
	if err != nil {
		return became(logic.Refused, err)
	}
	ask, err := http.NewRequestWithContext(ctx, "POST", "http://"+l.feed.Address()+"/apis/fleet/ballots", bytes.NewReader(body))
	if err != nil {
		return became(logic.Refused, err)
	}
	ask.Header.Set("Content-Type", "application/json")
	got, err := l.client.Do(ask)
	if err != nil {
		if whole.Load() {
			return became(logic.Unclear, err)
		}
		return became(logic.Refused, err)
	}
	defer got.Body.Close()
	const largest = 64 << 10
	text, err := io.ReadAll(io.LimitReader(got.Body, largest))
	if err != nil {
		return became(logic.Unclear, err)
	}
	var answer struct {
		News
		Error string `json:"error"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return became(logic.Unclear, err)
	}
	if got.StatusCode == http.StatusOK {
		n, err := answer.Read()
		if err != nil {
			return became(logic.Unclear, err)
		}
		n.Answer = logic.Counted
		return n, nil
	}
	if r, ok := refused[got.StatusCode]; ok && r.word == answer.Error {
		return became(r.as, fmt.Errorf("status %s, %s", got.Status, answer.Error))
	}
	return became(logic.Unclear, fmt.Errorf("status %s, %.100s", got.Status, text))
}

// Report does nothing: the platform counts tasks itself.
func (l *Link) Report(int, map[string]int) {}

// Heed does nothing: the platform has no plans.
func (l *Link) Heed(uint64, string) {}
