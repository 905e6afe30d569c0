package policy

// pickCanary picks a host for a shadow attempt, or returns nil if none is allowed or due. A canary host is due as many
// attempts as a baseline host of the same capacity gets, so that a build that fails under load does so before the
// release. Requests of classes that are not idempotent are sent only after the first stages: a share of them until the
// class has been judged, and all of them if the expected harm costs less than a longer release.
func (r *Router) pickCanary(request *Request) *Host {
	const window = 2 * Second                // window in which attempts are counted
	const minOfRouter, minOfFleet = 2.0, 8.0 // minimum number of shadow attempts due in the window: of one router, and of all routers together
	status, class := &r.release.status, request.Class
	if !r.shadowsAllowed(class) {
		return nil
	}
	merged := r.mergesZones()
	reachable := func(host *Host) bool { return merged || r.localityOf(host) == localZone }
	onCanary := func(host *Host) bool { return r.release.runsNewestBuild(host) && reachable(host) }
	notEjected := func(host *Host) bool { return onCanary(host) && host.health != ejected }
	// The release controller's statistics don't distinguish failures of an ejected host from failures of the build.
	skipEjected := r.statsOutweighOwn() && r.countHosts(notEjected) > 0
	candidate := func(host *Host) bool { return onCanary(host) && (!skipEjected || host.health != ejected) }
	// Where requests cross zones, local hosts alone don't show how many attempts a host gets.
	peer := func(host *Host) bool { return r.isBaseline(host) && (reachable(host) || r.crossesCheaply()) }

	arrivals := countSince(r.traffic.arrivals, r.now-window, nil)
	perCapacity := arrivals / max(1, r.totalCapacity(peer))
	due := max(min(minOfRouter, minOfFleet/float64(r.routers)), perCapacity*r.totalCapacity(candidate))
	if !r.acceptsHarm(class) {
		return nil
	}
	if due >= minOfRouter {
		due -= countSince(r.traffic.canaryAttempts, r.now-window, nil) + 1
	} else { // too few for one router to count: decided at random, so that not all routers send one at once
		due = due/max(1, arrivals) - float64(r.random.intN(1000))/1000
	}
	if due < 0 || class.Idempotency != Idempotent && status.Stage == 0 {
		return nil
	}
	maxLoad := r.typicalLoad() + 1 // a queue that shadow attempts cause is not the build's fault
	return r.pickHost(request, func(host *Host) bool {
		return candidate(host) && (host.health != ejected || class.Idempotency == Idempotent) && r.hostLoad(host) <= maxLoad &&
			countSince(host.attempts, r.now-window, nil) < max(1, perCapacity*r.capacity(host)) // warm hosts don't get what cold hosts can't serve
	})
}

// shadowsAllowed reports whether a request of the class may go to the canary at all. This router's own vote to roll back
// stops shadow attempts only if that vote alone decides: otherwise other routers may disagree, and more attempts may
// change the vote.
func (r *Router) shadowsAllowed(class *Class) bool {
	decidesRollback := r.vote.choice == Rollback && r.release.config.RollbackQuorum <= 1
	return r.release.known && r.release.status.Phase == Canary && !decidesRollback && !r.shadowsPaused() &&
		r.withinExposure(r.release.status.Build, class)
}

// acceptsHarm reports whether a shadow attempt of the class is worth its expected harm. It is always true for
// idempotent classes, and for other classes if the harm costs less than a longer release. If the harm costs more, it is
// true for a random share of the requests until the class has been judged.
func (r *Router) acceptsHarm(class *Class) bool {
	const judgedGood, judgedBad = 0.1, 10.0 // a class has been judged below and above these odds that the canary fails it
	const failureRate = 0.3                 // approximate failure rate of a class at a bad build
	const unjudgedShare = 0.25              // share of the requests accepted until the class has been judged
	harm := r.release.config.HarmPrice * failureRate * class.failureOdds
	if class.Idempotency != Idempotent && harm >= r.release.config.DelayPrice {
		judged := class.failureOdds < judgedGood || class.failureOdds > judgedBad
		return !judged && r.random.chance(1000*unjudgedShare)
	}
	return true
}

// shadowsPaused reports whether shadow attempts are paused because the fleet's latency has risen since the canary was
// offered.
func (r *Router) shadowsPaused() bool {
	return r.surge.state == surgePaused || r.surge.state == surgeProven
}
