package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// testbench is a pool with one real host. The host passes the requests that it receives to the test, which responds to them.
type testbench struct {
	*testing.T
	loop     *eventloop.Loop
	pool     *Pool
	host     net.Listener
	requests chan hostRequest
	accepted atomic.Int64 // connections that the host has accepted
}

// hostRequest is a request that the host has received, and the connection to respond on.
type hostRequest struct {
	*http.Request
	conn net.Conn
}

func (r hostRequest) respond(body string) {
	_, _ = fmt.Fprintf(r.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func newTestbench(t *testing.T) *testbench {
	t.Helper()
	r := &testbench{T: t, loop: eventloop.New(), requests: make(chan hostRequest, 100)}
	var err error
	r.host, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	engine := transport.Start()
	t.Cleanup(func() { r.loop.Close(); engine.Stop(); _ = r.host.Close() })
	go func() {
		for {
			c, err := r.host.Accept()
			if err != nil {
				return
			}
			r.accepted.Add(1)
			go func() {
				for in := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					r.requests <- hostRequest{q, c}
				}
			}()
		}
	}()
	r.loop.Do(func() {
		r.pool = NewPool(r.loop, engine, Config{ConnectTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 10,
			Limits: http1.Limits{Head: 4096, Body: 4096}}, http1.NewBudget(1<<20))
		r.pool.SetAddress(1, r.host.Addr().String())
	})
	return r
}

// attemptTimeout is the timeout of all attempts.
const attemptTimeout = 10 * policy.Second

// send starts an attempt; it is called from work of the loop. When the attempt ends, send calls the function then, unless
// it is nil, and sends the response's body, or the outcome if there is no response, to results.
func (r *testbench) send(name string, results chan string, then func()) *Attempt {
	head := []byte("GET /" + name + " HTTP/1.1\r\nHost: h\r\n")
	return r.pool.Send(1, Request{Head: head}, attemptTimeout, func(x Result) {
		text := fmt.Sprint(x.Outcome)
		if x.Response != nil {
			text = string(x.Response.Body)
			x.Response.Drop()
		}
		if then != nil {
			then()
		}
		results <- text
	})
}

// A duplicate of a response that arrives while the next request is in flight must not be taken for the response to that
// request.
func TestPool_IgnoresLateDuplicateResponse(t *testing.T) {
	r := newTestbench(t)
	got := make(chan string, 4)
	r.loop.Do(func() {
		r.send("first", got, func() { r.send("second", got, nil) })
	})
	first := <-r.requests
	first.respond("first")
	require.Equal(t, "first", <-got)
	second := <-r.requests
	first.respond("first") // the duplicate, after the second request has arrived
	second.respond("second")
	require.Equal(t, "second", <-got)
	require.Eventually(t, func() bool {
		open := 0
		r.loop.Do(func() { open = r.pool.Connections() })
		return open == 1
	}, 10*time.Second, time.Millisecond, "the connection with the duplicate is closed")
}

// A duplicate that arrives after the quiet period lengthens the period from then on.
func TestPool_LengthensQuietPeriodAfterLateDuplicate(t *testing.T) {
	r := newTestbench(t)
	got := make(chan string, 4)
	r.loop.Do(func() { r.send("first", got, nil) })
	first := <-r.requests
	first.respond("first")
	<-got
	var idleSince policy.Time
	r.loop.Do(func() { idleSince = r.pool.hosts[1].idle[0].idleSince })
	require.Eventually(t, func() bool { return r.loop.Now()-idleSince > 2*minQuietPeriod }, 10*time.Second, time.Millisecond)
	first.respond("first")
	require.Eventually(t, func() bool {
		quiet := policy.Time(0)
		r.loop.Do(func() { quiet = r.pool.quietPeriod })
		return quiet > 4*minQuietPeriod && quiet <= maxQuietPeriod
	}, 10*time.Second, time.Millisecond)
}

func TestPool_ReusesConnectionAfterQuietPeriod(t *testing.T) {
	r := newTestbench(t)
	got := make(chan string, 4)
	for n := range 3 {
		r.loop.Do(func() {
			for _, c := range r.pool.hosts[1].idle {
				c.idleSince -= minQuietPeriod // the quiet period is over
			}
			r.send(strconv.Itoa(n), got, nil)
		})
		(<-r.requests).respond("x")
		<-got
	}
	require.EqualValues(t, 1, r.accepted.Load())
}

// The timeout header contains the time that is left when the request is written, so it excludes the time for opening the
// connection.
func TestPool_SendsTimeLeftWhenRequestIsWritten(t *testing.T) {
	r := newTestbench(t)
	got := make(chan string, 1)
	const late = 120 * policy.Second / 1000
	sent, barrier := make(chan bool), make(chan bool)
	go r.loop.Post(func() {
		r.send("x", got, nil)
		sent <- true
		<-barrier // meanwhile the connection opens, but the loop handles that only later
	})
	<-sent
	began := r.loop.Now()
	require.Eventually(t, func() bool { return r.accepted.Load() == 1 && r.loop.Now()-began > late }, 10*time.Second, time.Millisecond)
	close(barrier)
	request := <-r.requests
	left, err := strconv.Atoi(strings.TrimSuffix(request.Header.Get(DefaultProtocol.Timeout), "ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, int((attemptTimeout-late)/(policy.Second/1000)))
	require.Positive(t, left)
	request.respond("x")
	require.Equal(t, "x", <-got)
}

// Nothing is sent on a connection that opens after its host was removed, or was given another address.
func TestPool_SendsNothingWhenHostChangesDuringConnect(t *testing.T) {
	for name, change := range map[string]func(*testbench){
		"removed":           func(r *testbench) { r.pool.Remove(1) },
		"moved":             func(r *testbench) { r.pool.SetAddress(1, "127.0.0.1:1") },
		"removed and added": func(r *testbench) { r.pool.Remove(1); r.pool.SetAddress(1, r.host.Addr().String()) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestbench(t)
			got := make(chan string, 1)
			r.loop.Do(func() { r.send("x", got, nil); change(r) })
			require.Equal(t, fmt.Sprint(policy.NotSent), <-got)
			require.Eventually(t, func() bool {
				open := -1
				r.loop.Do(func() { open = r.pool.Connections() })
				return open == 0
			}, 10*time.Second, time.Millisecond, "the connection is removed from the count once")
			require.Empty(t, r.requests)
		})
	}
}

// A connection whose attempt is canceled while it opens is kept for the next attempt, and counted once.
func TestPool_KeepsConnectionWhoseAttemptWasCanceled(t *testing.T) {
	r := newTestbench(t)
	got := make(chan string, 2)
	r.loop.Do(func() { r.send("x", got, nil).Cancel() })
	require.Equal(t, fmt.Sprint(policy.Revoked), <-got)
	require.Eventually(t, func() bool {
		idle := 0
		r.loop.Do(func() { idle = len(r.pool.hosts[1].idle) })
		return idle == 1
	}, 10*time.Second, time.Millisecond)
	r.loop.Do(func() {
		require.Equal(t, 1, r.pool.Connections())
		r.pool.Close()
		require.Zero(t, r.pool.Connections())
	})
	require.Empty(t, r.requests)
}

// Guards against an attempt on an idle connection that is written only after all work that was queued before the attempt.
func TestPool_SendsOnIdleConnectionBeforeQueuedWork(t *testing.T) {
	r := newTestbench(t)
	got := make(chan string, 2)
	r.loop.Do(func() { r.send("first", got, nil) })
	(<-r.requests).respond("x")
	<-got
	arrived := make(chan bool)
	go func() { // the test's own goroutine runs the loop's work
		request := <-r.requests
		close(arrived)
		request.respond("x")
	}()
	r.loop.Do(func() {
		r.pool.hosts[1].idle[0].idleSince -= minQuietPeriod // the quiet period is over
		r.loop.Post(func() {                                // queued work that runs until the attempt has arrived at the host
			select {
			case <-arrived:
			case <-time.After(2 * time.Second):
				t.Error("the attempt was not written before the queued work")
			}
		})
		r.send("x", got, nil)
	})
	require.Equal(t, "x", <-got)
	require.EqualValues(t, 1, r.accepted.Load())
}

// Guards against connections that stay open without being counted: data from the host is handled before the loop knows
// that the connection is open.
func TestPool_ClosesConnectionOnInvalidDataBeforeOpenIsHandled(t *testing.T) {
	r := newTestbench(t)
	host, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = host.Close() }()
	closed := make(chan error, 1)
	go func() {
		c, err := host.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("nonsense\r\n\r\n"))
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = c.Read(make([]byte, 1))
		closed <- err
	}()
	r.loop.Do(func() {
		r.pool.SetAddress(2, host.Addr().String())
		h := r.pool.hosts[2]
		c := &upstreamConn{pool: r.pool, host: h, address: h.address, reader: http1.NewReader(r.pool.config.Limits, r.pool.budget, true)}
		h.connections++
		r.pool.connections++
		r.pool.engine.Dial(h.address, time.Second, c, func(conn *transport.Conn, err error) {
			require.Eventually(t, func() bool {
				state := connConnecting
				r.loop.Do(func() { state = c.state })
				return state == connClosed
			}, 5*time.Second, time.Millisecond, "the invalid data is handled first")
			r.loop.Post(func() { c.opened(conn, err) })
		})
	})
	require.ErrorIs(t, <-closed, io.EOF)
	r.loop.Do(func() { require.Zero(t, r.pool.Connections()) })
}

// Guards against requests on connections that a host with a short idle time may close, between two sweeps of the pool.
func TestPool_DoesNotUseConnectionBeyondIdleTimeout(t *testing.T) {
	r := newTestbench(t)
	got := make(chan string, 2)
	r.loop.Do(func() {
		r.pool.config.IdleTimeout = 3 * eventloop.Duration(minQuietPeriod)
		r.send("first", got, nil)
	})
	(<-r.requests).respond("first")
	<-got
	time.Sleep(4 * eventloop.Duration(minQuietPeriod))
	r.loop.Do(func() { r.send("second", got, nil) })
	(<-r.requests).respond("second")
	require.Equal(t, "second", <-got)
	require.EqualValues(t, 2, r.accepted.Load(), "the second request has a connection of its own")
}

// Guards against an attempt that is written although the router is not ready, and against one that is never written.
func TestPool_PostponesWriteUntilReady(t *testing.T) {
	for name, readyAfter := range map[string]int{"becomes ready": 20, "never ready": 1 << 30} {
		t.Run(name, func(t *testing.T) {
			r := newTestbench(t)
			got, asked, startedAt := make(chan string, 1), 0, r.loop.Now()
			ready := func() bool { asked++; return asked > readyAfter }
			overdue := 0
			r.loop.Do(func() {
				r.pool.Send(1, Request{Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\n"), Ready: ready, Overdue: func() { overdue++ }}, attemptTimeout, func(x Result) {
					got <- fmt.Sprint(x.Outcome)
					x.Response.Drop()
				})
			})
			request := <-r.requests
			require.GreaterOrEqual(t, r.loop.Now()-startedAt, min(policy.Time(readyAfter)*readyPollInterval, maxPostponement))
			request.respond("x")
			require.Equal(t, fmt.Sprint(policy.Succeeded), <-got)
			require.Equal(t, readyAfter == 1<<30, overdue == 1)
		})
	}
}
