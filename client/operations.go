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

// ifMatch is the header of a change that is for one version; none for 0.
func ifMatch(version int64) http.Header {
	if version == 0 {
		return nil
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(version, 10))}}
}

// Create asks for a release. With an idempotency key it may be repeated, and is where the answer is lost.
func (c *Client) Create(ctx context.Context, a api.CreateRelease, key string) (r api.ReleaseObject, err error) {
	var header http.Header
	if key != "" {
		header = http.Header{"Idempotency-Key": {key}}
	}
	err = c.do(ctx, call{method: http.MethodPost, path: "/v1/releases", header: header, body: a, out: &r, idempotent: key != ""})
	return r, err
}

// Get returns one release; with fresh, surely as it stands at the leader.
func (c *Client) Get(ctx context.Context, build int, fresh bool) (r api.ReleaseObject, err error) {
	path := releasePath(build)
	if fresh {
		path += "?fresh=1"
	}
	err = c.do(ctx, call{method: http.MethodGet, path: path, out: &r, idempotent: true})
	return r, err
}

// List returns all releases that have the labels ("name=value") and the phase; empty ones match all.
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

// Patch changes note and labels of the release at a version; 0 is for any.
func (c *Client) Patch(ctx context.Context, build int, a api.PatchRelease, version int64) (r api.ReleaseObject, err error) {
	err = c.do(ctx, call{method: http.MethodPatch, path: releasePath(build), header: ifMatch(version), body: a, out: &r, idempotent: version == 0})
	return r, err
}

// RollBack rolls a build back.
func (c *Client) RollBack(ctx context.Context, build int) (r api.ReleaseObject, err error) {
	err = c.do(ctx, call{method: http.MethodPost, path: releasePath(build) + "/withdraw", out: &r, idempotent: true})
	return r, err
}

// Delete drops the object of a release that is over.
func (c *Client) Delete(ctx context.Context, build int) error {
	return c.do(ctx, call{method: http.MethodDelete, path: releasePath(build)})
}

// CompleteStep reports a step done.
func (c *Client) CompleteStep(ctx context.Context, build int, step, by string) (r api.ReleaseObject, err error) {
	err = c.do(ctx, call{method: http.MethodPut, path: releasePath(build) + "/steps/" + url.PathEscape(step), body: api.StepDone{By: by}, out: &r,
		idempotent: true})
	return r, err
}

// CompleteOrder reports that an order of hosts has been carried out: "ready" for one to deploy, "gone" for one to retire.
func (c *Client) CompleteOrder(ctx context.Context, build int, order string) error {
	return c.do(ctx, call{method: http.MethodPut, path: releasePath(build) + "/orders/" + order, idempotent: true})
}

// OrderAgent gives a host's agent an order and returns its number.
func (c *Client) OrderAgent(ctx context.Context, agent string, o api.Order) (number uint64, err error) {
	err = c.do(ctx, call{method: http.MethodPost, path: agentPath(agent) + "/orders", body: o, out: &o})
	return o.Number, err
}

// EmitCounts passes on what was counted of a build and class to all watchers.
func (c *Client) EmitCounts(ctx context.Context, a api.Counts) error {
	return c.do(ctx, call{method: http.MethodPost, path: "/v1/counts", body: a})
}

// PublishPlan publishes a plan's version.
func (c *Client) PublishPlan(ctx context.Context, version uint64, a api.Published) error {
	return c.do(ctx, call{method: http.MethodPut, path: "/v1/plans/" + strconv.FormatUint(version, 10), body: a})
}

// Status is how the instance that answers stands.
func (c *Client) Status(ctx context.Context) (s api.Status, err error) {
	err = c.do(ctx, call{method: http.MethodGet, path: "/v1/status", out: &s, idempotent: true})
	return s, err
}

// AddController takes a controller into the group.
func (c *Client) AddController(ctx context.Context, name string, a api.Controller) error {
	return c.do(ctx, call{method: http.MethodPut, path: controllerPath(name), body: a, idempotent: true})
}

// RemoveController takes a controller out of the group for good.
func (c *Client) RemoveController(ctx context.Context, name string) error {
	return c.do(ctx, call{method: http.MethodDelete, path: controllerPath(name), idempotent: true})
}

// Watch follows events at any of the instances until ctx ends, and resumes a watch that broke after its last event. onEvent
// is called with each event; where it fails, or the watch breaks, onError is called and the watch goes on.
func (c *Client) Watch(ctx context.Context, onEvent func(event string, data []byte) error, onError func(error)) {
	watchURL := func() string { return c.url(c.current.Load()) + "/v1/watch" }
	sse.Follow(ctx, c.http, watchURL, onEvent, func(err error) {
		c.current.Add(1)
		onError(err)
	})
}
