package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestProxy_ReleasesResourcesWhenClientDisconnects(t *testing.T) {
	responded := make(chan bool, 4)
	h := startHost(t, 1, 1, func(x exchange) bool {
		if x.requestNumber == 1 {
			time.Sleep(300 * time.Millisecond)
		}
		respondOK(x)
		responded <- true
		return true
	})
	r := newTestbench(t, h)
	c := r.dial()
	c.post("/quote", "")
	r.eventually(func() bool { return h.requests.Load() == 1 })
	_ = c.Close()
	r.eventually(func() bool { return r.router.Counts().ClientsGone == 1 })
	<-responded
	r.waitIdle()
	time.Sleep(50 * time.Millisecond) // the quiet period, in which a connection is not reused after a response
	c = r.dial()
	c.post("/quote", "")
	_, outcome, _ := c.response()
	require.Equal(t, "finished", outcome)
	require.EqualValues(t, 1, h.conns.Load(), "the connection is reused")
}

func TestProxy_LimitsTimeoutHeaderAndRefusesInvalidValues(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, func(exchange) bool { time.Sleep(3 * time.Second); return false }))
	c := r.dial()
	began := time.Now()
	c.post("/transfer", "Dapplefront-Patience: 8000h\r\n")
	status, _, _ := c.response()
	require.Equal(t, 504, status)
	require.Less(t, time.Since(began), 2*time.Second, "the timeout must be at most that of the request's class")
	for _, value := range []string{"-1s", "0", "0s", "soon", "1e9h", "99999999999999999999"} {
		c.post("/transfer", "Dapplefront-Patience: "+value+"\r\n")
		status, outcome, body := c.response()
		require.Equal(t, "400 ", fmt.Sprint(status, " ", outcome), value)
		require.Contains(t, body, "Dapplefront-Patience")
	}
}

func TestProxy_RefusesOversizedBodyWithoutForwardingRequest(t *testing.T) {
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
	require.Equal(t, 413, status, "the body is too large")
	status, _, _ = slow.response()
	require.Equal(t, 408, status, "the body arrives too slowly")
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
	require.Equal(t, 400, got, "a class that is idempotent with a key requires the key")
	require.Contains(t, body, "Idempotency-Key")
	require.Zero(t, h.requests.Load())
	r.waitIdle()
}

func TestProxy_DisconnectsClientThatDoesNotRead(t *testing.T) {
	big := strings.Repeat("x", 1<<20-1)
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool { x.respond(200, big); return true }))
	c := r.dial()
	_ = c.Conn.(*net.TCPConn).SetReadBuffer(4096)
	disconnected := false
	for range 400 {
		if _, err := io.WriteString(c, "GET /quote HTTP/1.1\r\nHost: r\r\n\r\n"); err != nil {
			disconnected = true
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.True(t, disconnected, "unread responses must not accumulate")
	r.waitIdle()
}

// Guards against late responses while the event loop is blocked repeatedly, as on an overloaded machine: the router must
// measure its lag and give up on requests correspondingly earlier.
func TestProxy_RespondsInTimeWhileEventLoopIsBlocked(t *testing.T) {
	const (
		blockedFor = 300 * time.Millisecond
		timeout    = 900 * time.Millisecond
		slack      = 150 * time.Millisecond // how long after the client's timeout the protocol allows a response
		requests   = 24
	)
	r := newTestbench(t, startHost(t, 1, 1, func(exchange) bool { time.Sleep(2 * time.Second); return false }))
	stop, stopped := make(chan bool), make(chan bool)
	go func() {
		defer close(stopped)
		for {
			r.router.loop.Do(func() { time.Sleep(blockedFor) })
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	defer func() { close(stop); <-stopped }()
	time.Sleep(2 * blockedFor) // the router knows its lag only after the loop has been blocked once
	var wait sync.WaitGroup
	late := make(chan time.Duration, requests)
	for range requests {
		c := r.dial()
		wait.Go(func() {
			sent := time.Now()
			c.post("/quote", fmt.Sprintf("Dapplefront-Patience: %dms\r\n", timeout.Milliseconds()))
			c.response()
			late <- time.Since(sent) - timeout
		})
		time.Sleep(blockedFor / 7)
	}
	wait.Wait()
	close(late)
	for lateness := range late {
		require.LessOrEqual(t, lateness, slack)
	}
}

// Guards against a router that rejects requests after a period without traffic because it takes the idle time for
// processing time of the hosts.
func TestProxy_AcceptsBurstAfterQuietMoment(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, func(x exchange) bool {
		time.Sleep(20 * time.Millisecond)
		return respondOK(x)
	}))
	time.Sleep(time.Second)
	c := r.dial()
	const burst = 6
	c.write(strings.Repeat("GET /quote HTTP/1.1\r\nHost: r\r\n\r\n", burst))
	for range burst {
		_, outcome, _ := c.response()
		require.Equal(t, "finished", outcome)
	}
	r.waitIdle()
}
