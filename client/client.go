// Package client calls the release controller's REST interface, for people and programs.
//
//	c := client.New([]string{"http://127.0.0.1:7300", "http://127.0.0.1:7301"}, nil)
//	r, err := c.Create(ctx, api.CreateRelease{Build: 7}, "deploy-4711")
//	c.Watch(ctx, func(event string, data []byte) error { ... }, func(err error) { ... })
//
// It knows several instances and goes to the next one where one is out of reach or knows no leader, until the context ends.
// A change that may have been made is repeated only where that is harmless: with an idempotency key, or where the change
// itself is idempotent. Otherwise the error wraps ErrOutcomeUnknown.
//
// A request that the controller rejects gives an *Error.
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

// ErrOutcomeUnknown says that a change may have been made or not.
var ErrOutcomeUnknown = errors.New("it may have been done")

// Error is a controller's answer that is a problem (RFC 9457).
type Error struct{ api.Problem }

func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", e.Title, e.Field, e.Detail)
	}
	return fmt.Sprintf("%s: %s", e.Title, e.Detail)
}

const (
	maxAnswerBytes    = 64 << 20
	minBackoff        = 100 * time.Millisecond // once all instances have been tried; it doubles up to maxBackoff
	maxBackoff        = 2 * time.Second
	idleConnsPerHost  = 4
	firstFailedStatus = http.StatusMultipleChoices
)

// Client is safe for concurrent use.
type Client struct {
	urls    []string
	http    *http.Client
	current atomic.Int64 // modulo the number of urls: the instance to call
}

// New makes a client of the instances at these URLs. h may be nil.
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

// call is one request to the controllers.
type call struct {
	method     string
	path       string
	header     http.Header
	body       any  // sent as JSON; nil for none
	out        any  // where the answer's JSON goes; nil for nowhere
	idempotent bool // it may be repeated where it may have been carried out
}

// do tries one instance after the other until one answers or the context ends.
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
		case isUnanswered(err) && ctx.Err() != nil:
			return errors.Join(ctx.Err(), last)
		case isUnanswered(err) && !call.idempotent && !isNotSent(err):
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

// retryable tells whether another instance may be asked after an answer: 503 says that nothing was done, 504 that it may
// have been. Whether a request that was not answered may be repeated is for the caller to see.
func (call call) retryable(err error) bool {
	var answer *Error
	if !errors.As(err, &answer) {
		return true
	}
	return answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusGatewayTimeout && call.idempotent
}

// isUnanswered tells whether an error is none that a controller answered with.
func isUnanswered(err error) bool {
	var answer *Error
	return !errors.As(err, &answer)
}

// isNotSent tells whether a request surely has not reached the instance.
func isNotSent(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	for op := (*net.OpError)(nil); errors.As(err, &op); err = op.Err { // a proxy's wraps the dialer's
		if op.Op == "dial" {
			return true
		}
	}
	return false
}

// attempt sends a request to one instance and reads its answer.
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
	defer func() { _ = response.Body.Close() }() // what matters of it has been read
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
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

// problemOf is the error of an answer that failed; one without a problem document has its status at least.
func problemOf(response *http.Response, text []byte) *Error {
	e := &Error{api.Problem{Title: response.Status}}
	_ = json.Unmarshal(text, &e.Problem) // it may be no problem document
	e.Status = response.StatusCode
	return e
}
