package policy

import (
	"slices"
)

// retryBudgetAllows tells whether the budget has room for a further send, so that a slow fleet is not given more work.
// The few beyond the share are for a fleet of few routers: each of hundreds would add them.
func (r *Router) retryBudgetAllows(class *Class) bool {
	const over, few, oneIn = 5 * Second, 4, 8 // one for every eight tasks taken lately, and a few
	const alone = 4.0                         // routers that each may have them
	const full = 3                            // times longer than usual: for want of hosts, not by bad luck
	owed := few*min(1, alone/float64(r.routers)) + countSince(r.traffic.arrivals, r.now-over, nil)/oneIn
	return r.leastExpectedSlowdown(class) < full && countSince(r.traffic.retries, r.now-over, nil) < owed
}

// retry sends a task once more where that is allowed, affordable and can still be in time. What follows a lone
// copy, or a send that this router cut short, no budget holds back: it was asked when that one was sent.
func (r *Router) retry(request *Request) bool {
	left := request.arrivedAt + request.Timeout - r.now
	last := request.Attempts[len(request.Attempts)-1]
	first := last.role == shadowFirstAttempt || last.outcome == TimedOut && !r.limits.AllowHedging // this router cut it short
	if len(request.Attempts) >= r.limits.MaxAttempts || left <= request.Class.usualLatency/2 || !first && !r.retryBudgetAllows(request.Class) {
		return false
	}
	host := r.pickBaseline(request)
	if host == nil {
		return false
	}
	if last.role != shadowFirstAttempt {
		r.traffic.retries = appendBounded(r.traffic.retries, trafficEvent{at: r.now, class: request.Class}, 2048)
	}
	r.send(request, host, retryAttempt)
	return true
}

// continueAfterFailure answers a failed send: with a further one, with waiting for one still out, or with the final answer.
func (r *Router) continueAfterFailure(request *Request) {
	out := func(attempt *Attempt) bool { return attempt.outcome == Pending }
	main := func(attempt *Attempt) bool { return attempt.outcome == Pending && attempt.role != shadowAttempt }
	if !slices.ContainsFunc(request.Attempts, main) && !r.retry(request) && !slices.ContainsFunc(request.Attempts, out) {
		r.giveUp(request)
	}
}

// hedge sends a second copy of a task that takes unusually long.
func (r *Router) hedge(request *Request) {
	if request.firstAmbiguous == nil {
		request.firstAmbiguous = request.Attempts[0] // still out, it may have run
	}
	r.retry(request)
}
