package proxy

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/endpoint"
	"dapplefront/policy"
	"dapplefront/release"
	"dapplefront/router"
)

func TestProxy_CompletesAttemptAndStartsNoMoreWhenHostStartsDraining(t *testing.T) {
	arrived, drainingKnown := make(chan bool, 1), make(chan bool)
	slow := startHost(t, 1, 1, func(x exchange) bool {
		if x.requestNumber == 1 {
			arrived <- true
			<-drainingKnown
		}
		return respondOK(x)
	})
	r := newTestbench(t, slow)
	c := r.dial()
	c.write("POST /quote HTTP/1.1\r\nHost: r\r\nDapplefront-Patience: 1s\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000))
	<-arrived
	r.setEndpoint(slow, policy.Draining)
	r.eventually(func() bool {
		s := policy.Serving
		r.router.loop.Do(func() { s = r.router.endpoints[1].State })
		return s == policy.Draining
	})
	close(drainingKnown)
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
	time.Sleep(300 * time.Millisecond)
	before := slow.requests.Load()
	c.post("/quote", "")
	status, outcome, _ := c.response()
	require.Equal(t, 503, status)
	require.Equal(t, "turned-back", outcome)
	require.Equal(t, before, slow.requests.Load())
}

func TestProxy_RespondsOnceToRequestsInFlightDuringRollback(t *testing.T) {
	received := make(chan bool, 8)
	r := newTestbench(t, startHost(t, 1, 1, respondOK), startHost(t, 2, 2, func(x exchange) bool {
		received <- true
		time.Sleep(200 * time.Millisecond)
		return respondOK(x)
	}))
	for _, in := range []release.Input{release.Offer{Build: 2}, release.HostsReady{Build: 2}, release.Vote{Router: "r", Build: 2, Stage: 0, Choice: policy.Promote}} {
		_, err := r.controller.Handle(in)
		require.NoError(t, err)
	}
	require.Equal(t, policy.Released, r.controller.Status().Phase)
	time.Sleep(200 * time.Millisecond)
	var clients []*client
	for range 2 { // one for each host, so that none is overloaded
		c := r.dial()
		c.post("/transfer", "")
		clients = append(clients, c)
	}
	select {
	case <-received:
	case <-time.After(5 * time.Second):
		t.Fatal("no request was sent to the released build")
	}
	_, err := r.controller.Handle(release.RollBack{Build: 2})
	require.NoError(t, err)
	for _, c := range clients {
		_, outcome, _ := c.response()
		require.Equal(t, "finished", outcome)
		c.requireSilence(50 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond) // the grace period
	before := r.hosts[1].requests.Load()
	for range 5 {
		clients[0].post("/transfer", "")
		_, outcome, _ := clients[0].response()
		require.Equal(t, "finished", outcome)
	}
	require.Equal(t, before, r.hosts[1].requests.Load(), "no attempt is sent to a build that is being rolled back")
}

func TestProxy_RestartsFromCachedEndpointsWhileDiscoveryIsDown(t *testing.T) {
	h := startHost(t, 1, 1, func(x exchange) bool {
		if x.requestNumber == 1 {
			time.Sleep(300 * time.Millisecond)
		}
		return respondOK(x)
	})
	r := newTestbench(t, h)
	c := r.dial()
	c.post("/quote", "")
	r.eventually(func() bool { return h.requests.Load() == 1 })
	r.router.Close()
	c.requireClosed()
	r.discovery.SetDown(true)
	r.start()
	c = r.dial()
	c.post("/quote", "")
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
}

func TestProxy_RejectsImmediatelyWhenEndpointListBecomesEmpty(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, respondOK))
	r.discovery.Clear()
	r.eventually(func() bool {
		n := 1
		r.router.loop.Do(func() { n = len(r.router.endpoints) })
		return n == 0
	})
	time.Sleep(350 * time.Millisecond) // the grace period
	c := r.dial()
	began := time.Now()
	c.post("/transfer", "")
	status, outcome, _ := c.response()
	require.Equal(t, 503, status)
	require.Equal(t, "turned-back", outcome)
	require.Less(t, time.Since(began), 400*time.Millisecond)
}

// Guards against an endpoint list that is never cached because the disk was full when it arrived.
func TestProxy_CachesEndpointsOnceDiskWorksAgain(t *testing.T) {
	p := &Proxy{log: slog.New(slog.DiscardHandler), cacheUpdates: make(chan []endpoint.Host, 1), cacheWriterDone: make(chan struct{})}
	dir := filepath.Join(t.TempDir(), "not there yet") // writing to it fails
	file := filepath.Join(dir, "list")
	go p.writeEndpointCache(file)
	p.cacheUpdates <- []endpoint.Host{{Host: router.Host{ID: 1, Build: 1}, Address: "127.0.0.1:1"}}
	time.Sleep(cacheRetryInterval / 4)
	require.NoError(t, os.Mkdir(dir, 0o700))
	require.Eventually(t, func() bool { _, err := os.Stat(file); return err == nil }, 10*time.Second, 10*time.Millisecond)
	p.stopCacheWriter()
}
