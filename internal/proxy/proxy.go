// Package proxy runs one router. It connects the router package, which makes all decisions, to sockets: input from
// clients, hosts, endpoint discovery and the release controllers becomes events, and the actions that the router
// package returns for each event are carried out here.
//
// Unless a field's comment says otherwise, the state of a Proxy is read and changed only by work on its event loop. The
// proxy handles one event at a time and carries out its actions in order before it handles the next one.
package proxy

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"

	"dapplefront/internal/controlclient"
	"dapplefront/internal/controlplane"
	"dapplefront/internal/downstream"
	"dapplefront/internal/endpoint"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/gossip"
	"dapplefront/internal/http1"
	"dapplefront/internal/logging"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/transport"
	"dapplefront/internal/upstream"
	"dapplefront/policy"
	"dapplefront/record"
	"dapplefront/router"
)

// ErrClosed is returned by operations on a proxy that has been closed.
var ErrClosed = errors.New("the proxy is closed")

// FaultInjector changes what a router does, so that tests can show that their checks detect a faulty router. A daemon
// runs without one.
type FaultInjector interface {
	// Actions returns the actions that are carried out in place of those that the router returned for an event. hosts
	// contains every host that was ever listed.
	Actions(now policy.Time, e router.Event, actions []router.Action, hosts map[uint32]endpoint.Host) []router.Action
	// WithholdsResponse reports whether the final response to a request is withheld from its client.
	WithholdsResponse(requestID string) bool
}

// Proxy is one running router.
type Proxy struct {
	log      *slog.Logger
	limited  *logging.Limiter // for lines that clients can cause as often as they like
	loop     *eventloop.Loop
	engine   *transport.Engine
	router   *router.Router
	server   *downstream.Server
	pool     *upstream.Pool
	budget   *http1.Budget
	address  net.Addr
	protocol *upstream.Protocol
	faults   FaultInjector  // nil if no faults are injected
	records  *record.Writer // nil if events are not recorded

	discovery    controlplane.Discovery
	releases     controlplane.ReleaseClient
	inputPending func() bool // Protocols.InputPending, or nil

	configMu sync.Mutex // held while the configuration changes, and while the gossip socket is closed permanently
	config   *routerconfig.Config
	gossip   *gossip.Socket // nil if gossip is not configured

	events       []router.Event // queued while another event is handled
	handling     bool
	actionBuffer []router.Action // reused for each event

	requests       map[string]*request
	lastRequestID  uint64
	counts         Counts
	shutdown       ShutdownCounts
	lastResponseAt policy.Time            // when a shutdown gives up the requests without a response; 0 before a shutdown
	revoked        uint64                 // attempts that were not sent, because what they were decided on had changed
	inputsOverdue  uint64                 // attempts that waited for unread input and no longer did
	lateResponses  uint64                 // responses with any outcome that were sent after the request's deadline, by the loop's clock
	latestBuild    int                    // build in the latest release status; 0 before the first status
	outcomes       map[int]map[string]int // number of requests since the last report, by build and outcome

	endpoints        map[uint32]endpoint.Host
	discoveryFailed  bool        // whether endpoint discovery has failed since the last list
	discoveryDownAt  policy.Time // when it failed first
	startTimes       startTimes
	initialEndpoints []endpoint.Host // known before discovery's first response
	cacheUpdates     chan []endpoint.Host
	cacheWriterDone  chan struct{}
}

// Counts contains the numbers of requests and attempts since a proxy started. The JSON names are those of a scenario's
// report.
type Counts struct {
	Received       uint64 `json:"Taken"`
	Succeeded      uint64 `json:"Finished"`
	Rejected       uint64 `json:"TurnedBack"`
	Failed         uint64 `json:"Scrapped"`
	ClientsGone    uint64 `json:"Left"`
	Attempts       uint64 `json:"Sends"`
	ShadowAttempts uint64 `json:"Copies"`
}

// Start starts a router that uses the given protocols for discovery and the controllers. The router is listening when Start
// returns. Errors contain the router's name. faults is nil except in tests.
func Start(protocols controlplane.Protocols, c *routerconfig.Config, log *slog.Logger, faults FaultInjector) (_ *Proxy, err error) {
	log = log.With("router", c.Name)
	p := &Proxy{config: c, log: log, limited: logging.NewLimiter(log), loop: eventloop.New(), faults: faults, requests: map[string]*request{},
		endpoints: map[uint32]endpoint.Host{}, startTimes: startTimes{}, outcomes: map[int]map[string]int{}, budget: http1.NewBudget(int64(c.MaxMessageBytes)),
		cacheUpdates: make(chan []endpoint.Host, 1), cacheWriterDone: make(chan struct{}), protocol: c.Upstream.ProtocolOrDefault(),
		inputPending: protocols.InputPending}
	var closers []func() // close what has been opened so far; called in reverse order after an error
	defer func() {
		if err != nil {
			for _, closeFn := range slices.Backward(closers) {
				closeFn()
			}
			err = fmt.Errorf("router %s: %w", c.Name, err)
		}
	}()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	closers = append(closers, func() { _ = listener.Close() })
	p.address = listener.Addr()
	p.engine = transport.Start()
	closers = append(closers, p.engine.Stop)
	if p.discovery, p.initialEndpoints, err = protocols.Discovery(p.discoveryHandler()); err != nil {
		return nil, err
	}
	closers = append(closers, p.discovery.Close)
	if c.Records != nil {
		if p.records, err = record.Create(*c.Records); err != nil {
			return nil, err
		}
		closers = append(closers, func() { p.logRecordError(p.records.Close()) })
	}
	if p.gossip, err = p.openGossip(c); err != nil {
		return nil, err
	}
	closers = append(closers, p.closeGossip)
	go p.writeEndpointCache(c.EndpointCache)
	closers = append(closers, p.stopCacheWriter)
	p.loop.Do(p.startRouter)
	closers = append(closers, p.loop.Close) // closed before the others, because work on the loop uses them
	if p.releases, err = protocols.ReleaseController(p.releaseHandler()); err != nil {
		return nil, err
	}
	p.loop.Do(p.reportOutcomes)
	p.loop.Do(p.heartbeat)
	p.loop.Do(func() { p.server.SetReady(protocols.Ready) })
	p.engine.LimitAccepted(c.Downstream.MaxConnections+c.Downstream.RejectedConnections, p.server.MakeRoom)
	p.engine.Accept(listener, p.server.Accept, func(err error) { p.log.Warn("accepting a connection failed; trying again", "error", err) })
	p.log.Info("listening", "address", p.address.String())
	return p, nil
}

func (p *Proxy) discoveryHandler() endpoint.Handler {
	return endpoint.Handler{
		Updated:  func(complete bool, hosts []endpoint.Host) { p.loop.Do(func() { p.endpointsChanged(complete, hosts) }) },
		Rejected: func(err error) { p.log.Warn("endpoint list rejected", "error", err) },
		Failed: func(err error) {
			p.log.Warn("endpoint discovery failed", "error", err)
			p.loop.Post(p.endpointsUnavailable)
		},
	}
}

func (p *Proxy) releaseHandler() controlclient.Handler {
	return controlclient.Handler{
		Release:   p.releaseChanged,
		Counts:    p.statsReported,
		Complaint: p.complaintReceived,
		Plan:      p.planOffered,
		Failed:    func(err error) { p.log.Warn("release controller failed", "error", err) },
	}
}

// startRouter creates the router and passes it the endpoints that are known before discovery's first response.
func (p *Proxy) startRouter() {
	c := p.config
	p.pool = upstream.NewPool(p.loop, p.engine, c.Upstream, p.budget)
	p.server = downstream.NewServer(p.loop, c.Downstream, p.budget, p.requestArrived)
	p.server.SetLog(p.log)
	config := c.Router
	config.Seed ^= uint64(p.loop.Now()) // a restarted router must not draw the same random numbers again
	var actions []router.Action
	now := p.loop.Now()
	p.router, actions = router.New(now, config)
	if p.records != nil {
		p.logRecordError(p.records.WriteStart(now, config, actions))
	}
	p.loadEndpointCache()
	if len(p.initialEndpoints) > 0 {
		p.endpointsChanged(true, p.initialEndpoints)
		p.initialEndpoints = nil
	}
	p.execute(actions)
	if config.Limits.PushedDiscovery { // the router does not poll a pushed list, but the stream must be opened
		p.discovery.Subscribe()
	}
}

// Address returns the address that the router listens on.
func (p *Proxy) Address() net.Addr { return p.address }

// Counts returns the numbers of requests and attempts so far; all are 0 once the router is closed.
func (p *Proxy) Counts() (c Counts) {
	p.loop.Do(func() { c = p.counts })
	return c
}

// LoopStats returns the delays and run times of the event loop's work so far. It may be called while the router runs, and
// after Close has returned.
func (p *Proxy) LoopStats() (s eventloop.Stats) {
	if !p.loop.Do(func() { s = p.loop.Stats() }) {
		s = p.loop.Stats()
	}
	return s
}

// LateResponses returns how many responses, with any outcome, were sent after their request's deadline by the router's
// clock; 0 once the router is closed.
func (p *Proxy) LateResponses() (n uint64) {
	p.loop.Do(func() { n = p.lateResponses })
	return n
}

// RevokedAttempts returns how many attempts were not sent because what they were decided on had changed; 0 once the router is
// closed. Counts.Attempts includes them.
func (p *Proxy) RevokedAttempts() (n uint64) {
	p.loop.Do(func() { n = p.revoked })
	return n
}

// InFlight returns how many requests are waiting for a response, how many client and upstream connections are open, and
// how many bytes messages hold.
func (p *Proxy) InFlight() (requests, clients, upstreams int, bytes int64) {
	p.loop.Do(func() {
		requests, clients, upstreams = p.server.Open(), p.server.Connections(), p.pool.Connections()
	})
	return requests, clients, upstreams, p.budget.Used()
}

// RequestsInFlight returns how many requests wait for their response or have an attempt in flight.
func (p *Proxy) RequestsInFlight() (n int) {
	p.loop.Do(func() { n = len(p.requests) })
	return n
}
