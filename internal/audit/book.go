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

// Class is what the rules need to know of a kind of task.
type Class struct {
	Idempotency policy.Idempotency
	DedupScope  policy.DedupScope
	DedupWindow time.Duration
}

// Limits are the rules' figures, and how much slack the ways between sockets get.
type Limits struct {
	Classes            map[string]Class
	AnswerSlack        time.Duration // of an answer, after the patience
	DrainGrace         time.Duration
	ColdOverloadFactor float64
	ColdOverloadWindow time.Duration
	ExposureWindow     time.Duration
	ExposureAllowance  float64
	ExposurePerClass   bool
	GuardedStages      int
	FirstStageCap      float64 // of the first stage, for builds not announced
	TransitTime        time.Duration
}

// Host is what stood at an address.
type Host struct {
	ID        uint32
	Build     int
	Zone      string
	Cell      int
	StartedAt time.Duration                  // in the book's time; 0 for long ago
	WarmUp    time.Duration                  // after Up, until when it is cold
	Capacity  func(at time.Duration) float64 // work a second
}

type eventKind int

const (
	requestSent eventKind = iota
	responseReceived
	connectionLost
	connectFailed
	clientLeft
	attemptArrived
	attemptRejected
	effectRan
	endpointsAcknowledged
	releaseAnnounced
	routerStarting
	routerStopping
	routerPaused
)

// event is one thing seen.
type event struct {
	at          time.Duration
	kind        eventKind
	requestID   string // one try
	operationID string // the task over all its tries
	router      string
	class       string
	outcome     string
	timeout     time.Duration
	host        *Host
	work        float64
	release     ReleaseStatus
	states      map[uint32]policy.EndpointState
}

// ReleaseStatus is what the desk told a router.
type ReleaseStatus struct {
	Build, Stage int
	Released     bool
	ExposureCap  float64
}

// Recorder is what was seen. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu            sync.Mutex
	events        []event
	stalls        []interval
	lastHeartbeat time.Duration
	stop          chan struct{}
	done          chan struct{}
}

type interval struct{ from, to time.Duration }

const (
	heartbeatInterval = 5 * time.Millisecond
	stallThreshold    = 60 * time.Millisecond // a beat this late means that the machine stood still
)

// NewRecorder starts a book and its heartbeat.
func NewRecorder() *Recorder {
	b := &Recorder{start: time.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	go b.runHeartbeat()
	return b
}

func (b *Recorder) runHeartbeat() {
	defer close(b.done)
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-b.stop:
			return
		case <-t.C:
			b.Heartbeat(b.Now())
		}
	}
}

// Heartbeat notes that the machine runs at a moment.
func (b *Recorder) Heartbeat(now time.Duration) {
	b.mu.Lock()
	if now-b.lastHeartbeat > stallThreshold {
		b.stalls = append(b.stalls, interval{b.lastHeartbeat, now})
	}
	b.lastHeartbeat = now
	b.mu.Unlock()
}

// Close stops the heartbeat.
func (b *Recorder) Close() {
	close(b.stop)
	<-b.done
}

// Now is the book's time.
func (b *Recorder) Now() time.Duration { return time.Since(b.start) }

// At is the book's time of a moment.
func (b *Recorder) At(t time.Time) time.Duration { return t.Sub(b.start) }

func (b *Recorder) add(e event) {
	b.mu.Lock()
	if e.at == 0 {
		e.at = time.Since(b.start)
	}
	b.events = append(b.events, e)
	b.mu.Unlock()
}

// RequestSent notes a try that a client is about to send: task is its id, logical what all tries of it share.
func (b *Recorder) RequestSent(task, logical, router, category string, patience time.Duration) {
	b.add(event{kind: requestSent, requestID: task, operationID: logical, router: router, class: category, timeout: patience})
}

// ResponseReceived notes a whole answer at a client; outcome is empty where the request was not taken as a task.
func (b *Recorder) ResponseReceived(task, outcome string) {
	b.add(event{kind: responseReceived, requestID: task, outcome: outcome})
}

// ConnectFailed notes that no connection to the router could be made.
func (b *Recorder) ConnectFailed(task string) { b.add(event{kind: connectFailed, requestID: task}) }

// ConnectionLost notes that the client's connection ended with no answer.
func (b *Recorder) ConnectionLost(task string) { b.add(event{kind: connectionLost, requestID: task}) }

// ClientLeft notes that the client closed its connection before an answer.
func (b *Recorder) ClientLeft(task string) { b.add(event{kind: clientLeft, requestID: task}) }

// AttemptArrived notes a task that a host was sent, with the work that it is.
func (b *Recorder) AttemptArrived(h *Host, router, task, category string, work float64) {
	b.add(event{kind: attemptArrived, host: h, router: router, requestID: task, class: category, work: work})
}

// AttemptRejected notes that a host turned a task back without having looked at it, before it says so.
func (b *Recorder) AttemptRejected(h *Host, task string) {
	b.add(event{kind: attemptRejected, host: h, requestID: task})
}

// EffectRan notes that a task's effect took place at a host.
func (b *Recorder) EffectRan(h *Host, task string) {
	b.add(event{kind: effectRan, host: h, requestID: task})
}

// EndpointsAcknowledged notes what a router is known to have been told of hosts' standings: when it acknowledged a list.
func (b *Recorder) EndpointsAcknowledged(router string, standing map[uint32]policy.EndpointState) {
	b.add(event{kind: endpointsAcknowledged, router: router, states: standing})
}

// ReleaseAnnounced notes the desk's news as it goes out to a router.
func (b *Recorder) ReleaseAnnounced(router string, n ReleaseStatus) {
	b.add(event{kind: releaseAnnounced, router: router, release: n})
}

// RouterPaused notes that whoever plays the day made a router stand still from now on, for so long.
func (b *Recorder) RouterPaused(router string, d time.Duration) {
	b.add(event{kind: routerPaused, router: router, timeout: d})
}

// RouterStopping notes that a router is about to be ended, RouterUp that a new one is about to start in its place.
func (b *Recorder) RouterStopping(router string) { b.add(event{kind: routerStopping, router: router}) }

// RouterStarting is told before the router starts.
func (b *Recorder) RouterStarting(router string) { b.add(event{kind: routerStarting, router: router}) }

// RemoteEvent is what a host in another process saw, with its clock.
type RemoteEvent struct {
	Kind                     string // arrived, unseen or ran
	At                       time.Time
	RequestID, Router, Class string
	Work                     float64
}

// AddRemote notes what a host in another process saw.
func (b *Recorder) AddRemote(h *Host, r RemoteEvent) {
	k, ok := map[string]eventKind{"arrived": attemptArrived, "unseen": attemptRejected, "ran": effectRan}[r.Kind]
	if ok {
		b.add(event{at: max(1, r.At.Sub(b.start)), kind: k, host: h, router: r.Router, requestID: r.RequestID, class: r.Class, work: r.Work})
	}
}

// LastArrival is when hosts of a build were last sent a task; 0 for never.
func (b *Recorder) LastArrival(build int) (at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.events {
		if e.kind == attemptArrived && e.host.Build == build {
			at = max(at, e.at)
		}
	}
	return at
}

// CountCrossZone counts the tasks that reached hosts, and those of them that reached another location than their router's.
func (b *Recorder) CountCrossZone(places map[string]string) (all, crossed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.events {
		if e.kind != attemptArrived {
			continue
		}
		if all++; e.host.Zone != places[e.router] {
			crossed++
		}
	}
	return all, crossed
}
