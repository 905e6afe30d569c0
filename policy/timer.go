package policy

// reviewInterval is the time between two reviews of hosts, gossip and vote, a fraction of the shortest stage.
const reviewInterval = Second / 5

// Timer is a call of TimerFired that the router asked for by Effects.SetTimer: the regular review, a poll of the endpoint
// list or the look at an attempt that has become slow.
type Timer struct {
	attempt *Attempt // nil for the other kinds
	polls   bool
}

// TimerFired says that a timer's time has come. Each timer fires once.
func (r *Router) TimerFired(now Time, timer *Timer) {
	r.now = now
	switch {
	case timer.polls:
		r.discovery.lastPollAt = now
		r.effects.WatchEndpoints()
	case timer.attempt == nil:
		r.fitConcurrencyCost()
		r.reviewHealth()
		r.sendGossip()
		r.checkRemotePath()
		r.updateVote()
		r.effects.SetTimer(reviewInterval, timer)
	case timer.attempt.outcome == Pending && !timer.attempt.responseStarted:
		r.handleRequestEvent(timer.attempt.Request, attemptSlow)
	}
}
