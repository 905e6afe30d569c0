package policy

// Timer is a call that the router asked for.
type Timer struct {
	attempt *Attempt
	polls   bool
}

// TimerFired rings an alarm: of a send that takes long, of the list, or of the regular look at the build on trial.
func (r *Router) TimerFired(now Time, a *Timer) {
	r.now = now
	switch {
	case a.polls:
		r.discovery.lastPollAt = now
		r.effects.WatchEndpoints()
	case a.attempt == nil:
		r.fitConcurrencyCost(40, 6, 0.02, 1.5) // few sends make no line, and one very long task says little
		r.reviewHealth()
		r.sendGossip()
		r.checkRemotePath()
		r.updateVote()
		r.effects.SetTimer(reviewInterval, a)
	case a.attempt.outcome == Pending && !a.attempt.responseStarted:
		r.handleRequestEvent(a.attempt.Request, attemptSlow)
	}
}
