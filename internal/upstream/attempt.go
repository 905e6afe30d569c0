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

// Request is a request that a pool sends to a host. The caller must not use Head and Body until the attempt has ended.
type Request struct {
	Head   []byte // without the timeout header and the end of the head, which are added when the request is written
	Body   []byte
	NoBody bool // the response has no body (HEAD)
	// Allowed is asked immediately before the request is written, possibly long after Send: it returns an error if the
	// request must not be sent any more. The attempt then ends as Revoked. nil means always allowed.
	Allowed func() error
	// Ready is asked before Allowed. While it returns false, the write is postponed, but not longer than maxPostponement. nil
	// means always ready.
	Ready func() bool
	// Overdue is called if the write has been postponed for maxPostponement. nil means that nobody needs to know.
	Overdue func()
}

const (
	readyPollInterval = ticksPerMs       // how often Request.Ready is asked
	maxPostponement   = 100 * ticksPerMs // after which a request is written although it is not ready
)

// Result describes how an attempt ended.
type Result struct {
	Outcome  policy.Outcome
	Latency  policy.Time
	Response *http1.Message     // set with Succeeded, Failed and Rejected if the host sent a valid response; Drop it after use
	Load     *policy.LoadReport // the response's load report; nil if it has none
	Reason   string             // error text for the log; empty if there was no error
	Revoked  error              // the error of Request.Allowed; nil if the attempt was not revoked, or was canceled
}

// Attempt is one attempt of a request on a host.
//
//	state           on timeout                            on Cancel        if Request.Allowed returns an error
//	attemptWaiting  ends as ConnectFailed, or as Revoked  ends as Revoked  ends as Revoked
//	                if its write was postponed
//	attemptWritten  closes its connection, then TimedOut  continues        -
//	attemptEnded    -                                     -                -
type Attempt struct {
	pool      *Pool
	state     attemptState
	conn      *upstreamConn // nil before the attempt has a connection, and after its end
	request   Request
	startedAt policy.Time
	deadline  policy.Time
	postponed policy.Time // by how much the write has been postponed
	timer     *eventloop.Timer
	done      func(Result)
}

type attemptState int

const (
	attemptWaiting attemptState = iota // waiting for a connection, or for the loop to write the request
	attemptWritten
	attemptEnded
)

// InFlight reports whether the request was written to a connection that has not ended for the attempt.
func (a *Attempt) InFlight() bool { return a.state == attemptWritten }

// Cancel ends an attempt as Revoked if no byte of it has been written; otherwise it does nothing.
func (a *Attempt) Cancel() {
	if a.state == attemptWaiting {
		a.end(Result{Outcome: policy.Revoked, Reason: "canceled"})
	}
}

// CancelIncomplete ends an attempt whose request has not been sent completely, so that its host can't receive the rest. If a
// part was sent, it resets the connection, and the attempt ends as NotSent if hosts start only complete requests, otherwise as
// Canceled. It does nothing after the last byte was sent.
func (a *Attempt) CancelIncomplete() {
	if a.state != attemptWritten {
		a.Cancel()
		return
	}
	c := a.conn
	if c.conn.Unsent() == 0 {
		return
	}
	c.attempt = nil
	c.markClosed()
	c.conn.Abort()
	outcome := policy.Canceled
	if a.pool.config.Protocol.StartsWhenComplete {
		outcome = policy.NotSent
	}
	a.end(Result{Outcome: outcome, Reason: "canceled before the last byte was sent"})
}

// write writes the request to its connection, which is open.
func (a *Attempt) write() {
	if a.state == attemptEnded || a.conn == nil || a.conn.attempt != a {
		return
	}
	c, remaining := a.conn, a.deadline-a.pool.loop.Now()
	if !c.current() || remaining < minWriteTime {
		a.endUnsent(Result{Outcome: policy.NotSent, Reason: "the host was removed or its address changed, or no time is left"})
		return
	}
	if !a.ready() {
		if a.postponed < maxPostponement {
			a.postponed += readyPollInterval
			a.pool.loop.After(readyPollInterval, a.write)
			return
		}
		if a.request.Overdue != nil {
			a.request.Overdue()
		}
	}
	if err := a.allowed(); err != nil {
		a.endUnsent(Result{Outcome: policy.Revoked, Reason: err.Error(), Revoked: err})
		return
	}
	c.mu.Lock()
	c.reader.Expect(a.request.NoBody)
	c.mu.Unlock()
	a.state = attemptWritten
	nothingSent, err := c.conn.Write(a.completeHead(remaining), a.request.Body)
	if err != nil && nothingSent {
		c.attempt = nil
		a.end(Result{Outcome: policy.NotSent, Reason: "the connection was closed: " + err.Error()})
		c.close()
	} // if a part was written before the error, Closed is called and ends the attempt
}

// ready reports whether the request may be written now.
func (a *Attempt) ready() bool { return a.request.Ready == nil || a.request.Ready() }

// allowed returns an error if the request must not be sent any more.
func (a *Attempt) allowed() error {
	if a.request.Allowed == nil {
		return nil
	}
	return a.request.Allowed()
}

// completeHead returns the head with the timeout header and the end of the head.
func (a *Attempt) completeHead(timeout policy.Time) []byte {
	protocol := a.pool.config.Protocol
	head := append(append(a.request.Head, protocol.Timeout...), ": "...)
	head = append(strconv.AppendInt(head, int64(timeout/ticksPerMs), 10), protocol.TimeoutUnit...)
	return append(head, "\r\n\r\n"...)
}

// endUnsent ends an attempt that has a connection on which nothing was written. The connection can be reused.
func (a *Attempt) endUnsent(r Result) {
	c := a.conn
	c.attempt = nil
	a.end(r)
	c.release()
}

// timeout ends an attempt whose deadline has passed.
func (a *Attempt) timeout() {
	switch a.state {
	case attemptEnded:
	case attemptWaiting:
		if a.postponed > 0 {
			a.end(Result{Outcome: policy.Revoked, Reason: "the router was not ready before the timeout"})
			return
		}
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
	a.request, a.conn = Request{}, nil
	r.Latency = a.pool.loop.Now() - a.startedAt
	done(r)
}
