package policy

import "slices"

// retryBudgetAllows reports whether the budget has room for one more attempt, so that a slow fleet is not given more work:
// a share of the last requests, and a few beyond it for a fleet of few routers, as each of hundreds would add them.
func (r *Router) retryBudgetAllows(class *Class) bool {
	const window = 5 * Second
	const requestsPerRetry, few = 8, 4
	const routersWithFew = 4.0
	const overloaded = 3 // times the usual latency: for want of hosts, not by chance
	allowed := few*min(1, routersWithFew/float64(r.routers)) +
		countSince(r.traffic.arrivals, r.now-window, nil)/requestsPerRetry
	return r.leastExpectedSlowdown(class) < overloaded && countSince(r.traffic.retries, r.now-window, nil) < allowed
}

// retry sends a request once more where that is allowed, within the budget and can still be in time; it reports whether it
// did. What follows a shadow attempt that went first, or an attempt that this router cut short, needs no budget now: that
// was checked when the earlier one was sent.
func (r *Router) retry(request *Request) bool {
	left := request.arrivedAt + request.Timeout - r.now
	last := request.Attempts[len(request.Attempts)-1]
	budgeted := last.role == shadowFirstAttempt || last.outcome == TimedOut && !r.limits.AllowHedging
	if len(request.Attempts) >= r.limits.MaxAttempts || left <= request.Class.usualLatency/2 ||
		!budgeted && !r.retryBudgetAllows(request.Class) {
		return false
	}
	host := r.pickBaseline(request)
	if host == nil {
		return false
	}
	if last.role != shadowFirstAttempt {
		r.traffic.retries = appendBounded(r.traffic.retries, trafficEvent{at: r.now, class: request.Class}, keptRetryEvents)
	}
	r.send(request, host, retryAttempt)
	return true
}

// continueAfterFailure follows a failed attempt: by a retry, by waiting for an attempt in flight, or by the final answer.
func (r *Router) continueAfterFailure(request *Request) {
	pending := func(attempt *Attempt) bool { return attempt.outcome == Pending }
	pendingNoShadow := func(attempt *Attempt) bool { return attempt.outcome == Pending && attempt.role != shadowAttempt }
	if !slices.ContainsFunc(request.Attempts, pendingNoShadow) && !r.retry(request) &&
		!slices.ContainsFunc(request.Attempts, pending) {
		r.giveUp(request)
	}
}

// hedge sends a second attempt of a request whose attempt takes unusually long. The first one may have been executed.
func (r *Router) hedge(request *Request) {
	if request.firstAmbiguous == nil {
		request.firstAmbiguous = request.Attempts[0]
	}
	r.retry(request)
}
