package upstream

import (
	"net/http"
	"sync"

	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// upstreamConn is one connection to a host. mu guards reader and readStopped, which the transport's reader uses; only work
// of the loop uses the other fields.
//
//	state           attempt  meaning
//	connConnecting  set      being opened for the attempt
//	connConnecting  nil      being opened; its attempt has ended, and a later one may use the connection
//	connOpen        set      the attempt has been written to it, or is about to be
//	connOpen        nil      idle, in host.idle
//	connClosed      any      closed or about to be closed, and no longer counted
type upstreamConn struct {
	pool      *Pool
	host      *host
	address   string
	conn      *transport.Conn // nil until it has been opened
	state     connState
	attempt   *Attempt
	idleSince policy.Time // when the connection last became idle; 0 if it never did

	mu          sync.Mutex
	reader      *http1.Reader
	readStopped bool // set after an error or the connection's end; nothing more is read
}

type connState int

const (
	connConnecting connState = iota
	connOpen
	connClosed
)

// opened handles the connection that the engine has opened, or the error that prevented it.
func (c *upstreamConn) opened(conn *transport.Conn, err error) {
	if err != nil {
		c.markClosed()
		c.endAttempt(Result{Outcome: policy.ConnectFailed, Reason: err.Error()})
		return
	}
	c.conn = conn
	if c.state == connClosed { // the connection's end, or invalid data on it, was handled before this call
		conn.Close()
		c.endAttempt(Result{Outcome: policy.ConnectFailed, Reason: "the connection was closed before it could be used"})
		return
	}
	c.state = connOpen
	if c.attempt != nil {
		c.attempt.write()
	} else {
		c.release()
	}
}

// endAttempt ends the connection's attempt, if there is one.
func (c *upstreamConn) endAttempt(r Result) {
	if a := c.attempt; a != nil {
		c.attempt = nil
		a.end(r)
	}
}

// current reports whether the pool still has the connection's host, with the connection's address.
func (c *upstreamConn) current() bool {
	return c.pool.hosts[c.host.id] == c.host && c.address == c.host.address
}

// extendQuietPeriod lengthens the pool's quiet period when a response arrives on a connection without a request. It takes
// the response for a late duplicate: other duplicates may arrive as long after the first copy as this one did.
func (c *upstreamConn) extendQuietPeriod() {
	if p := c.pool; c.idleSince > 0 {
		p.quietPeriod = min(max(p.quietPeriod, 2*(p.loop.Now()-c.idleSince)), maxQuietPeriod)
	}
}

// release makes the connection idle, or closes it if it can't be reused.
func (c *upstreamConn) release() {
	p := c.pool
	if unsent, _ := c.conn.Pending(); unsent > 0 || p.closed || c.state == connClosed || !c.current() {
		c.close()
		return
	}
	c.idleSince = p.loop.Now()
	c.host.idle = append(c.host.idle, c)
}

// markClosed removes the connection from the counts; only the first call has an effect.
func (c *upstreamConn) markClosed() {
	if c.state != connClosed {
		c.state = connClosed
		c.host.connections--
		c.pool.connections--
	}
}

func (c *upstreamConn) close() {
	c.markClosed()
	if c.conn != nil {
		c.conn.Close()
	}
}

// dropIdle closes the connection if it is idle.
func (c *upstreamConn) dropIdle() {
	c.host.closeIdle(func(other *upstreamConn) bool { return other == c })
}

// Data reads data from the host (transport.Session).
func (c *upstreamConn) Data(data []byte) {
	if work := c.read(data); work != nil {
		c.pool.loop.Post(work)
	}
}

// read reads data and returns the work that the loop has to do for it, or nil if there is none. The caller must not hold mu
// when it posts the work, because the work may lock mu of this connection.
func (c *upstreamConn) read(data []byte) (work func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.readStopped {
		n, event, err := c.reader.Read(data)
		data = data[n:]
		if err != nil {
			c.readStopped = true
			c.reader.Drop()
			return func() { c.readFailed(err) }
		}
		if event == http1.NeedMore {
			return nil
		}
		if event != http1.MessageRead {
			continue
		}
		m := c.reader.Take()
		if m.Status < http.StatusOK && m.Status != http.StatusSwitchingProtocols { // an interim response
			m.Drop()
			continue
		}
		excess := len(data) > 0 // bytes that belong to no response
		return func() { c.responseRead(m, excess) }
	}
	return nil
}

// Wrote does nothing (transport.Session).
func (c *upstreamConn) Wrote(int) {}

// Closed ends the connection's attempt after the connection has ended (transport.Session).
func (c *upstreamConn) Closed(err error) {
	c.mu.Lock()
	var m *http1.Message
	if !c.readStopped && c.reader.Ended() {
		m = c.reader.Take()
	}
	c.readStopped = true
	c.reader.Drop()
	c.mu.Unlock()
	c.pool.loop.Post(func() {
		c.markClosed()
		if m != nil {
			c.responseRead(m, true)
		}
		c.connectionLost(err)
	})
}

// connectionLost ends the attempt of a connection that has ended without a response. The host certainly has not started
// the request if it was not written, or if only a part of it was written and the protocol's hosts start a request only
// when its last byte has arrived.
func (c *upstreamConn) connectionLost(err error) {
	reason := "the host closed the connection"
	if err != nil {
		reason = err.Error()
	}
	a := c.attempt
	if a == nil || c.conn == nil { // if the loop does not know yet that the connection is open, opened ends the attempt
		c.dropIdle()
		return
	}
	c.attempt = nil
	unsent, _ := c.conn.Pending()
	if a.state == attemptWritten && (unsent == 0 || !c.pool.config.Protocol.StartsWhenComplete) {
		a.end(Result{Outcome: policy.ConnectionLost, Reason: reason})
	} else {
		a.end(Result{Outcome: policy.NotSent, Reason: reason})
	}
}

// readFailed closes the connection after an invalid response.
func (c *upstreamConn) readFailed(err error) {
	a := c.attempt
	c.attempt = nil
	if a == nil {
		c.extendQuietPeriod()
	}
	c.close()
	if a != nil {
		a.end(Result{Outcome: policy.Failed, Reason: "invalid response: " + err.Error()})
	}
}

// responseRead ends the attempt with its response. last means that the connection can't be reused.
func (c *upstreamConn) responseRead(m *http1.Message, last bool) {
	a := c.attempt
	if a == nil || a.state != attemptWritten {
		c.unexpectedResponse(m)
		return
	}
	c.attempt = nil
	protocol := c.pool.config.Protocol
	r := Result{Outcome: protocol.outcome(m), Response: m}
	load, err := protocol.Load(m)
	if r.Load = load; err != nil { // an invalid load report counts as none
		r.Reason = err.Error()
	}
	if last || m.Closes() || c.state == connClosed {
		c.close()
	} else {
		c.release()
	}
	a.end(r)
}

// unexpectedResponse closes a connection on which a response arrived although no request has been written since the last
// response.
func (c *upstreamConn) unexpectedResponse(m *http1.Message) {
	c.extendQuietPeriod()
	m.Drop()
	c.dropIdle()
	c.close()
	c.endAttempt(Result{Outcome: policy.NotSent, Reason: "a response arrived before the request was sent"})
}
