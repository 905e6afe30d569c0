package audit

import (
	"sync"
	"time"

	"dapplefront/policy"
)

const (
	heartbeatInterval = 5 * time.Millisecond
	stallThreshold    = 60 * time.Millisecond // a heartbeat this late means that the machine stalled
)

type interval struct{ from, to time.Duration }

// Recorder collects events. It is safe for concurrent use. Its clock starts at 0 when it is made.
type Recorder struct {
	start time.Time

	mu            sync.Mutex
	events        []event
	stalls        []interval
	lastHeartbeat time.Duration

	stop chan struct{}
	done chan struct{}
}

// NewRecorder returns a recorder whose heartbeat runs until Close.
func NewRecorder() *Recorder {
	r := &Recorder{start: time.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	go r.runHeartbeat()
	return r
}

func (r *Recorder) runHeartbeat() {
	defer close(r.done)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			r.Heartbeat(r.Now())
		}
	}
}

// Heartbeat notes that the machine runs at a time.
func (r *Recorder) Heartbeat(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.lastHeartbeat > stallThreshold {
		r.stalls = append(r.stalls, interval{r.lastHeartbeat, now})
	}
	r.lastHeartbeat = now
}

// Close stops the heartbeat and waits for it.
func (r *Recorder) Close() {
	close(r.stop)
	<-r.done
}

// Now is the recorder's time.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// At is the recorder's time at t.
func (r *Recorder) At(t time.Time) time.Duration { return t.Sub(r.start) }

func (r *Recorder) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.at == 0 {
		e.at = time.Since(r.start)
	}
	r.events = append(r.events, e)
}

// addAt adds an event that took place at a time and was noticed now.
func (r *Recorder) addAt(at time.Time, e event) {
	now := r.Now()
	e.at = min(now, max(1, r.At(at)))
	e.noticed = now - e.at
	r.add(e)
}

// RequestSent notes that the kernel of a client sent a request at a time. A request and the client's retries of it share
// the operation's id.
func (r *Recorder) RequestSent(at time.Time, requestID, operationID, router, class string, timeout time.Duration) {
	r.addAt(at, event{kind: requestSent, requestID: requestID, operationID: operationID, router: router, class: class, timeout: timeout})
}

// ResponseReceived notes that the kernel of a client had a complete response at a time. outcome is empty where the router
// did not accept the request.
func (r *Recorder) ResponseReceived(at time.Time, requestID, outcome string) {
	r.addAt(at, event{kind: responseReceived, requestID: requestID, outcome: outcome})
}

// ConnectFailed notes that no connection to the router could be made.
func (r *Recorder) ConnectFailed(requestID string) {
	r.add(event{kind: connectFailed, requestID: requestID})
}

// ConnectionLost notes that the client's connection ended without a response.
func (r *Recorder) ConnectionLost(requestID string) {
	r.add(event{kind: connectionLost, requestID: requestID})
}

// ClientLeft notes that the client closed its connection before a response.
func (r *Recorder) ClientLeft(requestID string) {
	r.add(event{kind: clientLeft, requestID: requestID})
}

// AttemptArrived notes an attempt that reached the kernel of a backend at a time, with its work in seconds.
func (r *Recorder) AttemptArrived(at time.Time, h *Host, router, requestID, class string, work float64) {
	r.addAt(at, event{kind: attemptArrived, host: h, router: router, requestID: requestID, class: class, work: work})
}

// AttemptRejected notes that a backend is about to reject an attempt that it has not begun.
func (r *Recorder) AttemptRejected(h *Host, requestID string) {
	r.add(event{kind: attemptRejected, host: h, requestID: requestID})
}

// EffectRan notes that a request's effect took place at a backend.
func (r *Recorder) EffectRan(h *Host, requestID string) {
	r.add(event{kind: effectRan, host: h, requestID: requestID})
}

// EndpointsAcknowledged notes which states of endpoints a router is known to have been told, when it acknowledges them.
func (r *Recorder) EndpointsAcknowledged(router string, states map[uint32]policy.EndpointState) {
	r.add(event{kind: endpointsAcknowledged, router: router, states: states})
}

// ReleaseAnnounced notes a release status as it goes out to a router.
func (r *Recorder) ReleaseAnnounced(router string, s ReleaseStatus) {
	r.add(event{kind: releaseAnnounced, router: router, release: s})
}

// RouterPaused notes that the scenario keeps a router from running for a while from now on.
func (r *Recorder) RouterPaused(router string, d time.Duration) {
	r.add(event{kind: routerPaused, router: router, timeout: d})
}

// RouterStopping notes that a router's process is about to be ended.
func (r *Recorder) RouterStopping(router string) {
	r.add(event{kind: routerStopping, router: router})
}

// RouterStarting notes that a router's new process is about to start.
func (r *Recorder) RouterStarting(router string) {
	r.add(event{kind: routerStarting, router: router})
}

// AddRemote notes what a backend in another process saw. Events of an unknown kind are dropped.
func (r *Recorder) AddRemote(h *Host, e RemoteEvent) {
	kind, known := remoteKinds[e.Kind]
	if !known {
		return
	}
	r.add(event{
		at: max(1, e.At.Sub(r.start)), kind: kind, host: h, router: e.Router, requestID: e.RequestID, class: e.Class,
		work: e.Work,
	})
}

// LastArrival is when an attempt last reached a backend of a build; 0 for never.
func (r *Recorder) LastArrival(build int) (at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.kind == attemptArrived && e.host.Build == build {
			at = max(at, e.at)
		}
	}
	return at
}

// CountCrossZone counts the attempts that reached backends, and those of them that left their router's zone.
func (r *Recorder) CountCrossZone(zones map[string]string) (all, crossZone int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.kind != attemptArrived {
			continue
		}
		all++
		if e.host.Zone != zones[e.router] {
			crossZone++
		}
	}
	return all, crossZone
}
