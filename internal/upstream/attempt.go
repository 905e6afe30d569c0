package upstream

import (
	"strconv"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/policy"
)

const ticksPerMs = policy.Second / 1000 // units of policy.Time in a millisecond

// minWriteTime is the least time that must be left when a request is written.
const minWriteTime = ticksPerMs

// giveUpDelay is how long a host has to see that an attempt was given up before its end is reported, and the request
// may go to another host: two attempts must not seem to be out at once.
const giveUpDelay = ticksPerMs

// Result is how an attempt ended.
type Result struct {
	Outcome  policy.Outcome
	Latency  policy.Time
	Response *http1.Message // with Succeeded, Failed and Rejected, where the host gave one; Drop it after use
	Load     *policy.LoadReport
	Reason   string // for the log, where something went wrong
}

// Attempt is a request on its way to a host.
//
//	state           on timeout                            on Cancel
//	attemptWaiting  ends as ConnectFailed                 ends as NotSent
//	attemptWritten  closes its connection, then TimedOut  goes on
//	attemptEnded    -                                     -
type Attempt struct {
	pool      *Pool
	state     attemptState
	conn      *upstreamConn // nil before there is one, and after the end
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
	attemptWaiting attemptState = iota // for a connection, or for the loop to write it
	attemptWritten
	attemptEnded
)

// Cancel ends an attempt as NotSent if no byte of it has left; otherwise it does nothing.
func (a *Attempt) Cancel() {
	if a.state == attemptWaiting {
		a.end(Result{Outcome: policy.NotSent, Reason: "canceled"})
	}
}

// write writes the request on its connection, which is open.
func (a *Attempt) write() {
	if a.state == attemptEnded || a.conn == nil || a.conn.attempt != a {
		return
	}
	c, left := a.conn, a.deadline-a.pool.loop.Now()
	if !c.current() || left < minWriteTime {
		c.attempt = nil
		a.end(Result{Outcome: policy.NotSent, Reason: "the host has left its address, or no time is left"})
		c.release()
		return
	}
	c.mu.Lock()
	c.reader.Expect(a.noBody)
	c.mu.Unlock()
	a.state = attemptWritten
	protocol := a.pool.config.Protocol
	a.head = append(append(a.head, protocol.Timeout...), ": "...)
	a.head = append(strconv.AppendInt(a.head, int64(left/ticksPerMs), 10), protocol.TimeoutUnit...)
	a.head = append(a.head, "\r\n\r\n"...)
	nothingSent, err := c.conn.Write(a.head, a.body)
	if err != nil && nothingSent {
		c.attempt = nil
		a.end(Result{Outcome: policy.NotSent, Reason: "the connection was closed: " + err.Error()})
		c.close()
	} // after a part was written, Closed follows
}

// timeout ends an attempt whose time is up.
func (a *Attempt) timeout() {
	switch a.state {
	case attemptEnded:
	case attemptWaiting:
		a.end(Result{Outcome: policy.ConnectFailed, Reason: "no connection in time"})
	case attemptWritten:
		c := a.conn
		c.attempt = nil
		c.close()
		a.timer = a.pool.loop.After(giveUpDelay, func() { a.end(Result{Outcome: policy.TimedOut, Reason: "no response in time"}) })
	}
}

// endLater ends an attempt from later work of the loop, as done must not be called before Send has returned.
func (a *Attempt) endLater(r Result) { a.pool.loop.Defer(func() { a.end(r) }) }

// end reports the result, once. A connection that is still being opened for the attempt is left to the next one.
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
