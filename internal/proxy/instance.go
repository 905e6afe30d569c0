// Package proxy is one running router: the router library on sockets. It turns what happens at the clients' side,
// the hosts' side, the register and the desk into events, and carries out the actions. It decides nothing.
package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dapplefront/internal/api"
	"dapplefront/internal/certs"
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

// FaultInjector changes what a router does, so that tests can show that a router built wrong is found out. A daemon has none.
type FaultInjector interface {
	// Actions may change the actions that follow an event; hosts are those that the router was ever told of.
	Actions(now policy.Time, e router.Event, actions []router.Action, hosts map[uint32]eds.Host) []router.Action
	// Silent tells whether a final answer is kept from the client.
	Silent(task string) bool
}

// Proxy is one running router.
type Proxy struct {
	charter  *routerconfig.Config
	log      *slog.Logger
	loop     *eventloop.Loop
	engine   *transport.Engine
	mind     *router.Router
	door     *downstream.Server
	pool     *upstream.Pool
	budget   *http1.Budget
	register Discovery
	desk     ReleaseClient
	address  net.Addr
	signs    *upstream.Protocol
	bend     FaultInjector
	records  *record.Writer // nil for none
	peers    *gossip.Socket // nil for none
	turning  sync.Mutex     // one change of settings at a time

	tasks  map[string]*inFlight
	hosts  map[uint32]eds.Host
	known  []eds.Host // told of at the start
	next   uint64
	inbox  []router.Event
	busy   bool
	spare  []router.Action
	counts Counts
	became map[int]map[string]int // of tasks, by build, since it was last reported
	newest int                    // build that was told
	keep   chan []eds.Host
	kept   chan struct{}
}

// Counts is what an instance has done since it started. The JSON names stand in a day's report.
type Counts struct {
	Received       uint64 `json:"Taken"`
	Succeeded      uint64 `json:"Finished"`
	Rejected       uint64 `json:"TurnedBack"`
	Failed         uint64 `json:"Scrapped"`
	ClientsGone    uint64 `json:"Left"`
	Attempts       uint64 `json:"Sends"`
	ShadowAttempts uint64 `json:"Copies"`
}

// inFlight is a task of which something is still to come: its answer, or the end of a send.
type inFlight struct {
	id    string
	call  *downstream.Request
	owed  bool
	base  []byte // head of its sends, but for what differs
	sends []*upstream.Attempt
	out   int
	late  bool   // the last send to end was not answered in time
	host  uint32 // that the last send went to, or that answered
}

// Discovery is the way to the host list.
type Discovery interface {
	Ask() // starts following it, or resumes; while it is followed this does nothing
	Close()
}

// ReleaseClient is the way to the release desk.
type ReleaseClient interface {
	Vote(build, stage int, voice policy.VoteChoice, done func(policy.ReleaseStatus))
	Report(build int, tasks map[string]int)
	AcknowledgePlan(version uint64, reason string)
	Close()
}

// Protocols are the protocols that the host list and the desk are reached by. Known are hosts told of at the start.
type Protocols struct {
	Discovery func(eds.Handler) (_ Discovery, known []eds.Host, _ error)
	Release   func(controlclient.Handler) (ReleaseClient, error)
	Ready     func() bool // nil for from listening on
}

// own are this project's own protocols.
func own(c *routerconfig.Config) Protocols {
	return Protocols{
		Discovery: func(hear eds.Handler) (Discovery, []eds.Host, error) {
			w, err := eds.New(c.Discovery.Address, c.Name, c.Discovery.Resources, c.Discovery.Incremental, hear)
			return w, nil, err
		},
		Release: func(hear controlclient.Handler) (ReleaseClient, error) {
			var secure *tls.Config
			if c.ControlPlane.Certificates != (certs.Files{}) {
				ring, err := certs.Open(c.ControlPlane.Certificates)
				if err != nil {
					return nil, err
				}
				secure = ring.Client()
			}
			return controlclient.Open(c.ControlPlane.URLs, c.Name, c.Router.Zone, secure, eventloop.Duration(c.Router.Release.VoteTimeout), hear), nil
		}}
}

// Start starts a router by this project's own protocols; it listens when Start returns. bend is nil but in tests.
func Start(c *routerconfig.Config, log *slog.Logger, bend FaultInjector) (*Proxy, error) {
	return StartBy(own(c), c, log, bend)
}

// StartBy starts a router whose host list and desk are reached by the links named.
func StartBy(links Protocols, c *routerconfig.Config, log *slog.Logger, bend FaultInjector) (_ *Proxy, err error) {
	i := &Proxy{charter: c, log: log.With("router", c.Name), loop: eventloop.New(), bend: bend, tasks: map[string]*inFlight{},
		hosts: map[uint32]eds.Host{}, became: map[int]map[string]int{}, budget: http1.NewBudget(int64(c.MaxBodyBytes)), keep: make(chan []eds.Host, 1),
		kept: make(chan struct{}), signs: c.Upstream.ProtocolOrDefault()}
	var opened []func() // what is closed again, the last first, where a later part can't be opened
	defer func() {
		if err != nil {
			for _, closes := range slices.Backward(opened) {
				closes()
			}
			err = fmt.Errorf("router %s: %w", c.Name, err)
		}
	}()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	opened = append(opened, func() { _ = listener.Close() })
	i.address = listener.Addr()
	i.engine = transport.Start()
	opened = append(opened, i.engine.Stop)
	if i.register, i.known, err = links.Discovery(eds.Handler{
		Listed:   func(whole bool, hosts []eds.Host) { i.loop.Do(func() { i.listed(whole, hosts) }) },
		Rejected: func(err error) { i.log.Warn("host list turned down", "error", err) },
		Failed: func(err error) {
			i.log.Warn("host list out of reach", "error", err)
			i.tell(router.EndpointsUnavailable{})
		}}); err != nil {
		return nil, err
	}
	opened = append(opened, i.register.Close)
	if c.Records != nil {
		if i.records, err = record.Create(*c.Records); err != nil {
			return nil, err
		}
		opened = append(opened, func() { i.noted(i.records.Close()) })
	}
	if i.peers, err = i.meet(c); err != nil {
		return nil, err
	}
	go i.keepLists(c.EndpointCache)
	i.loop.Do(func() { i.begin() })
	if i.desk, err = links.Release(controlclient.Handler{
		Release:   i.told,
		Counts:    i.counted,
		Complaint: i.complained,
		Plan:      i.planned,
		Failed:    func(err error) { i.log.Warn("desk", "error", err) }}); err != nil {
		return nil, err
	}
	i.loop.Do(i.report)
	i.loop.Do(func() { i.door.ReadyBy(links.Ready) })
	i.engine.Accept(listener, i.door.Accept)
	i.log.Info("listening", "address", i.address.String())
	return i, nil
}

// begin makes the mind and tells it the last list.
func (i *Proxy) begin() {
	c := i.charter
	i.pool = upstream.NewPool(i.loop, i.engine, c.Upstream, i.budget)
	i.door = downstream.NewServer(i.loop, c.Downstream, i.budget, i.take)
	place := c.Router
	place.Seed ^= uint64(i.loop.Now()) // another life, other chance
	var actions []router.Action
	now := i.loop.Now()
	i.mind, actions = router.New(now, place)
	if i.records != nil {
		i.noted(i.records.WriteStart(now, place, actions))
	}
	if c.EndpointCache != "" {
		hosts, err := eds.LoadCache(c.EndpointCache)
		if err != nil {
			i.log.Warn("starting without the last list", "error", err)
		} else if len(hosts) > 0 {
			i.log.Info("starting with the last list", "hosts", len(hosts))
			i.listed(true, hosts)
		}
	}
	if len(i.known) > 0 {
		i.listed(true, i.known)
		i.known = nil
	}
	i.act(actions)
	if place.Limits.PushedDiscovery { // the module waits for the list; the stream that it comes by must be opened all the same
		i.register.Ask()
	}
}

// meet opens the way to peers that a charter names; nil for none.
func (i *Proxy) meet(c *routerconfig.Config) (*gossip.Socket, error) {
	if c.Gossip == nil {
		return nil, nil
	}
	return gossip.Open(*c.Gossip, func(rank int, body string) { i.tell(router.GossipReceived{Peer: rank, Body: body}) })
}

// UpdateConfig goes over to another charter while the router runs. Either all of it holds from one event to the next, or
// the error names what can't be and nothing has changed. Tasks held go on; nothing is sent anew for it.
func (i *Proxy) UpdateConfig(c *routerconfig.Config) error {
	i.turning.Lock()
	defer i.turning.Unlock()
	if err := i.charter.Changes(c); err != nil {
		return err
	}
	same := reflect.DeepEqual(i.charter.Gossip, c.Gossip)
	next := i.peers
	if !same {
		if i.peers != nil {
			i.peers.Close() // a message meanwhile is lost, as any may be; one address takes one socket
		}
		var err error
		if next, err = i.meet(c); err != nil {
			again, _ := i.meet(i.charter)
			i.loop.Do(func() { i.peers = again })
			return err
		}
	}
	var refused error
	if !i.loop.Do(func() {
		if refused = i.hear(router.ConfigChanged{Config: c.Router}); refused == nil {
			i.charter, i.peers = c, next
		}
	}) {
		refused = errors.New("the router has ended")
	}
	if refused != nil && !same && next != nil {
		next.Close()
	}
	if refused == nil {
		i.log.Info("settings changed", "routers", c.Router.Routers, "peers", c.Gossip != nil, "probes", c.Router.Limits.HealthChecks)
	}
	return refused
}

// Address is where the router listens.
func (i *Proxy) Address() net.Addr { return i.address }

// Counts is what the router has done so far.
func (i *Proxy) Counts() (c Counts) {
	i.loop.Do(func() { c = i.counts })
	return c
}

// InFlight is how many tasks wait for an answer, connections are open to clients and to hosts, and bytes of bodies are
// held.
func (i *Proxy) InFlight() (tasks, guests, links int, bytes int64) {
	i.loop.Do(func() { tasks, guests, links = i.door.Open(), i.door.Connections(), i.pool.Connections() })
	return tasks, guests, links, i.budget.Used()
}

// Bow goes on serving, but each answer ends its connection, and what comes from now on is answered within.
func (i *Proxy) Bow(within time.Duration) {
	i.loop.Do(func() { i.door.Drain(i.loop.Now() + eventloop.FromDuration(within)) })
}

// Drain takes no new tasks, waits until those held have got their answer and their clients have read it, at most for
// within or until cut is closed, and ends. It returns how many were cut off.
func (i *Proxy) Drain(within time.Duration, cut <-chan struct{}) (left int) {
	i.engine.Deaf()
	end := time.After(within)
	i.loop.Do(i.door.Close)
	for ended := false; !ended; {
		drained := false
		if ok := i.loop.Do(func() { left, drained = i.door.Open(), i.door.Drained() }); !ok || drained {
			break
		}
		select {
		case <-cut:
			ended = true
		case <-end:
			ended = true
		case <-time.After(10 * time.Millisecond):
		}
	}
	c := i.Counts()
	i.Kill()
	i.log.Info("ended", "cut off", left, "taken", c.Received, "finished", c.Succeeded, "turned back", c.Rejected,
		"scrapped", c.Failed, "left by clients", c.ClientsGone)
	return left
}

// Kill ends the router at once, as if its process had died.
func (i *Proxy) Kill() {
	i.loop.Close()
	i.engine.Stop()
	i.register.Close()
	i.desk.Close()
	i.turning.Lock()
	if i.peers != nil {
		i.peers.Close()
		i.peers = nil
	}
	i.turning.Unlock()
	close(i.keep)
	<-i.kept
	if i.records != nil {
		if n := i.records.Dropped(); n > 0 {
			i.log.Warn("records were dropped", "entries", n)
		}
		i.noted(i.records.Close())
	}
}

// Stall makes the router stand still, as if its process were not scheduled.
func (i *Proxy) Stall(d time.Duration) { go i.loop.Post(func() { time.Sleep(d) }) }

// ---- Events ----

// tell hands an event in from outside the loop.
func (i *Proxy) tell(e router.Event) { i.loop.Post(func() { i.hear(e) }) }

// hear takes events one after the other, also those that actions bring about. It returns what the mind had against
// them, which is logged already; those that are brought about while others are taken have to wait, and nothing to say.
func (i *Proxy) hear(e router.Event) (err error) {
	i.inbox = append(i.inbox, e)
	if i.busy {
		return nil
	}
	i.busy = true
	for len(i.inbox) > 0 {
		e := i.inbox[0]
		i.inbox = i.inbox[1:]
		now := i.loop.Now()
		actions, wrong := i.mind.Handle(now, e, i.spare[:0])
		if wrong != nil {
			i.log.Warn("an event makes no sense", "error", wrong)
			err = errors.Join(err, wrong)
		}
		i.spare = actions
		if i.records != nil {
			i.noted(i.records.WriteEvent(now, e, actions))
		}
		if i.bend != nil {
			actions = i.bend.Actions(now, e, actions, i.hosts)
		}
		i.act(actions)
	}
	i.inbox, i.busy = nil, false
	return err
}

// noted logs what could not be recorded.
func (i *Proxy) noted(err error) {
	if err != nil {
		i.log.Error("an event is not recorded", "error", err)
	}
}

func (i *Proxy) listed(whole bool, hosts []eds.Host) {
	list := make([]router.Host, len(hosts))
	named := make(map[uint32]bool, len(hosts))
	for n, h := range hosts {
		list[n], named[h.ID] = h.Host, true
		if h.State == policy.Removed {
			i.pool.Remove(h.ID)
		} else {
			i.pool.SetAddress(h.ID, h.Address)
		}
		i.hosts[h.ID] = h
	}
	for id, h := range i.hosts {
		if whole && !named[id] && h.State != policy.Removed {
			h.State = policy.Removed
			i.hosts[id] = h
			i.pool.Remove(id)
		}
	}
	i.hear(router.EndpointsChanged{Complete: whole, Hosts: list})
	var all []eds.Host
	for id, h := range i.hosts {
		if h.State != policy.Removed {
			all = append(all, h)
		} else if i.bend == nil {
			delete(i.hosts, id)
		}
	}
	if i.charter.EndpointCache == "" {
		return
	}
	select { // an older list that still waits to be written is let go
	case <-i.keep:
	default:
	}
	i.keep <- all
}

// keepLists writes the last list, away from the loop.
func (i *Proxy) keepLists(file string) {
	defer close(i.kept)
	for hosts := range i.keep {
		if err := eds.SaveCache(file, hosts); err != nil {
			i.log.Warn("the last list is not kept", "error", err)
		}
	}
}

func (i *Proxy) counted(c api.Counts) {
	i.loop.Post(func() {
		i.hear(router.StatsReported{Build: c.Build, Class: c.Class, Failures: c.Failures, Samples: c.Samples,
			MeanLatency: policy.Time(c.MeanMs * 10), Age: policy.Time(c.AgeMs) * 10, Window: eventloop.FromDuration(i.charter.ControlPlane.StatsWindow)})
	})
}

func (i *Proxy) told(n policy.ReleaseStatus) {
	i.loop.Post(func() {
		i.newest = n.Build
		i.hear(router.ReleaseChanged{Status: n})
	})
}

// report tells the controllers now and then what became of tasks, by the build that had them last.
func (i *Proxy) report() {
	const every = 2 * policy.Second // a release's stage lasts about as long at the least
	for build, tasks := range i.became {
		i.desk.Report(build, tasks)
	}
	clear(i.became)
	i.loop.After(every, i.report)
}

// becomes counts what became of a task: at the build of the host that had it last, or else of the newest told.
func (i *Proxy) becomes(what string, h *inFlight) {
	build := i.newest
	if x, ok := i.hosts[h.host]; ok && h.host != 0 {
		build = x.Build
	}
	if build == 0 {
		return // nothing was told yet
	}
	if i.became[build] == nil {
		i.became[build] = map[string]int{}
	}
	i.became[build][what]++
}

func (i *Proxy) planned(p api.Plan) {
	o, err := p.Offered()
	if err != nil {
		i.log.Warn("a plan makes no sense", "error", err)
		i.desk.AcknowledgePlan(p.Version, err.Error())
		return
	}
	i.tell(router.PlanOffered{Offer: o})
}

func (i *Proxy) complained(c api.Complaint) {
	i.tell(router.ComplaintReceived{Host: c.Host, Class: c.Class, Age: policy.Time(c.AgeMs) * 10})
}

func (i *Proxy) take(c *downstream.Request) {
	if limit := i.charter.Router.Limits.MaxOpen; limit > 0 && len(i.tasks) >= limit || c.Timeout <= 0 {
		c.Message.Drop()
		i.counts.Rejected++
		c.Reject(i.charter.Router.Limits.MaxRetryAfter/4, "this router holds as many tasks as it may")
		return
	}
	i.next++
	h := &inFlight{id: strconv.FormatUint(i.next, 36), call: c, owed: true}
	i.tasks[h.id] = h
	i.counts.Received++
	c.OnClientGone = func() {
		h.owed = false
		i.counts.ClientsGone++
		i.withhold(h)
		i.hear(router.ClientGone{RequestID: h.id})
		i.forget(h)
	}
	i.hear(router.RequestArrived{RequestID: h.id, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Timeout: c.Timeout,
		ExpectedWork: c.ExpectedWork, ClientRetry: c.ClientRetry})
}

// ended passes on how a send ended; the first that finished answers the client.
func (i *Proxy) ended(h *inFlight, n int, host uint32, r upstream.Result) {
	h.out--
	h.late = r.Outcome == policy.TimedOut
	if r.Reason != "" && i.log.Enabled(context.Background(), slog.LevelDebug) {
		i.log.Debug("send", "task", h.id, "send", n, "host", host, "fate", int(r.Outcome), "why", r.Reason)
	}
	if r.Outcome == policy.Succeeded && h.owed {
		h.owed = false
		i.counts.Succeeded++
		h.host = host
		i.becomes("finished", h)
		if i.bend == nil || !i.bend.Silent(h.id) {
			h.call.Respond(r.Response, host)
		}
		i.withhold(h)
	}
	if r.Response != nil {
		r.Response.Drop()
	}
	i.hear(router.AttemptEnded{RequestID: h.id, Attempt: n, Outcome: r.Outcome, Latency: r.Latency, Done: !h.owed, Load: r.Load})
	i.forget(h)
}

// withhold keeps back the sends of a task that is over as far as they have not left.
func (i *Proxy) withhold(h *inFlight) {
	for _, s := range h.sends {
		s.Cancel()
	}
}

// forget drops a task of which nothing more is to come.
func (i *Proxy) forget(h *inFlight) {
	if !h.owed && h.out == 0 && i.tasks[h.id] == h {
		h.call.Message.Drop()
		delete(i.tasks, h.id)
	}
}

// ---- Actions ----

func (i *Proxy) act(actions []router.Action) {
	for _, a := range actions {
		switch a.Kind {
		case router.SendAttempt:
			if h := i.tasks[a.RequestID]; h != nil {
				i.send(h, a)
			}
		case router.Reject, router.Fail:
			if h := i.tasks[a.RequestID]; h != nil && h.owed {
				i.refuse(h, a)
			}
		case router.SetTimer:
			mark := a.Timer
			i.loop.After(a.Duration, func() { i.hear(router.TimerFired{Timer: mark}) })
		case router.WatchEndpoints:
			i.register.Ask()
		case router.CastVote:
			i.log.Info("vote", "build", a.Build, "stage", a.Stage, "voice", api.VoteChoices[a.Choice])
			i.desk.Vote(a.Build, a.Stage, a.Choice, func(n policy.ReleaseStatus) { i.tell(router.ReleaseChanged{Status: n}) })
		case router.SendGossip:
			if i.peers != nil {
				i.peers.Send(a.Peer, a.Body)
			}
		case router.CheckHealth:
			i.probe(a.Host)
		case router.AcknowledgePlan:
			if a.Text != "" {
				i.log.Warn("a plan is turned down", "version", a.PlanVersion, "reason", a.Text)
			}
			i.desk.AcknowledgePlan(a.PlanVersion, a.Text)
		case router.Log:
			i.log.Info("note", "text", a.Text)
		}
	}
}

// probe asks a host how it does by a small request, and hears what came of it as of no task.
func (i *Proxy) probe(host uint32) {
	p := i.charter.HealthCheck
	if p.Path == "" {
		return
	}
	head := http1.AppendField([]byte("GET "+p.Path+" HTTP/1.1\r\n"), "Host", i.address.String())
	head = http1.AppendField(head, "Dapplefront-Router", i.charter.Name)
	i.pool.Send(host, head, nil, false, eventloop.FromDuration(p.Timeout), func(r upstream.Result) {
		if r.Response != nil {
			r.Response.Drop()
		}
		i.hear(router.HealthChecked{Host: host, Outcome: r.Outcome, Latency: r.Latency, Load: r.Load})
	})
}

func (i *Proxy) refuse(h *inFlight, a router.Action) {
	h.owed = false
	if a.Kind == router.Reject {
		i.counts.Rejected++
		i.becomes("turned back", h)
	} else {
		i.counts.Failed++
		i.becomes("scrapped", h)
	}
	if i.bend == nil || !i.bend.Silent(h.id) {
		if a.Kind == router.Reject {
			h.call.Reject(a.Duration, "turned back; trying again is harmless")
		} else {
			h.call.Fail(h.late)
		}
	}
	i.withhold(h)
	i.forget(h)
}

func (i *Proxy) send(h *inFlight, a router.Action) {
	m := h.call.Message
	if h.base == nil {
		h.base = i.head(m, h.call)
	}
	head := append(make([]byte, 0, len(h.base)+96), h.base...)
	signs := i.signs
	if signs.Attempt != "" {
		head = append(append(head, signs.Attempt...), ": "...)
		head = append(strconv.AppendInt(head, int64(a.Attempt), 10), "\r\n"...)
	}
	h.out++
	i.counts.Attempts++
	if a.IsShadow {
		i.counts.ShadowAttempts++
	}
	n, host := a.Attempt, a.Host
	if !a.IsShadow {
		h.host = host
	}
	h.sends = append(h.sends, i.pool.Send(host, head, m.Body, m.Method == "HEAD", a.Duration,
		func(r upstream.Result) { i.ended(h, n, host, r) }))
}

// head is what all sends of a task start with.
func (i *Proxy) head(m *http1.Message, c *downstream.Request) []byte {
	b := make([]byte, 0, 512)
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	if m.Minor == 0 && m.Get("Host") == "" {
		b = http1.AppendField(b, "Host", i.address.String())
	}
	b = m.AppendFields(b, i.ours)
	if i.signs.ForwardedHeaders {
		b = http1.AppendField(b, "Via", "1.1 "+i.charter.Name)
	}
	if i.signs.Router != "" {
		b = http1.AppendField(b, i.signs.Router, i.charter.Name)
	}
	if i.signs.Class != "" {
		b = http1.AppendField(b, i.signs.Class, c.Class)
	}
	if i.signs.ForwardedHeaders && c.From.IsValid() {
		b = http1.AppendField(b, "X-Forwarded-For", c.From.String())
	}
	if len(m.Body) > 0 || m.Method == "POST" || m.Method == "PUT" || m.Method == "PATCH" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, '\r', '\n')
	}
	return b
}

// ours tells the fields that a router sets on its way to a host, whatever the client wrote.
func (i *Proxy) ours(name string) bool {
	for _, n := range [...]string{i.signs.Timeout, i.signs.Attempt, i.signs.Router, i.signs.Class} {
		if len(name) == len(n) && strings.EqualFold(name, n) {
			return true
		}
	}
	return false
}
