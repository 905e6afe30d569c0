// Package controlclient is a router's link to the release controller: the watch of releases, counts and complaints by
// server-sent events, and votes. It decides nothing: what the desk tells goes to the router's mind, which votes.
package controlclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"dapplefront/internal/api"
	"dapplefront/internal/sse"
	"dapplefront/policy"
)

// Handler is what the link tells, from goroutines of its own.
type Handler struct {
	Release   func(policy.ReleaseStatus)
	Counts    func(api.Counts)
	Complaint func(api.Complaint)
	Plan      func(api.Plan)
	Failed    func(error) // the watch broke or an event made no sense; the watch is taken up again by itself
}

// Client is one router's link.
type Client struct {
	urls    []string
	current atomic.Int64 // the one of urls that is asked
	name    string
	zone    string
	timeout time.Duration
	handler Handler
	http    *http.Client
	cancel  context.CancelFunc
	done    chan struct{}
}

const maxReplyBytes = 64 << 10 // bytes of a reply to a vote

// Open starts the watch for a router that stands at a place. bases are the URLs of the controllers: where one is out of
// reach the next is asked. within is how long a vote waits for its reply; secure is nil for plain HTTP.
func Open(bases []string, name, place string, secure *tls.Config, within time.Duration, hear Handler) *Client {
	ctx, stop := context.WithCancel(context.Background())
	l := &Client{name: name, zone: place, timeout: within, handler: hear, cancel: stop,
		done: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, TLSClientConfig: secure, DialContext: (&net.Dialer{
			Timeout: within}).DialContext}}}
	for _, b := range bases {
		l.urls = append(l.urls, strings.TrimSuffix(b, "/"))
	}
	go l.watch(ctx)
	return l
}

func (l *Client) baseURL() string { return l.urls[int(l.current.Load())%len(l.urls)] }

// Close ends the link and waits for the watch to end. Votes under way end by themselves.
func (l *Client) Close() {
	l.cancel()
	<-l.done
	l.http.CloseIdleConnections()
}

func (l *Client) watch(ctx context.Context) {
	defer close(l.done)
	sse.FollowAny(ctx, l.http, func() string { return l.baseURL() + "/v1/watch?router=" + url.QueryEscape(l.name) }, l.handleEvent, func(err error) {
		l.current.Add(1)
		l.handler.Failed(err)
	})
}

func (l *Client) handleEvent(event string, data []byte) error {
	switch event {
	case api.EventRelease:
		var r api.Release
		if err := json.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("event %s: %w", event, err)
		}
		n, err := r.Status()
		if err != nil {
			return err
		}
		l.handler.Release(n)
	case api.EventCounts:
		var c api.Counts
		if err := json.Unmarshal(data, &c); err != nil {
			return fmt.Errorf("event %s: %w", event, err)
		}
		if c.Failures < 0 || c.Samples < c.Failures || c.MeanMs < 0 || c.AgeMs < 0 {
			return fmt.Errorf("counts that make no sense: %s", data)
		}
		l.handler.Counts(c)
	case api.EventComplaint:
		var c api.Complaint
		if err := json.Unmarshal(data, &c); err != nil {
			return fmt.Errorf("event %s: %w", event, err)
		}
		if c.AgeMs < 0 {
			return fmt.Errorf("a complaint that makes no sense: %s", data)
		}
		l.handler.Complaint(c)
	case api.EventPlan:
		var n api.PlanNotice
		if err := json.Unmarshal(data, &n); err != nil {
			return fmt.Errorf("event %s: %w", event, err)
		}
		p, err := l.fetchPlan(n.Version)
		if err != nil {
			return fmt.Errorf("plan %d: %w", n.Version, err)
		}
		l.handler.Plan(p)
	}
	return nil // others are of newer desks
}

const maxPlanBytes = 16 << 20 // some 500,000 hosts

// fetchPlan reads a version for the router's place.
func (l *Client) fetchPlan(version uint64) (p api.Plan, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("%s/v1/plans/%d/for/%s", l.baseURL(), version, url.PathEscape(l.zone)), nil)
	if err != nil {
		return p, err
	}
	got, err := l.http.Do(ask)
	if err != nil {
		return p, err
	}
	defer got.Body.Close()
	if got.StatusCode != http.StatusOK {
		return p, fmt.Errorf("status %s", got.Status)
	}
	return p, json.NewDecoder(io.LimitReader(got.Body, maxPlanBytes)).Decode(&p)
}

// Report adds what became of tasks at a build, in the background. It is sent again, elsewhere, as long as it surely did not
// count; one that may have counted is not.
func (l *Client) Report(build int, tasks map[string]int) {
	go func() {
		const tries, pause = 6, 400 * time.Millisecond // a little longer than controllers take to find a leader
		body, err := json.Marshal(api.BuildReport{Tasks: tasks})
		for n := 0; err == nil && n < tries; n++ {
			var again bool
			if again, err = l.sendReport(build, body); !again {
				break
			}
			err = nil
			time.Sleep(pause)
		}
		if err != nil {
			l.handler.Failed(fmt.Errorf("the report on build %d: %w", build, err))
		}
	}()
}

// sendReport sends one; again tells that it surely did not count and may be sent once more.
func (l *Client) sendReport(build int, body []byte) (again bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	at := l.current.Load()
	ask, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("%s/v1/releases/%d/reports", l.baseURL(), build), bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	ask.Header.Set("Content-Type", "application/json")
	got, err := l.http.Do(ask)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		l.current.CompareAndSwap(at, at+1)
		return true, err
	} else if err != nil {
		return false, err
	}
	_ = got.Body.Close()
	if got.StatusCode >= 300 {
		return got.StatusCode == http.StatusServiceUnavailable, fmt.Errorf("status %s", got.Status)
	}
	return false, nil
}

// AcknowledgePlan tells in the background whether a version is followed; with a reason it is not.
func (l *Client) AcknowledgePlan(version uint64, reason string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
		defer cancel()
		body, err := json.Marshal(api.PlanAck{Followed: reason == "", Reason: reason})
		if err != nil {
			l.handler.Failed(err)
			return
		}
		ask, err := http.NewRequestWithContext(ctx, "PUT", fmt.Sprintf("%s/v1/plans/%d/routers/%s", l.baseURL(), version,
			url.PathEscape(l.name)), bytes.NewReader(body))
		if err != nil {
			l.handler.Failed(err)
			return
		}
		ask.Header.Set("Content-Type", "application/json")
		got, err := l.http.Do(ask)
		if err != nil {
			l.handler.Failed(fmt.Errorf("the word on plan %d: %w", version, err)) // the next version is told again
			return
		}
		_ = got.Body.Close()
	}()
}

// VoteResult casts a vote in the background by whatever protocol and calls done once with what became of it; what went wrong
// is told beside.
func (h Handler) VoteResult(build int, vote func() (policy.ReleaseStatus, error), done func(policy.ReleaseStatus)) {
	go func() {
		n, err := vote()
		if err != nil {
			h.Failed(fmt.Errorf("a vote on build %d: %w", build, err))
		}
		done(n)
	}()
}

// Vote casts a vote in the background and calls done once with what became of it.
func (l *Client) Vote(build, stage int, voice policy.VoteChoice, done func(policy.ReleaseStatus)) {
	l.handler.VoteResult(build, func() (policy.ReleaseStatus, error) { return l.vote(build, stage, voice) }, done)
}

func (l *Client) vote(build, stage int, voice policy.VoteChoice) (policy.ReleaseStatus, error) {
	moot := func(a policy.VoteResult, err error) (policy.ReleaseStatus, error) {
		return policy.ReleaseStatus{Build: build, Stage: stage, VoteResult: a}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.timeout)
	defer cancel()
	body, err := json.Marshal(api.Vote{Stage: stage, Choice: api.VoteChoices[voice]})
	if err != nil {
		return moot(policy.VoteRejected, err)
	}
	ask, err := http.NewRequestWithContext(ctx, "PUT", fmt.Sprintf("%s/v1/releases/%d/votes/%s", l.baseURL(), build,
		url.PathEscape(l.name)), bytes.NewReader(body))
	if err != nil {
		return moot(policy.VoteRejected, err)
	}
	ask.Header.Set("Content-Type", "application/json")
	got, err := l.http.Do(ask)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return moot(policy.VoteRejected, err) // it never reached the desk
		}
		return moot(policy.VoteUnknown, err)
	}
	defer got.Body.Close()
	switch {
	case got.StatusCode == http.StatusConflict || got.StatusCode == http.StatusNotFound:
		return moot(policy.VoteStale, nil)
	case got.StatusCode == http.StatusGatewayTimeout: // the leader was lost on the way
		return moot(policy.VoteUnknown, fmt.Errorf("status %s", got.Status))
	case got.StatusCode != http.StatusOK:
		return moot(policy.VoteRejected, fmt.Errorf("status %s", got.Status))
	}
	var r api.Release
	if err := json.NewDecoder(io.LimitReader(got.Body, maxReplyBytes)).Decode(&r); err != nil {
		return moot(policy.VoteUnknown, err) // accepted, by its status; but where the release stands is not known
	}
	n, err := r.Status()
	if err != nil {
		return moot(policy.VoteUnknown, err)
	}
	n.VoteResult = policy.VoteAccepted
	return n, nil
}
