package upstream

import (
	"slices"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// A duplicate of a response may come some milliseconds after the first, and responses don't say which request they
// answer: what comes on an idle connection answers nothing, what comes on one in use would be taken for the response to
// the request on it. So a connection is left unused for a quiet period after a response, and, once a duplicate has been
// seen, for twice as long as the latest one took.
const (
	minQuietPeriod = 20 * policy.Second / 1000
	maxQuietPeriod = policy.Second
)

// sweepInterval is how often idle connections are checked for their timeout.
const sweepInterval = policy.Second

// Pool keeps the connections to all hosts. Its methods are called from its loop's work only.
type Pool struct {
	loop        *eventloop.Loop
	engine      *transport.Engine
	config      Config
	budget      *http1.Budget
	hosts       map[uint32]*host
	connections int // open or being opened
	quietPeriod policy.Time
	closed      bool
}

type host struct {
	id          uint32
	address     string
	idle        []*upstreamConn // the one that was used last at the end
	connections int             // open or being opened
}

// NewPool returns a pool that opens its connections on an engine; responses hold bytes of the budget.
func NewPool(l *eventloop.Loop, e *transport.Engine, c Config, budget *http1.Budget) *Pool {
	c.Protocol = c.ProtocolOrDefault()
	p := &Pool{loop: l, engine: e, config: c, budget: budget, hosts: map[uint32]*host{}, quietPeriod: minQuietPeriod}
	p.sweepLater()
	return p
}

// SetAddress sets a host's address. Connections to another address of it are not used any more.
func (p *Pool) SetAddress(id uint32, address string) {
	h := p.hosts[id]
	if h == nil {
		p.hosts[id] = &host{id: id, address: address}
	} else if h.address != address {
		h.address = address
		h.closeIdle(func(*upstreamConn) bool { return true })
	}
}

// Remove forgets a host. Attempts that were written to it go on to their end.
func (p *Pool) Remove(id uint32) {
	if h := p.hosts[id]; h != nil {
		h.closeIdle(func(*upstreamConn) bool { return true })
		delete(p.hosts, id)
	}
}

// Connections is how many connections are open or being opened.
func (p *Pool) Connections() int { return p.connections }

// Close closes all idle connections and refuses further attempts; those in flight go on to their end.
func (p *Pool) Close() {
	p.closed = true
	for _, h := range p.hosts {
		h.closeIdle(func(*upstreamConn) bool { return true })
	}
}

// closeIdle closes the idle connections that match.
func (h *host) closeIdle(match func(*upstreamConn) bool) {
	kept := h.idle[:0]
	for _, c := range h.idle {
		if match(c) {
			c.close()
		} else {
			kept = append(kept, c)
		}
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

// sweepLater closes connections that have been idle for too long, again and again until the pool is closed.
func (p *Pool) sweepLater() {
	p.loop.After(sweepInterval, func() {
		now := p.loop.Now()
		for _, h := range p.hosts {
			h.closeIdle(func(c *upstreamConn) bool { return now-c.idleSince > eventloop.FromDuration(p.config.IdleTimeout) })
		}
		if !p.closed {
			p.sweepLater()
		}
	})
}

// Send sends head and body, which are the pool's until done is called: once, from the loop's work, and never before Send
// has returned. The head's end is added as its bytes leave, with the header that says how long the response is waited
// for: opening a connection may have taken some of the time. noBody says that the response has no body (HEAD).
func (p *Pool) Send(id uint32, head, body []byte, noBody bool, timeout policy.Time, done func(Result)) *Attempt {
	now := p.loop.Now()
	a := &Attempt{pool: p, head: head, body: body, noBody: noBody, startedAt: now, deadline: now + timeout, done: done}
	h := p.hosts[id]
	if h == nil || p.closed || timeout <= 0 {
		a.endLater(Result{Outcome: policy.NotSent, Reason: "no such host or no time left"})
		return a
	}
	a.timer = p.loop.After(timeout, a.timeout)
	if c := p.takeIdle(h, now); c != nil {
		a.conn, c.attempt = c, a
		p.loop.Defer(a.write)
		return a
	}
	if h.connections >= p.config.MaxConnectionsPerHost {
		a.endLater(Result{Outcome: policy.ConnectFailed, Reason: "as many connections to the host as are allowed"})
		return a
	}
	if p.config.MaxConnections > 0 && p.connections >= p.config.MaxConnections && !p.reclaim() {
		a.endLater(Result{Outcome: policy.ConnectFailed, Reason: "as many connections as are allowed in all"})
		return a
	}
	p.connect(h, a)
	return a
}

// takeIdle takes the idle connection that was used last of those whose quiet period is over; nil for none. Connections
// on which the host's end, or bytes that nobody asked for, have arrived are closed.
func (p *Pool) takeIdle(h *host, now policy.Time) *upstreamConn {
	for n := len(h.idle) - 1; n >= 0; n-- {
		c := h.idle[n]
		if now-c.idleSince < p.quietPeriod {
			continue
		}
		h.idle = slices.Delete(h.idle, n, n+1)
		if c.conn.Quiet() {
			return c
		}
		c.close()
	}
	return nil
}

// reclaim closes the connection that has been idle longest; false where none is idle.
func (p *Pool) reclaim() bool {
	var oldest *upstreamConn
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince < oldest.idleSince) {
			oldest = h.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.host.closeIdle(func(c *upstreamConn) bool { return c == oldest })
	return true
}

// connect opens a connection for an attempt.
func (p *Pool) connect(h *host, a *Attempt) {
	c := &upstreamConn{pool: p, host: h, address: h.address, attempt: a, reader: http1.NewReader(p.config.Limits, p.budget, true)}
	a.conn = c
	h.connections++
	p.connections++
	p.engine.Dial(h.address, p.config.ConnectTimeout, c, func(conn *transport.Conn, err error) {
		p.loop.Post(func() { c.opened(conn, err) })
	})
}
