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
	Number    int
	Speed     float64 // times the usual; 0 is 1
	Fails     float64 // share of all tasks
	FailsOf   string  // a category of which FailsOfBy fail
	FailsOfBy float64
	LateAfter time.Duration // after its host's start it turns slow and fails a third; 0 for never
	Wrong     float64       // share of answers
	SlowsAll  float64       // how many times slower all hosts get if all tasks go to it
}

// Kind is a category as hosts meet it.
type Kind struct {
	Name   string
	Work   time.Duration // mean; single tasks from half to one and a half of it
	Repeat policy.Idempotency
	Memory time.Duration
}

// Trouble is what a host suffers just now. The zero Trouble is none.
type Trouble struct {
	Slow      float64 // times slower
	Fails     float64 // share of tasks that fail at once
	Hangs     bool    // takes tasks and answers none
	Refuses   bool    // takes no new connections
	NotFrom   string  // cuts what this router sends
	StaleLoad time.Duration
}

// Marks remember what a group of hosts has run.
type Marks struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// First tells whether a mark is new within the memory, and remembers it.
func (m *Marks) First(mark string, memory time.Duration) bool {
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
	ID        uint32
	Location  string
	Cell      int
	Cores     int
	Speed     float64
	ColdShare float64 // of its capacity, just started
	Cold      time.Duration
	Tip       float64 // sent more than this many times its capacity for TipFor while cold, it falls over
	TipFor    time.Duration
}

// Host is one process on a machine.
type Host struct {
	Machine
	Build Build
	Up    time.Time // zero for long ago
	Seen  *audit.Host

	book   Witness
	kinds  map[string]Kind
	marks  Memory
	count  func(build int, category string, took time.Duration, bad bool)
	slows  func() float64 // how many times slower all hosts are now
	server *http.Server
	listen net.Listener
	addr   string

	mu      sync.Mutex
	trouble Trouble
	paused  time.Time // stands still until then
	free    []time.Time
	active  int
	fallen  bool
	recent  []arrival
	reports []report
	served  int
	service time.Duration // recent time of a task without waiting
	begun   time.Time
}

type arrival struct {
	at   time.Time
	work float64
}

type report struct {
	at time.Time
	*orcav3.OrcaLoadReport
}

// Witness is told what a host sees; an audit.Book is one.
type Witness interface {
	Arrived(h *audit.Host, router, task, category string, work float64)
	Unseen(h *audit.Host, task string)
	Ran(h *audit.Host, task string)
}

// Memory remembers marks for the hosts of a group.
type Memory interface {
	First(mark string, memory time.Duration) bool // whether a mark is new within the memory
}

// World is what hosts share.
type World struct {
	Listen string // where; empty for any port
	Book   Witness
	Kinds  map[string]Kind
	Marks  Memory
	Count  func(build int, category string, took time.Duration, bad bool) // nil for none
	Slows  func() float64                                                 // nil for never
}

// StartHost starts a process on a machine; cold tells that it just starts rather than runs since long ago.
func StartHost(m Machine, b Build, cold bool, w World) (*Host, error) {
	h := &Host{Machine: m, Build: b, book: w.Book, kinds: w.Kinds, marks: w.Marks, count: w.Count, slows: w.Slows,
		free: make([]time.Time, m.Cores), begun: time.Now()}
	if cold {
		h.Up = h.begun
	}
	var err error
	if w.Listen == "" {
		w.Listen = "127.0.0.1:0"
	}
	if h.listen, err = net.Listen("tcp", w.Listen); err != nil {
		return nil, fmt.Errorf("host %d: %w", m.ID, err)
	}
	h.addr = h.listen.Addr().String()
	h.Seen = &audit.Host{ID: m.ID, Build: b.Number, Location: m.Location, Cell: m.Cell, Cold: m.Cold}
	if book, ok := w.Book.(*audit.Book); ok && cold {
		h.Seen.Up = book.At(h.Up)
		h.Seen.Capacity = func(at time.Duration) float64 { return h.capacity(at - h.Seen.Up) }
	}
	h.server = &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = h.server.Serve(&gate{Listener: h.listen, host: h}) }()
	return h, nil
}

// gate turns connections away while the host refuses them.
type gate struct {
	net.Listener
	host *Host
}

func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.host.mu.Lock()
		no := g.host.trouble.Refuses
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
func (h *Host) Address() string { return h.addr }

// Suffer puts a trouble in place of the present one.
func (h *Host) Suffer(change func(*Trouble)) {
	h.mu.Lock()
	change(&h.trouble)
	h.mu.Unlock()
}

// Pause makes the host stand still for a while.
func (h *Host) Pause(d time.Duration) {
	h.mu.Lock()
	h.paused = time.Now().Add(d)
	h.mu.Unlock()
}

// Kill ends the process at once, with all its connections.
func (h *Host) Kill() { _ = h.server.Close() }

// Stop ends it once what it holds is answered, or at the latest after within.
func (h *Host) Stop(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if h.server.Shutdown(ctx) != nil {
		h.Kill()
	}
}

// capacity is how much work a second it can do at an age, without troubles.
func (h *Host) capacity(age time.Duration) float64 {
	full := float64(h.Cores) * h.Speed
	if h.Up.IsZero() || age >= h.Cold {
		return full
	}
	return full * (h.ColdShare + (1-h.ColdShare)*math.Max(0, age.Seconds())/h.Cold.Seconds())
}

// chance is a number from 0 to 1 that depends on the words alone.
func chance(words ...string) float64 {
	f := fnv.New64a()
	for _, w := range words {
		_, _ = io.WriteString(f, w)
	}
	return float64(rand.New(rand.NewPCG(f.Sum64(), 1)).Uint64()>>11) / (1 << 53)
}

// ServeHTTP takes one task.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	task, router := r.Header.Get("Stand-Task"), r.Header.Get("Dapplefront-Router")
	kind := h.kinds[r.Header.Get("Dapplefront-Category")]
	work := kind.Work.Seconds() * (0.5 + chance("work", task))
	if h.book != nil {
		h.book.Arrived(h.Seen, router, task, kind.Name, work)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	h.mu.Lock()
	now := time.Now()
	t := h.trouble
	if t.NotFrom != "" && t.NotFrom == router {
		h.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if t.Hangs || h.fallen || h.tips(now, work) {
		h.mu.Unlock()
		select { // until it is well again, it has been killed, or the router has gone
		case <-r.Context().Done():
		case <-time.After(20 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	if chance("fast", task, h.addr) < t.Fails {
		h.mu.Unlock()
		h.reply(w, r, kind, began, 500, "failed")
		return
	}
	within, err := time.ParseDuration(r.Header.Get("Dapplefront-Within"))
	if err != nil {
		within = time.Hour
	}
	takes := h.takes(now, kind, work, t)
	core := 0
	for i := range h.free {
		if h.free[i].Before(h.free[core]) {
			core = i
		}
	}
	start := now
	for _, at := range []time.Time{h.free[core], h.paused} {
		if at.After(start) {
			start = at
		}
	}
	if start.Sub(now) > 3*time.Second || start.Sub(began) > within { // too long a queue, or never begun in time
		h.mu.Unlock()
		if h.book != nil {
			h.book.Unseen(h.Seen, task)
		}
		w.Header().Set("Dapplefront-Unseen", "1")
		h.reply(w, r, kind, began, 503, "not looked at")
		return
	}
	end := start.Add(takes)
	h.free[core] = end
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

// takes is how long one core works on a task.
func (h *Host) takes(now time.Time, kind Kind, work float64, t Trouble) time.Duration {
	speed := h.Speed
	if h.Build.Speed > 0 {
		speed *= h.Build.Speed
	}
	if !h.Up.IsZero() {
		speed *= h.capacity(now.Sub(h.Up)) / (float64(h.Cores) * h.Speed)
	}
	if t.Slow > 0 {
		speed /= t.Slow
	}
	if h.late(now) {
		speed /= 3
	}
	if h.slows != nil {
		speed /= h.slows()
	}
	return time.Duration(work / speed * float64(time.Second))
}

func (h *Host) late(now time.Time) bool {
	return h.Build.LateAfter > 0 && now.Sub(h.begun) > h.Build.LateAfter
}

// tips tells whether a cold host falls over with this arrival.
func (h *Host) tips(now time.Time, work float64) bool {
	if h.Up.IsZero() || now.Sub(h.Up) > h.Cold || h.Tip == 0 {
		return false
	}
	h.recent = append(h.recent, arrival{now, work})
	sum := 0.0
	for _, a := range h.recent {
		if now.Sub(a.at) < h.TipFor {
			sum += a.work
		}
	}
	since := max(0, now.Sub(h.Up)-h.TipFor)
	h.fallen = sum > h.Tip*h.capacity(since)*h.TipFor.Seconds()+work
	return h.fallen
}

// finish lets a task have its effect and answers it.
func (h *Host) finish(w http.ResponseWriter, r *http.Request, kind Kind, task string, began time.Time) {
	b := h.Build
	bad := chance("bad", task, strconv.Itoa(b.Number)) < b.Fails ||
		b.FailsOf == kind.Name && chance("of", task, strconv.Itoa(b.Number)) < b.FailsOfBy ||
		h.late(time.Now()) && chance("late", task) < 1.0/3 || r.Header.Get("Stand-Bad") == "1"
	if bad {
		h.reply(w, r, kind, began, 500, "failed")
		return
	}
	if kind.Repeat != policy.IdempotentWithKey || h.marks.First(r.Header.Get("Idempotency-Key"), kind.Memory) {
		if h.book != nil {
			h.book.Ran(h.Seen, task)
		}
	}
	if chance("wrong", task, strconv.Itoa(b.Number)) < b.Wrong {
		h.reply(w, r, kind, began, 200, "wrong "+task)
		return
	}
	h.reply(w, r, kind, began, 200, "right "+task)
}

func (h *Host) reply(w http.ResponseWriter, r *http.Request, kind Kind, began time.Time, status int, text string) {
	if h.count != nil {
		h.count(h.Build.Number, kind.Name, time.Since(began), status != 200)
	}
	h.report(w)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// report adds the load, in one of the three forms by the host's number.
func (h *Host) report(w http.ResponseWriter) {
	h.mu.Lock()
	now := time.Now()
	if n := len(h.reports); n == 0 || now.Sub(h.reports[n-1].at) > 100*time.Millisecond {
		h.reports = append(h.reports, report{now, &orcav3.OrcaLoadReport{
			RpsFractional: float64(h.served) / max(1, now.Sub(h.begun).Seconds()),
			NamedMetrics:  map[string]float64{orca.Active: float64(h.active), orca.Service: float64(h.service.Milliseconds())}}})
		if len(h.reports) > 64 {
			h.reports = h.reports[1:]
		}
	}
	r := h.reports[0]
	for _, x := range h.reports {
		if now.Sub(x.at) >= h.trouble.StaleLoad {
			r = x
		}
	}
	h.mu.Unlock()
	text := ""
	switch h.ID % 3 {
	case 0:
		text = fmt.Sprintf("TEXT rps_fractional=%g,named_metrics.%s=%g,named_metrics.%s=%g", r.RpsFractional, orca.Active,
			r.NamedMetrics[orca.Active], orca.Service, r.NamedMetrics[orca.Service])
	case 1:
		raw, _ := protojson.MarshalOptions{Multiline: false}.Marshal(r.OrcaLoadReport)
		text = "JSON " + string(raw)
	default:
		raw, _ := proto.Marshal(r.OrcaLoadReport)
		text = "BIN " + base64.StdEncoding.EncodeToString(raw)
	}
	w.Header().Set(orca.Header, text)
}

// Elsewhere is a host that runs in another process.
func Elsewhere(address string, m Machine, build int) *Host {
	return &Host{Machine: m, Build: Build{Number: build}, addr: address}
}
