package downstream

import (
	"errors"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// maxQueuedFactor times MaxPipelined requests of a connection may wait for their responses, rejections included; with
// more the connection is closed.
const maxQueuedFactor = 4

// clientConn is one client's connection. Two sides work on it: the transport's reader, and the loop. The fields that
// both use are atomic; the reader's own are guarded by mu, and all others belong to the loop.
//
// The loop's side:
//
//	state          requests that were read  responses  in Server.conns
//	connOpen       handled                  written    yes
//	connLingering  dropped                  none left  yes: the last response was written, and the client is to close
//	connClosed     dropped                  dropped    no
//
// The reader's side: nothing is read any more after an error, after a request that closes the connection, or once the
// connection has ended (readStopped).
type clientConn struct {
	server     *Server
	conn       *transport.Conn
	remoteIP   netip.Addr
	acceptedAt policy.Time

	lastReadAt       atomic.Int64 // when the last bytes came, a policy.Time
	requestStartedAt atomic.Int64 // when the first byte of the request being read came, a policy.Time; 0 for none
	awaitingResponse atomic.Int64 // requests that were read and whose response was not written

	mu          sync.Mutex
	reader      *http1.Reader
	readStopped bool

	state          connState
	lingeringSince policy.Time
	pending        []*pendingResponse // in the order of the requests
	hadRequest     bool               // a complete request was read, or one was refused
}

type connState int

const (
	connOpen connState = iota
	connLingering
	connClosed
)

// Data reads what a client sends (transport.Session).
func (c *clientConn) Data(data []byte) {
	for _, work := range c.read(data) {
		c.server.loop.Post(work)
	}
}

// read reads data and returns the loop's work for it. The work must be posted without mu held, as it may come to this
// connection.
func (c *clientConn) read(data []byte) (work []func()) {
	now := int64(c.server.loop.Now())
	c.lastReadAt.Store(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.readStopped {
		if c.requestStartedAt.Load() == 0 && len(data) > 0 {
			c.requestStartedAt.Store(now)
		}
		n, event, err := c.reader.Read(data)
		data = data[n:]
		if err != nil {
			return append(work, c.readFailed(err))
		}
		switch event {
		case http1.NeedMore:
			if c.reader.Idle() {
				c.requestStartedAt.Store(0)
			}
			return work
		case http1.HeadRead:
			c.expectContinue()
		case http1.MessageRead:
			next := c.requestRead()
			if next == nil {
				return work
			}
			work = append(work, next)
		}
	}
	return work
}

// readFailed stops reading and returns the work that refuses what was read. The caller holds mu.
func (c *clientConn) readFailed(err error) func() {
	c.readStopped = true
	c.reader.Drop()
	c.awaitingResponse.Add(1)
	return func() {
		if c.awaitingResponse.Add(-1); c.state != connOpen {
			return
		}
		refusal := badRequest(err.Error())
		errors.As(err, &refusal)
		c.refuse(refusal)
	}
}

// expectContinue tells a client that waits for it to send the body, where no response is due before. The caller holds mu.
func (c *clientConn) expectContinue() {
	if strings.EqualFold(c.reader.Peek().Get("Expect"), "100-continue") && c.awaitingResponse.Load() == 0 {
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil) // a failure ends the connection, which Closed reports
	}
}

// requestRead takes a complete request and returns the work that handles it; nil where too many wait already and
// the connection is closed. The caller holds mu.
func (c *clientConn) requestRead() func() {
	m, startedAt := c.reader.Take(), policy.Time(c.requestStartedAt.Load())
	c.requestStartedAt.Store(0)
	if c.awaitingResponse.Add(1) > int64(maxQueuedFactor*c.server.config.MaxPipelined) {
		c.readStopped = true
		m.Drop()
		c.conn.Close()
		return nil
	}
	if m.Closes() {
		c.readStopped = true
	}
	return func() {
		if c.state != connOpen { // no response can reach the client, so that nothing may run for it
			m.Drop()
			return
		}
		c.server.requestReceived(c, m, startedAt)
	}
}

// Wrote does nothing (transport.Session).
func (c *clientConn) Wrote(int) {}

// Closed gives up the responses that are due, as the connection has ended (transport.Session).
func (c *clientConn) Closed(error) {
	c.stopReading()
	c.server.loop.Post(func() {
		c.state = connClosed
		delete(c.server.conns, c)
		for _, p := range c.pending {
			p.abandon()
		}
		c.pending = nil
	})
}

func (c *clientConn) stopReading() {
	c.mu.Lock()
	c.readStopped = true
	c.reader.Drop()
	c.mu.Unlock()
}

// close closes the connection; its place among Config.MaxConnections is free at once.
func (c *clientConn) close() {
	c.state = connClosed
	delete(c.server.conns, c)
	c.conn.Close()
}

// closeIfIdle closes the connection if no byte of an unanswered request has come, wherever it may be on its way, and
// the last response has left. It reports whether that was so.
func (c *clientConn) closeIfIdle() bool {
	idle := c.conn.CloseIdle(func() bool {
		unsent, _ := c.conn.Pending()
		return c.requestStartedAt.Load() == 0 && c.awaitingResponse.Load() == 0 && unsent == 0
	})
	if idle {
		c.close()
	}
	return idle
}

// refuse answers what can't be read, after the responses that are due before it, and closes the connection.
func (c *clientConn) refuse(err *http1.Error) {
	c.stopReading()
	c.requestStartedAt.Store(0)
	c.hadRequest = true
	p := &pendingResponse{conn: c, closeAfter: true}
	c.pending = append(c.pending, p)
	c.awaitingResponse.Add(1)
	c.server.unanswered++
	p.refuse(err)
}

// writeResponses writes the responses that are next in order. The client closes after the last one, or else the
// server's sweep does.
func (c *clientConn) writeResponses() {
	for len(c.pending) > 0 && c.pending[0].answered && c.state != connClosed {
		next := c.pending[0]
		c.pending = c.pending[1:]
		c.awaitingResponse.Add(-1)
		if unsent, _ := c.conn.Pending(); unsent > unreadBodies*c.server.config.Limits.Body+unreadSlack {
			c.conn.Close()
			return
		}
		_, err := c.conn.Write(next.head, next.body)
		next.head, next.body = nil, nil
		if err != nil {
			return // Closed follows
		}
		if next.closeAfter {
			c.state, c.lingeringSince = connLingering, c.server.loop.Now()
			c.conn.CloseWrite()
			for _, rest := range c.pending {
				rest.abandon()
			}
			c.pending = nil
			return
		}
	}
}
