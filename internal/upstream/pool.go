package upstream

import (
	"slices"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// A duplicate of a response may arrive some milliseconds after the first copy, and a response does not say which request
// it belongs to. On an idle connection, a response belongs to no request and is dropped. On a connection in use, it would
// be taken for the response to the current request. Therefore a connection is not used for a quiet period after a response.
// The quiet period starts at minQuietPeriod and grows to twice the longest delay of a duplicate that has been seen, up to
// maxQuietPeriod.
const (
	minQuietPeriod = 20 * policy.Second / 1000
	maxQuietPeriod = policy.Second
)

// sweepInterval is how often connections are checked for the idle timeout.
const sweepInterval = policy.Second

// Pool keeps the connections to all hosts. Its methods may be called only from work of its loop.
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
	idle        []*upstreamConn // in order of last use, the latest at the end
	connections int             // open or being opened
}

// NewPool returns a pool that opens its connections on an engine. The bodies of responses take bytes from the budget.
func NewPool(l *eventloop.Loop, e *transport.Engine, c Config, budget *http1.Budget) *Pool {
	c.Protocol = c.ProtocolOrDefault()
	p := &Pool{loop: l, engine: e, config: c, budget: budget, hosts: map[uint32]*host{}, quietPeriod: minQuietPeriod}
	p.sweepLater()
	return p
}

// SetAddress sets a host's address and adds the host if the pool does not have it. Connections to a former address of the
// host are no longer used.
func (p *Pool) SetAddress(id uint32, address string) {
	h := p.hosts[id]
	if h == nil {
		p.hosts[id] = &host{id: id, address: address}
	} else if h.address != address {
		h.address = address
		h.closeIdle(func(*upstreamConn) bool { return true })
	}
}

// Remove removes a host. Attempts that were already written to it continue.
func (p *Pool) Remove(id uint32) {
	if h := p.hosts[id]; h != nil {
		h.closeIdle(func(*upstreamConn) bool { return true })
		delete(p.hosts, id)
	}
}

// Connections returns how many connections are open or being opened.
func (p *Pool) Connections() int { return p.connections }

// Close closes all idle connections and refuses new attempts. Attempts in flight continue.
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

// sweepLater schedules the sweep that closes connections that have exceeded the idle timeout. The sweep repeats at every
// sweepInterval until the pool is closed.
func (p *Pool) sweepLater() {
	p.loop.After(sweepInterval, func() {
		now := p.loop.Now()
		for _, h := range p.hosts {
			h.closeIdle(func(c *upstreamConn) bool { return p.isIdleTooLong(c, now) })
		}
		if !p.closed {
			p.sweepLater()
		}
	})
}

// Send starts an attempt of a request on a host. done is called once, from work of the loop, and never before Send has
// returned. The timeout header states the time that is left when the request is written, because opening a connection may
// have taken a part of the timeout.
func (p *Pool) Send(id uint32, request Request, timeout policy.Time, done func(Result)) *Attempt {
	now := p.loop.Now()
	a := &Attempt{pool: p, request: request, startedAt: now, deadline: now + timeout, done: done}
	h := p.hosts[id]
	if h == nil || p.closed || timeout <= 0 {
		a.endLater(Result{Outcome: policy.NotSent, Reason: "unknown host, pool closed or no time left"})
		return a
	}
	a.timer = p.loop.After(timeout, a.timeout)
	if c := p.takeIdle(h, now); c != nil {
		a.conn, c.attempt = c, a
		p.loop.Defer(a.write)
		return a
	}
	if h.connections >= p.config.MaxConnectionsPerHost {
		a.endLater(Result{Outcome: policy.ConnectFailed, Reason: "the limit on connections to the host is reached"})
		return a
	}
	if p.config.MaxConnections > 0 && p.connections >= p.config.MaxConnections && !p.reclaim() {
		a.endLater(Result{Outcome: policy.ConnectFailed, Reason: "the limit on connections to all hosts is reached"})
		return a
	}
	p.connect(h, a)
	return a
}

// isIdleTooLong reports whether a connection has been idle for the idle timeout, so that its host may close it.
func (p *Pool) isIdleTooLong(c *upstreamConn, now policy.Time) bool {
	return now-c.idleSince >= eventloop.FromDuration(p.config.IdleTimeout)
}

// takeIdle returns the most recently used of the idle connections whose quiet period is over, or nil if there is none. It
// closes connections that have been idle too long, that the host has closed, or on which unexpected bytes have arrived.
func (p *Pool) takeIdle(h *host, now policy.Time) *upstreamConn {
	for n := len(h.idle) - 1; n >= 0; n-- {
		c := h.idle[n]
		if now-c.idleSince < p.quietPeriod {
			continue
		}
		h.idle = slices.Delete(h.idle, n, n+1)
		if !p.isIdleTooLong(c, now) && c.conn.Quiet() {
			return c
		}
		c.close()
	}
	return nil
}

// reclaim closes the connection that has been idle longest. It reports false if none is idle.
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
