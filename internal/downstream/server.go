// Package downstream is the clients' side of a router: it reads requests over HTTP/1.1 and writes their responses. What
// a request says of itself is read here and nowhere else, by the names of its Protocol; these are the default ones:
//
//	class            Dapplefront-Category, else by the longest path prefix
//	tenant           Dapplefront-Customer, else by the client's network, the longest prefix
//	timeout          Dapplefront-Patience ("240ms", or milliseconds), at most the class's own, which is also the
//	                 default; counted from the request's first byte
//	idempotency key  Idempotency-Key (draft-ietf-httpapi-idempotency-key-header); classes may require one
//	key              Dapplefront-Key: what the request concerns
//	expected work    Dapplefront-Work ("12ms")
//	client's retry   Dapplefront-Again: 1
//
// Every response says in Dapplefront-Outcome what became of the request: finished (succeeded), turned-back (rejected;
// trying again is harmless, Retry-After says when) or scrapped (failed; it may have run or not). A request that is not
// accepted, because it is malformed, too large or of no class, is answered without that header.
package downstream

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

const (
	sweepInterval = policy.Second / 5  // how often connections are checked for their timeouts
	lingerTimeout = policy.Second      // how long a client has to read the last response and close
	pipelineRetry = policy.Second / 10 // Retry-After of requests above MaxPipelined
)

// Class is a class of requests as clients meet it.
type Class struct {
	Name                   string
	Paths                  []string // prefixes of targets
	Timeout                policy.Time
	RequiresIdempotencyKey bool
	Method                 string // the only one that is allowed; empty for any
	ForbidsIdempotencyKey  bool
}

// Network is a network that a tenant's clients come from.
type Network struct {
	Prefix netip.Prefix
	Tenant string
}

// Config is the configuration of a Server.
type Config struct {
	Classes             []Class
	Networks            []Network
	Limits              http1.Limits
	TransferTimeout     time.Duration // how long a request may take to arrive, and a response to be read
	IdleTimeout         time.Duration // how long a connection is kept without a request
	MaxConnections      int           // open connections, at the most
	MaxPipelined        int           // requests of one connection that are worked on at once
	RouterName          string        // for the Via field
	FirstRequestTimeout time.Duration // how long the first request of a connection may take to be complete; 0 for no bound
	ReclaimIdleAfter    time.Duration // a connection that was idle for so long is closed when a new one needs its place; 0 for never
	Protocol            *Protocol     // nil for DefaultProtocol
}

// Server reads requests from the connections that a transport engine accepts. Its methods are called from its loop's
// work only, but for Accept.
//
//	state     Connection of responses  idle connections  new requests              readiness
//	serving   kept                     kept              handled                   as SetReady has it
//	draining  close                    kept              handled by the deadline   not ready
//	closing   close                    closed            rejected                  not ready
type Server struct {
	loop     *eventloop.Loop
	config   Config
	budget   *http1.Budget
	handler  func(*Request)
	protocol *Protocol
	headers  *[headerCount]string
	classes  map[string]*Class
	routes   []route // longest prefix first
	networks *bart.Table[string]
	ready    func() bool // nil for always

	state      serverState
	deadline   policy.Time // of requests that arrive while the server is draining; 0 for none
	conns      map[*clientConn]bool
	unanswered int                         // requests without a response
	openByID   map[string]*pendingResponse // unanswered requests by the id that the client gave them
}

type serverState int

// States of a server; it only goes forward.
const (
	serving serverState = iota
	draining
	closing
)

type route struct {
	prefix string
	class  *Class
}

// NewServer returns a server that hands requests to handler, from the loop's work. The handler owns a request's message
// from then on, and drops it when no attempt needs its body any more.
func NewServer(l *eventloop.Loop, c Config, budget *http1.Budget, handler func(*Request)) *Server {
	s := &Server{loop: l, config: c, budget: budget, handler: handler, classes: map[string]*Class{},
		networks: new(bart.Table[string]), conns: map[*clientConn]bool{}, protocol: c.Protocol, openByID: map[string]*pendingResponse{}}
	if s.protocol == nil {
		s.protocol = DefaultProtocol
	}
	s.headers = s.protocol.requestHeaderNames()
	for i := range c.Classes {
		class := &c.Classes[i]
		s.classes[class.Name] = class
		for _, prefix := range class.Paths {
			s.routes = append(s.routes, route{prefix, class})
		}
	}
	slices.SortStableFunc(s.routes, func(a, b route) int { return len(b.prefix) - len(a.prefix) })
	for _, n := range c.Networks {
		s.networks.Insert(n.Prefix, n.Tenant)
	}
	s.sweepLater()
	return s
}

// SetReady sets what reports whether the router is ready; nil for always.
func (s *Server) SetReady(ready func() bool) { s.ready = ready }

// StartDraining goes on serving, but each response closes its connection, so that clients connect elsewhere. Requests
// that arrive from now on are responded to before the deadline; 0 for none.
func (s *Server) StartDraining(deadline policy.Time) {
	s.state, s.deadline = max(s.state, draining), deadline
	for c := range s.conns {
		if n := len(c.pending); n > 0 {
			c.pending[n-1].closeAfter = true
		}
	}
}

// Close closes idle connections and rejects what still arrives on others; Drained reports when that is over.
func (s *Server) Close() {
	s.StartDraining(s.deadline)
	s.state = closing
	s.closeIdle()
}

// Drained reports whether every request was responded to and its response read: the clients have closed their
// connections, or have been given the time to.
func (s *Server) Drained() bool {
	s.closeIdle()
	return len(s.conns) == 0
}

// Open is how many requests wait for their response.
func (s *Server) Open() int { return s.unanswered }

// Connections is how many connections are open.
func (s *Server) Connections() int { return len(s.conns) }

// Accept returns the session of a new connection. It is called by the transport engine, outside the loop.
func (s *Server) Accept(conn *transport.Conn) transport.Session {
	c := &clientConn{server: s, conn: conn, reader: http1.NewReader(s.config.Limits, s.budget, false)}
	if a, ok := conn.Remote().(*net.TCPAddr); ok {
		c.remoteIP = a.AddrPort().Addr().Unmap()
	}
	c.acceptedAt = s.loop.Now()
	c.lastReadAt.Store(int64(c.acceptedAt))
	s.loop.Post(func() {
		if len(s.conns) >= s.config.MaxConnections && !s.reclaim() {
			c.state = connClosed // its requests are not handled, as no response can reach the client
			conn.Close()
			return
		}
		s.conns[c] = true
	})
	return c
}

// reclaim closes a connection to make room for a new one: one that has had no request yet before one that has, and then
// the one that was read from least recently. One with a request in flight or arriving stays. It reports whether one was
// closed.
func (s *Server) reclaim() bool {
	if s.config.ReclaimIdleAfter <= 0 {
		return false
	}
	now, idleAfter := s.loop.Now(), eventloop.FromDuration(s.config.ReclaimIdleAfter)
	var victim *clientConn
	for c := range s.conns {
		lastRead := policy.Time(c.lastReadAt.Load())
		if c.state == connOpen && (len(c.pending) > 0 || c.requestStartedAt.Load() != 0 || now-lastRead < idleAfter) {
			continue
		}
		if victim == nil || victim.hadRequest && !c.hadRequest ||
			victim.hadRequest == c.hadRequest && lastRead < policy.Time(victim.lastReadAt.Load()) {
			victim = c
		}
	}
	if victim == nil || victim.state == connOpen {
		return victim != nil && victim.closeIfIdle()
	}
	victim.close()
	return true
}

// closeIdle closes the connections on which nothing is under way.
func (s *Server) closeIdle() {
	for c := range s.conns {
		if c.state == connOpen {
			c.closeIfIdle()
		}
	}
}

func (s *Server) sweepLater() {
	s.loop.After(sweepInterval, func() {
		s.sweep()
		s.sweepLater()
	})
}

// sweep closes the connections that have passed one of their timeouts.
func (s *Server) sweep() {
	now, transfer, first := s.loop.Now(), eventloop.FromDuration(s.config.TransferTimeout), eventloop.FromDuration(s.config.FirstRequestTimeout)
	for c := range s.conns {
		lastRead, started := policy.Time(c.lastReadAt.Load()), policy.Time(c.requestStartedAt.Load())
		_, unreadSince := c.conn.Pending()
		firstOverdue := first > 0 && !c.hadRequest && now-c.acceptedAt > first
		switch {
		case c.state == connLingering && now-c.lingeringSince > lingerTimeout,
			!unreadSince.IsZero() && time.Since(unreadSince) > s.config.TransferTimeout:
			c.close()
		case c.state == connLingering:
		case started != 0 && (now-started > transfer || firstOverdue):
			c.refuse(&http1.Error{Status: http.StatusRequestTimeout, Text: "the request took too long to arrive"})
		case started == 0 && len(c.pending) == 0 && (now-lastRead > eventloop.FromDuration(s.config.IdleTimeout) || firstOverdue):
			c.closeIfIdle()
		}
	}
}
