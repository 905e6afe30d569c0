package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dapplefront/policy"
)

// Judge returns the verdict on each rule, in the order of Rules. The recorder must be closed.
func (r *Recorder) Judge(limits Limits) []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.events, func(x, y event) int { return cmp.Compare(x.at, y.at) })
	ev := newEvaluation(limits, r.stalls)
	for i := range r.events {
		ev.handle(&r.events[i])
	}
	if n := len(r.events); n > 0 {
		ev.end = r.events[n-1].at
	}
	for _, q := range ev.order {
		ev.judgeAnswer(q)
	}
	var verdicts []Verdict
	for _, rule := range Rules {
		verdicts = append(verdicts, *ev.verdicts[rule])
	}
	return verdicts
}

// evaluation processes the events in time order. It stores the state on which the verdicts depend.
type evaluation struct {
	limits     Limits
	stalls     []interval
	end        time.Duration           // time of the last event
	requests   map[string]*request     // by request id
	order      []*request              // in the order in which they were sent
	operations map[string]*operation   // by operation id
	routers    map[string]*routerState // by name
	arrivals   map[*Host][]event       // attempts that reached each backend during its warm-up
	verdicts   map[string]*Verdict     // by rule
}

// request is one request that a client sent. A client's retry is a request of its own.
type request struct {
	event
	sentTo           *routerState
	incarnation      int           // number of the router process that it was sent to
	routerDown       bool          // no router process was running when it was sent
	endedAt          time.Duration // when the client received the response, lost its connection or closed it; 0 until then
	endObserverDelay time.Duration // how much later the client observed that end
	ending           eventKind
	arrivals         []*event
	rejectedBy       map[*Host]bool
}

// operation is a request together with all retries of it by the client.
type operation struct{ effects int }

// routerState is what is known of a router since its current process started. Fields marked "outlives the process" carry
// over to the next process.
type routerState struct {
	incarnation    int             // outlives the process
	stoppedAt      []time.Duration // by incarnation; outlives the process
	pauses         []interval      // outlives the process
	down           bool
	startedAt      time.Duration
	drainingSince  map[uint32]time.Duration // by host id
	releases       []announcement
	requests       []arrival
	canaryAttempts []arrival
}

type announcement struct {
	at time.Duration
	ReleaseStatus
}

// arrival is a request that reached a router, or an attempt that reached a backend.
type arrival struct {
	at    time.Duration
	class string
	build int // of the backend; 0 for a request
}

func newEvaluation(limits Limits, stalls []interval) *evaluation {
	ev := &evaluation{
		limits:     limits,
		stalls:     stalls,
		requests:   map[string]*request{},
		operations: map[string]*operation{},
		routers:    map[string]*routerState{},
		arrivals:   map[*Host][]event{},
		verdicts:   map[string]*Verdict{},
	}
	for _, rule := range Rules {
		ev.verdicts[rule] = &Verdict{Rule: rule}
	}
	return ev
}

func (ev *evaluation) router(name string) *routerState {
	r := ev.routers[name]
	if r == nil {
		r = &routerState{drainingSince: map[uint32]time.Duration{}}
		ev.routers[name] = r
	}
	return r
}

// report adds a finding about a period. The finding is doubtful if the machine stalled in that period.
func (ev *evaluation) report(rule string, from, to time.Duration, format string, values ...any) {
	f := Finding{Rule: rule, At: to, Text: fmt.Sprintf(format, values...)}
	for _, s := range ev.stalls {
		if s.from <= to+ev.limits.TransitTime && s.to >= from {
			f.Doubtful = true
		}
	}
	v := ev.verdicts[rule]
	if f.Doubtful {
		v.Doubtful = append(v.Doubtful, f)
	} else {
		v.Broken = append(v.Broken, f)
	}
}

func (ev *evaluation) handle(e *event) {
	switch e.kind {
	case requestSent:
		ev.handleRequest(e)
	case responseReceived, connectionLost, clientDisconnected, connectFailed:
		ev.handleEnding(e)
	case attemptArrived:
		ev.handleAttempt(e)
	case attemptRejected:
		if q := ev.requests[e.requestID]; q != nil {
			q.rejectedBy[e.host] = true
		}
	case effectApplied:
		if q := ev.requests[e.requestID]; q != nil {
			ev.judgeEffect(q, e)
		}
	case endpointsAcknowledged:
		ev.handleEndpoints(e)
	case releaseAnnounced:
		r := ev.router(e.router)
		r.releases = append(r.releases, announcement{e.at, e.release})
	case routerStarting:
		r := ev.router(e.router)
		*r = routerState{
			incarnation: r.incarnation, stoppedAt: r.stoppedAt, pauses: r.pauses, drainingSince: map[uint32]time.Duration{},
			startedAt: e.at,
		}
	case routerStopping:
		r := ev.router(e.router)
		r.incarnation++
		r.down = true
		r.stoppedAt = append(r.stoppedAt, e.at)
	case routerPaused:
		r := ev.router(e.router)
		r.pauses = append(r.pauses, interval{e.at, e.at + e.timeout})
	}
}

func (ev *evaluation) handleRequest(e *event) {
	r := ev.router(e.router)
	q := &request{event: *e, sentTo: r, incarnation: r.incarnation, routerDown: r.down, rejectedBy: map[*Host]bool{}}
	ev.requests[e.requestID] = q
	ev.order = append(ev.order, q)
	if ev.operations[e.operationID] == nil {
		ev.operations[e.operationID] = &operation{}
	}
	r.requests = append(r.requests, arrival{at: e.at, class: e.class})
}

func (ev *evaluation) handleEnding(e *event) {
	q := ev.requests[e.requestID]
	switch {
	case q == nil:
	case q.endedAt == 0:
		q.endedAt, q.endObserverDelay, q.ending = e.at, e.observerDelay, e.kind
		ev.judgeRejection(q, e)
	case e.kind == responseReceived:
		ev.report(RuleAnswer, q.endedAt, e.at, "request %s received a second response", e.requestID)
	}
}

func (ev *evaluation) handleAttempt(e *event) {
	r := ev.router(e.router)
	if q := ev.requests[e.requestID]; q != nil {
		ev.judgeFurtherAttempt(q, e)
		q.arrivals = append(q.arrivals, e)
		ev.judgeLateAttempt(q, e)
	}
	ev.judgeDrain(r, e)
	ev.judgeCold(e)
	ev.judgeExposure(r, e)
}

func (ev *evaluation) handleEndpoints(e *event) {
	r := ev.router(e.router)
	for id, state := range e.states {
		if state == policy.Serving {
			delete(r.drainingSince, id)
		} else if _, known := r.drainingSince[id]; !known {
			r.drainingSince[id] = e.at
		}
	}
}
