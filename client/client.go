// Package client is a client of the release controller's REST interface, for the command line and other programs.
//
//	c := client.New([]string{"http://127.0.0.1:7300", "http://127.0.0.1:7301"}, nil)
//	r, err := c.Create(ctx, api.CreateRelease{Build: 7}, "deploy-4711")
//	c.Watch(ctx, func(event string, data []byte) error { ... }, func(err error) { ... })
//
// A client is given the URLs of several instances. If an instance is unreachable or knows no leader, the client tries the next
// one, until the context ends. A change that may have been made already is retried only if it is idempotent, or if it has an
// idempotency key. Otherwise the client returns an error that wraps ErrOutcomeUnknown, or the controller's *Error with status 504.
// If the context ends, the client returns the context's error and that of an earlier attempt; a change may then have been made.
//
// For a request that the controller rejects, the client returns an *Error.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dapplefront/internal/api"
)

// ErrOutcomeUnknown is returned if the client can't tell whether a change was made.
var ErrOutcomeUnknown = errors.New("outcome unknown: the change may have been made")

// Error is a controller's error response, as a problem document (RFC 9457).
type Error struct{ api.Problem }

func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", e.Title, e.Field, e.Detail)
	}
	return fmt.Sprintf("%s: %s", e.Title, e.Detail)
}

const (
	maxResponseBytes  = 64 << 20
	minBackoff        = 100 * time.Millisecond // before the second round over all instances; doubles each round up to maxBackoff
	maxBackoff        = 2 * time.Second
	idleConnsPerHost  = 4
	firstFailedStatus = http.StatusMultipleChoices
)

// Client is safe for concurrent use.
type Client struct {
	urls    []string
	http    *http.Client
	current atomic.Int64 // only increases; modulo the number of URLs, it is the index of the instance in use
}

// New returns a client of the instances at these URLs. It uses a default HTTP client if h is nil.
func New(urls []string, h *http.Client) *Client {
	if h == nil {
		h = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost}}
	}
	c := &Client{http: h}
	for _, u := range urls {
		c.urls = append(c.urls, strings.TrimSuffix(u, "/"))
	}
	return c
}

func (c *Client) url(instance int64) string { return c.urls[int(instance)%len(c.urls)] }

// call is a request to the controllers, which may take several attempts.
type call struct {
	method     string
	path       string
	header     http.Header
	body       any  // sent as JSON; nil means no body
	out        any  // the response's JSON is decoded into it; nil means that the response body is ignored
	idempotent bool // the request may be retried even if an earlier attempt may have been carried out
}

// do sends a request to one instance after another until one responds or the context ends.
func (c *Client) do(ctx context.Context, call call) error {
	var body []byte
	if call.body != nil {
		var err error
		if body, err = json.Marshal(call.body); err != nil {
			return err
		}
	}
	backoff := minBackoff
	var last error
	for attempt := 1; ; attempt++ {
		instance := c.current.Load()
		err := c.attempt(ctx, call, c.url(instance), body)
		switch {
		case err == nil:
			return nil
		case !call.retryable(err):
			return err
		case hasNoResponse(err) && ctx.Err() != nil:
			return errors.Join(ctx.Err(), last)
		case hasNoResponse(err) && !call.idempotent && !isNotSent(err):
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		last = err
		c.current.CompareAndSwap(instance, instance+1)
		if attempt%len(c.urls) != 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), last)
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// retryable reports whether a request may be retried at another instance after a response: 503 means that nothing was changed,
// 504 that the change may have been made. It returns true if there was no response; then the caller must check whether a retry
// is safe.
func (call call) retryable(err error) bool {
	var response *Error
	if !errors.As(err, &response) {
		return true
	}
	return response.Status == http.StatusServiceUnavailable || response.Status == http.StatusGatewayTimeout && call.idempotent
}

// hasNoResponse reports whether an error occurred without a response of a controller.
func hasNoResponse(err error) bool {
	var response *Error
	return !errors.As(err, &response)
}

// isNotSent reports whether an error shows that the request did not reach the instance.
func isNotSent(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	for op := (*net.OpError)(nil); errors.As(err, &op); err = op.Err { // the error of a proxy wraps that of the dialer
		if op.Op == "dial" {
			return true
		}
	}
	return false
}

// attempt sends a request to one instance and reads its response.
func (c *Client) attempt(ctx context.Context, call call, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, call.method, url+call.path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read, or reading it has failed
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode >= firstFailedStatus {
		return problemOf(response, text)
	}
	if call.out == nil || len(text) == 0 {
		return nil
	}
	return json.Unmarshal(text, call.out)
}

// problemOf returns the error of a failed response. If the response has no problem document, the error has only its status.
func problemOf(response *http.Response, text []byte) *Error {
	e := &Error{api.Problem{Title: response.Status}}
	_ = json.Unmarshal(text, &e.Problem) // the text may not be a problem document
	e.Status = response.StatusCode
	return e
}
