package controlclient

import (
	"context"
	"fmt"
	"net/url"

	"dapplefront/internal/api"
	"dapplefront/internal/sse"
)

// watch receives events from the controllers until ctx is canceled. After a failure it continues with the next controller.
func (c *Client) watch(ctx context.Context) {
	defer close(c.done)
	watchURL := func() string { return c.baseURL() + "/v1/watch?router=" + url.QueryEscape(c.name) }
	sse.Follow(ctx, c.http, watchURL, c.handleEvent, func(err error) {
		c.current.Add(1)
		c.handler.Failed(err)
	})
}

// handleEvent decodes an event and calls its handler. It ignores events of unknown kinds, which later controllers may send.
func (c *Client) handleEvent(event string, data []byte) error {
	switch event {
	case api.EventReleaseStatus:
		return c.handleRelease(event, data)
	case api.EventCounts:
		return c.handleCounts(event, data)
	case api.EventComplaint:
		return c.handleComplaint(event, data)
	case api.EventPlan:
		return c.handlePlan(event, data)
	}
	return nil
}

func (c *Client) handleRelease(event string, data []byte) error {
	release, err := decode[api.Release](data)
	if err != nil {
		return fmt.Errorf("event %s: %w", event, err)
	}
	status, err := release.Status()
	if err != nil {
		return err
	}
	c.handler.Release(status)
	return nil
}

func (c *Client) handleCounts(event string, data []byte) error {
	counts, err := decode[api.Counts](data)
	if err != nil {
		return fmt.Errorf("event %s: %w", event, err)
	}
	if counts.Failures < 0 || counts.Samples < counts.Failures || counts.MeanMs < 0 || counts.AgeMs < 0 {
		return fmt.Errorf("invalid counts: %s", data)
	}
	c.handler.Counts(counts)
	return nil
}

func (c *Client) handleComplaint(event string, data []byte) error {
	complaint, err := decode[api.Complaint](data)
	if err != nil {
		return fmt.Errorf("event %s: %w", event, err)
	}
	if complaint.AgeMs < 0 {
		return fmt.Errorf("invalid complaint: %s", data)
	}
	c.handler.Complaint(complaint)
	return nil
}

// handlePlan fetches the plan that an event announces. A plan is too large to be sent in an event.
func (c *Client) handlePlan(event string, data []byte) error {
	notice, err := decode[api.PlanNotice](data)
	if err != nil {
		return fmt.Errorf("event %s: %w", event, err)
	}
	plan, err := c.fetchPlan(notice.Version)
	if err != nil {
		return fmt.Errorf("plan %d: %w", notice.Version, err)
	}
	c.handler.Plan(plan)
	return nil
}
