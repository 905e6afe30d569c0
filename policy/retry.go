package policy

import "slices"

// retryBudgetAllows reports whether the retry budget allows one more attempt; the budget keeps retries from adding work
// to a slow fleet. It is a share of the recent requests plus a few retries. This number of extra retries is reduced in
// a fleet of many routers, because each router adds it.
func (r *Router) retryBudgetAllows(class *Class) bool {
	const window = 5 * Second
	const requestsPerRetry, extraRetries = 8, 4
	const routersWithExtra = 4.0
	const overloadSlowdown = 3 // multiple of the usual latency from which the cause is a lack of hosts, not chance
	allowed := extraRetries*min(1, routersWithExtra/float64(r.routers)) +
		countSince(r.traffic.arrivals, r.now-window, nil)/requestsPerRetry
	return r.leastExpectedSlowdown(class) < overloadSlowdown && countSince(r.traffic.retries, r.now-window, nil) < allowed
}

// retry sends another attempt of a request if the number of attempts and the retry budget allow it, a host is available
// and the response can still be in time. It reports whether it sent one. The budget doesn't apply after a shadow
// attempt that was sent first, because the primary attempt follows it. Nor does it apply after an attempt that timed
// out where hedging is not allowed, because the budget was checked when that attempt was sent with a shortened
// timeout.
func (r *Router) retry(request *Request) bool {
	remaining := r.deadline(request) - r.now
	last := request.Attempts[len(request.Attempts)-1]
	budgeted := last.role == shadowFirstAttempt || last.outcome == TimedOut && !r.limits.AllowHedging
	if len(request.Attempts) >= r.limits.MaxAttempts || remaining <= request.Class.usualLatency/2 ||
		!budgeted && !r.retryBudgetAllows(request.Class) {
		return false
	}
	host := r.pickBaseline(request)
	if host == nil {
		return false
	}
	countsAsRetry := last.role != shadowFirstAttempt
	if countsAsRetry {
		r.traffic.retries = appendBounded(r.traffic.retries, trafficEvent{at: r.now, class: request.Class}, keptRetryEvents)
	}
	r.send(request, host, retryAttempt).countsAsRetry = countsAsRetry
	return true
}

// continueAfterFailure decides what follows a failed attempt: a retry, waiting for an attempt in flight, or the final
// response. A retry does not wait for a shadow attempt, unless two attempts at once are not allowed.
func (r *Router) continueAfterFailure(request *Request) {
	pending := func(attempt *Attempt) bool { return attempt.outcome == Pending }
	precedesRetry := func(attempt *Attempt) bool {
		return attempt.outcome == Pending && (attempt.role != shadowAttempt || !r.limits.AllowHedging)
	}
	if !slices.ContainsFunc(request.Attempts, precedesRetry) && !r.retry(request) &&
		!slices.ContainsFunc(request.Attempts, pending) {
		r.giveUp(request)
	}
}

// hedge sends a second attempt of a request whose first attempt takes unusually long. The first attempt may have been
// executed.
func (r *Router) hedge(request *Request) {
	if request.firstAmbiguous == nil {
		request.firstAmbiguous = request.Attempts[0]
	}
	r.retry(request)
}
