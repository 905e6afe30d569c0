package policy

// Idempotency says what running a task twice would do.
type Idempotency int

const (
	Idempotent        Idempotency = iota // harmless
	IdempotentWithKey                    // a mark lets hosts of one group drop the repeat for a while
	NonIdempotent                        // it must never run twice
)

// DedupScope is the set of hosts that drop each other's repeats.
type DedupScope int

const (
	FleetScope DedupScope = iota
	ZoneScope
	CellScope
)

// Class is a kind of task.
type Class struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Time // how long a group drops repeats
	LatencyObjective Time // answered within this it earns in full
	PriorityWeight   float64
	LateValueShare   float64 // share of the earnings left after the promised time

	latencies       []Time         // what finished sends took lately
	serviceTimes    []float64      // the same, less what the host's other tasks added
	usualLatency    Time           // what it usually takes at a host that holds nothing else
	failureOdds     float64        // that the build on trial fails it
	baselineLatency Time           // mid when the build on trial was first told
	inFlight        int            // sends out where they may be told, as waits counted last
	ownStats        admissionStats // what became of own sends lately
	peerStats       admissionStats // and of peers', as they told
}

// repeatsSafely tells whether a second run of the task does no harm anywhere.
func (c *Class) repeatsSafely() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == FleetScope
}

// Tenant is whoever pays for a task.
type Tenant struct {
	QuotaPerSecond float64 // tasks a second, over all routers, that earn in full

	arrivals []trafficEvent
}

// Request is one call that the router has taken.
type Request struct {
	Class        *Class
	Tenant       *Tenant // nil where there are none
	Key          string
	Timeout      Time // how long the client goes on waiting
	ExpectedWork Time // expected work, 0 where not told
	ClientRetry  bool // the client says that it tries again

	Attempts []*Attempt

	arrivedAt      Time
	state          requestState
	firstAmbiguous *Attempt // the first send that may have run
}

// Answered tells whether the task has had its final answer.
func (t *Request) Answered() bool { return t.state == finished }

type requestState int

const (
	notExecuted     requestState = iota // nothing sent may have run
	mayHaveExecuted                     // something sent may have run
	finished
)

type requestEvent int

const (
	requestArrived requestEvent = iota
	attemptNotExecuted
	attemptMayHaveExecuted
	attemptSlow  // still out, longer than usual
	requestEnded // answered, or the client has gone
)

type requestTransition struct {
	state  requestState
	event  requestEvent
	next   requestState
	action func(*Router, *Request)
}

// requestTransitions says what follows for a task. One that can go nowhere is settled at once.
var requestTransitions = []requestTransition{
	{notExecuted, requestArrived, notExecuted, (*Router).dispatch},
	{notExecuted, attemptNotExecuted, notExecuted, (*Router).continueAfterFailure},
	{notExecuted, attemptMayHaveExecuted, mayHaveExecuted, (*Router).continueAfterFailure},
	{notExecuted, attemptSlow, notExecuted, (*Router).hedge},
	{notExecuted, requestEnded, finished, (*Router).ignoreEvent},
	{mayHaveExecuted, attemptNotExecuted, mayHaveExecuted, (*Router).continueAfterFailure},
	{mayHaveExecuted, attemptMayHaveExecuted, mayHaveExecuted, (*Router).continueAfterFailure},
	{mayHaveExecuted, attemptSlow, mayHaveExecuted, (*Router).hedge},
	{mayHaveExecuted, requestEnded, finished, (*Router).ignoreEvent},
}

// RequestArrived accepts a task; from here on it is owed one final answer. More tasks are kept than any window holds.
func (r *Router) RequestArrived(now Time, request *Request) {
	r.now, request.arrivedAt = now, now
	r.traffic.arrivals = appendBounded(r.traffic.arrivals, trafficEvent{at: now, class: request.Class}, 8192)
	if c := request.Tenant; c != nil {
		c.arrivals = appendBounded(c.arrivals, trafficEvent{at: now, class: request.Class}, 4096)
	}
	r.handleRequestEvent(request, requestArrived)
}

// ClientGone says that a client has gone.
func (r *Router) ClientGone(now Time, request *Request) {
	r.now = now
	r.handleRequestEvent(request, requestEnded)
}

// handleRequestEvent reads the table of tasks.
func (r *Router) handleRequestEvent(request *Request, event requestEvent) {
	for _, row := range requestTransitions {
		if row.state == request.state && row.event == event {
			request.state = row.next
			row.action(r, request)
			return
		}
	}
}

// dispatch sends a new task on its ordinary way: to the earlier build, with a copy or a lone copy on trial.
func (r *Router) dispatch(request *Request) {
	host := r.pickCanary(request)
	if host != nil && request.Class.Idempotency == Idempotent && r.limits.AllowHedging {
		if first := r.pickBaseline(request); first != nil && r.isBaseline(first) { // else both would go to the build on trial
			r.send(request, first, primaryAttempt)
		}
		r.send(request, host, shadowAttempt)
		return
	}
	if host == nil {
		host = r.pickEjected(request)
	}
	if host != nil {
		r.send(request, host, shadowFirstAttempt)
		return
	}
	if host = r.pickBaseline(request); host == nil || r.shedsLoad(request, host) {
		r.giveUp(request)
		return
	}
	r.send(request, host, primaryAttempt)
}

func (r *Router) ignoreEvent(*Request) {} // the answer is given; copies still out are only evidence

// giveUp gives the final answer, at once: turned back where trying again is known to be harmless.
func (r *Router) giveUp(request *Request) {
	request.state = finished
	if request.firstAmbiguous != nil && !request.Class.repeatsSafely() {
		r.effects.Fail(request)
		return
	}
	r.effects.Reject(request, min(r.limits.MaxRetryAfter, Second/2)) // a short jam is over by then
}
