package upstream

import (
	"net/http"
	"sync"

	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// upstreamConn is one connection to a host. Its reader belongs to the transport's reader, under mu; all else to the
// loop.
//
//	state           attempt  meaning
//	connConnecting  set      being opened for the attempt
//	connConnecting  nil      being opened; the attempt has ended, the next one may use it
//	connOpen        set      the attempt is written on it, or about to be
//	connOpen        nil      idle, among host.idle
//	connClosed      any      closed or about to be, and not counted any more
type upstreamConn struct {
	pool      *Pool
	host      *host
	address   string
	conn      *transport.Conn // nil until it has been opened
	state     connState
	attempt   *Attempt
	idleSince policy.Time // when it last became idle; 0 for never

	mu          sync.Mutex
	reader      *http1.Reader
	readStopped bool // nothing is read after an error or the connection's end
}

type connState int

const (
	connConnecting connState = iota
	connOpen
	connClosed
)

// opened takes over the connection that the engine has opened, or failed to.
func (c *upstreamConn) opened(conn *transport.Conn, err error) {
	if err != nil {
		c.markClosed()
		c.endAttempt(Result{Outcome: policy.ConnectFailed, Reason: err.Error()})
		return
	}
	c.conn = conn
	if c.state == connClosed { // its end, or bytes that can't be used, were reported before its opening
		conn.Close()
		c.endAttempt(Result{Outcome: policy.ConnectFailed, Reason: "closed as soon as opened"})
		return
	}
	c.state = connOpen
	if c.attempt != nil {
		c.attempt.write()
	} else {
		c.release()
	}
}

// endAttempt ends the attempt on the connection, if there is one.
func (c *upstreamConn) endAttempt(r Result) {
	if a := c.attempt; a != nil {
		c.attempt = nil
		a.end(r)
	}
}

// current reports whether the connection's host is still known, and at the connection's address.
func (c *upstreamConn) current() bool {
	return c.pool.hosts[c.host.id] == c.host && c.address == c.host.address
}

// learnQuietPeriod learns from a response to nothing how long a duplicate may take.
func (c *upstreamConn) learnQuietPeriod() {
	if p := c.pool; c.idleSince > 0 {
		p.quietPeriod = min(max(p.quietPeriod, 2*(p.loop.Now()-c.idleSince)), maxQuietPeriod)
	}
}

// release makes the connection idle, or closes it where it can't be used again.
func (c *upstreamConn) release() {
	p := c.pool
	if unsent, _ := c.conn.Pending(); unsent > 0 || p.closed || c.state == connClosed || !c.current() {
		c.close()
		return
	}
	c.idleSince = p.loop.Now()
	c.host.idle = append(c.host.idle, c)
}

// markClosed takes the connection out of the counts, once.
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

// Data reads what a host sends (transport.Session).
func (c *upstreamConn) Data(data []byte) {
	if work := c.read(data); work != nil {
		c.pool.loop.Post(work)
	}
}

// read reads data and returns the loop's work for it. The work must be posted without mu held, as it may come to this
// connection.
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
			continue
		}
		excess := len(data) > 0 // answers nothing
		return func() { c.responseRead(m, excess) }
	}
	return nil
}

// Wrote does nothing (transport.Session).
func (c *upstreamConn) Wrote(int) {}

// Closed ends the attempt on the connection, which has ended (transport.Session).
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
		c.lost(err)
	})
}

// lost ends the attempt on a connection that has ended without a response. The host surely has not started it where it
// was not written, or not all of it was and the protocol's hosts start with the last byte.
func (c *upstreamConn) lost(err error) {
	reason := "the host closed the connection"
	if err != nil {
		reason = err.Error()
	}
	a := c.attempt
	if a == nil || c.conn == nil { // an attempt on a connection that is not known to be open ends with opened
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

// readFailed closes the connection after a response that can't be read.
func (c *upstreamConn) readFailed(err error) {
	a := c.attempt
	c.attempt = nil
	if a == nil {
		c.learnQuietPeriod()
	}
	c.close()
	if a != nil {
		a.end(Result{Outcome: policy.Failed, Reason: "the response can't be read: " + err.Error()})
	}
}

// responseRead ends the attempt with its response. last says that the connection can't be used again.
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
	if r.Load = load; err != nil { // a report that can't be read counts as none
		r.Reason = err.Error()
	}
	if last || m.Closes() || c.state == connClosed {
		c.close()
	} else {
		c.release()
	}
	a.end(r)
}

// unexpectedResponse closes a connection on which a response to nothing came.
func (c *upstreamConn) unexpectedResponse(m *http1.Message) {
	c.learnQuietPeriod()
	m.Drop()
	c.dropIdle()
	c.close()
	c.endAttempt(Result{Outcome: policy.NotSent, Reason: "a response came before the request was sent"})
}
