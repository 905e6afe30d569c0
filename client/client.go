// Package client speaks the release controller's REST interface for people and programs.
//
//	c := client.New([]string{"http://127.0.0.1:7300", "http://127.0.0.1:7301"}, nil)
//	r, err := c.Create(ctx, api.Creation{Build: 7}, "deploy-4711")
//	err = c.Watch(ctx, "", func(e client.Event) error { ... })
//
// It knows several instances and goes to the next where one is out of reach or knows no leader, for as long as the
// context lasts. A change that may have been made is only repeated where that is harmless: with a key, with a version,
// or where the change itself can be repeated.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dapplefront/internal/api"
	"dapplefront/internal/sse"
)

// Client is safe for concurrent use.
type Client struct {
	urls []string
	http *http.Client
	at   atomic.Int64
}

// New makes a client of instances at these URLs. h may be nil.
func New(urls []string, h *http.Client) *Client {
	if h == nil {
		h = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	}
	c := &Client{http: h}
	for _, u := range urls {
		c.urls = append(c.urls, strings.TrimSuffix(u, "/"))
	}
	return c
}

// Error is an answer that says no.
type Error struct{ api.Problem }

func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", e.Title, e.Field, e.Detail)
	}
	return fmt.Sprintf("%s: %s", e.Title, e.Detail)
}

const (
	largest = 64 << 20               // bytes of an answer
	pause   = 100 * time.Millisecond // before the next instance is asked once all were, then up to longest
	longest = 2 * time.Second
)

// call asks one instance after the other until one answers. again tells that the request may be repeated where it may
// have been carried out.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, in, out any, again bool) (http.Header, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return nil, err
		}
	}
	wait := pause
	var last error
	for n := 0; ; n++ {
		at := c.at.Load()
		h, err := c.once(ctx, method, c.urls[int(at)%len(c.urls)]+path, header, body, out)
		var no *Error
		switch {
		case err == nil:
			return h, nil
		case errors.As(err, &no) && no.Status == http.StatusServiceUnavailable: // nothing was done
		case errors.As(err, &no) && no.Status == http.StatusGatewayTimeout && again:
		case errors.As(err, &no):
			return h, err
		case ctx.Err() != nil:
			return nil, errors.Join(ctx.Err(), last)
		case !again && !neverSent(err):
			return nil, fmt.Errorf("it may have been done: %w", err)
		}
		last = err
		c.at.CompareAndSwap(at, at+1)
		if (n+1)%len(c.urls) != 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), last)
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, longest)
	}
}

// neverSent tells errors after which the request surely did not reach the instance.
func neverSent(err error) bool {
	text := err.Error()
	return strings.Contains(text, "dial ") || strings.Contains(text, "connection refused")
}

func (c *Client) once(ctx context.Context, method, url string, header http.Header, body []byte, out any) (http.Header, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		r.Header[k] = v
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	got, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer got.Body.Close()
	text, err := io.ReadAll(io.LimitReader(got.Body, largest))
	if err != nil {
		return got.Header, err
	}
	if got.StatusCode >= 300 {
		e := &Error{api.Problem{Status: got.StatusCode, Title: got.Status}}
		_ = json.Unmarshal(text, &e.Problem) // what is no problem has its status at least
		e.Status = got.StatusCode
		return got.Header, e
	}
	if out == nil || len(text) == 0 {
		return got.Header, nil
	}
	return got.Header, json.Unmarshal(text, out)
}

func release(build int) string { return "/v1/releases/" + strconv.Itoa(build) }

// match is the header of a change that is for one version; none for 0.
func match(version int64) http.Header {
	if version == 0 {
		return nil
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatInt(version, 10))}}
}

// Create asks for a release. With a key it may be repeated, and is where the answer is lost.
func (c *Client) Create(ctx context.Context, a api.CreateRelease, key string) (r api.ReleaseObject, err error) {
	var h http.Header
	if key != "" {
		h = http.Header{"Idempotency-Key": {key}}
	}
	_, err = c.call(ctx, "POST", "/v1/releases", h, a, &r, key != "")
	return r, err
}

// Get is one release; fresh asks the leader for surely the newest.
func (c *Client) Get(ctx context.Context, build int, fresh bool) (r api.ReleaseObject, err error) {
	path := release(build)
	if fresh {
		path += "?fresh=1"
	}
	_, err = c.call(ctx, "GET", path, nil, nil, &r, true)
	return r, err
}

// List is all releases that have the labels and the phase; empty ones fit all.
func (c *Client) List(ctx context.Context, labels []string, phase string) (all []api.ReleaseObject, err error) {
	q := url.Values{"label": labels}
	if phase != "" {
		q.Set("phase", phase)
	}
	for {
		var page api.ReleaseList
		if _, err := c.call(ctx, "GET", "/v1/releases?"+q.Encode(), nil, nil, &page, true); err != nil {
			return all, err
		}
		all = append(all, page.Releases...)
		if page.Next == 0 {
			return all, nil
		}
		q.Set("after", strconv.Itoa(page.Next))
	}
}

// Patch changes note and labels; version 0 is for any.
func (c *Client) Patch(ctx context.Context, build int, a api.PatchRelease, version int64) (r api.ReleaseObject, err error) {
	_, err = c.call(ctx, "PATCH", release(build), match(version), a, &r, version == 0)
	return r, err
}

// RollBack takes a build back.
func (c *Client) RollBack(ctx context.Context, build int) (r api.ReleaseObject, err error) {
	_, err = c.call(ctx, "POST", release(build)+"/withdraw", nil, nil, &r, true)
	return r, err
}

// Delete drops the object of a release that is over.
func (c *Client) Delete(ctx context.Context, build int) error {
	_, err := c.call(ctx, "DELETE", release(build), nil, nil, nil, false)
	return err
}

// StepDone reports a step done.
func (c *Client) StepDone(ctx context.Context, build int, step, by string) (r api.ReleaseObject, err error) {
	_, err = c.call(ctx, "PUT", release(build)+"/steps/"+url.PathEscape(step), nil, api.StepDone{By: by}, &r, true)
	return r, err
}

// CompleteOrder tells that an order has been carried out: "ready" or "gone".
func (c *Client) CompleteOrder(ctx context.Context, build int, order string) error {
	_, err := c.call(ctx, "PUT", release(build)+"/orders/"+order, nil, nil, nil, true)
	return err
}

// OrderAgent gives a host's agent an order and returns its number.
func (c *Client) OrderAgent(ctx context.Context, agent string, o api.Order) (number uint64, err error) {
	_, err = c.call(ctx, "POST", "/v1/agents/"+url.PathEscape(agent)+"/orders", nil, o, &o, false)
	return o.Number, err
}

// ReportCounts passes on what was counted of a build and category.
func (c *Client) ReportCounts(ctx context.Context, a api.Counts) error {
	_, err := c.call(ctx, "POST", "/v1/counts", nil, a, nil, false)
	return err
}

// PublishPlan publishes a plan's version.
func (c *Client) PublishPlan(ctx context.Context, version uint64, a api.Published) error {
	_, err := c.call(ctx, "PUT", "/v1/plans/"+strconv.FormatUint(version, 10), nil, a, nil, false)
	return err
}

// Status is how the instance that answers stands.
func (c *Client) Status(ctx context.Context) (s api.Status, err error) {
	_, err = c.call(ctx, "GET", "/v1/status", nil, nil, &s, true)
	return s, err
}

// AddController takes a controller in as a member; Part takes one out.
func (c *Client) AddController(ctx context.Context, name string, a api.Controller) error {
	_, err := c.call(ctx, "PUT", "/v1/controllers/"+url.PathEscape(name), nil, a, nil, true)
	return err
}

// RemoveController takes a controller out for good.
func (c *Client) RemoveController(ctx context.Context, name string) error {
	_, err := c.call(ctx, "DELETE", "/v1/controllers/"+url.PathEscape(name), nil, nil, nil, true)
	return err
}

// Watch follows events until ctx ends, at any of the instances, and takes a broken watch up where it ended. trouble is
// told of what went wrong on the way.
func (c *Client) Watch(ctx context.Context, tell func(event string, data []byte) error, trouble func(error)) {
	sse.FollowAny(ctx, c.http, func() string {
		at := c.at.Load()
		return c.urls[int(at)%len(c.urls)] + "/v1/watch"
	}, tell, func(err error) {
		c.at.Add(1)
		trouble(err)
	})
}
