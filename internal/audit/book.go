// Package audit judges the five rules from what clients, hosts, register and desk saw at their sockets. It never
// reads what a router keeps of itself. Whoever stands at a socket writes into a Book; Judge reads it when all is
// over.
//
// A machine that stood still makes late what was not: the book has a heartbeat of its own, and what may be explained
// by a missed beat is told as doubtful, never as kept and never as broken.
package audit

import (
	"sync"
	"time"

	"dapplefront/policy"
)

// Category is what the rules need to know of a kind of task.
type Category struct {
	Repeat policy.Idempotency
	Group  policy.DedupScope
	Memory time.Duration
}

// Figures are the rules' figures, and how much slack the ways between sockets get.
type Figures struct {
	Categories map[string]Category
	Slack      time.Duration // of an answer, after the patience
	Grace      time.Duration
	Tip        float64
	TipFor     time.Duration
	Window     time.Duration
	Free       float64
	ByCategory bool
	Guarded    int
	FirstCap   float64 // of the first stage, for builds not announced
	Way        time.Duration
}

// Host is what stood at an address.
type Host struct {
	ID       uint32
	Build    int
	Location string
	Cell     int
	Up       time.Duration                  // in the book's time; 0 for long ago
	Cold     time.Duration                  // after Up, until when it is cold
	Capacity func(at time.Duration) float64 // work a second
}

type kind int

const (
	asked kind = iota
	answered
	lost
	unreached
	left
	arrived
	unseen
	ran
	listed
	told
	routerUp
	routerDown
	stood
)

// event is one thing seen.
type event struct {
	at       time.Duration
	kind     kind
	task     string // one try
	logical  string // the task over all its tries
	router   string
	category string
	outcome  string
	patience time.Duration
	host     *Host
	work     float64
	news     News
	standing map[uint32]policy.EndpointState
}

// News is what the desk told a router.
type News struct {
	Build, Stage int
	Released     bool
	Cap          float64
}

// Book is what was seen. It is safe for concurrent use.
type Book struct {
	start time.Time

	mu     sync.Mutex
	events []event
	stalls []span
	beat   time.Duration
	stop   chan struct{}
	done   chan struct{}
}

type span struct{ from, to time.Duration }

const (
	pulse  = 5 * time.Millisecond
	missed = 60 * time.Millisecond // a beat this late means that the machine stood still
)

// Open starts a book and its heartbeat.
func Open() *Book {
	b := &Book{start: time.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	go b.pulse()
	return b
}

func (b *Book) pulse() {
	defer close(b.done)
	t := time.NewTicker(pulse)
	defer t.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-t.C:
			b.Beat(b.Now())
		}
	}
}

// Beat notes that the machine runs at a moment.
func (b *Book) Beat(now time.Duration) {
	b.mu.Lock()
	if now-b.beat > missed {
		b.stalls = append(b.stalls, span{b.beat, now})
	}
	b.beat = now
	b.mu.Unlock()
}

// Close stops the heartbeat.
func (b *Book) Close() {
	close(b.stop)
	<-b.done
}

// Now is the book's time.
func (b *Book) Now() time.Duration { return time.Since(b.start) }

// At is the book's time of a moment.
func (b *Book) At(t time.Time) time.Duration { return t.Sub(b.start) }

func (b *Book) note(e event) {
	b.mu.Lock()
	if e.at == 0 {
		e.at = time.Since(b.start)
	}
	b.events = append(b.events, e)
	b.mu.Unlock()
}

// Asked notes a try that a client is about to send: task is its id, logical what all tries of it share.
func (b *Book) Asked(task, logical, router, category string, patience time.Duration) {
	b.note(event{kind: asked, task: task, logical: logical, router: router, category: category, patience: patience})
}

// Answered notes a whole answer at a client; outcome is empty where the request was not taken as a task.
func (b *Book) Answered(task, outcome string) {
	b.note(event{kind: answered, task: task, outcome: outcome})
}

// Unreached notes that no connection to the router could be made.
func (b *Book) Unreached(task string) { b.note(event{kind: unreached, task: task}) }

// Lost notes that the client's connection ended with no answer.
func (b *Book) Lost(task string) { b.note(event{kind: lost, task: task}) }

// Left notes that the client closed its connection before an answer.
func (b *Book) Left(task string) { b.note(event{kind: left, task: task}) }

// Arrived notes a task that a host was sent, with the work that it is.
func (b *Book) Arrived(h *Host, router, task, category string, work float64) {
	b.note(event{kind: arrived, host: h, router: router, task: task, category: category, work: work})
}

// Unseen notes that a host turned a task back without having looked at it, before it says so.
func (b *Book) Unseen(h *Host, task string) { b.note(event{kind: unseen, host: h, task: task}) }

// Ran notes that a task's effect took place at a host.
func (b *Book) Ran(h *Host, task string) { b.note(event{kind: ran, host: h, task: task}) }

// Listed notes what a router is known to have been told of hosts' standings: when it acknowledged a list.
func (b *Book) Listed(router string, standing map[uint32]policy.EndpointState) {
	b.note(event{kind: listed, router: router, standing: standing})
}

// Told notes the desk's news as it goes out to a router.
func (b *Book) Told(router string, n News) { b.note(event{kind: told, router: router, news: n}) }

// Stood notes that whoever plays the day made a router stand still from now on, for so long.
func (b *Book) Stood(router string, d time.Duration) {
	b.note(event{kind: stood, router: router, patience: d})
}

// RouterDown notes that a router is about to be ended, RouterUp that a new one is about to start in its place.
func (b *Book) RouterDown(router string) { b.note(event{kind: routerDown, router: router}) }

// RouterUp is told before the router starts.
func (b *Book) RouterUp(router string) { b.note(event{kind: routerUp, router: router}) }

// Remote is what a host in another process saw, with its clock.
type Remote struct {
	Kind                   string // arrived, unseen or ran
	At                     time.Time
	Task, Router, Category string
	Work                   float64
}

// Seen notes what a host in another process saw.
func (b *Book) Seen(h *Host, r Remote) {
	k, ok := map[string]kind{"arrived": arrived, "unseen": unseen, "ran": ran}[r.Kind]
	if ok {
		b.note(event{at: max(1, r.At.Sub(b.start)), kind: k, host: h, router: r.Router, task: r.Task, category: r.Category, work: r.Work})
	}
}

// LastArrival is when hosts of a build were last sent a task; 0 for never.
func (b *Book) LastArrival(build int) (at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.events {
		if e.kind == arrived && e.host.Build == build {
			at = max(at, e.at)
		}
	}
	return at
}

// Crossed counts the tasks that reached hosts, and those of them that reached another location than their router's.
func (b *Book) Crossed(places map[string]string) (all, crossed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.events {
		if e.kind != arrived {
			continue
		}
		if all++; e.host.Location != places[e.router] {
			crossed++
		}
	}
	return all, crossed
}
