package policy

// Idempotency is the effect of executing a request twice.
type Idempotency int

// Kinds of idempotency; their values are stored.
const (
	Idempotent        Idempotency = iota // the second execution changes nothing
	IdempotentWithKey                    // hosts that share their idempotency keys drop a repeat within the dedup window
	NonIdempotent                        // the second execution does harm; the request must never be executed twice
)

// DedupScope is the set of hosts that share their idempotency keys.
type DedupScope int

// Scopes of deduplication; their values are stored.
const (
	FleetScope DedupScope = iota
	ZoneScope
	CellScope
)

// Class is a kind of request. Its exported fields are set before the Router starts and don't change afterwards.
type Class struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Time // time for which hosts remember an idempotency key
	LatencyObjective Time // a response within it has the request's full value
	PriorityWeight   float64
	LateValueShare   float64 // value of a response later than LatencyObjective, as a share of its full value

	latencies    []Time    // latencies of the last successes at the baseline
	serviceTimes []float64 // the same latencies without the part added by concurrent requests at the host
	usualLatency Time      // usual latency at a host with no other request in flight

	baselineLatency Time    // usualLatency when the canary was announced
	failureOdds     float64 // odds that the canary fails this class

	inFlight  int            // attempts in flight at healthy hosts, as of the last countInFlight
	ownStats  admissionStats // recent attempts of this router
	peerStats admissionStats // recent attempts of peers, received by gossip
}

// repeatsSafely reports whether a second execution does no harm on any host.
func (c *Class) repeatsSafely() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == FleetScope
}

// Tenant is the party that requests are made for.
type Tenant struct {
	QuotaPerSecond float64 // number of requests per second, over all routers, that have their full value

	arrivals []trafficEvent
}

// Request is a client's request that the router has accepted. The router must give it exactly one final response.
type Request struct {
	Class        *Class
	Tenant       *Tenant // nil if the deployment has no tenants
	Key          string  // identifies what the request concerns, for sticky builds; empty if the request has no key
	Timeout      Time    // time from its arrival for which the client waits for the final response
	ExpectedWork Time    // announced by the client; 0 if unknown
	ClientRetry  bool    // whether the client has announced that it retries on its own
	Client       uint64  // number of the client's connection; 0 if unknown

	Attempts []*Attempt // in the order in which they were sent

	arrivedAt      Time
	state          requestState
	firstAmbiguous *Attempt // earliest attempt that may have been executed and has not succeeded

	countsForClient bool // whether it is counted in clientShares
}

// Answered reports whether the request has its final response or its client has stopped waiting.
func (r *Request) Answered() bool { return r.state == finished }

// ArrivedAt returns when the request arrived.
func (r *Request) ArrivedAt() Time { return r.arrivedAt }

// requestState is what is known about the execution of a request:
//
//	state            event                    next             action
//	notExecuted      requestArrived           notExecuted      first attempts, or rejection
//	notExecuted      attemptNotExecuted       notExecuted      retry, wait or final response
//	notExecuted      attemptMayHaveExecuted   mayHaveExecuted  retry, wait or final response
//	notExecuted      attemptSlow              notExecuted      hedged attempt
//	mayHaveExecuted  attemptNotExecuted       mayHaveExecuted  retry, wait or final response
//	mayHaveExecuted  attemptMayHaveExecuted   mayHaveExecuted  retry, wait or final response
//	mayHaveExecuted  attemptSlow              mayHaveExecuted  hedged attempt
//	either           requestEnded             finished         none
//
// Any other pair changes nothing.
type requestState int

const (
	notExecuted     requestState = iota // none of the ended attempts may have been executed
	mayHaveExecuted                     // at least one of the ended attempts may have been executed
	finished
)

type requestEvent int

const (
	requestArrived requestEvent = iota
	attemptNotExecuted
	attemptMayHaveExecuted
	attemptSlow  // an attempt has been in flight for longer than usual
	requestEnded // the request has its final response, or the client has stopped waiting
)

// requestTransition is a row of the table that is documented at requestState.
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

// RequestArrived accepts a request. The router gives it exactly one final response, unless ClientDisconnected is called
// first.
func (r *Router) RequestArrived(now Time, request *Request) {
	r.now, request.arrivedAt = now, now
	r.traffic.arrivals = appendBounded(r.traffic.arrivals, trafficEvent{at: now, class: request.Class}, keptFleetEvents)
	if tenant := request.Tenant; tenant != nil {
		tenant.arrivals = appendBounded(tenant.arrivals, trafficEvent{at: now, class: request.Class}, keptTenantEvents)
	}
	if r.shutdown.started {
		r.shutdown.requests = append(r.shutdown.requests, request)
	}
	if request.Client != 0 {
		r.clients.requestArrived(request.Client, now)
	}
	r.handleRequestEvent(request, requestArrived)
	r.startClientRequest(request)
}

// ClientDisconnected records that the client of a request has stopped waiting: the request needs no response any more.
func (r *Router) ClientDisconnected(now Time, request *Request) {
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

// dispatch starts the first attempts of a new request, or rejects it. The primary attempt goes to the baseline. A
// shadow attempt goes to the canary: alongside the primary attempt or, if the class is not idempotent or two attempts
// at once are not allowed, before it. If no shadow attempt is due, the first attempt may go to an ejected host instead.
// A primary attempt after such a first attempt is sent only if the first one fails.
func (r *Router) dispatch(request *Request) {
	if r.exceedsClientShare(request) {
		r.giveUp(request)
		return
	}
	host := r.pickCanary(request)
	if host != nil && request.Class.Idempotency == Idempotent && r.limits.AllowHedging {
		if first := r.pickBaseline(request); first != nil && r.isBaseline(first) { // otherwise both attempts would go to the canary
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

// leaveAttemptsInFlight leaves the attempts of a finished request to run to their end and count as samples.
func (r *Router) leaveAttemptsInFlight(request *Request) { r.endClientRequest(request) }

// giveUp gives the final response at once: a rejection if repeating the request is known to be harmless, otherwise a
// failure. At the end of a shutdown, a request that may have been executed fails in any case.
func (r *Router) giveUp(request *Request) {
	const overloadDuration = Second / 2 // most overloads end within this time
	request.state = finished
	r.endClientRequest(request)
	if request.firstAmbiguous != nil && (!request.Class.repeatsSafely() || r.isShutdownOver()) {
		r.effects.Fail(request)
		return
	}
	r.effects.Reject(request, min(r.limits.MaxRetryAfter, overloadDuration))
}
