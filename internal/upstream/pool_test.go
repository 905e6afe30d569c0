package upstream

import (
	"bufio"
	"fmt"
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

// rig is a pool with one real host, whose connections a test serves request by request.
type rig struct {
	*testing.T
	loop *eventloop.Loop
	pool *Pool
	host net.Listener
	came chan arrival
	open atomic.Int64 // connections that the host has accepted
}

// arrival is a request as it has come to the host.
type arrival struct {
	*http.Request
	conn net.Conn
}

func (a arrival) answer(body string) {
	fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func newRig(t *testing.T) *rig {
	r := &rig{T: t, loop: eventloop.New(), came: make(chan arrival, 100)}
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
			r.open.Add(1)
			go func() {
				for in := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					r.came <- arrival{q, c}
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

// send starts a send from the loop's work; its result goes to the channel, after then.
func (r *rig) send(name string, within policy.Time, to chan string, then func()) *Attempt {
	head := []byte("GET /" + name + " HTTP/1.1\r\nHost: h\r\n")
	return r.pool.Send(1, head, nil, false, within, func(x Result) {
		text := fmt.Sprint(x.Outcome)
		if x.Response != nil {
			text = string(x.Response.Body)
			x.Response.Drop()
		}
		if then != nil {
			then()
		}
		to <- text
	})
}

// A second copy of an answer that comes when the next request is on its way is nobody's answer.
func TestPool_IgnoresLateDuplicateResponse(t *testing.T) {
	r := newRig(t)
	got := make(chan string, 4)
	r.loop.Do(func() {
		r.send("first", 10*policy.Second, got, func() { r.send("second", 10*policy.Second, got, nil) })
	})
	first := <-r.came
	first.answer("first")
	require.Equal(t, "first", <-got)
	second := <-r.came
	first.answer("first") // once more, as the second request has come
	second.answer("second")
	require.Equal(t, "second", <-got)
	require.Eventually(t, func() bool {
		links := 0
		r.loop.Do(func() { links = r.pool.Connections() })
		return links == 1
	}, 10*time.Second, time.Millisecond, "the odd connection has ended")
}

// A copy that came later than a link rests makes links rest longer from then on.
func TestPool_LengthensQuietPeriodAfterLateDuplicate(t *testing.T) {
	r := newRig(t)
	got := make(chan string, 4)
	r.loop.Do(func() { r.send("first", 10*policy.Second, got, nil) })
	first := <-r.came
	first.answer("first")
	<-got
	var freed policy.Time
	r.loop.Do(func() { freed = r.pool.hosts[1].idle[0].free })
	require.Eventually(t, func() bool { return r.loop.Now()-freed > 2*leastRest }, 10*time.Second, time.Millisecond)
	first.answer("first")
	require.Eventually(t, func() bool {
		rests := policy.Time(0)
		r.loop.Do(func() { rests = r.pool.rests })
		return rests > 4*leastRest && rests <= mostRest
	}, 10*time.Second, time.Millisecond)
}

func TestPool_ReusesConnectionAfterQuietPeriod(t *testing.T) {
	r := newRig(t)
	got := make(chan string, 4)
	for n := range 3 {
		r.loop.Do(func() {
			for _, l := range r.pool.hosts[1].idle {
				l.free = 1 // long ago
			}
			r.send(strconv.Itoa(n), 10*policy.Second, got, nil)
		})
		(<-r.came).answer("x")
		<-got
	}
	require.EqualValues(t, 1, r.open.Load())
}

// The time that a host is told is what is left when the bytes leave, however long the connection took to come up.
func TestPool_SendsTimeLeftWhenBytesLeave(t *testing.T) {
	r := newRig(t)
	got := make(chan string, 1)
	const within, late = 10 * policy.Second, 120 * policy.Second / 1000
	sent, barrier := make(chan bool), make(chan bool)
	go r.loop.Post(func() {
		r.send("x", within, got, nil)
		sent <- true
		<-barrier // the connection is open, and the loop comes to it later
	})
	<-sent
	began := r.loop.Now()
	require.Eventually(t, func() bool { return r.open.Load() == 1 && r.loop.Now()-began > late }, 10*time.Second, time.Millisecond)
	close(barrier)
	q := <-r.came
	told, err := strconv.Atoi(strings.TrimSuffix(q.Header.Get(DefaultProtocol.Timeout), "ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, told, int((within-late)/(policy.Second/1000)))
	require.Greater(t, told, 0)
	q.answer("x")
	require.Equal(t, "x", <-got)
}

// A connection that comes up when its host has left, or is told at another address, carries nothing.
func TestPool_SendsNothingOnConnectionThatOpensTooLate(t *testing.T) {
	for name, change := range map[string]func(*rig){
		"left":    func(r *rig) { r.pool.Remove(1) },
		"moved":   func(r *rig) { r.pool.SetAddress(1, "127.0.0.1:1") },
		"another": func(r *rig) { r.pool.Remove(1); r.pool.SetAddress(1, r.host.Addr().String()) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			got := make(chan string, 1)
			r.loop.Do(func() { r.send("x", 10*policy.Second, got, nil); change(r) })
			require.Equal(t, fmt.Sprint(policy.NotSent), <-got)
			require.Eventually(t, func() bool {
				links := -1
				r.loop.Do(func() { links = r.pool.Connections() })
				return links == 0
			}, 10*time.Second, time.Millisecond, "and it is counted back once")
			require.Empty(t, r.came)
		})
	}
}

// A connection whose send is withheld while it opens rests for the next one, and is counted once.
func TestPool_KeepsConnectionWhoseAttemptWasCanceled(t *testing.T) {
	r := newRig(t)
	got := make(chan string, 2)
	r.loop.Do(func() { r.send("x", 10*policy.Second, got, nil).Cancel() })
	require.Equal(t, fmt.Sprint(policy.NotSent), <-got)
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
	require.Empty(t, r.came)
}
