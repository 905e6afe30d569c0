package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// holdLoop has the loop wait until the returned function is called, as if the process were stopped. Until then, what
// arrives is queued.
func (r *testbench) holdLoop() (release func()) {
	release, held := r.queueHold()
	<-held
	return release
}

// queueHold has the loop wait after the work that is queued now. held is closed when the loop waits.
func (r *testbench) queueHold() (release func(), held chan struct{}) {
	held, barrier := make(chan struct{}), make(chan struct{})
	queued := r.router.loop.QueueLength()
	go r.router.loop.Post(func() { close(held); <-barrier })
	r.eventually(func() bool { return isClosed(held) || r.router.loop.QueueLength() > queued })
	return func() { close(barrier) }, held
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// awaitQueued waits until the loop, which is held, has n pieces of work in its queue. One of them may be the wakeup for its
// timers, so it waits a moment longer.
func (r *testbench) awaitQueued(n int) {
	r.Helper()
	r.eventually(func() bool { return r.router.loop.QueueLength() >= n })
	time.Sleep(20 * time.Millisecond)
}

// openIdleConnections has the router open a connection to each host, and waits until all can be used again.
func (r *testbench) openIdleConnections() {
	r.Helper()
	r.eventually(func() bool {
		c := r.dial()
		c.post("/transfer", "")
		c.response()
		_ = c.Close()
		for _, h := range r.hosts {
			if h.conns.Load() == 0 {
				return false
			}
		}
		return true
	})
	time.Sleep(50 * time.Millisecond) // the quiet period, in which a connection is not reused after a response
	r.waitIdle()
}

// received returns how many requests the hosts have received.
func (r *testbench) received() (n int) {
	for _, h := range r.hosts {
		n += int(h.requests.Load())
	}
	return n
}

// disconnect closes the client's connection and gives the end of its stream time to arrive.
func (c *client) disconnect() {
	_ = c.Close()
	time.Sleep(20 * time.Millisecond)
}

// acceptAndRequest is the work that a new connection with a request queues.
const acceptAndRequest = 2

// maxPlays is how often a case is played until its events come in the intended order.
const maxPlays = 5

// disconnectionCase is an attempt that is due after its client has disconnected and before the loop is told so.
type disconnectionCase struct {
	idleConnections bool                // whether the hosts have idle connections at the start
	serveQuote      func(exchange) bool // what hosts do with requests for /quote
	sent            int                 // number of attempts that reach a host before the client disconnects
	play            func(r *testbench)
}

var disconnectionCases = map[string]disconnectionCase{
	"first attempt on idle connection": {idleConnections: true, play: func(r *testbench) {
		release := r.holdLoop()
		c := r.dial()
		c.post("/transfer", "")
		r.awaitQueued(acceptAndRequest)
		c.disconnect()
		release()
	}},
	"first attempt on new connection": {play: func(r *testbench) {
		releaseRequest := r.holdLoop()
		c := r.dial()
		c.post("/transfer", "")
		r.awaitQueued(acceptAndRequest)
		releaseOpened, held := r.queueHold()
		releaseRequest()
		<-held           // the request has been handled
		r.awaitQueued(1) // its connection is open
		c.disconnect()
		releaseOpened()
	}},
	"end behind another request": {idleConnections: true, play: func(r *testbench) {
		release := r.holdLoop()
		c := r.dial()
		c.post("/transfer", "")
		c.post("/transfer", "")
		r.awaitQueued(acceptAndRequest)
		c.disconnect()
		release()
	}},
	"retry": {idleConnections: true, sent: 1, serveQuote: func(exchange) bool { return false }, play: func(r *testbench) {
		releaseRequest := r.holdLoop()
		c := r.dial()
		c.post("/quote", "")
		r.awaitQueued(acceptAndRequest)
		releaseFailure, held := r.queueHold()
		releaseRequest()
		<-held           // the attempt has been sent
		r.awaitQueued(1) // its host has closed the connection
		c.disconnect()
		releaseFailure()
	}},
	"hedged attempt": {idleConnections: true, sent: 1, serveQuote: func(x exchange) bool {
		time.Sleep(900 * time.Millisecond)
		return respondOK(x)
	}, play: func(r *testbench) {
		before := r.received()
		c := r.dial()
		c.post("/quote", "")
		r.eventually(func() bool { return r.received() > before })
		release := r.holdLoop()
		c.disconnect()
		time.Sleep(600 * time.Millisecond) // beyond the time after which the attempt is hedged
		release()
	}},
}

// Guards against requests that reach a host after their client has disconnected, because the loop is told of the disconnection
// only after the work that sends the attempt.
func TestProxy_SendsNothingForClientThatDisconnectedWhileRouterWasHeldUp(t *testing.T) {
	for name, test := range disconnectionCases {
		t.Run(name, func(t *testing.T) {
			serve := func(x exchange) bool {
				if x.URL.Path == "/quote" {
					return test.serveQuote(x)
				}
				return respondOK(x)
			}
			r := newTestbench(t, startHost(t, 1, 1, serve), startHost(t, 2, 1, serve))
			if test.idleConnections {
				r.openIdleConnections()
			}
			before, revoked := r.router.Counts(), r.router.RevokedAttempts()
			for plays := 0; r.router.RevokedAttempts() == revoked; plays++ {
				require.Less(t, plays, maxPlays, "the attempt was due before the client disconnected or after the loop was told so")
				received := r.received()
				gone := r.router.Counts().ClientsGone
				test.play(r)
				r.eventually(func() bool { return r.router.Counts().ClientsGone > gone })
				r.waitIdle()
				require.Equal(t, test.sent, r.received()-received, "attempts that reached a host")
			}
			after := r.router.Counts()
			require.Equal(t, before.Rejected, after.Rejected)
			require.Equal(t, before.Failed, after.Failed)
		})
	}
}

// Guards against an attempt for a client that may have disconnected: it sends without end, so that the end of its stream could
// not have arrived while the router was held up. Its request keeps its one response.
func TestProxy_RejectsRequestOfClientWhoseInputCannotBeReadToTheEnd(t *testing.T) {
	r := newTestbench(t, startHost(t, 1, 1, respondOK))
	r.openIdleConnections()
	received := r.received()
	release := r.holdLoop()
	c := r.dial()
	c.post("/quote", "")
	go func() { // ends when the test closes the connection
		for block := make([]byte, 64<<10); ; {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}()
	r.awaitQueued(acceptAndRequest)
	time.Sleep(200 * time.Millisecond)
	release()
	status, outcome, _ := c.response()
	require.Equal(t, 503, status)
	require.Equal(t, "turned-back", outcome)
	require.Equal(t, received, r.received())
	require.NoError(t, c.Close())
	r.waitIdle()
}
