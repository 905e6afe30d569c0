package policy

// reviewInterval is the time between two reviews of host health, gossip and the vote. It is a fraction of the shortest
// stage.
const reviewInterval = Second / 5

// Timer is a timer that the router set through Effects.SetTimer: for the regular review, for a poll of the endpoint
// list, to check whether an attempt has become slow or for a step of a shutdown.
type Timer struct {
	attempt  *Attempt // attempt to check; nil for the other kinds
	polls    bool     // whether the timer is for a poll of the endpoint list
	shutdown shutdownStep
}

// TimerFired handles a timer whose delay has passed. Each timer fires once.
func (r *Router) TimerFired(now Time, timer *Timer) {
	r.now = now
	switch {
	case timer.shutdown != noShutdownStep:
		r.shutdownTimerFired(timer.shutdown)
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
	case timer.attempt.outcome == Pending && !timer.attempt.responseStarted && r.limits.AllowHedging: // allowed when the timer was set
		r.handleRequestEvent(timer.attempt.Request, attemptSlow)
	}
}
