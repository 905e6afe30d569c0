package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
	"dapplefront/release"
)

func TestProxy_IgnoresResponseAfterTimeout(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool {
		if x.requestNumber == 1 {
			time.Sleep(800 * time.Millisecond)
		}
		return respondOK(x)
	}))
	c := r.dial()
	c.post("/transfer", "")
	status, outcome, _ := c.response()
	require.Equal(t, 504, status)
	require.Equal(t, "scrapped", outcome)
	c.requireSilence(600 * time.Millisecond)
	c.post("/transfer", "")
	_, outcome, body := c.response()
	require.Equal(t, "finished right", outcome+" "+body)
	r.waitIdle()
}

func TestProxy_FailsNonIdempotentRequestWhenConnectionIsLost(t *testing.T) {
	cut := func(x exchange) bool { return false }
	a, b := startHost(t, 1, 1, cut), startHost(t, 2, 1, cut)
	r := newTestbench(t, a, b)
	c := r.dial()
	c.post("/transfer", "")
	status, outcome, _ := c.response()
	require.Equal(t, 502, status)
	require.Equal(t, "scrapped", outcome)
	r.waitIdle()
	require.EqualValues(t, 1, a.requests.Load()+b.requests.Load())
}

func TestProxy_RetriesIdempotentRequestOnAnotherHost(t *testing.T) {
	var first atomic.Bool
	serve := func(x exchange) bool { return !first.CompareAndSwap(false, true) && respondOK(x) }
	r := newTestbench(t, startHost(t, 1, 1, serve), startHost(t, 2, 1, serve))
	c := r.dial()
	c.post("/quote", "")
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
}

func TestProxy_RunsNonIdempotentRequestOnceWhenHostsCloseIdleConnections(t *testing.T) {
	var ran, succeeded, failed atomic.Int64
	h := startHost(t, 1, 1, func(x exchange) bool {
		ran.Add(1)
		respondOK(x)
		time.Sleep(time.Duration(x.requestNumber%4) * 300 * time.Microsecond) // closes at about when the next request is written
		return false
	})
	r := newTestbench(t, h)
	c := r.dial()
	const requests = 200
	for range requests {
		c.post("/transfer", "")
		switch _, outcome, _ := c.response(); outcome {
		case "finished":
			succeeded.Add(1)
		case "scrapped": // the host closed after the kernel had taken the request: it may have run
			failed.Add(1)
		default:
			t.Fatalf("outcome %q", outcome)
		}
	}
	r.waitIdle()
	require.Equal(t, succeeded.Load(), ran.Load(), "each that ran was responded to, and ran once")
	require.Greater(t, succeeded.Load(), int64(requests/2), "most closes are seen before the write")
}

func TestProxy_FinishesAttemptAndSendsNoMoreWhenHostStartsDraining(t *testing.T) {
	arriving, drainKnown := make(chan bool, 1), make(chan bool)
	slow := startHost(t, 1, 1, func(x exchange) bool {
		if x.requestNumber == 1 {
			arriving <- true
			<-drainKnown
		}
		return respondOK(x)
	})
	r := newTestbench(t, slow)
	c := r.dial()
	c.write("POST /quote HTTP/1.1\r\nHost: r\r\nDapplefront-Patience: 1s\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000))
	<-arriving
	r.setEndpoint(slow, policy.Draining)
	r.eventually(func() bool {
		s := policy.Serving
		r.router.loop.Do(func() { s = r.router.endpoints[1].State })
		return s == policy.Draining
	})
	close(drainKnown)
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
	held := make(chan bool, 8)
	r := newTestbench(t, startHost(t, 1, 1, respondOK), startHost(t, 2, 2, func(x exchange) bool {
		held <- true
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
	for range 2 { // as many as there are hosts: no overload
		c := r.dial()
		c.post("/transfer", "")
		clients = append(clients, c)
	}
	select {
	case <-held:
	case <-time.After(5 * time.Second):
		t.Fatal("no request went to the released build")
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
	require.Equal(t, before, r.hosts[1].requests.Load(), "nothing goes to a build that is rolling back")
}

func TestProxy_RestartsFromCachedEndpointsAfterKill(t *testing.T) {
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
	r.router.Kill()
	c.requireClosed()
	r.discovery.SetDown(true)
	r.start()
	c = r.dial()
	c.post("/quote", "")
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
}

func TestProxy_RespondsOnceWhenBothHedgedAttemptsSucceed(t *testing.T) {
	var sent atomic.Int64
	both := func(x exchange) bool {
		if sent.Add(1) > 1 {
			x.respond(200, "second")
			return true
		}
		time.Sleep(700 * time.Millisecond) // long enough for a hedged attempt, and in time
		x.respond(200, "first")
		return true
	}
	r := newTestbench(t, startHost(t, 1, 1, both), startHost(t, 2, 1, both))
	c := r.dial()
	c.post("/quote", "")
	_, outcome, body := c.response()
	require.Equal(t, "finished second", outcome+" "+body)
	c.requireSilence(700 * time.Millisecond)
	r.waitIdle()
	require.EqualValues(t, 2, sent.Load())
}

func TestProxy_ReleasesEverythingWhenClientGoes(t *testing.T) {
	answered := make(chan bool, 4)
	h := startHost(t, 1, 1, func(x exchange) bool {
		if x.requestNumber == 1 {
			time.Sleep(300 * time.Millisecond)
		}
		respondOK(x)
		answered <- true
		return true
	})
	r := newTestbench(t, h)
	c := r.dial()
	c.post("/quote", "")
	r.eventually(func() bool { return h.requests.Load() == 1 })
	_ = c.Close()
	r.eventually(func() bool { return r.router.Counts().ClientsGone == 1 })
	<-answered
	r.waitIdle()
	time.Sleep(50 * time.Millisecond) // a connection is left unused for a little after a response
	c = r.dial()
	c.post("/quote", "")
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
	require.EqualValues(t, 1, h.conns.Load(), "the connection is used again")
}

func TestProxy_RejectsAtOnceWhenEndpointListEmpties(t *testing.T) {
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

func TestProxy_BoundsTimeoutHeader(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, func(exchange) bool { time.Sleep(3 * time.Second); return false }))
	c := r.dial()
	began := time.Now()
	c.post("/transfer", "Dapplefront-Patience: 8000h\r\n")
	status, _, _ := c.response()
	require.Equal(t, 504, status)
	require.Less(t, time.Since(began), 2*time.Second, "at most the timeout of its class")
	for _, value := range []string{"-1s", "0", "0s", "soon", "1e9h", "99999999999999999999"} {
		c.post("/transfer", "Dapplefront-Patience: "+value+"\r\n")
		status, outcome, body := c.response()
		require.Equal(t, "400 ", fmt.Sprint(status, " ", outcome), value)
		require.Contains(t, body, "Dapplefront-Patience")
	}
}

func TestProxy_RefusesBodyOf100MBAndSendsNothing(t *testing.T) {
	h := startHost(t, 1, 1, respondOK)
	r := newTestbench(t, h)
	c := r.dial()
	c.write("POST /quote HTTP/1.1\r\nHost: r\r\nContent-Length: 104857600\r\n\r\n")
	go func() { _, _ = io.CopyN(c.Conn, zeros{}, 100<<20) }()
	status, outcome, body := c.response()
	require.Equal(t, 413, status)
	require.Empty(t, outcome)
	require.Contains(t, body, "65536 bytes")
	r.waitIdle()
	require.Zero(t, h.requests.Load())
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

func TestProxy_RespondsToPipelinedRequestsInOrder(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool {
		if x.URL.Path == "/quote/0" {
			time.Sleep(100 * time.Millisecond)
		}
		x.respond(200, x.URL.Path)
		return true
	}))
	c := r.dial()
	all := ""
	for i := range 6 {
		all += fmt.Sprintf("GET /quote/%d HTTP/1.1\r\nHost: r\r\n\r\n", i)
	}
	c.write(all)
	for i := range 6 {
		_, _, body := c.response()
		require.Equal(t, fmt.Sprintf("/quote/%d", i), body)
	}
	r.waitIdle()
}

func TestProxy_RejectsPipelinedRequestsAboveLimit(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool { time.Sleep(50 * time.Millisecond); return respondOK(x) }))
	c := r.dial()
	c.write(strings.Repeat("GET /quote HTTP/1.1\r\nHost: r\r\n\r\n", 20))
	seen := map[string]int{}
	for range 20 {
		_, outcome, _ := c.response()
		seen[outcome]++
	}
	require.Equal(t, 20, seen["finished"]+seen["turned-back"])
	require.GreaterOrEqual(t, seen["turned-back"], 12)
	require.Positive(t, seen["finished"])
}

func TestProxy_RefusesChunkedBodyThatNeverEnds(t *testing.T) {
	h := startHost(t, 1, 1, respondOK)
	r := newTestbench(t, h)
	fast, slow := r.dial(), r.dial()
	head := "POST /quote HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n"
	slow.write(head + "1\r\nx\r\n")
	fast.write(head)
	go func() {
		for range 1000 {
			if _, err := io.WriteString(fast, "400\r\n"+strings.Repeat("x", 1024)+"\r\n"); err != nil {
				return
			}
		}
	}()
	status, _, _ := fast.response()
	require.Equal(t, 413, status, "too much of it")
	status, _, _ = slow.response()
	require.Equal(t, 408, status, "too slow")
	r.waitIdle()
	require.Zero(t, h.requests.Load())
}

func TestProxy_RefusesMalformedRequests(t *testing.T) {
	h := startHost(t, 1, 1, respondOK)
	r := newTestbench(t, h)
	for text, status := range map[string]int{
		"NONSENSE\r\n\r\n":                                                                           400,
		"GET /quote HTTP/2.0\r\nHost: r\r\n\r\n":                                                     505,
		"GET /quote HTTP/1.1\r\n\r\n":                                                                400,
		"GET quote HTTP/1.1\r\nHost: r\r\n\r\n":                                                      400,
		"GET /quote HTTP/1.1\r\nHost : r\r\n\r\n":                                                    400,
		"GET /quote HTTP/1.1\r\nHost: r\r\n folded\r\n\r\n":                                          400,
		"GET /quote HTTP/1.1\r\nHost: r\r\nHost: q\r\n\r\n":                                          400,
		"POST /quote HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":          400,
		"POST /quote HTTP/1.1\r\nHost: r\r\nContent-Length: -1\r\n\r\n":                              400,
		"POST /quote HTTP/1.1\r\nHost: r\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
		"POST /quote HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: gzip\r\n\r\n":                         501,
		"POST /quote HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                400,
		"POST /quote HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n":           400,
		"GET /quote HTTP/1.1\r\nHost: r\r\nA: " + strings.Repeat("x", 20<<10) + "\r\n\r\n":           431,
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03":                                               400,
	} {
		c := r.dial()
		c.write(text)
		got, _, _ := c.response()
		require.Equal(t, status, got, "%q", text)
		if status == 505 {
			c.requireClosed()
		}
	}
	c := r.dial()
	c.write("GET /elsewhere HTTP/1.1\r\nHost: r\r\n\r\nPOST /order HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n")
	got, _, _ := c.response()
	require.Equal(t, 404, got)
	got, _, body := c.response()
	require.Equal(t, 400, got, "a request that is idempotent with key needs its key")
	require.Contains(t, body, "Idempotency-Key")
	require.Zero(t, h.requests.Load())
	r.waitIdle()
}

func TestProxy_RetriesNonIdempotentRequestThatNeverStarted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := startHost(t, 1, 1, respondOK)
	_ = dead.listener.Close() // no one listens there any more
	_ = l.Close()
	full := startHost(t, 2, 1, func(x exchange) bool { x.respond(503, "full", "Dapplefront-Unseen: 1"); return true })
	well := startHost(t, 3, 1, respondOK)
	r := newTestbench(t, dead, full, well)
	c := r.dial()
	for range 20 {
		c.post("/transfer", "")
		_, outcome, _ := c.response()
		require.Equal(t, "finished", outcome, "a non-idempotent request is retried while it surely never ran")
	}
}

func TestProxy_FailsNonIdempotentRequestOnUnreadableResponse(t *testing.T) {
	answers := []string{"rubbish\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"}
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool {
		_, _ = io.WriteString(x.conn, answers[(x.requestNumber-1)%3])
		return true
	}))
	c := r.dial()
	for range answers {
		c.post("/transfer", "")
		status, outcome, _ := c.response()
		require.Equal(t, "502 scrapped", fmt.Sprint(status, " ", outcome))
	}
	r.waitIdle()
}

func TestProxy_AcceptsResponseThatEndsWithItsConnection(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool {
		_, _ = io.WriteString(x.conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 \r\n\r\nto the end")
		return false
	}))
	c := r.dial()
	for range 3 {
		c.post("/transfer", "")
		_, outcome, body := c.response()
		require.Equal(t, "finished to the end", outcome+" "+body)
	}
}

func TestProxy_DisconnectsClientThatDoesNotRead(t *testing.T) {
	big := strings.Repeat("x", 1<<20-1)
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool { x.respond(200, big); return true }))
	c := r.dial()
	_ = c.Conn.(*net.TCPConn).SetReadBuffer(4096)
	gone := false
	for range 400 {
		if _, err := io.WriteString(c, "GET /quote HTTP/1.1\r\nHost: r\r\n\r\n"); err != nil {
			gone = true
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.True(t, gone, "responses that no one reads are not piled up")
	r.waitIdle()
}

func TestProxy_DrainRespondsToRequestsInFlightAndAcceptsNoMore(t *testing.T) {
	h := startHost(t, 1, 1, func(x exchange) bool { time.Sleep(200 * time.Millisecond); return respondOK(x) })
	r := newTestbench(t, h)
	c, idle := r.dial(), r.dial()
	c.post("/quote", "")
	r.eventually(func() bool { return h.requests.Load() == 1 })
	done := make(chan int)
	go func() { done <- r.router.Drain(5*time.Second, nil) }()
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
	c.requireClosed()
	idle.requireClosed()
	require.Zero(t, <-done)
	r.router = nil
	_, err := net.Dial("tcp", r.hosts[0].listener.Addr().String())
	require.NoError(t, err)
}

func TestProxy_DrainCountsRequestsLeftWhenAborted(t *testing.T) {
	h := startHost(t, 1, 1, func(x exchange) bool { time.Sleep(3 * time.Second); return false })
	r := newTestbench(t, h)
	c := r.dial()
	c.post("/quote", "")
	r.eventually(func() bool { return h.requests.Load() >= 1 })
	cut := make(chan struct{})
	close(cut)
	require.Equal(t, 1, r.router.Drain(5*time.Second, cut))
	r.router = nil
}
