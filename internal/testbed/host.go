// Package testbed holds the stand-ins that a day of trouble is played with: hosts, a register, a release desk and
// clients, on loopback sockets, with faults. Hosts are servers of net/http and clients plain sockets, so that what
// they see owes nothing to the router's own code.
package testbed

import (
	"context"
	"encoding/base64"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dapplefront/internal/audit"
	"dapplefront/internal/orca"
	"dapplefront/policy"
)

// Build is what a build does to the tasks of its hosts; the zero Build is a good one.
type Build struct {
	Number           int
	SpeedFactor      float64 // times the usual; 0 is 1
	FailureRate      float64 // share of all tasks
	FailingClass     string  // a category of which FailsOfBy fail
	ClassFailureRate float64
	DegradesAfter    time.Duration // after its host's start it turns slow and fails a third; 0 for never
	WrongAnswerRate  float64       // share of answers
	FleetSlowdown    float64       // how many times slower all hosts get if all tasks go to it
}

// Class is a category as hosts meet it.
type Class struct {
	Name        string
	Work        time.Duration // mean; single tasks from half to one and a half of it
	Idempotency policy.Idempotency
	DedupWindow time.Duration
}

// Fault is what a host suffers just now. The zero Trouble is none.
type Fault struct {
	Slowdown           float64 // times slower
	FailureRate        float64 // share of tasks that fail at once
	Hangs              bool    // takes tasks and answers none
	RefusesConnections bool    // takes no new connections
	BlockedRouter      string  // cuts what this router sends
	LoadReportDelay    time.Duration
}

// KeyStore remember what a group of hosts has run.
type KeyStore struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// First tells whether a mark is new within the memory, and remembers it.
func (m *KeyStore) First(mark string, memory time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if at, ok := m.seen[mark]; ok && now.Sub(at) < memory {
		return false
	}
	if m.seen == nil {
		m.seen = map[string]time.Time{}
	}
	m.seen[mark] = now
	return true
}

// Machine is what a host is made of.
type Machine struct {
	ID                 uint32
	Zone               string
	Cell               int
	Cores              int
	Speed              float64
	ColdCapacity       float64 // of its capacity, just started
	WarmUp             time.Duration
	ColdOverloadFactor float64 // sent more than this many times its capacity for TipFor while cold, it falls over
	ColdOverloadWindow time.Duration
}

// Backend is one process on a machine.
type Backend struct {
	Machine
	Build     Build
	StartedAt time.Time // zero for long ago
	Audited   *audit.Host

	observer Observer
	classes  map[string]Class
	keys     Deduplicator
	count    func(build int, category string, took time.Duration, bad bool)
	slowdown func() float64 // how many times slower all hosts are now
	server   *http.Server
	listen   net.Listener
	addr     string

	mu          sync.Mutex
	fault       Fault
	pausedUntil time.Time // stands still until then
	coreFreeAt  []time.Time
	active      int
	overloaded  bool
	recent      []arrival
	reports     []loadReport
	served      int
	service     time.Duration // recent time of a task without waiting
	createdAt   time.Time
}

type arrival struct {
	at   time.Time
	work float64
}

type loadReport struct {
	at time.Time
	*orcav3.OrcaLoadReport
}

// Observer is told what a host sees; an audit.Book is one.
type Observer interface {
	AttemptArrived(h *audit.Host, router, task, category string, work float64)
	AttemptRejected(h *audit.Host, task string)
	EffectRan(h *audit.Host, task string)
}

// Deduplicator remembers marks for the hosts of a group.
type Deduplicator interface {
	First(mark string, memory time.Duration) bool // whether a mark is new within the memory
}

// Environment is what hosts share.
type Environment struct {
	Listen       string // where; empty for any port
	Observer     Observer
	Classes      map[string]Class
	Keys         Deduplicator
	CountRequest func(build int, category string, took time.Duration, bad bool) // nil for none
	Slowdown     func() float64                                                 // nil for never
}

// StartBackend starts a process on a machine; cold tells that it just starts rather than runs since long ago.
func StartBackend(m Machine, b Build, cold bool, w Environment) (*Backend, error) {
	h := &Backend{Machine: m, Build: b, observer: w.Observer, classes: w.Classes, keys: w.Keys, count: w.CountRequest, slowdown: w.Slowdown,
		coreFreeAt: make([]time.Time, m.Cores), createdAt: time.Now()}
	if cold {
		h.StartedAt = h.createdAt
	}
	var err error
	if w.Listen == "" {
		w.Listen = "127.0.0.1:0"
	}
	if h.listen, err = net.Listen("tcp", w.Listen); err != nil {
		return nil, fmt.Errorf("host %d: %w", m.ID, err)
	}
	h.addr = h.listen.Addr().String()
	h.Audited = &audit.Host{ID: m.ID, Build: b.Number, Zone: m.Zone, Cell: m.Cell, WarmUp: m.WarmUp}
	if book, ok := w.Observer.(*audit.Recorder); ok && cold {
		h.Audited.StartedAt = book.At(h.StartedAt)
		h.Audited.Capacity = func(at time.Duration) float64 { return h.capacity(at - h.Audited.StartedAt) }
	}
	h.server = &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = h.server.Serve(&refusingListener{Listener: h.listen, host: h}) }()
	return h, nil
}

// refusingListener turns connections away while the host refuses them.
type refusingListener struct {
	net.Listener
	host *Backend
}

func (g *refusingListener) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.host.mu.Lock()
		no := g.host.fault.RefusesConnections
		g.host.mu.Unlock()
		if !no {
			return c, nil
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Address is where it listens.
func (h *Backend) Address() string { return h.addr }

// ChangeFault puts a trouble in place of the present one.
func (h *Backend) ChangeFault(change func(*Fault)) {
	h.mu.Lock()
	change(&h.fault)
	h.mu.Unlock()
}

// Pause makes the host stand still for a while.
func (h *Backend) Pause(d time.Duration) {
	h.mu.Lock()
	h.pausedUntil = time.Now().Add(d)
	h.mu.Unlock()
}

// Kill ends the process at once, with all its connections.
func (h *Backend) Kill() { _ = h.server.Close() }

// Stop ends it once what it holds is answered, or at the latest after within.
func (h *Backend) Stop(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if h.server.Shutdown(ctx) != nil {
		h.Kill()
	}
}

// capacity is how much work a second it can do at an age, without troubles.
func (h *Backend) capacity(age time.Duration) float64 {
	full := float64(h.Cores) * h.Speed
	if h.StartedAt.IsZero() || age >= h.WarmUp {
		return full
	}
	return full * (h.ColdCapacity + (1-h.ColdCapacity)*math.Max(0, age.Seconds())/h.WarmUp.Seconds())
}

// draw is a number from 0 to 1 that depends on the words alone.
func draw(words ...string) float64 {
	f := fnv.New64a()
	for _, w := range words {
		_, _ = io.WriteString(f, w)
	}
	return float64(rand.New(rand.NewPCG(f.Sum64(), 1)).Uint64()>>11) / (1 << 53)
}

// ServeHTTP takes one task.
func (h *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	task, router := r.Header.Get("Stand-Task"), r.Header.Get("Dapplefront-Router")
	kind := h.classes[r.Header.Get("Dapplefront-Category")]
	work := kind.Work.Seconds() * (0.5 + draw("work", task))
	if h.observer != nil {
		h.observer.AttemptArrived(h.Audited, router, task, kind.Name, work)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	h.mu.Lock()
	now := time.Now()
	t := h.fault
	if t.BlockedRouter != "" && t.BlockedRouter == router {
		h.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if t.Hangs || h.overloaded || h.overloads(now, work) {
		h.mu.Unlock()
		select { // until it is well again, it has been killed, or the router has gone
		case <-r.Context().Done():
		case <-time.After(20 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	if draw("fast", task, h.addr) < t.FailureRate {
		h.mu.Unlock()
		h.reply(w, r, kind, began, 500, "failed")
		return
	}
	within, err := time.ParseDuration(r.Header.Get("Dapplefront-Within"))
	if err != nil {
		within = time.Hour
	}
	takes := h.serviceTime(now, kind, work, t)
	core := 0
	for i := range h.coreFreeAt {
		if h.coreFreeAt[i].Before(h.coreFreeAt[core]) {
			core = i
		}
	}
	start := now
	for _, at := range []time.Time{h.coreFreeAt[core], h.pausedUntil} {
		if at.After(start) {
			start = at
		}
	}
	if start.Sub(now) > 3*time.Second || start.Sub(began) > within { // too long a queue, or never begun in time
		h.mu.Unlock()
		if h.observer != nil {
			h.observer.AttemptRejected(h.Audited, task)
		}
		w.Header().Set("Dapplefront-Unseen", "1")
		h.reply(w, r, kind, began, 503, "not looked at")
		return
	}
	end := start.Add(takes)
	h.coreFreeAt[core] = end
	h.active++
	h.service = (7*h.service + takes) / 8
	h.mu.Unlock()
	time.Sleep(time.Until(end))
	h.mu.Lock()
	h.active--
	h.served++
	h.mu.Unlock()
	h.finish(w, r, kind, task, began)
}

// serviceTime is how long one core works on a task.
func (h *Backend) serviceTime(now time.Time, kind Class, work float64, t Fault) time.Duration {
	speed := h.Speed
	if h.Build.SpeedFactor > 0 {
		speed *= h.Build.SpeedFactor
	}
	if !h.StartedAt.IsZero() {
		speed *= h.capacity(now.Sub(h.StartedAt)) / (float64(h.Cores) * h.Speed)
	}
	if t.Slowdown > 0 {
		speed /= t.Slowdown
	}
	if h.degraded(now) {
		speed /= 3
	}
	if h.slowdown != nil {
		speed /= h.slowdown()
	}
	return time.Duration(work / speed * float64(time.Second))
}

func (h *Backend) degraded(now time.Time) bool {
	return h.Build.DegradesAfter > 0 && now.Sub(h.createdAt) > h.Build.DegradesAfter
}

// overloads tells whether a cold host falls over with this arrival.
func (h *Backend) overloads(now time.Time, work float64) bool {
	if h.StartedAt.IsZero() || now.Sub(h.StartedAt) > h.WarmUp || h.ColdOverloadFactor == 0 {
		return false
	}
	h.recent = append(h.recent, arrival{now, work})
	sum := 0.0
	for _, a := range h.recent {
		if now.Sub(a.at) < h.ColdOverloadWindow {
			sum += a.work
		}
	}
	since := max(0, now.Sub(h.StartedAt)-h.ColdOverloadWindow)
	h.overloaded = sum > h.ColdOverloadFactor*h.capacity(since)*h.ColdOverloadWindow.Seconds()+work
	return h.overloaded
}

// finish lets a task have its effect and answers it.
func (h *Backend) finish(w http.ResponseWriter, r *http.Request, kind Class, task string, began time.Time) {
	b := h.Build
	bad := draw("bad", task, strconv.Itoa(b.Number)) < b.FailureRate ||
		b.FailingClass == kind.Name && draw("of", task, strconv.Itoa(b.Number)) < b.ClassFailureRate ||
		h.degraded(time.Now()) && draw("late", task) < 1.0/3 || r.Header.Get("Stand-Bad") == "1"
	if bad {
		h.reply(w, r, kind, began, 500, "failed")
		return
	}
	if kind.Idempotency != policy.IdempotentWithKey || h.keys.First(r.Header.Get("Idempotency-Key"), kind.DedupWindow) {
		if h.observer != nil {
			h.observer.EffectRan(h.Audited, task)
		}
	}
	if draw("wrong", task, strconv.Itoa(b.Number)) < b.WrongAnswerRate {
		h.reply(w, r, kind, began, 200, "wrong "+task)
		return
	}
	h.reply(w, r, kind, began, 200, "right "+task)
}

func (h *Backend) reply(w http.ResponseWriter, r *http.Request, kind Class, began time.Time, status int, text string) {
	if h.count != nil {
		h.count(h.Build.Number, kind.Name, time.Since(began), status != 200)
	}
	h.addLoadReport(w)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// addLoadReport adds the load, in one of the three forms by the host's number.
func (h *Backend) addLoadReport(w http.ResponseWriter) {
	h.mu.Lock()
	now := time.Now()
	if n := len(h.reports); n == 0 || now.Sub(h.reports[n-1].at) > 100*time.Millisecond {
		h.reports = append(h.reports, loadReport{now, &orcav3.OrcaLoadReport{
			RpsFractional: float64(h.served) / max(1, now.Sub(h.createdAt).Seconds()),
			NamedMetrics:  map[string]float64{orca.MetricActive: float64(h.active), orca.MetricService: float64(h.service.Milliseconds())}}})
		if len(h.reports) > 64 {
			h.reports = h.reports[1:]
		}
	}
	r := h.reports[0]
	for _, x := range h.reports {
		if now.Sub(x.at) >= h.fault.LoadReportDelay {
			r = x
		}
	}
	h.mu.Unlock()
	text := ""
	switch h.ID % 3 {
	case 0:
		text = fmt.Sprintf("TEXT rps_fractional=%g,named_metrics.%s=%g,named_metrics.%s=%g", r.RpsFractional, orca.MetricActive,
			r.NamedMetrics[orca.MetricActive], orca.MetricService, r.NamedMetrics[orca.MetricService])
	case 1:
		raw, _ := protojson.MarshalOptions{Multiline: false}.Marshal(r.OrcaLoadReport)
		text = "JSON " + string(raw)
	default:
		raw, _ := proto.Marshal(r.OrcaLoadReport)
		text = "BIN " + base64.StdEncoding.EncodeToString(raw)
	}
	w.Header().Set(orca.Header, text)
}

// RemoteBackend is a host that runs in another process.
func RemoteBackend(address string, m Machine, build int) *Backend {
	return &Backend{Machine: m, Build: Build{Number: build}, addr: address}
}
