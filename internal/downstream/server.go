// Package downstream is a router's side toward the clients. It reads requests over HTTP/1.1 and writes their responses.
// Only this package reads the headers that describe a request. Protocol has their names; the defaults are:
//
//	class            Dapplefront-Category, or else the class with the longest matching path prefix
//	tenant           Dapplefront-Customer, or else the tenant with the longest prefix that contains the client's address
//	timeout          Dapplefront-Patience ("240ms", or milliseconds), at most the class's timeout, which is also the
//	                 default; counted from the request's first byte
//	idempotency key  Idempotency-Key (draft-ietf-httpapi-idempotency-key-header); classes may require one
//	key              Dapplefront-Key: identifies what the request is about
//	expected work    Dapplefront-Work ("12ms")
//	client's retry   Dapplefront-Again: 1
//
// Dapplefront-Outcome in a response contains the outcome of the request: finished (succeeded), turned-back (rejected; the
// request is safe to retry, and Retry-After says when) or scrapped (failed; the request may have run or not). The response
// to a request that is not accepted, because it is malformed, too large or has no class, lacks that header.
package downstream

import (
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gaissmai/bart"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/logging"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

const (
	sweepInterval      = policy.Second / 5  // how often connections are checked for their timeouts
	lingerTimeout      = policy.Second      // how long a client may take to close the connection after the last response was sent
	newConnectionGrace = policy.Second / 10 // how long the first request of a new connection may take to arrive while the server is closing
	pipelineRetry      = policy.Second / 10 // Retry-After of the rejection of a request that exceeds MaxPipelined
)

// Class describes what clients have to know of a class of requests.
type Class struct {
	Name                   string
	Paths                  []string // prefixes of request targets
	Timeout                policy.Time
	RequiresIdempotencyKey bool
	Method                 string // the only method that is allowed; empty means any
	ForbidsIdempotencyKey  bool
}

// Network is a network whose clients belong to a tenant.
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
	MaxConnections      int           // maximum number of open connections whose requests are handled
	RejectedConnections int           // maximum number of connections above MaxConnections, whose requests are rejected
	MaxPipelined        int           // maximum number of requests of one connection that are in flight at once
	RouterName          string        // the router's name
	FirstRequestTimeout time.Duration // how long the first request of a connection may take to arrive completely; 0 means no limit
	ReclaimIdleAfter    time.Duration // a connection idle for at least this long may be closed to admit a new one; 0 means never
	Protocol            *Protocol     // nil means DefaultProtocol
}

// Server reads requests from the connections that a transport engine accepts. Except for Accept, its methods may be called
// only from work of its loop.
//
//	state     connection after a response  idle connections  new requests                        readiness
//	serving   as the request asks         stay open         handled                             as set by SetReady
//	draining  closed                       stay open         responded to before the deadline    not ready
//	closing   closed                       closed            rejected                            not ready
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
	ready    func() bool // nil means always ready

	state      serverState
	deadline   policy.Time // by when requests that arrive while the server is draining are responded to; 0 means no deadline
	conns      map[*clientConn]bool
	unanswered int              // number of requests without a response
	log        *logging.Limiter // clients can cause each line as often as they like

	refusedClosing uint64 // requests that were rejected because the server was closing
	ids            *idRegistry
	lastConnection atomic.Uint64 // number of the last connection accepted
}

type serverState int

// States of a server, in the only order in which they change.
const (
	serving serverState = iota
	draining
	closing
)

type route struct {
	prefix string
	class  *Class
}

// NewServer returns a server that passes requests to handler, from work of the loop. From then on the handler owns the
// request's message. It must drop the message when no attempt needs its body any longer, and call Request.Complete.
func NewServer(l *eventloop.Loop, c Config, budget *http1.Budget, handler func(*Request)) *Server {
	s := &Server{loop: l, config: c, budget: budget, handler: handler, classes: map[string]*Class{},
		networks: new(bart.Table[string]), conns: map[*clientConn]bool{}, protocol: c.Protocol, ids: newIDRegistry(),
		log: logging.NewLimiter(slog.New(slog.DiscardHandler))}
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

// SetReady sets the function that reports whether the router is ready; nil means always ready.
func (s *Server) SetReady(ready func() bool) { s.ready = ready }

// SetLog sets the logger of refused requests and of connections that are closed with requests without a response. Without
// it, nothing is logged.
func (s *Server) SetLog(log *slog.Logger) { s.log = logging.NewLimiter(log) }

// RefusedWhileClosing returns how many requests were rejected because the server was closing.
func (s *Server) RefusedWhileClosing() uint64 { return s.refusedClosing }

// StartDraining continues to serve requests, but closes each connection after a response, so that clients connect
// elsewhere. Requests that arrive from now on are responded to before the deadline; 0 means no deadline.
func (s *Server) StartDraining(deadline policy.Time) {
	s.state, s.deadline = max(s.state, draining), deadline
	for c := range s.conns {
		if n := len(c.pending); n > 0 {
			c.pending[n-1].closeAfter = true
		}
	}
}

// Close closes idle connections and rejects requests that still arrive on others. Drained reports when all connections
// are closed.
func (s *Server) Close() {
	s.StartDraining(s.deadline)
	s.state = closing
	s.closeIdle()
}

// RefuseArriving refuses the requests that have not arrived completely, and closes their connections.
func (s *Server) RefuseArriving() {
	for c := range s.conns {
		if c.partialSince() != 0 {
			c.logClosed("the router is closing and the request has not arrived completely")
			c.refuse(&http1.Error{Status: http.StatusServiceUnavailable, Text: "this router is closing"})
		}
	}
}

// Drained closes idle connections and reports whether none is open any more: every request was responded to, and each
// client has closed its connection or has had the time to read the response and close.
func (s *Server) Drained() bool {
	s.closeIdle()
	return len(s.conns) == 0
}

// Open returns how many requests are waiting for their response.
func (s *Server) Open() int { return s.unanswered }

// Connections returns how many connections are open.
func (s *Server) Connections() int { return len(s.conns) }

// Accept returns the session of a new connection. It is called by the transport engine, outside the loop.
func (s *Server) Accept(conn *transport.Conn) transport.Session {
	c := &clientConn{server: s, conn: conn, reader: http1.NewReader(s.config.Limits, s.budget, false)}
	if a, ok := conn.Remote().(*net.TCPAddr); ok {
		c.remoteIP = a.AddrPort().Addr().Unmap()
	}
	c.acceptedAt, c.number = s.loop.Now(), s.lastConnection.Add(1)
	c.lastReadAt.Store(int64(c.acceptedAt))
	s.loop.Post(func() {
		switch {
		case len(s.conns) < s.config.MaxConnections || s.reclaim() || s.config.ReclaimIdleAfter > 0 && s.evictOldest():
		case len(s.conns) < s.config.MaxConnections+s.config.RejectedConnections:
			c.rejectsRequests = true
		default:
			c.state = connClosed // its requests are not handled, because no response can reach the client
			c.logClosed("the limit on client connections is reached")
			conn.Close()
			return
		}
		s.conns[c] = true
	})
	return c
}

// closeIdle closes the idle connections, except new ones, whose first request may be on the way.
func (s *Server) closeIdle() {
	now := s.loop.Now()
	for c := range s.conns {
		if c.state == connOpen && (c.hadRequest || now-c.acceptedAt >= newConnectionGrace) {
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

// sweep closes the connections that have exceeded one of their timeouts.
func (s *Server) sweep() {
	s.evictLargest()
	now, transfer, first := s.loop.Now(), eventloop.FromDuration(s.config.TransferTimeout), eventloop.FromDuration(s.config.FirstRequestTimeout)
	for c := range s.conns {
		lastRead, started := policy.Time(c.lastReadAt.Load()), policy.Time(c.requestStartedAt.Load())
		unsent, unreadSince := c.conn.Pending()
		if unsent > 0 {
			c.lingeringSince = now // the client can't close before it has read its response
		}
		firstOverdue := first > 0 && !c.hadRequest && now-c.acceptedAt > first
		switch {
		case c.state == connLingering && now-c.lingeringSince > lingerTimeout,
			!unreadSince.IsZero() && time.Since(unreadSince) > s.config.TransferTimeout:
			c.logClosed("the client did not read its response or did not close in time")
			c.close()
		case c.state == connLingering:
		case started != 0 && (now-started > transfer || firstOverdue):
			c.refuse(&http1.Error{Status: http.StatusRequestTimeout, Text: "the request took too long to arrive"})
		case started == 0 && len(c.pending) == 0 && (now-lastRead > eventloop.FromDuration(s.config.IdleTimeout) || firstOverdue):
			c.closeIfIdle()
		}
	}
}
