package controller

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dapplefront/internal/api"
)

// ServerConfig configures the REST interface. A zero value selects the default.
type ServerConfig struct {
	Listen           string
	URL              string        // URL at which clients reach the interface; by default built from the listen address
	VotesPerSecond   float64       // maximum rate for all routers together; 100 by default
	MaxWatchers      int           // maximum number of concurrent watches; 5,000 by default
	BookmarkInterval time.Duration // time between bookmarks on a watch; 2 s by default
	WriteTimeout     time.Duration // a watcher that blocks a write for longer is disconnected; 5 s by default
	Authorizer       *Authorizer   // nil allows every operation to every caller

	// Fault and OnStatusSent are for scenarios and tests; a daemon sets neither. Fault returns the delay of events and whether
	// the interface hangs. OnStatusSent is called with each release status that is sent to a router.
	Fault        func() (delay time.Duration, hangs bool)
	OnStatusSent func(router string, status api.Release)
}

func (c *ServerConfig) setDefaults(listener net.Listener) {
	if c.MaxWatchers == 0 {
		c.MaxWatchers = 5000
	}
	if c.BookmarkInterval == 0 {
		c.BookmarkInterval = 2 * time.Second
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = 5 * time.Second
	}
	if c.VotesPerSecond == 0 {
		c.VotesPerSecond = 100
	}
	if c.URL == "" {
		scheme := "http"
		if c.usesTLS() {
			scheme = "https"
		}
		c.URL = scheme + "://" + listener.Addr().String()
	}
}

func (c *ServerConfig) usesTLS() bool { return c.Authorizer != nil && c.Authorizer.ServerTLS != nil }

// injectedFault returns the current fault; a daemon has none.
func (c *ServerConfig) injectedFault() (delay time.Duration, hangs bool) {
	if c.Fault == nil {
		return 0, false
	}
	return c.Fault()
}

const (
	readHeaderTimeout = 10 * time.Second
	peerTimeout       = 2 * time.Second // for requests to other controllers
	closeTimeout      = 5 * time.Second // for calls in flight when the server is closed
)

// Server is the REST interface of one instance.
type Server struct {
	node        *Node
	config      ServerConfig
	log         *slog.Logger
	listener    net.Listener
	http        *http.Server
	voteLimiter *rate.Limiter
	ctx         context.Context // canceled by Close
	cancel      context.CancelFunc
	background  sync.WaitGroup // waits for the goroutines that the server starts

	mu           sync.Mutex
	closed       bool // Close has been called; no more goroutines are started
	watchers     int
	slowWatchers int                  // number of watchers disconnected so far because they were too slow
	joinedAt     map[string]time.Time // when a watching router was last reported to the leader as a member
}

// Serve starts the REST interface of a node.
func Serve(node *Node, config ServerConfig, logger *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	config.setDefaults(listener)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{node: node, config: config, log: logger, listener: listener, ctx: ctx, cancel: cancel, joinedAt: map[string]time.Time{},
		voteLimiter: rate.NewLimiter(rate.Limit(config.VotesPerSecond), max(1, int(2*config.VotesPerSecond)))}
	s.http = &http.Server{Handler: s.routes(), ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: readHeaderTimeout}
	serve := func() error { return s.http.Serve(listener) }
	if config.usesTLS() {
		s.http.TLSConfig = config.Authorizer.ServerTLS
		serve = func() error { return s.http.ServeTLS(listener, "", "") }
	}
	s.background.Go(func() {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("REST server stopped unexpectedly", "error", err)
		}
	})
	s.background.Go(s.announceURL)
	return s, nil
}

// routes registers each operation with the role that it needs and the instances that can serve it.
func (s *Server) routes() *http.ServeMux {
	mux := http.NewServeMux()
	for pattern, op := range map[string]operation{
		"GET /v1/releases":                        {RoleRead, anyInstance, s.listReleases},
		"POST /v1/releases":                       {RoleRelease, onLeader, s.createRelease},
		"GET /v1/releases/{build}":                {RoleRead, anyInstance, s.getRelease},
		"PATCH /v1/releases/{build}":              {RoleRelease, onLeader, s.patchRelease},
		"DELETE /v1/releases/{build}":             {RoleRelease, onLeader, s.deleteRelease},
		"POST /v1/releases/{build}/withdraw":      {RoleWithdraw, onLeader, s.rollBackRelease},
		"PUT /v1/releases/{build}/steps/{step}":   {RoleServe, onLeader, s.completeStep},
		"PUT /v1/releases/{build}/orders/{order}": {RoleServe, onLeader, s.completeOrder},
		"POST /v1/releases/{build}/reports":       {RoleVote, onLeader, s.reportCounts},

		"PUT /v1/releases/{build}/votes/{router}": {RoleVote, onLeader, s.castVote},

		"GET /v1/watch":       {RoleRead, anyInstance, s.watch},
		"POST /v1/counts":     {RoleServe, onLeader, s.emitCounts},
		"POST /v1/complaints": {RoleRead, onLeader, s.emitComplaint},

		"PUT /v1/plans/{version}":                  {RoleRelease, onLeader, s.publishPlan},
		"GET /v1/plans/{version}/for/{location}":   {RoleRead, anyInstance, s.getPlan},
		"PUT /v1/plans/{version}/routers/{router}": {RoleVote, onLeader, s.ackPlan},

		"GET /v1/agents/{name}/orders":   {RoleServe, anyInstance, s.watchAgentOrders},
		"POST /v1/agents/{name}/orders":  {RoleRelease, onLeader, s.orderAgent},
		"POST /v1/agents/{name}/reports": {RoleServe, onLeader, s.agentReports},

		"PUT /v1/routers/{router}":      {RoleVote, onLeader, s.joinRouter},
		"DELETE /v1/routers/{router}":   {RoleVote, onLeader, s.leaveRouter},
		"PUT /v1/controllers/{name}":    {RoleServe, onLeader, s.addController},
		"DELETE /v1/controllers/{name}": {RoleServe, onLeader, s.removeController},

		"GET /v1/status": {RoleRead, anyInstance, s.status},
	} {
		mux.HandleFunc(pattern, s.middleware(op))
	}
	return mux
}

// URL returns the URL at which clients reach the interface.
func (s *Server) URL() string { return s.config.URL }

// Close stops the REST interface and ends all watches. Calls in flight get their responses if they end within closeTimeout.
func (s *Server) Close() {
	s.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Error("calls in flight are cut off", "after", closeTimeout, "error", errors.Join(err, s.http.Close()))
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.background.Wait()
}

// goBackground runs f in a goroutine that Close waits for. After Close it does nothing.
func (s *Server) goBackground(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.background.Go(f)
	}
}
