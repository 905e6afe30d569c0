// Package platform is a router's client of the operators' control service: the feed of release statuses and complaints,
// and votes. It reports the same events as package controlclient does and makes no decisions.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"dapplefront/internal/api"
	"dapplefront/internal/controlclient"
	"dapplefront/internal/jsonstream"
)

// Backoff before the feed is reopened. There is none after the first failure and minBackoff after the second. Each further
// consecutive failure doubles it, up to maxBackoff.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// FeedTimeouts limit how long the feed may be silent. The platform sends a keep-alive every second.
var FeedTimeouts = jsonstream.Timeouts{FirstValue: 2 * time.Second, Idle: 3500 * time.Millisecond}

// Client is one router's client. It is safe for concurrent use.
type Client struct {
	handler      controlclient.Handler
	hostID       func(endpoint string, at time.Time) (uint32, bool)
	voteTimeout  time.Duration
	feed         *jsonstream.Stream
	http         *http.Client
	feedFailures atomic.Int64 // number of consecutive failures

	ctx    context.Context // parent context of votes
	cancel context.CancelFunc
}

// Open opens the feed. hostID returns the host that an endpoint's name referred to at the given time. voteTimeout limits
// how long a vote waits for its response.
func Open(address string, voteTimeout time.Duration, hostID func(string, time.Time) (uint32, bool), handler controlclient.Handler) *Client {
	c := &Client{handler: handler, hostID: hostID, voteTimeout: voteTimeout, http: jsonstream.NewHTTPClient()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.feed = jsonstream.New(address, FeedTimeouts, jsonstream.Handler{Ended: c.feedEnded,
		Open: func() (string, func(json.RawMessage) error) { return feedPath, c.handleFeedValue }})
	c.feed.Open()
	return c
}

// SetAddress switches to another address at once. The old feed is read until the new one has responded.
func (c *Client) SetAddress(address string) { c.feed.SetAddress(address) }

// Address returns the address in use.
func (c *Client) Address() string { return c.feed.Address() }

// Pending reports whether messages of the feed may have arrived that the handler has not handled.
func (c *Client) Pending() bool { return c.feed.Pending() }

// Attempted reports whether the first attempt to open the feed has received a response or failed.
func (c *Client) Attempted() bool { return c.feed.Attempted() }

// Close stops the client and cancels the votes in flight. The result of a vote whose request was written is unknown.
func (c *Client) Close() {
	c.cancel()
	c.feed.Close()
}

// feedEnded opens the feed again after a backoff.
func (c *Client) feedEnded(err error) {
	c.handler.Failed(err)
	failures := c.feedFailures.Add(1)
	if failures == 1 {
		c.feed.Open()
		return
	}
	const maxDoublings = 10
	time.AfterFunc(min(maxBackoff, minBackoff<<min(failures-2, maxDoublings)), c.feed.Open)
}

// handleFeedValue handles one message of the feed. If it returns an error, the feed is closed.
func (c *Client) handleFeedValue(text json.RawMessage) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	var err error
	switch m.Type {
	case messageReleaseStatus:
		err = c.handleReleaseStatus(m.Object)
	case messageComplaint:
		err = c.handleComplaint(m.Object)
	}
	if err != nil {
		return err
	}
	c.feedFailures.Store(0)
	return nil
}

func (c *Client) handleReleaseStatus(text json.RawMessage) error {
	var s ReleaseStatus
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	status, err := s.Status()
	if err != nil {
		return err
	}
	c.handler.Release(status)
	return nil
}

// handleComplaint reports a complaint about a known host and drops any other.
func (c *Client) handleComplaint(text json.RawMessage) error {
	var m complaint
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	if err := m.check(); err != nil {
		return err
	}
	if host, ok := c.hostID(m.Endpoint, time.Now().Add(-m.age())); ok {
		c.handler.Complaint(api.Complaint{Host: host, Class: m.Class, AgeMs: int64(*m.AgeMs)})
	}
	return nil
}

// Report does nothing: the platform counts requests itself.
func (c *Client) Report(int, map[string]int) {}

// AcknowledgePlan does nothing: the platform has no plans.
func (c *Client) AcknowledgePlan(uint64, string) {}
