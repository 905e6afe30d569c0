package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakePlatform serves discovery, the feed and votes at one address.
type fakePlatform struct {
	*httptest.Server
	mu        sync.Mutex
	endpoints []string
	votes     atomic.Int64
	streams   atomic.Int64 // number of watches and feeds opened so far
	changes   chan string  // lines that the watch sends after its first
	closing   chan bool    // closed before the server is closed, to end the streams
}

func newFakePlatform(t *testing.T, endpoints ...string) *fakePlatform {
	t.Helper()
	p := &fakePlatform{endpoints: endpoints, changes: make(chan string, 10), closing: make(chan bool)}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeLine := func(text string) { _, _ = fmt.Fprint(w, text+"\n"); w.(http.Flusher).Flush() }
		switch r.URL.Path {
		case "/v1/endpoints":
			p.streams.Add(1)
			p.mu.Lock()
			writeLine(`{"revision":2,"complete":true,"members":[` + strings.Join(p.endpoints, ",") + `]}`)
			p.mu.Unlock()
			for {
				select {
				case text := <-p.changes:
					writeLine(text)
				case <-time.After(500 * time.Millisecond):
					writeLine("")
				case <-r.Context().Done():
					return
				case <-p.closing:
					return
				}
			}
		case "/apis/fleet/feed":
			p.streams.Add(1)
			writeLine(`{"type":"stage","object":` + releaseStatus + `}`)
			for {
				writeLine("{}")
				select {
				case <-time.After(100 * time.Millisecond):
				case <-r.Context().Done():
					return
				case <-p.closing:
					return
				}
			}
		default:
			p.votes.Add(1)
			_, _ = fmt.Fprint(w, releaseStatus)
		}
	}))
	t.Cleanup(func() {
		close(p.closing) // until the listener is closed, a running node may reopen streams
		p.CloseClientConnections()
		p.Close()
	})
	return p
}

func (p *fakePlatform) address() string { return p.Listener.Addr().String() }

const releaseStatus = `{"release":1,"tranche":0,"mode":"live","exposure":1,"old_ms":9000}`

// fakeHost is a host whose responses the test writes.
type fakeHost struct {
	net.Listener
	id          string
	requests    atomic.Int64
	connections atomic.Int64
	received    chan *http.Request
}

// newFakeHost starts a host that passes each request to serve, which returns false to close the connection.
func newFakeHost(t *testing.T, id string, serve func(c net.Conn, r *http.Request, body []byte) bool) *fakeHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	host := &fakeHost{Listener: l, id: id, received: make(chan *http.Request, 1000)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			host.connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					host.requests.Add(1)
					select {
					case host.received <- r:
					default:
					}
					if !serve(c, r, body) {
						return
					}
				}
			}()
		}
	}()
	return host
}

func (host *fakeHost) entry() string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"here","cell":0,"phase":"up","size":1,"up_since_ms":0,"revision_no":1}`, host.id, host.Addr())
}

func respond(c net.Conn, status int, body string, fields ...string) {
	head := ""
	for _, f := range fields {
		head += f + "\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}

// respondOK sends a response that contains the id of the request.
func respondOK(c net.Conn, r *http.Request, _ []byte) bool {
	respond(c, 200, "for "+r.Header.Get("Request-Id"), "Server-Load: active=1,rps=2,avg_ms=3")
	return true
}

// respondAfter returns a handler that responds to a POST only after it has received a value from release.
func respondAfter(release chan bool) func(net.Conn, *http.Request, []byte) bool {
	return func(c net.Conn, r *http.Request, b []byte) bool {
		if r.Method == http.MethodPost {
			<-release
		}
		return respondOK(c, r, b)
	}
}

// configJSON returns a configuration that uses the given discovery and platform addresses.
func configJSON(discoveryAddress, platformAddress string) map[string]any {
	class := func(name, semantics string, deadline int) map[string]any {
		return map[string]any{"Name": name, "Semantics": semantics, "AimUs": 300000, "DeadlineUs": deadline, "Importance": 1,
			"LateValue": 0, "DedupScope": "all", "WindowUs": 5000000}
	}
	var status any
	_ = json.Unmarshal([]byte(releaseStatus), &status)
	return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 0.5, "memory_mb": 64, "sockets": 256},
		"platform": map[string]any{"address": platformAddress, "news": status},
		"known":    map[string]any{"revision": 1, "complete": true, "members": []any{}},
		"settings": map[string]any{"Balancers": 1, "Rank": 0, "MyZone": "here", "RegistryMode": "on_request",
			"Categories": []any{class("quote", "repeatable", 1000000), class("order", "by_key", 1000000), class("pay", "once", 600000)},
			"Parties":    []any{}, "Report": map[string]any{"Fields": []string{"rps", "avg_ms", "active"}},
			"Obligations": map[string]any{"DrainGraceUs": 300000, "ColdUs": 1000000, "StartCapacity": 0.3, "TipMultiple": 4,
				"OverloadForUs": 3000000, "AskWithinUs": 1500000},
			"Permissions": map[string]any{"MaxAttempts": 3, "MaxOpen": 1000, "RetryAfter": true, "MaxRetryAfterUs": 2000000,
				"ConnIdleUs": 15000000, "ConnectTimeoutUs": 250000},
			"Extra": map[string]any{"Control": "share", "StageCap": []float64{0.1, 1}, "AyesNeeded": 1, "ToAbort": 1,
				"CallTimeoutUs": 500000, "ExposureWindowUs": 1000000, "VoteStandsUs": 5000000, "VoteAllowance": 5}}}
}

func parseConfig(t *testing.T, b map[string]any) *Config {
	t.Helper()
	p, err := parse([]byte(encode(t, b)))
	require.NoError(t, err)
	return p
}

// fixture is a router on a fake platform.
type fixture struct {
	*testing.T
	node     *Node
	platform *fakePlatform
	config   map[string]any
}

func startNode(t *testing.T, hosts ...*fakeHost) *fixture {
	t.Helper()
	var members []string
	for _, host := range hosts {
		members = append(members, host.entry())
	}
	r := &fixture{T: t, platform: newFakePlatform(t, members...)}
	r.config = configJSON(r.platform.address(), r.platform.address())
	var err error
	r.node, err = Start(parseConfig(t, r.config), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() {
		if r.node != nil {
			r.node.Close()
		}
	})
	require.Eventually(t, func() bool { return r.platform.streams.Load() == 2 }, 10*time.Second, time.Millisecond)
	for _, host := range hosts { // once each host has received a request, the endpoint list has arrived
		r.eventually(func() bool { r.request("GET", "quote", ""); return host.requests.Load() > 0 })
	}
	return r
}

func (r *fixture) eventually(condition func() bool) {
	r.Helper()
	require.Eventually(r, condition, 20*time.Second, time.Millisecond)
}

// client is a raw connection to the router.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (r *fixture) connect() *client {
	r.Helper()
	c, err := net.Dial("tcp", r.node.instance.Address().String())
	require.NoError(r, err)
	r.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

// response is the response that a client received. Status 0 means that the connection ended before a whole response.
type response struct {
	status int
	body   string
	closes bool
	http.Header
}

func (c *client) read() response {
	got, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return response{}
	}
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(got.Body)
	if err != nil {
		return response{}
	}
	return response{got.StatusCode, string(body), got.Close, got.Header}
}

var lastRequestID atomic.Int64

// requestText returns a valid request with a new id.
func requestText(method, class string, fields ...string) (text, id string) {
	id = fmt.Sprintf("id%d", lastRequestID.Add(1))
	text = method + " /api?x=1 HTTP/1.1\r\nHost: service\r\nRequest-Id: " + id + "\r\nRequest-Class: " + class +
		"\r\nRequest-Timeout-Ms: 900\r\n"
	for _, f := range fields {
		if f != "" {
			text += f + "\r\n"
		}
	}
	if method == "POST" {
		return text + "Content-Length: 2\r\n\r\nhi", id
	}
	return text + "\r\n", id
}

func (r *fixture) request(method, class, field string) (response, string) {
	r.Helper()
	c := r.connect()
	defer func() { _ = c.Close() }()
	text, id := requestText(method, class, field)
	_, _ = io.WriteString(c, text)
	return c.read(), id
}

// readiness returns the status code of the router's readiness endpoint.
func (r *fixture) readiness() int {
	r.Helper()
	c := r.connect()
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	return c.read().status
}

func encode(tb testing.TB, b map[string]any) string {
	tb.Helper()
	text, err := json.Marshal(b)
	require.NoError(tb, err)
	return string(text)
}
