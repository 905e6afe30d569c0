// Package proxy runs one router: it connects the router package, which makes all decisions, to sockets. What happens
// at the clients, the hosts, endpoint discovery and the release controllers becomes an event; the actions that the
// router answers with are carried out here.
//
// The state of a Proxy is read and changed from the work of its event loop only, but for what the field
// comments say otherwise. One event is handled at a time, and its actions are carried out in order before the next.
package proxy

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"

	"dapplefront/internal/controlclient"
	"dapplefront/internal/downstream"
	"dapplefront/internal/eds"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/gossip"
	"dapplefront/internal/http1"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/transport"
	"dapplefront/internal/upstream"
	"dapplefront/policy"
	"dapplefront/record"
	"dapplefront/router"
)

// ErrClosed is the error of an operation on a proxy that has been shut down.
var ErrClosed = errors.New("the proxy is closed")

// FaultInjector changes what a router does, so that tests can show that their checks find a faulty router. A daemon
// has none.
type FaultInjector interface {
	// Actions may change the actions that follow an event; hosts are all that were ever listed.
	Actions(now policy.Time, e router.Event, actions []router.Action, hosts map[uint32]eds.Host) []router.Action
	// Silent reports whether the final response to a request is withheld from its client.
	Silent(requestID string) bool
}

// Proxy is one running router.
type Proxy struct {
	log      *slog.Logger
	loop     *eventloop.Loop
	engine   *transport.Engine
	router   *router.Router
	server   *downstream.Server
	pool     *upstream.Pool
	budget   *http1.Budget
	address  net.Addr
	protocol *upstream.Protocol
	faults   FaultInjector  // nil for none
	records  *record.Writer // nil for none

	discovery Discovery
	releases  ReleaseClient

	configMu sync.Mutex // held during a change of configuration, and while gossip is closed for good
	config   *routerconfig.Config
	gossip   *gossip.Socket // nil for none

	events       []router.Event // queued while another one is handled
	handling     bool
	actionBuffer []router.Action // reused from event to event

	requests      map[string]*request
	lastRequestID uint64
	counts        Counts
	lateResponses uint64                 // of any outcome, after their request's deadline by the loop's clock
	latestBuild   int                    // build of the last release status
	outcomes      map[int]map[string]int // requests by build and outcome since the last report

	endpoints        map[uint32]eds.Host
	initialEndpoints []eds.Host // known before discovery's first answer
	cacheUpdates     chan []eds.Host
	cacheWriterDone  chan struct{}
}

// Counts is what a proxy has done since it started. The JSON names are those of a scenario's report.
type Counts struct {
	Received       uint64 `json:"Taken"`
	Succeeded      uint64 `json:"Finished"`
	Rejected       uint64 `json:"TurnedBack"`
	Failed         uint64 `json:"Scrapped"`
	ClientsGone    uint64 `json:"Left"`
	Attempts       uint64 `json:"Sends"`
	ShadowAttempts uint64 `json:"Copies"`
}

// Start starts a router that reaches discovery and the controllers by this project's own protocols; it listens when
// Start returns. faults is nil but in tests.
func Start(c *routerconfig.Config, log *slog.Logger, faults FaultInjector) (*Proxy, error) {
	return StartWith(defaultProtocols(c), c, log, faults)
}

// StartWith starts a router that reaches discovery and the controllers by the protocols given; it listens when StartWith
// returns. Errors name the router.
func StartWith(protocols Protocols, c *routerconfig.Config, log *slog.Logger, faults FaultInjector) (_ *Proxy, err error) {
	p := &Proxy{config: c, log: log.With("router", c.Name), loop: eventloop.New(), faults: faults, requests: map[string]*request{},
		endpoints: map[uint32]eds.Host{}, outcomes: map[int]map[string]int{}, budget: http1.NewBudget(int64(c.MaxBodyBytes)),
		cacheUpdates: make(chan []eds.Host, 1), cacheWriterDone: make(chan struct{}), protocol: c.Upstream.ProtocolOrDefault()}
	var closers []func() // of what is open already, closed in reverse order after an error
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
	closers = append(closers, p.loop.Close) // before the others, as its work uses them
	if p.releases, err = protocols.ReleaseController(p.releaseHandler()); err != nil {
		return nil, err
	}
	p.loop.Do(p.reportOutcomes)
	p.loop.Do(func() { p.server.SetReady(protocols.Ready) })
	p.engine.Accept(listener, p.server.Accept)
	p.log.Info("listening", "address", p.address.String())
	return p, nil
}

func (p *Proxy) discoveryHandler() eds.Handler {
	return eds.Handler{
		Updated:  func(complete bool, hosts []eds.Host) { p.loop.Do(func() { p.endpointsChanged(complete, hosts) }) },
		Rejected: func(err error) { p.log.Warn("endpoint list rejected", "error", err) },
		Failed: func(err error) {
			p.log.Warn("endpoint discovery failed", "error", err)
			p.postEvent(router.EndpointsUnavailable{})
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

// startRouter makes the router and gives it the endpoints that are known from before.
func (p *Proxy) startRouter() {
	c := p.config
	p.pool = upstream.NewPool(p.loop, p.engine, c.Upstream, p.budget)
	p.server = downstream.NewServer(p.loop, c.Downstream, p.budget, p.requestArrived)
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
	if config.Limits.PushedDiscovery { // the router doesn't ask for what is pushed, but the stream must be opened
		p.discovery.Ask()
	}
}

// Address is where the router listens.
func (p *Proxy) Address() net.Addr { return p.address }

// Counts is what the router has done so far; zero once it is closed.
func (p *Proxy) Counts() (c Counts) {
	p.loop.Do(func() { c = p.counts })
	return c
}

// LoopStats is how late and how long the work of the router's event loop was so far. It may be called while the router
// runs, and after Close has returned.
func (p *Proxy) LoopStats() (s eventloop.Stats) {
	if !p.loop.Do(func() { s = p.loop.Stats() }) {
		s = p.loop.Stats()
	}
	return s
}

// LateResponses is how many responses of any outcome came after their request's deadline, by the router's clock; 0 once it
// is closed.
func (p *Proxy) LateResponses() (n uint64) {
	p.loop.Do(func() { n = p.lateResponses })
	return n
}

// InFlight returns how many requests wait for a response, how many client and upstream connections are open, and how
// many bytes of bodies are held.
func (p *Proxy) InFlight() (requests, clients, upstreams int, bytes int64) {
	p.loop.Do(func() {
		requests, clients, upstreams = p.server.Open(), p.server.Connections(), p.pool.Connections()
	})
	return requests, clients, upstreams, p.budget.Used()
}
