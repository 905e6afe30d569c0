// Package controlclient is a router's client of the release controller: it watches releases, statistics, complaints and
// plans through server-sent events, casts votes and reports outcomes of requests. It makes no decisions: it passes the events
// to the router, whose policy decides on votes.
package controlclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"dapplefront/internal/api"
	"dapplefront/policy"
)

// Handler handles the events of a client. Its functions are called on goroutines of the client.
type Handler struct {
	Release   func(policy.ReleaseStatus)
	Counts    func(api.Counts)
	Complaint func(api.Complaint)
	Plan      func(api.Plan)
	Failed    func(error) // a request or the watch failed, or an event was invalid; the client resumes the watch
}

// Client is one router's client. It is safe for concurrent use.
type Client struct {
	urls    []string
	current atomic.Int64 // only increases; modulo the number of urls, it is the index of the URL in use
	name    string       // the router's name
	zone    string       // the router's zone
	timeout time.Duration
	handler Handler
	http    *http.Client
	cancel  context.CancelFunc
	done    chan struct{} // closed when the watch has ended
}

// Open starts the watch for a router in a zone. urls are the base URLs of the controllers: if one can't be reached, the
// next one is used. timeout limits each request other than the watch, and the dialing of connections; tlsConfig is nil for
// plain HTTP.
func Open(urls []string, name, zone string, tlsConfig *tls.Config, timeout time.Duration, handler Handler) *Client {
	const idleConnections = 4
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{name: name, zone: zone, timeout: timeout, handler: handler, cancel: cancel, done: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, TLSClientConfig: tlsConfig,
			DialContext: (&net.Dialer{Timeout: timeout}).DialContext}}}
	for _, u := range urls {
		c.urls = append(c.urls, strings.TrimSuffix(u, "/"))
	}
	go c.watch(ctx)
	return c
}

// Close ends the watch and waits until it has ended. It does not wait for votes, reports and acknowledgements in flight,
// which complete or fail within their timeouts.
func (c *Client) Close() {
	c.cancel()
	<-c.done
	c.http.CloseIdleConnections()
}

func (c *Client) baseURL() string { return c.urls[int(c.current.Load())%len(c.urls)] }

// routerPath returns the router's name escaped as a path segment.
func (c *Client) routerPath() string { return url.PathEscape(c.name) }

// withTimeout returns a context for one request. Close does not cancel it.
func (c *Client) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.timeout)
}

// get sends a GET request for a path to the controller in use.
func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL()+path, nil)
	if err != nil {
		return nil, err
	}
	return c.http.Do(request)
}

// sendJSON sends a request with a JSON body for a path to the controller in use.
func (c *Client) sendJSON(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL()+path, bytes.NewReader(body))
	if err != nil {
		return nil, &notSentError{err}
	}
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

// notSentError is the error of a request that could not be constructed and was not sent.
type notSentError struct{ error }

func (e *notSentError) Unwrap() error { return e.error }

// isDialError reports whether a request failed because no connection was established, so that it can't have reached a
// controller.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// decode decodes the JSON of an event or response.
func decode[T any](text []byte) (T, error) {
	var v T
	err := json.Unmarshal(text, &v)
	return v, err
}
