package policy

// pickCanary picks a host for a shadow attempt, or nil where none is allowed or due. A canary host is due what a baseline
// host gets, by capacity: one that fails under load must do so before the release. Classes that are not idempotent follow
// after the first stages: a few requests until the class has been judged, then all whose likely harm costs less than a
// longer release does.
func (r *Router) pickCanary(request *Request) *Host {
	const window = 2 * Second                // that attempts are counted over
	const minOfRouter, minOfFleet = 2.0, 8.0 // shadow attempts in the window
	status, class := &r.release.status, request.Class
	if !r.shadowsAllowed(class) {
		return nil
	}
	merged := r.mergesZones()
	reachable := func(host *Host) bool { return merged || r.localityOf(host) == localZone }
	onCanary := func(host *Host) bool { return r.release.runsNewestBuild(host) && reachable(host) }
	notEjected := func(host *Host) bool { return onCanary(host) && host.health != ejected }
	// The release controller's statistics don't separate an ejected host's failures from the build's.
	skipEjected := r.statsOutweighOwn() && r.countHosts(notEjected) > 0
	candidate := func(host *Host) bool { return onCanary(host) && (!skipEjected || host.health != ejected) }
	// Where requests cross zones, local hosts say little of what a host gets.
	peer := func(host *Host) bool { return r.isBaseline(host) && (reachable(host) || r.crossesCheaply()) }

	arrivals := countSince(r.traffic.arrivals, r.now-window, nil)
	perCapacity := arrivals / max(1, r.totalCapacity(peer))
	due := max(min(minOfRouter, minOfFleet/float64(r.routers)), perCapacity*r.totalCapacity(candidate))
	if !r.acceptsHarm(class) {
		return nil
	}
	if due >= minOfRouter {
		due -= countSince(r.traffic.canaryAttempts, r.now-window, nil) + 1
	} else { // less than a router can count: by chance, lest all of them send at once
		due = due/max(1, arrivals) - float64(r.random.intN(1000))/1000
	}
	if due < 0 || class.Idempotency != Idempotent && status.Stage == 0 {
		return nil
	}
	maxLoad := r.typicalLoad() + 1 // a queue that shadow attempts make is not the build's fault
	return r.pickHost(request, func(host *Host) bool {
		return candidate(host) && (host.health != ejected || class.Idempotency == Idempotent) && r.hostLoad(host) <= maxLoad &&
			countSince(host.attempts, r.now-window, nil) < max(1, perCapacity*r.capacity(host)) // not what cold hosts can't take
	})
}

// shadowsAllowed reports whether a request of the class may go to the canary at all. An own vote to roll back ends that only
// where it decides: others may not agree, and more attempts may change the vote.
func (r *Router) shadowsAllowed(class *Class) bool {
	decidesRollback := r.vote.choice == Rollback && r.release.config.RollbackQuorum <= 1
	return r.release.known && r.release.status.Phase == Canary && !decidesRollback && !r.shadowsPaused() &&
		r.withinExposure(r.release.status.Build, class)
}

// acceptsHarm reports whether an attempt of the class at the canary costs less, by its likely harm, than it is worth: always
// for idempotent classes; by chance while the class is neither cleared nor convicted.
func (r *Router) acceptsHarm(class *Class) bool {
	const cleared, convicted = 0.1, 10.0 // odds that the canary fails the class
	const failureRate = 0.3              // of a class at a bad build, roughly
	const unjudgedShare = 0.25           // of the requests, while the class is not judged
	harm := r.release.config.HarmPrice * failureRate * class.failureOdds
	if class.Idempotency != Idempotent && harm >= r.release.config.DelayPrice {
		judged := class.failureOdds < cleared || class.failureOdds > convicted
		return !judged && r.random.chance(1000*unjudgedShare)
	}
	return true
}

// shadowsPaused reports whether shadow attempts pause, as the fleet's latency has risen since the canary was offered.
func (r *Router) shadowsPaused() bool {
	return r.surge.state == surgePaused || r.surge.state == surgeProven
}
