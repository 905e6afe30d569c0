package proxy

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/controlclient"
	"dapplefront/internal/controlplane"
	"dapplefront/internal/endpoint"
	"dapplefront/internal/inifile"
	"dapplefront/internal/routerconfig"
	"dapplefront/policy"
	"dapplefront/router"
)

// changedConfig returns the testbench's configuration with changes to its text: extra settings, and pairs of old and new
// strings.
func (r *testbench) changedConfig(extra string, change ...string) *routerconfig.Config {
	text := fmt.Sprintf(configTemplate, r.config.EndpointCache, r.discovery.Address(), r.controller.URL(), extra)
	text = strings.NewReplacer(change...).Replace(text)
	s := inifile.Parse("other", text)
	c := routerconfig.From(s)
	require.NoError(r, s.Err())
	return c
}

func TestProxy_UpdatesConfigUnderLoad(t *testing.T) {
	var ran atomic.Int64
	h := startHost(t, 1, 1, func(x exchange) bool {
		if x.URL.Path == "/transfer" {
			ran.Add(1)
			time.Sleep(5 * time.Millisecond)
		}
		return respondOK(x)
	})
	r := newTestbench(t, h)
	original := r.config
	port, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	own := port.LocalAddr().String()
	_ = port.Close()
	changed := r.changedConfig("two-at-once = off\n[probes]\npath = /probe\n[peers]\naddresses = "+own+"\n", "promised = 300ms", "promised = 350ms")
	const clients, each = 6, 60
	outcomes := make(chan string, clients*each)
	var succeeded atomic.Int64 // non-idempotent requests
	for range clients {
		go func() {
			c := r.dial()
			for n := range each {
				c.post([]string{"/transfer", "/quote"}[n%2], "")
				got, err := http.ReadResponse(c.in, nil)
				if err != nil {
					outcomes <- err.Error()
					continue
				}
				_, _ = io.Copy(io.Discard, got.Body)
				_ = got.Body.Close()
				if got.Header.Get("Dapplefront-Outcome") == "finished" && n%2 == 0 {
					succeeded.Add(1)
				}
				outcomes <- got.Header.Get("Dapplefront-Outcome")
			}
		}()
	}
	for range 10 {
		require.NoError(t, r.router.UpdateConfig(changed))
		time.Sleep(5 * time.Millisecond)
		require.NoError(t, r.router.UpdateConfig(original))
		time.Sleep(5 * time.Millisecond)
	}
	for range clients * each {
		require.Contains(t, []string{"finished", "turned-back"}, <-outcomes) // each request gets one response
	}
	r.waitIdle()
	require.Equal(t, succeeded.Load(), ran.Load(), "each non-idempotent request that succeeded ran once, and no other ran")
	require.Positive(t, succeeded.Load())
	require.NoError(t, r.router.UpdateConfig(changed))
	r.router.loop.Do(func() {
		require.NotNil(t, r.router.gossip)
		require.False(t, r.router.config.Router.Limits.AllowHedging)
	})
	require.NoError(t, r.router.UpdateConfig(original))
	r.router.loop.Do(func() { require.Nil(t, r.router.gossip) })
}

func TestProxy_RefusesConfigThatRunningRouterCannotApply(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, respondOK))
	original := r.config
	err := r.router.UpdateConfig(r.changedConfig("two-at-once = off", "location = here", "location = there",
		"repeat = binding", "repeat = retriable", "connect = 250ms", "connect = 300ms"))
	for _, what := range []string{"location", "category transfer", "[hosts]"} {
		require.ErrorContains(t, err, what)
	}
	occupied, err := net.ListenPacket("udp", "127.0.0.1:0") // its address is in use
	require.NoError(t, err)
	defer func() { _ = occupied.Close() }()
	err = r.router.UpdateConfig(r.changedConfig("[peers]\naddresses = " + occupied.LocalAddr().String()))
	require.ErrorContains(t, err, "peers")
	require.Same(t, original, r.router.config)
	r.router.loop.Do(func() { require.Nil(t, r.router.gossip) })
	c := r.dial()
	c.post("/quote", "")
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
}

func TestProxy_ExchangesGossipAndSendsHealthChecks(t *testing.T) {
	probed := make(chan string, 8)
	h := startHost(t, 1, 1, func(x exchange) bool {
		if x.Method == http.MethodGet {
			probed <- x.URL.Path
			x.respond(200, "", `Endpoint-Load-Metrics: TEXT named_metrics.active=3`)
			return true
		}
		return respondOK(x)
	})
	r := newTestbench(t, h)
	a, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	own := a.LocalAddr().String()
	_ = a.Close()
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	require.NoError(t, r.router.UpdateConfig(r.changedConfig("[probes]\npath = /probe\n[peers]\naddresses = "+own+", "+peer.LocalAddr().String(),
		"name = r\n", "name = r\nrouters = 2\n")))
	r.router.loop.Do(func() {
		r.router.execute([]router.Action{{Kind: router.CheckHealth, Host: 1}, {Kind: router.SendGossip, Peer: policy.Broadcast, Body: "word"}})
	})
	require.Equal(t, "/probe", <-probed)
	b := make([]byte, 300)
	_ = peer.SetReadDeadline(time.Now().Add(10 * time.Second))
	for string(b[:4]) != "word" { // the router's own gossip may arrive first
		_, _, err = peer.ReadFrom(b)
		require.NoError(t, err)
	}
	to, err := net.ResolveUDPAddr("udp", own)
	require.NoError(t, err)
	for _, body := range []string{"", "nonsense", strings.Repeat("x", 256), strings.Repeat("x", 300)} {
		_, err = peer.WriteTo([]byte(body), to)
		require.NoError(t, err)
	}
	c := r.dial()
	c.post("/quote", "")
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome, "invalid gossip has no effect on requests")
}

func TestConfig_ReportsErrorsInHealthCheckAndGossipSections(t *testing.T) {
	s := inifile.Parse("f", fmt.Sprintf(configTemplate, "l", "127.0.0.1:1", "http://127.0.0.1:2", `
[probes]
path = probe
[peers]
addresses = here:1, 127.0.0.1:5
most = 9
`))
	routerconfig.From(s)
	err := s.Err()
	for _, what := range []string{"path = probe", "one for each of the 1 routers", "here:1", "most = 9", "f:"} {
		require.ErrorContains(t, err, what)
	}
}

// noDiscovery is a watch that never delivers endpoints.
type noDiscovery struct{}

func (noDiscovery) Subscribe() {}
func (noDiscovery) Close()     {}

// Guards against sockets and goroutines that leak when a router can't start because its release client fails to open.
func TestStart_ReleasesResourcesWhenReleaseClientFailsToOpen(t *testing.T) {
	port, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	own := port.LocalAddr().String()
	require.NoError(t, port.Close())
	s := inifile.Parse("f", fmt.Sprintf(configTemplate, filepath.Join(t.TempDir(), "list"), "127.0.0.1:1", "http://127.0.0.1:2", "[peers]\naddresses = "+own+"\n"))
	config := routerconfig.From(s)
	require.NoError(t, s.Err())
	refused := errors.New("no certificate")
	goroutines := runtime.NumGoroutine()
	_, err = Start(controlplane.Protocols{
		Discovery: func(endpoint.Handler) (controlplane.Discovery, []endpoint.Host, error) {
			return noDiscovery{}, nil, nil
		},
		ReleaseController: func(controlclient.Handler) (controlplane.ReleaseClient, error) { return nil, refused },
	}, config, slog.New(slog.DiscardHandler), nil)
	require.ErrorIs(t, err, refused)
	again, err := net.ListenPacket("udp", own)
	require.NoError(t, err, "the gossip socket is closed")
	require.NoError(t, again.Close())
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > goroutines && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // require.Eventually can't be used here, as it starts a goroutine of its own
	}
	require.LessOrEqual(t, runtime.NumGoroutine(), goroutines)
}
