// Package controlclient is a router's client of the release controller: it watches releases, statistics, complaints and
// plans by server-sent events, casts votes and reports outcomes. It takes no decisions: what the controller reports goes
// to the router's policy, which votes.
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

// Handler handles the events of a client, on goroutines of the client.
type Handler struct {
	Release   func(policy.ReleaseStatus)
	Counts    func(api.Counts)
	Complaint func(api.Complaint)
	Plan      func(api.Plan)
	Failed    func(error) // a request or the watch failed, or an event was invalid; the watch is resumed by itself
}

// Client is one router's client. It is safe for concurrent use.
type Client struct {
	urls    []string
	current atomic.Int64 // counts up; modulo the number of urls, the index of the one in use
	name    string
	zone    string
	timeout time.Duration
	handler Handler
	http    *http.Client
	cancel  context.CancelFunc
	done    chan struct{} // closed when the watch has ended
}

// Open starts the watch for a router in a zone. urls are the base URLs of the controllers: if one can't be reached the
// next is used. timeout is how long a vote waits for its response; tlsConfig is nil for plain HTTP.
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

// Close ends the watch and waits for it. Votes, reports and acknowledgements in flight end by themselves, within their
// timeouts.
func (c *Client) Close() {
	c.cancel()
	<-c.done
	c.http.CloseIdleConnections()
}

func (c *Client) baseURL() string { return c.urls[int(c.current.Load())%len(c.urls)] }

// routerPath is the router's name as a part of a path.
func (c *Client) routerPath() string { return url.PathEscape(c.name) }

// withTimeout is a context for one request. It doesn't end with the client.
func (c *Client) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.timeout)
}

// get requests a path of the controller in use.
func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL()+path, nil)
	if err != nil {
		return nil, err
	}
	return c.http.Do(request)
}

// sendJSON sends a JSON text to a path of the controller in use.
func (c *Client) sendJSON(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL()+path, bytes.NewReader(body))
	if err != nil {
		return nil, &notSentError{err}
	}
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

// notSentError is the error of a request that could not be made.
type notSentError struct{ error }

func (e *notSentError) Unwrap() error { return e.error }

// isDialError reports whether a request failed because no connection came up, so that it surely did not arrive.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// decode reads the JSON text of an event or response.
func decode[T any](text []byte) (T, error) {
	var v T
	err := json.Unmarshal(text, &v)
	return v, err
}
