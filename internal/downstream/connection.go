package downstream

import (
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// maxQueuedFactor times MaxPipelined is how many requests of a connection may wait for their responses, including
// requests that will be rejected. The connection is closed when there are more.
const maxQueuedFactor = 4

// clientConn is one client's connection. The transport's reader and work of the loop both use it. The fields that both
// use are atomic; mu guards reader and readStopped, and only work of the loop uses the other fields.
//
// In the loop, the connection has one of these states:
//
//	state          requests that were read  responses  in Server.conns
//	connOpen       handled                  written    yes
//	connLingering  dropped                  none due   yes: the last response was written, and the client is expected to close
//	connClosed     dropped                  dropped    no
//
// The reader reads nothing more (readStopped) after an error, after a request that closes the connection, or once the
// connection has ended.
type clientConn struct {
	server     *Server
	conn       *transport.Conn
	remoteIP   netip.Addr
	acceptedAt policy.Time
	number     uint64 // counts the server's connections, from 1

	lastReadAt       atomic.Int64 // when the last bytes arrived, a policy.Time
	requestStartedAt atomic.Int64 // when the first byte of the request being read arrived, a policy.Time; 0 if no request is being read
	awaitingResponse atomic.Int64 // number of requests that were read and whose responses have not been written

	mu          sync.Mutex
	reader      *http1.Reader
	readStopped bool

	state           connState
	lingeringSince  policy.Time
	pending         []*pendingResponse // responses that are due, in the order of the requests
	rejectsRequests bool               // the connection exceeded Config.MaxConnections when it was accepted, and still does
	hadRequest      bool               // a complete request was handled, or an invalid one was refused
}

type connState int

const (
	connOpen connState = iota
	connLingering
	connClosed
)

// Data reads data from the client (transport.Session).
func (c *clientConn) Data(data []byte) {
	for _, work := range c.read(data) {
		c.server.loop.Post(work)
	}
}

// read reads data and returns the work that the loop has to do for it. The caller must not hold mu when it posts the work,
// because the work may lock mu of this connection.
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
			work = append(work, c.requestRead())
		}
	}
	return work
}

// readFailed stops reading and returns the work that responds with an error to the invalid request. The caller holds mu.
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

// expectContinue sends 100 Continue to a client that expects it before it sends the body, unless responses to earlier
// requests are still due. The caller holds mu.
func (c *clientConn) expectContinue() {
	if strings.EqualFold(c.reader.Peek().Get("Expect"), "100-continue") && c.awaitingResponse.Load() == 0 {
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil) // if this fails, the connection ends and Closed is called
	}
}

// requestRead takes a complete request from the reader and returns the work that handles it. If too many requests are
// already waiting for their responses, it closes the connection instead, and the work logs that. The caller holds mu.
func (c *clientConn) requestRead() func() {
	m, startedAt := c.reader.Take(), policy.Time(c.requestStartedAt.Load())
	c.requestStartedAt.Store(0)
	if c.awaitingResponse.Add(1) > int64(maxQueuedFactor*c.server.config.MaxPipelined) {
		c.readStopped = true
		m.Drop()
		c.conn.Close()
		return func() { c.logClosed("too many requests at once on one connection") }
	}
	if m.Closes() {
		c.readStopped = true
	}
	return func() {
		if c.state != connOpen { // no response can reach the client, so the request must not run
			m.Drop()
			return
		}
		c.server.requestReceived(c, m, startedAt)
	}
}

// Wrote does nothing (transport.Session).
func (c *clientConn) Wrote(int) {}

// Closed abandons the responses that are due, because the connection has ended (transport.Session).
func (c *clientConn) Closed(error) {
	c.stopReading()
	c.server.loop.Post(c.disconnected)
}

// disconnected closes the connection and abandons the responses that are due, because the client has disconnected.
func (c *clientConn) disconnected() {
	c.close()
	pending := c.pending
	c.pending = nil
	for _, p := range pending {
		p.abandon()
	}
}

func (c *clientConn) stopReading() {
	c.mu.Lock()
	c.readStopped = true
	c.reader.Drop()
	c.mu.Unlock()
}

// close closes the connection, which no longer counts toward Config.MaxConnections.
func (c *clientConn) close() {
	c.state = connClosed
	delete(c.server.conns, c)
	c.conn.Close()
}

// logClosed logs why the server closes the connection, with what it leaves behind. Closing a connection that has nothing
// left is logged as debug.
func (c *clientConn) logClosed(reason string) {
	unsent, _ := c.conn.Pending()
	unanswered, partial := c.awaitingResponse.Load(), c.requestStartedAt.Load() != 0
	level := slog.LevelDebug
	if unanswered > 0 || unsent > 0 || partial {
		level = slog.LevelWarn
	}
	c.server.log.Log(level, "client connection closed", "reason", reason, "client", c.conn.Remote().String(),
		"unanswered", unanswered, "unsent_bytes", unsent, "partial_request", partial)
}

// partialSince returns when the first byte arrived of a request that is still arriving, or 0 if there is none or earlier requests
// have no response yet, be they handled or not.
func (c *clientConn) partialSince() policy.Time {
	if c.state != connOpen || c.awaitingResponse.Load() > 0 {
		return 0
	}
	return policy.Time(c.requestStartedAt.Load())
}

// held returns how many bytes the request holds that is arriving.
func (c *clientConn) held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Held()
}

// closeIfIdle closes the connection if it is idle, and reports whether it closed it. The connection is idle if all requests
// have been responded to, the last response has been sent completely and no byte of another request has arrived, not even
// in the kernel's buffer.
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

// refuse responds with an error to a request that can't be read, after the responses to earlier requests, and closes the
// connection.
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

// writeResponses writes the responses that are ready, in the order of the requests. After a response that closes the
// connection, the client is expected to close it; otherwise the server's sweep does.
func (c *clientConn) writeResponses() {
	for len(c.pending) > 0 && c.pending[0].answered && c.state != connClosed {
		next := c.pending[0]
		c.pending = c.pending[1:]
		c.awaitingResponse.Add(-1)
		if unsent, _ := c.conn.Pending(); unsent > unreadBodies*c.server.config.Limits.Body+unreadSlack {
			c.logClosed("the client does not read its responses")
			c.conn.Close()
			return
		}
		_, err := c.conn.Write(next.head, next.body)
		next.head, next.body = nil, nil
		if err != nil {
			return // the connection has ended, and Closed is called
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
