package policy

import "slices"

// Outcome is how an attempt ended.
type Outcome int

// Outcomes; their values are stored.
const (
	Pending        Outcome = iota // still in flight
	Succeeded                     // the host gave a successful response
	Failed                        // the host gave an error response; the request may have been executed
	Rejected                      // the host rejected the attempt before executing it
	TimedOut                      // no response in time; the request may have been executed
	ConnectFailed                 // no connection in time; the request was not executed
	ConnectionLost                // the connection dropped; the request may have been executed
	Canceled                      // the router stopped waiting; the request may have been executed
	NotSent                       // the attempt never left the router
	Revoked                       // the attempt never left the router, because what it was decided on had changed
)

// MayHaveRun reports whether the host may have executed an attempt with this outcome.
func (o Outcome) MayHaveRun() bool {
	return o != Rejected && o != ConnectFailed && o != NotSent && o != Revoked
}

// Attempt is one attempt to have a host execute a request.
type Attempt struct {
	Request *Request
	Host    *Host

	outcome         Outcome
	role            attemptRole
	sentAt          Time
	build           int     // build that the host ran when the attempt started
	hostStartedAt   Time    // when the host process that the attempt was sent to had started
	hostLoad        float64 // estimated number of requests in flight at the host when the attempt started
	shadowTimeout   Time    // timeout of a shadow attempt that is sent before its primary attempt
	responseStarted bool
	history         *[]trafficEvent // the list of trafficHistory that contains its start
	countsAsRetry   bool            // counts against the retry budget
}

// IsShadow reports whether the attempt was sent alongside the primary attempt or before it, to judge the canary or to
// detect that an ejected host has recovered.
func (a *Attempt) IsShadow() bool { return a.role == shadowAttempt || a.role == shadowFirstAttempt }

type attemptRole int

const (
	primaryAttempt     attemptRole = iota
	shadowAttempt                  // at the canary, alongside the primary attempt
	shadowFirstAttempt             // before the primary attempt: at an ejected host, or at the canary if shadowAttempt is not allowed
	retryAttempt                   // a retry or a hedged attempt
)

// send starts an attempt with its timeout. Where hedging is allowed, it also sets the timer after which the attempt
// counts as slow and is hedged.
func (r *Router) send(request *Request, host *Host, role attemptRole) *Attempt {
	class := request.Class
	attempt := r.startAttempt(request, host, role)
	timeout := r.deadline(request) - r.now
	slowAfter := class.slowAfter()
	attempt.shadowTimeout = min(timeout, Time(float64(max(slowAfter, class.LatencyObjective/3))/r.capacityFactor(host)))
	switch {
	case !class.repeatsSafely():
	case r.limits.AllowHedging && role != shadowAttempt:
		r.effects.SetTimer(slowAfter, &Timer{attempt: attempt})
	case r.limits.AllowHedging || len(request.Attempts) >= r.limits.MaxAttempts:
	case role == shadowFirstAttempt: // leaves time for the primary attempt; a cold host is slow and gets a longer timeout
		timeout = attempt.shadowTimeout
	case request.arrivedAt+class.LatencyObjective-r.now-class.usualLatency > slowAfter && r.retryBudgetAllows(class):
		timeout = min(timeout, slowAfter)
	}
	r.effects.Send(attempt, timeout)
	return attempt
}

// slowAfter is the age at which an attempt counts as slow: longer than 19 in 20 of the last successes took, with some
// slack.
func (c *Class) slowAfter() Time {
	const minLatencies, tail = 40, 0.05 // fewer latencies don't show the tail of their distribution
	slowest := c.LatencyObjective / 2
	if len(c.latencies) >= minLatencies {
		slowest = upperQuantile(c.latencies, tail)
	}
	return max(slowest*3/2, c.usualLatency*2)
}

// startAttempt creates an attempt and records it at its request and host and in the traffic history.
func (r *Router) startAttempt(request *Request, host *Host, role attemptRole) *Attempt {
	attempt := &Attempt{Request: request, Host: host, role: role, sentAt: r.now, build: host.Build,
		hostStartedAt: host.StartedAt, hostLoad: r.hostLoad(host)}
	request.Attempts, host.inFlight = append(request.Attempts, attempt), append(host.inFlight, attempt)
	if host.health == healthy && r.isBaseline(host) {
		r.fleet.inFlight[r.localityOf(host)]++
	}
	event := trafficEvent{at: r.now, class: request.Class}
	host.attempts = appendBounded(host.attempts, event, keptHostEvents)
	attempt.history = &r.traffic.canaryAttempts
	if r.isBaseline(host) {
		attempt.history = &r.traffic.baselineAttempts
	}
	*attempt.history = appendBounded(*attempt.history, event, keptFleetEvents)
	return attempt
}

// ResponseStarted records that the first byte of an attempt's response has arrived: the attempt is no longer hedged.
func (r *Router) ResponseStarted(now Time, attempt *Attempt) {
	r.now, attempt.responseStarted = now, true
}

// AttemptEnded records how an attempt ended and how long it took. done is true if the request is complete, through this
// attempt or an earlier one. load is the load report that came with the response, or nil.
func (r *Router) AttemptEnded(now Time, attempt *Attempt, outcome Outcome, latency Time, done bool, load *LoadReport) {
	request := attempt.Request
	r.now = now
	if outcome == Revoked {
		r.undoStart(attempt)
	} else {
		r.finishAttempt(attempt, outcome, load)
		r.recordOutcome(attempt, latency)
	}
	event := attemptMayHaveExecuted
	switch {
	case done || outcome == Succeeded:
		event = requestEnded
	case !outcome.MayHaveRun():
		event = attemptNotExecuted
	case request.firstAmbiguous == nil || attempt.sentAt < request.firstAmbiguous.sentAt:
		request.firstAmbiguous = attempt
	}
	if outcome == Succeeded && r.release.config.StickyKeys && request.Key != "" &&
		attempt.build >= r.release.status.Build && r.twoBuildsServe() {
		r.release.stickyBuilds[request.Key] = attempt.build
	}
	r.handleRequestEvent(request, event)
}

// twoBuildsServe reports whether a sticky key could move from one build to another.
func (r *Router) twoBuildsServe() bool {
	fleet := r.snapshot()
	return r.release.status.Phase == Canary || fleet.newestBaselineHosts < fleet.baselineHosts
}

// finishAttempt records the end of an attempt at its host and class and in the traffic history.
func (r *Router) finishAttempt(attempt *Attempt, outcome Outcome, load *LoadReport) {
	host, class := attempt.Host, attempt.Request.Class
	attempt.outcome = outcome
	if outcome == Succeeded {
		class.ownStats.add(admissionStats{at: r.now, usualLatency: float64(class.usualLatency), latency: float64(r.now - attempt.sentAt)})
	}
	counts := r.removeInFlight(attempt)
	if load != nil {
		if host.load, host.loadAt = load, r.now; load.ActiveRequests >= 0 {
			r.load.reported = appendBounded(r.load.reported, load.ActiveRequests, keptLoadReports)
		}
	}
	if host.connectedAt = r.now; outcome == ConnectFailed {
		host.connectedAt = 0
	}
	event := trafficEvent{at: r.now, class: class, locality: r.localityOf(host), outcome: outcome,
		late: r.now-attempt.Request.arrivedAt > class.LatencyObjective}
	if outcome == Succeeded {
		event.usualLatency = class.usualLatency
	}
	if counts {
		event.latency = r.now - attempt.sentAt
	}
	r.recordEnd(event)
}

// removeInFlight removes an attempt from those in flight at its host. It reports whether the host is a healthy baseline host.
func (r *Router) removeInFlight(attempt *Attempt) (isHealthyBaseline bool) {
	host := attempt.Host
	before := len(host.inFlight)
	host.inFlight = slices.DeleteFunc(host.inFlight, func(x *Attempt) bool { return x == attempt })
	isHealthyBaseline = host.health == healthy && r.isBaseline(host)
	if isHealthyBaseline {
		r.fleet.inFlight[r.localityOf(host)] -= before - len(host.inFlight)
	}
	return isHealthyBaseline
}

// undoStart undoes startAttempt for an attempt that was revoked. It is no evidence about its host, the path to it or
// its build, and does not count against the retry budget.
func (r *Router) undoStart(attempt *Attempt) {
	host, class := attempt.Host, attempt.Request.Class
	attempt.outcome = Revoked
	r.removeInFlight(attempt)
	host.attempts = withoutEvent(host.attempts, attempt.sentAt, class)
	*attempt.history = withoutEvent(*attempt.history, attempt.sentAt, class)
	if attempt.countsAsRetry {
		r.traffic.retries = withoutEvent(r.traffic.retries, attempt.sentAt, class)
	}
}

// recordEnd adds the end of an attempt to the traffic history, to the state of its network path and to the completed
// work.
func (r *Router) recordEnd(event trafficEvent) {
	path := healthStats{at: r.now, attempts: 1}
	if event.late || event.outcome == TimedOut || event.outcome == ConnectFailed || event.outcome == ConnectionLost {
		path.failures = 1
	}
	r.zones.paths[event.locality].add(path)
	before := len(r.traffic.ended)
	r.traffic.ended = appendBounded(r.traffic.ended, event, keptEndedEvents)
	r.traffic.endedBase += before + 1 - len(r.traffic.ended)
	if event.usualLatency > 0 {
		r.admission.completed[event.locality].responses.add(countedResponse{
			sequence: r.traffic.endedBase + len(r.traffic.ended) - 1, at: event.at,
			usualLatency: event.usualLatency, latency: event.latency})
	}
}
