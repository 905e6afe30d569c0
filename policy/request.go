package policy

// Idempotency says what executing a request twice would do.
type Idempotency int

// Kinds of idempotency; their values are stored.
const (
	Idempotent        Idempotency = iota // nothing more than executing it once
	IdempotentWithKey                    // hosts that share a memory of idempotency keys drop the repeat for a while
	NonIdempotent                        // harm: it must never be executed twice
)

// DedupScope is the set of hosts that share a memory of idempotency keys.
type DedupScope int

// Scopes of deduplication; their values are stored.
const (
	FleetScope DedupScope = iota
	ZoneScope
	CellScope
)

// Class is a kind of request. Its exported fields are set before the Router starts and stay.
type Class struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Time // for which hosts remember an idempotency key
	LatencyObjective Time // a response within it has the request's full value
	PriorityWeight   float64
	LateValueShare   float64 // share of its value that a response beyond the objective keeps

	latencies    []Time    // of the last successes at the baseline
	serviceTimes []float64 // the same, less the part that concurrent requests at the host added
	usualLatency Time      // at a host with nothing else in flight

	baselineLatency Time    // usualLatency when the canary was announced
	failureOdds     float64 // odds that the canary fails this class

	inFlight  int            // attempts at healthy hosts, as countInFlight found last
	ownStats  admissionStats // own attempts lately
	peerStats admissionStats // peers' attempts lately, by gossip
}

// repeatsSafely reports whether a second execution does no harm on any host.
func (c *Class) repeatsSafely() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == FleetScope
}

// Tenant is whoever requests are made for.
type Tenant struct {
	QuotaPerSecond float64 // requests of full value a second, over all routers

	arrivals []trafficEvent
}

// Request is one call that the router has accepted and owes one final answer.
type Request struct {
	Class        *Class
	Tenant       *Tenant // nil where there are none
	Key          string  // of what the request concerns, for sticky builds; empty for none
	Timeout      Time    // how long the client goes on waiting
	ExpectedWork Time    // 0 where unknown
	ClientRetry  bool    // the client says that it retries by itself

	Attempts []*Attempt // in the order in which they were sent

	arrivedAt      Time
	state          requestState
	firstAmbiguous *Attempt // first attempt that may have been executed without a response
}

// Answered reports whether the request has had its final answer or its client has gone.
func (r *Request) Answered() bool { return r.state == finished }

// requestState is what is known of a request's execution:
//
//	state            event                    next             action
//	notExecuted      requestArrived           notExecuted      first attempts, or rejection
//	notExecuted      attemptNotExecuted       notExecuted      retry, wait or final answer
//	notExecuted      attemptMayHaveExecuted   mayHaveExecuted  retry, wait or final answer
//	notExecuted      attemptSlow              notExecuted      hedged attempt
//	mayHaveExecuted  attemptNotExecuted       mayHaveExecuted  retry, wait or final answer
//	mayHaveExecuted  attemptMayHaveExecuted   mayHaveExecuted  retry, wait or final answer
//	mayHaveExecuted  attemptSlow              mayHaveExecuted  hedged attempt
//	both             requestEnded             finished         none
//
// Any other pair changes nothing.
type requestState int

const (
	notExecuted     requestState = iota // no attempt that ended may have been executed
	mayHaveExecuted                     // one may
	finished
)

type requestEvent int

const (
	requestArrived requestEvent = iota
	attemptNotExecuted
	attemptMayHaveExecuted
	attemptSlow  // in flight for longer than usual
	requestEnded // answered, or its client has gone
)

// requestTransition is a row of the table at requestState.
type requestTransition struct {
	state  requestState
	event  requestEvent
	next   requestState
	action func(*Router, *Request)
}

var requestTransitions = []requestTransition{
	{notExecuted, requestArrived, notExecuted, (*Router).dispatch},
	{notExecuted, attemptNotExecuted, notExecuted, (*Router).continueAfterFailure},
	{notExecuted, attemptMayHaveExecuted, mayHaveExecuted, (*Router).continueAfterFailure},
	{notExecuted, attemptSlow, notExecuted, (*Router).hedge},
	{notExecuted, requestEnded, finished, (*Router).leaveAttemptsInFlight},
	{mayHaveExecuted, attemptNotExecuted, mayHaveExecuted, (*Router).continueAfterFailure},
	{mayHaveExecuted, attemptMayHaveExecuted, mayHaveExecuted, (*Router).continueAfterFailure},
	{mayHaveExecuted, attemptSlow, mayHaveExecuted, (*Router).hedge},
	{mayHaveExecuted, requestEnded, finished, (*Router).leaveAttemptsInFlight},
}

// RequestArrived accepts a request. The router owes it one final answer from now on, unless ClientGone comes first.
func (r *Router) RequestArrived(now Time, request *Request) {
	r.now, request.arrivedAt = now, now
	r.traffic.arrivals = appendBounded(r.traffic.arrivals, trafficEvent{at: now, class: request.Class}, keptFleetEvents)
	if tenant := request.Tenant; tenant != nil {
		tenant.arrivals = appendBounded(tenant.arrivals, trafficEvent{at: now, class: request.Class}, keptTenantEvents)
	}
	r.handleRequestEvent(request, requestArrived)
}

// ClientGone says that a request's client has gone: no answer is owed any more.
func (r *Router) ClientGone(now Time, request *Request) {
	r.now = now
	r.handleRequestEvent(request, requestEnded)
}

func (r *Router) handleRequestEvent(request *Request, event requestEvent) {
	for _, row := range requestTransitions {
		if row.state == request.state && row.event == event {
			request.state = row.next
			row.action(r, request)
			return
		}
	}
}

// dispatch makes the first attempts of a new request: at the baseline, with a shadow attempt at the canary beside it or,
// where two at once are not allowed, before it; or rejects it.
func (r *Router) dispatch(request *Request) {
	host := r.pickCanary(request)
	if host != nil && request.Class.Idempotency == Idempotent && r.limits.AllowHedging {
		if first := r.pickBaseline(request); first != nil && r.isBaseline(first) { // else both would go to the canary
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

// leaveAttemptsInFlight lets attempts of a finished request run to their end, as samples.
func (r *Router) leaveAttemptsInFlight(*Request) {}

// giveUp gives the final answer at once: a rejection where repeating the request is known to be harmless, else a failure.
func (r *Router) giveUp(request *Request) {
	const overloadPasses = Second / 2 // most overloads are over by then
	request.state = finished
	if request.firstAmbiguous != nil && !request.Class.repeatsSafely() {
		r.effects.Fail(request)
		return
	}
	r.effects.Reject(request, min(r.limits.MaxRetryAfter, overloadPasses))
}
