package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/control"
	"dapplefront/internal/controller"
	"dapplefront/internal/controlplane/native"
	"dapplefront/internal/inifile"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
	"dapplefront/release"
)

// testbench is a real router with a real discovery server and a real controller, and hosts whose responses a test writes
// byte by byte.
type testbench struct {
	*testing.T
	config     *routerconfig.Config
	router     *Proxy
	discovery  *testbed.DiscoveryServer
	controller *controller.Standalone
	hosts      []*scriptedHost
}

// scriptedHost is a host that passes each request to a function of the test, which writes the response.
type scriptedHost struct {
	listener net.Listener
	entry    *testbed.Backend
	requests atomic.Int64
	conns    atomic.Int64
}

// exchange is a request that a scripted host has received, and the connection to respond on.
type exchange struct {
	*http.Request
	body             []byte
	conn             net.Conn
	requestNumber    int64 // counts this host's requests, from 1
	connectionNumber int64 // counts its connections, from 1
}

func (x exchange) respond(status int, body string, fields ...string) {
	extra := ""
	for _, f := range fields {
		extra += f + "\r\n"
	}
	_, _ = fmt.Fprintf(x.conn, "HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
}

// startHost starts a scripted host. serve returns false to close the connection.
func startHost(t *testing.T, id uint32, build int, serve func(exchange) bool) *scriptedHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &scriptedHost{listener: l, entry: testbed.RemoteBackend(l.Addr().String(),
		testbed.Machine{ID: id, Zone: "here", Cores: 1, Speed: 1}, build)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			number := h.conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil || !serve(exchange{r, body, c, h.requests.Add(1), number}) {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return h
}

func respondOK(x exchange) bool { x.respond(200, "right"); return true }

const configTemplate = `
[router]
name = r
location = here
listen = 127.0.0.1:0
last-list = %s
[clients]
largest-body = 64KiB
held = 1MiB
slow = 2s
at-once = 8
[hosts]
connect = 250ms
[register]
address = %s
names = shop/here
[desk]
url = %s
least-time = 1s
window = 1s
[rules]
grace = 300ms
%s
[category quote]
repeat = retriable
paths = /quote
promised = 400ms
patience = 1s
[category order]
repeat = fingerprinted
paths = /order
memory = 5s
promised = 400ms
patience = 1s
[category transfer]
repeat = binding
paths = /transfer
promised = 300ms
patience = 500ms
`

// newTestbench starts a router and waits until it knows the hosts and has received the release status of their build. None
// of the hosts is warming up.
func newTestbench(t *testing.T, hosts ...*scriptedHost) *testbench {
	t.Helper()
	r := &testbench{T: t, hosts: hosts}
	var err error
	r.discovery, err = testbed.StartDiscovery("127.0.0.1:0", "shop", nil)
	require.NoError(t, err)
	t.Cleanup(r.discovery.Stop)
	r.controller, err = controller.StartStandalone(controller.NodeConfig{Name: "c", Dir: t.TempDir(), Listen: "127.0.0.1:0", FastElections: true, InitialBuild: 1,
		Control: control.Config{Rules: release.Rules{Mode: policy.Quorum, Stages: []release.Stage{{HostShare: 1, ExposureCap: 1}}, PromoteQuorum: 1,
			RollbackQuorum: 1, VoteTTL: 5 * policy.Second}}}, controller.ServerConfig{Listen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.controller.Stop() })
	for _, h := range hosts {
		r.setEndpoint(h, policy.Serving)
	}
	s := inifile.Parse("testbench", fmt.Sprintf(configTemplate, filepath.Join(t.TempDir(), "list"), r.discovery.Address(), r.controller.URL(), ""))
	r.config = routerconfig.From(s)
	require.NoError(t, s.Err())
	r.start()
	t.Cleanup(func() {
		if r.router != nil {
			r.router.Close()
		}
	})
	return r
}

func (r *testbench) setEndpoint(h *scriptedHost, s policy.EndpointState) {
	r.discovery.Set(testbed.Endpoint{Backend: h.entry, State: s})
}

// start starts the router and waits until it knows its hosts and has received the first release status.
func (r *testbench) start() {
	var err error
	r.router, err = Start(native.Protocols(r.config), r.config, slog.New(slog.DiscardHandler), nil)
	require.NoError(r, err)
	r.eventually(func() bool {
		n := 0
		r.router.loop.Do(func() { n = len(r.router.endpoints) })
		return n == len(r.hosts)
	})
	time.Sleep(50 * time.Millisecond) // for the first release status
}

func (r *testbench) eventually(condition func() bool) {
	r.Helper()
	require.Eventually(r, condition, 10*time.Second, 5*time.Millisecond)
}

// waitIdle waits until the router has no requests in flight and holds no bytes of bodies.
func (r *testbench) waitIdle() {
	r.Helper()
	r.eventually(func() bool {
		requests, _, _, bytes := r.router.InFlight()
		left := 0
		r.router.loop.Do(func() { left = len(r.router.requests) + r.router.router.InFlight() })
		return requests == 0 && bytes == 0 && left == 0
	})
}

// client is a raw connection to the router.
type client struct {
	*testbench
	net.Conn
	in *bufio.Reader
}

func (r *testbench) dial() *client {
	r.Helper()
	c, err := net.Dial("tcp", r.router.Address().String())
	require.NoError(r, err)
	r.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{r, c, bufio.NewReader(c)}
}

func (c *client) write(text string) { _, _ = io.WriteString(c, text) }

func (c *client) post(path, fields string) {
	c.write("POST " + path + " HTTP/1.1\r\nHost: r\r\nContent-Length: 2\r\n" + fields + "\r\nhi")
}

// response reads one response and returns its status, outcome and body.
func (c *client) response() (int, string, string) {
	c.Helper()
	got, err := http.ReadResponse(c.in, nil)
	require.NoError(c, err)
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(got.Body)
	require.NoError(c, err)
	return got.StatusCode, got.Header.Get("Dapplefront-Outcome"), strings.TrimSpace(string(body))
}

// requireSilence checks that nothing arrives for d.
func (c *client) requireSilence(d time.Duration) {
	c.Helper()
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.in.Peek(1)
	var netErr net.Error
	require.True(c, errors.As(err, &netErr) && netErr.Timeout(), "no more data may arrive, got %v", err)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
}

// requireClosed checks that the router closes the connection.
func (c *client) requireClosed() {
	c.Helper()
	_, err := io.Copy(io.Discard, c.in)
	var netErr net.Error
	require.False(c, errors.As(err, &netErr) && netErr.Timeout(), "the router should have closed the connection")
}
