package upstream

import (
	"strconv"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/policy"
)

const ticksPerMs = policy.Second / 1000 // number of units of policy.Time in a millisecond

// minWriteTime is the minimum time that must be left when a request is written.
const minWriteTime = ticksPerMs

// giveUpDelay is the time between closing the connection of an attempt that timed out and reporting its end, after which
// the request may be sent to another host. In this time the host can notice the close: the two attempts must not appear
// to be in flight at once.
const giveUpDelay = ticksPerMs

// Result describes how an attempt ended.
type Result struct {
	Outcome  policy.Outcome
	Latency  policy.Time
	Response *http1.Message     // set with Succeeded, Failed and Rejected if the host sent a valid response; Drop it after use
	Load     *policy.LoadReport // the response's load report; nil if it has none
	Reason   string             // error text for the log; empty if there was no error
}

// Attempt is one attempt of a request on a host.
//
//	state           on timeout                            on Cancel
//	attemptWaiting  ends as ConnectFailed                 ends as NotSent
//	attemptWritten  closes its connection, then TimedOut  continues
//	attemptEnded    -                                     -
type Attempt struct {
	pool      *Pool
	state     attemptState
	conn      *upstreamConn // nil before the attempt has a connection, and after its end
	head      []byte
	body      []byte
	noBody    bool
	startedAt policy.Time
	deadline  policy.Time
	timer     *eventloop.Timer
	done      func(Result)
}

type attemptState int

const (
	attemptWaiting attemptState = iota // waiting for a connection, or for the loop to write the request
	attemptWritten
	attemptEnded
)

// Cancel ends an attempt as NotSent if no byte of it has been written; otherwise it does nothing.
func (a *Attempt) Cancel() {
	if a.state == attemptWaiting {
		a.end(Result{Outcome: policy.NotSent, Reason: "canceled"})
	}
}

// write writes the request to its connection, which is open.
func (a *Attempt) write() {
	if a.state == attemptEnded || a.conn == nil || a.conn.attempt != a {
		return
	}
	c, remaining := a.conn, a.deadline-a.pool.loop.Now()
	if !c.current() || remaining < minWriteTime {
		c.attempt = nil
		a.end(Result{Outcome: policy.NotSent, Reason: "the host was removed or its address changed, or no time is left"})
		c.release()
		return
	}
	c.mu.Lock()
	c.reader.Expect(a.noBody)
	c.mu.Unlock()
	a.state = attemptWritten
	protocol := a.pool.config.Protocol
	a.head = append(append(a.head, protocol.Timeout...), ": "...)
	a.head = append(strconv.AppendInt(a.head, int64(remaining/ticksPerMs), 10), protocol.TimeoutUnit...)
	a.head = append(a.head, "\r\n\r\n"...)
	nothingSent, err := c.conn.Write(a.head, a.body)
	if err != nil && nothingSent {
		c.attempt = nil
		a.end(Result{Outcome: policy.NotSent, Reason: "the connection was closed: " + err.Error()})
		c.close()
	} // if a part was written before the error, Closed is called and ends the attempt
}

// timeout ends an attempt whose deadline has passed.
func (a *Attempt) timeout() {
	switch a.state {
	case attemptEnded:
	case attemptWaiting:
		a.end(Result{Outcome: policy.ConnectFailed, Reason: "no connection before the timeout"})
	case attemptWritten:
		c := a.conn
		c.attempt = nil
		c.close()
		a.timer = a.pool.loop.After(giveUpDelay, func() { a.end(Result{Outcome: policy.TimedOut, Reason: "no response before the timeout"}) })
	}
}

// endLater defers the end of an attempt to later work of the loop, because done must not be called before Send has
// returned.
func (a *Attempt) endLater(r Result) { a.pool.loop.Defer(func() { a.end(r) }) }

// end reports the result; only the first call has an effect. A connection that is still being opened for the attempt is
// kept for later attempts.
func (a *Attempt) end(r Result) {
	if a.state == attemptEnded {
		if r.Response != nil {
			r.Response.Drop()
		}
		return
	}
	a.state = attemptEnded
	done := a.done
	a.done = nil
	a.pool.loop.Stop(a.timer)
	if c := a.conn; c != nil && c.attempt == a {
		c.attempt = nil
		if c.state == connOpen {
			c.release()
		}
	}
	a.head, a.body, a.conn = nil, nil, nil
	r.Latency = a.pool.loop.Now() - a.startedAt
	done(r)
}
