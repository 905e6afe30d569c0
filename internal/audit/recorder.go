package audit

import (
	"sync"
	"time"

	"dapplefront/policy"
)

const (
	heartbeatInterval = 5 * time.Millisecond
	stallThreshold    = 60 * time.Millisecond // a longer gap between heartbeats means that the machine stalled
)

type interval struct{ from, to time.Duration }

// Recorder collects events. It is safe for concurrent use. Its clock starts at 0 when it is created.
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

// Heartbeat records that the machine was running at the given time. It records a stall if the previous heartbeat is too long ago.
func (r *Recorder) Heartbeat(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.lastHeartbeat > stallThreshold {
		r.stalls = append(r.stalls, interval{r.lastHeartbeat, now})
	}
	r.lastHeartbeat = now
}

// Close stops the heartbeat and waits until its goroutine has returned.
func (r *Recorder) Close() {
	close(r.stop)
	<-r.done
}

// Now returns the current time on the recorder's clock.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// At converts t to the recorder's clock.
func (r *Recorder) At(t time.Time) time.Duration { return t.Sub(r.start) }

func (r *Recorder) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.at == 0 {
		e.at = time.Since(r.start)
	}
	r.events = append(r.events, e)
}

// addAt adds an event that took place at the given time and is observed now.
func (r *Recorder) addAt(at time.Time, e event) {
	now := r.Now()
	e.at = min(now, max(1, r.At(at)))
	e.observerDelay = now - e.at
	r.add(e)
}

// RequestSent records when a client's kernel sent a request. A request and the client's retries of it share the operation
// id.
func (r *Recorder) RequestSent(at time.Time, requestID, operationID, router, class string, timeout time.Duration) {
	r.addAt(at, event{kind: requestSent, requestID: requestID, operationID: operationID, router: router, class: class, timeout: timeout})
}

// ResponseReceived records when a client's kernel had received a complete response. outcome is empty if the router did not
// accept the request.
func (r *Recorder) ResponseReceived(at time.Time, requestID, outcome string) {
	r.addAt(at, event{kind: responseReceived, requestID: requestID, outcome: outcome})
}

// ConnectFailed records that the client could not connect to the router.
func (r *Recorder) ConnectFailed(requestID string) {
	r.add(event{kind: connectFailed, requestID: requestID})
}

// ConnectionLost records that the client's connection ended without a response.
func (r *Recorder) ConnectionLost(requestID string) {
	r.add(event{kind: connectionLost, requestID: requestID})
}

// ClientDisconnected records that the client closed its connection before a response.
func (r *Recorder) ClientDisconnected(requestID string) {
	r.add(event{kind: clientDisconnected, requestID: requestID})
}

// AttemptArrived records when an attempt reached a backend's kernel. work is in seconds.
func (r *Recorder) AttemptArrived(at time.Time, h *Host, router, requestID, class string, work float64) {
	r.addAt(at, event{kind: attemptArrived, host: h, router: router, requestID: requestID, class: class, work: work})
}

// AttemptRejected records that a backend is about to reject an attempt that it has not started.
func (r *Recorder) AttemptRejected(h *Host, requestID string) {
	r.add(event{kind: attemptRejected, host: h, requestID: requestID})
}

// EffectApplied records that a backend has applied the effect of a request.
func (r *Recorder) EffectApplied(h *Host, requestID string) {
	r.add(event{kind: effectApplied, host: h, requestID: requestID})
}

// EndpointsAcknowledged records the endpoint states, by backend id, that a router acknowledges at this moment.
func (r *Recorder) EndpointsAcknowledged(router string, states map[uint32]policy.EndpointState) {
	r.add(event{kind: endpointsAcknowledged, router: router, states: states})
}

// ReleaseAnnounced records the release status that is sent to a router at this moment.
func (r *Recorder) ReleaseAnnounced(router string, s ReleaseStatus) {
	r.add(event{kind: releaseAnnounced, router: router, release: s})
}

// RouterPaused records that the scenario suspends a router now, for the duration d.
func (r *Recorder) RouterPaused(router string, d time.Duration) {
	r.add(event{kind: routerPaused, router: router, timeout: d})
}

// RouterStopping records that a router's process is about to be terminated.
func (r *Recorder) RouterStopping(router string) {
	r.add(event{kind: routerStopping, router: router})
}

// RouterStarting records that a router's new process is about to start.
func (r *Recorder) RouterStarting(router string) {
	r.add(event{kind: routerStarting, router: router})
}

// AddRemote records an event that a backend in another process observed. It drops events of unknown kinds.
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

// LastArrival returns the time at which an attempt last reached a backend of a build, or 0 if none has.
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

// CountCrossZone returns the number of attempts that reached backends, and how many of them reached a backend outside the
// zone of their router. zones maps each router's name to its zone.
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
