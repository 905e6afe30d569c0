package downstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// testbench is a server on a real listener, with a loop that a test can block.
type testbench struct {
	*testing.T
	loop     *eventloop.Loop
	server   *Server
	address  string
	requests chan *Request
}

func newTestbench(t *testing.T, change func(*Config)) *testbench {
	t.Helper()
	config := Config{Classes: []Class{{Name: "quote", Paths: []string{"/"}, Timeout: 10 * policy.Second}},
		Limits: http1.Limits{Head: 4096, Body: 4096}, TransferTimeout: time.Minute, IdleTimeout: time.Minute, MaxConnections: 10, MaxPipelined: 1}
	if change != nil {
		change(&config)
	}
	h := &testbench{T: t, loop: eventloop.New(), requests: make(chan *Request, 100)}
	engine := transport.Start()
	h.loop.Do(func() {
		h.server = NewServer(h.loop, config, http1.NewBudget(1<<20), func(r *Request) { r.OnClientDisconnected = func() {}; h.requests <- r })
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.address = l.Addr().String()
	engine.Accept(l, h.server.Accept, func(error) {})
	t.Cleanup(func() { h.loop.Close(); engine.Stop() })
	return h
}

// blockLoop blocks the loop until the returned function is called.
func (h *testbench) blockLoop() (unblock func()) {
	blocked, barrier := make(chan bool), make(chan bool)
	go h.loop.Post(func() { blocked <- true; <-barrier })
	<-blocked
	return func() { close(barrier) }
}

func (h *testbench) fail(r *Request) { h.loop.Do(func() { r.Fail(false) }) }

// testClient is a raw connection to the server.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

func (h *testbench) dial() testClient {
	h.Helper()
	c, err := net.Dial("tcp", h.address)
	require.NoError(h, err)
	h.Cleanup(func() { _ = c.Close() })
	require.NoError(h, c.SetDeadline(time.Now().Add(20*time.Second)))
	return testClient{c, bufio.NewReader(c)}
}

func (c testClient) get() { _, _ = fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n") }

// status returns the status of the next response, or 0 if the connection ends before it.
func (c testClient) status() int {
	got, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, got.Body)
	_ = got.Body.Close()
	return got.StatusCode
}

// requireBody checks that the next response is complete and has the given body.
func (c testClient) requireBody(t *testing.T, want []byte) {
	t.Helper()
	got, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	require.NoError(t, got.Body.Close())
	require.True(t, bytes.Equal(want, text))
}

// onlyConn returns the server's only connection. The loop must be blocked, or the caller must be work of the loop.
func (h *testbench) onlyConn() (c *clientConn) {
	for c = range h.server.conns {
	}
	return c
}

func (h *testbench) waitConnection() {
	h.Helper()
	require.Eventually(h, func() bool { open := 0; h.loop.Do(func() { open = h.server.Connections() }); return open == 1 },
		20*time.Second, time.Millisecond)
}

// closers are the ways in which idle connections are closed.
var closers = map[string]func(*Server){
	"shutdown": (*Server).Close,
	"reclaim":  func(s *Server) { s.reclaim() },
	"sweep":    func(s *Server) { s.config.IdleTimeout = 0; s.sweep() },
}

// A request that was read and posted, but not yet handled by the loop, keeps its connection open, whichever function closes
// idle connections: shutdown, the sweep, or reclaim for a new connection.
func TestServer_RespondsToRequestThatArrivesDuringIdleClose(t *testing.T) {
	for name, closes := range closers {
		t.Run(name, func(t *testing.T) {
			h := newTestbench(t, func(c *Config) { c.ReclaimIdleAfter = time.Nanosecond })
			c := h.dial()
			c.get()
			h.fail(<-h.requests) // the connection has had a request
			require.Equal(t, 502, c.status())
			unblock := h.blockLoop()
			go h.loop.Post(func() { closes(h.server) }) // queued before the request
			require.Eventually(t, func() bool { return h.loop.QueueLength() == 1 }, 20*time.Second, time.Millisecond)
			conn := h.onlyConn()
			c.get()
			require.Eventually(t, func() bool { return conn.awaitingResponse.Load() == 1 && h.loop.QueueLength() == 2 }, 20*time.Second, time.Millisecond)
			conn.lastReadAt.Store(0) // to the server, the connection has been idle for a long time
			unblock()
			if name != "shutdown" {
				h.fail(<-h.requests)
				require.Equal(t, 502, c.status())
				return
			}
			require.Equal(t, 503, c.status())
			_ = c.Close()
			require.Eventually(t, func() bool { done := false; h.loop.Do(func() { done = h.server.Drained() }); return done },
				20*time.Second, time.Millisecond)
		})
	}
}

// A request on a connection above the limit must not run: no response can reach its client.
func TestServer_DropsRequestOfConnectionAboveLimit(t *testing.T) {
	h := newTestbench(t, func(c *Config) { c.MaxConnections = 1 })
	first := h.dial()
	first.get()
	admitted := <-h.requests
	unblock := h.blockLoop()
	c := h.dial()
	c.get()
	require.Eventually(t, func() bool { return h.loop.QueueLength() == 2 }, 20*time.Second, time.Millisecond, "the accept and the request are queued")
	unblock()
	require.Zero(t, c.status())
	h.loop.Do(func() {}) // the queued work is done
	require.Empty(t, h.requests)
	h.fail(admitted)
	require.Equal(t, 502, first.status())
}

// During shutdown, a client can complete a request that has arrived in part; the request is then rejected.
func TestServer_CloseWaitsForPartialRequestAndRejectsIt(t *testing.T) {
	h := newTestbench(t, nil)
	c := h.dial()
	_, _ = fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r")
	h.waitConnection()
	unblock := h.blockLoop()
	conn := h.onlyConn()
	require.Eventually(t, func() bool { return conn.requestStartedAt.Load() != 0 }, 20*time.Second, time.Millisecond)
	unblock()
	h.loop.Do(h.server.Close)
	drained := true
	h.loop.Do(func() { drained = h.server.Drained() })
	require.False(t, drained)
	_, _ = fmt.Fprint(c, "\n")
	require.Equal(t, 503, c.status())
	_, err := c.in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the connection is closed after the response, without a reset")
}

// Requests that arrive while the server is draining are responded to before the deadline, even if the client's timeout is
// longer.
func TestServer_BoundsTimeoutWhileDraining(t *testing.T) {
	h := newTestbench(t, nil)
	h.loop.Do(func() { h.server.StartDraining(h.loop.Now() + policy.Second) })
	c := h.dial()
	c.get()
	require.LessOrEqual(t, (<-h.requests).Timeout, policy.Second)
}

// Idle connections are closed to admit new ones, long before their idle timeout.
func TestServer_ReclaimsIdleConnectionForNewOne(t *testing.T) {
	h := newTestbench(t, func(c *Config) { c.MaxConnections, c.ReclaimIdleAfter = 2, time.Nanosecond })
	first, second := h.dial(), h.dial()
	for _, c := range []testClient{first, second} {
		c.get()
		h.fail(<-h.requests)
		require.Equal(t, 502, c.status())
	}
	second.get() // has a request in flight, so this connection stays open
	open := <-h.requests
	third := h.dial()
	third.get()
	h.fail(<-h.requests)
	require.Equal(t, 502, third.status())
	_, err := first.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	h.fail(open)
	require.Equal(t, 502, second.status())
}

// A connection stays open until its response has been sent completely, whichever function closes idle connections.
func TestServer_KeepsConnectionWhileResponseIsBeingWritten(t *testing.T) {
	for name, closes := range closers {
		t.Run(name, func(t *testing.T) {
			h := newTestbench(t, func(c *Config) { c.ReclaimIdleAfter = time.Nanosecond })
			c := h.dial()
			c.get()
			r := <-h.requests
			body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20) // more than the kernel buffers
			pending := 0
			h.loop.Do(func() {
				r.Respond(&http1.Message{Status: 200, Reason: "OK", Body: body}, 1)
				h.onlyConn().lastReadAt.Store(0) // long ago
				pending, _ = h.onlyConn().conn.Pending()
				closes(h.server)
			})
			require.Positive(t, pending)
			c.requireBody(t, body)
		})
	}
}

// Guards against a last response that is truncated because its client reads slowly.
func TestServer_WritesWholeLastResponseToSlowReader(t *testing.T) {
	for name, closes := range map[string]func(*Server){
		"linger timeout": func(s *Server) {
			for c := range s.conns {
				c.lingeringSince -= 2 * lingerTimeout
			}
			s.sweep()
		},
		"reclaim": func(s *Server) { s.reclaim() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestbench(t, func(c *Config) { c.ReclaimIdleAfter = time.Nanosecond })
			c := h.dial()
			_, _ = fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			r := <-h.requests
			body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20) // more than the kernel buffers
			h.loop.Do(func() { r.Respond(&http1.Message{Status: 200, Reason: "OK", Body: body}, 1) })
			h.loop.Do(func() { closes(h.server) })
			c.requireBody(t, body)
		})
	}
}

// Guards against a new connection that a closing router closes as idle while its first request is on the way.
func TestServer_ClosingWaitsForFirstRequestOfNewConnection(t *testing.T) {
	h := newTestbench(t, nil)
	h.loop.Do(h.server.Close)
	c := h.dial()
	h.waitConnection()
	h.loop.Do(func() { h.server.Drained() })
	c.get()
	require.Equal(t, http.StatusServiceUnavailable, c.status())
	idle := h.dial()
	require.Eventually(t, func() bool {
		drained := false
		h.loop.Do(func() { drained = h.server.Drained() })
		return drained
	}, 10*time.Second, time.Millisecond)
	_, err := idle.in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "a connection that stays silent is closed")
}

// Guards against requests of a crowd that a router reads and never responds to, because it has too many connections.
func TestServer_RejectsRequestsOfConnectionsAboveLimit(t *testing.T) {
	h := newTestbench(t, func(c *Config) { c.MaxConnections, c.RejectedConnections = 1, 3 })
	first := h.dial()
	first.get()
	admitted := <-h.requests
	for range 9 { // one after the other, as each leaves when it is rejected
		c := h.dial()
		c.get()
		require.Equal(t, http.StatusServiceUnavailable, c.status())
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, c.Close())
		h.waitConnection()
	}
	require.Empty(t, h.requests)
	h.fail(admitted)
	require.Equal(t, http.StatusBadGateway, first.status())
}

// The requests of a connection have its number, by which the policy tells clients apart.
func TestServer_NumbersConnections(t *testing.T) {
	h := newTestbench(t, nil)
	first, second := h.dial(), h.dial()
	numbers := map[uint64]int{}
	for range 2 {
		for _, c := range []testClient{first, second} {
			c.get()
			r := <-h.requests
			numbers[r.Client]++
			h.fail(r)
			require.Equal(t, http.StatusBadGateway, c.status())
		}
	}
	require.Len(t, numbers, 2)
	require.NotContains(t, numbers, uint64(0))
	for _, requests := range numbers {
		require.Equal(t, 2, requests)
	}
}

// Guards against a request that is read and gets no response, because its connection is refused for the partial request behind it
// before the loop has handled it.
func TestServer_RefusesNoPartialRequestBehindOneThatWasNotHandled(t *testing.T) {
	h := newTestbench(t, nil)
	c := h.dial()
	h.waitConnection()
	unblock := h.blockLoop()
	_, err := fmt.Fprint(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\nGET /y HTTP/1.1\r\n")
	require.NoError(t, err)
	conn := h.onlyConn()
	require.Eventually(t, func() bool { return conn.awaitingResponse.Load() == 1 && conn.requestStartedAt.Load() != 0 }, 10*time.Second, time.Millisecond)
	h.server.RefuseArriving()
	unblock()
	require.Eventually(t, func() bool { return len(h.requests) == 1 }, 10*time.Second, time.Millisecond, "the request is handled")
	h.fail(<-h.requests)
	require.Equal(t, http.StatusBadGateway, c.status())
}
