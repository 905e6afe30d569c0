package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"dapplefront/internal/api"
	"dapplefront/internal/sse"
)

func releasePath(build int) string { return "/v1/releases/" + strconv.Itoa(build) }

func agentPath(name string) string { return "/v1/agents/" + url.PathEscape(name) }

func controllerPath(name string) string { return "/v1/controllers/" + url.PathEscape(name) }

// ifMatch returns the headers that restrict a change to one version of a release. Version 0 means any version and needs none.
func ifMatch(version int64) http.Header {
	if version == 0 {
		return nil
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(version, 10))}}
}

// Create requests a release. With an idempotency key, the request may be repeated, and the client itself retries it if the
// response is lost.
func (c *Client) Create(ctx context.Context, a api.CreateRelease, key string) (r api.ReleaseObject, err error) {
	var header http.Header
	if key != "" {
		header = http.Header{"Idempotency-Key": {key}}
	}
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/releases", header: header, body: a, out: &r, idempotent: key != ""})
	return r, err
}

// Get returns one release. If fresh is set, the leader responds with its newest state.
func (c *Client) Get(ctx context.Context, build int, fresh bool) (r api.ReleaseObject, err error) {
	path := releasePath(build)
	if fresh {
		path += "?fresh=1"
	}
	err = c.do(ctx, call{method: http.MethodGet, path: path, out: &r, idempotent: true})
	return r, err
}

// List returns all releases that have the labels ("name=value") and the phase. No labels, or an empty phase, match all releases.
func (c *Client) List(ctx context.Context, labels []string, phase string) (all []api.ReleaseObject, err error) {
	query := url.Values{"label": labels}
	if phase != "" {
		query.Set("phase", phase)
	}
	for {
		var page api.ReleaseList
		if err := c.do(ctx, call{method: http.MethodGet, path: "/v1/releases?" + query.Encode(), out: &page, idempotent: true}); err != nil {
			return all, err
		}
		all = append(all, page.Releases...)
		if page.Next == 0 {
			return all, nil
		}
		query.Set("after", strconv.Itoa(page.Next))
	}
}

// Patch changes the note and the labels of a release if it has this version. Version 0 matches any version.
func (c *Client) Patch(ctx context.Context, build int, a api.PatchRelease, version int64) (r api.ReleaseObject, err error) {
	err = c.do(ctx, call{method: http.MethodPatch, path: releasePath(build), header: ifMatch(version), body: a, out: &r, idempotent: version == 0})
	return r, err
}

// RollBack rolls a build back.
func (c *Client) RollBack(ctx context.Context, build int) (r api.ReleaseObject, err error) {
	err = c.do(ctx, call{method: http.MethodPost, path: releasePath(build) + "/withdraw", out: &r, idempotent: true})
	return r, err
}

// Delete deletes the object of a release that is released or rolled back, and is neither the newest nor the previous one.
func (c *Client) Delete(ctx context.Context, build int) error {
	return c.do(ctx, call{method: http.MethodDelete, path: releasePath(build)})
}

// CompleteStep reports that a step is done, and who reports it.
func (c *Client) CompleteStep(ctx context.Context, build int, step, by string) (r api.ReleaseObject, err error) {
	err = c.do(ctx, call{method: http.MethodPut, path: releasePath(build) + "/steps/" + url.PathEscape(step), body: api.StepDone{By: by}, out: &r,
		idempotent: true})
	return r, err
}

// CompleteOrder reports that an order for a build's hosts has been carried out: "ready" for an order to deploy them, "gone" for
// an order to retire them.
func (c *Client) CompleteOrder(ctx context.Context, build int, order string) error {
	return c.do(ctx, call{method: http.MethodPut, path: releasePath(build) + "/orders/" + order, idempotent: true})
}

// OrderAgent sends an order to a host's agent and returns the order's number.
func (c *Client) OrderAgent(ctx context.Context, agent string, o api.Order) (number uint64, err error) {
	err = c.do(ctx, call{method: http.MethodPost, path: agentPath(agent) + "/orders", body: o, out: &o})
	return o.Number, err
}

// EmitCounts sends the counted responses of a build in a class to all watchers.
func (c *Client) EmitCounts(ctx context.Context, a api.Counts) error {
	return c.do(ctx, call{method: http.MethodPost, path: "/v1/counts", body: a})
}

// PublishPlan publishes a version of a plan.
func (c *Client) PublishPlan(ctx context.Context, version uint64, a api.Published) error {
	return c.do(ctx, call{method: http.MethodPut, path: "/v1/plans/" + strconv.FormatUint(version, 10), body: a})
}

// Status returns the status of the instance that responds.
func (c *Client) Status(ctx context.Context) (s api.Status, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/status", out: &s, idempotent: true})
	return s, err
}

// AddController adds a controller to the Raft group if a has its address, and stores its URL if a has one.
func (c *Client) AddController(ctx context.Context, name string, a api.Controller) error {
	return c.do(ctx, call{method: http.MethodPut, path: controllerPath(name), body: a, idempotent: true})
}

// RemoveController removes a controller from the group permanently.
func (c *Client) RemoveController(ctx context.Context, name string) error {
	return c.do(ctx, call{method: http.MethodDelete, path: controllerPath(name), idempotent: true})
}

// Watch receives events from any of the instances until ctx ends. If the watch breaks, it resumes after the last event received.
// onEvent is called for each event. onError is called if onEvent fails or the watch breaks; the watch then continues.
func (c *Client) Watch(ctx context.Context, onEvent func(event string, data []byte) error, onError func(error)) {
	watchURL := func() string { return c.url(c.current.Load()) + "/v1/watch" }
	sse.Follow(ctx, c.http, watchURL, onEvent, func(err error) {
		c.current.Add(1)
		onError(err)
	})
}
