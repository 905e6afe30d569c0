package policy

// pickCanary picks a host for a copy, or nil where one is not allowed or not wanted. A host on trial is given
// what one of the earlier build gets, by what it can do: one that fails under load must do so before the
// release, and what a good build serves early is worth its delay. Categories with an effect follow after
// the first stages, a few until they have been judged, and then all whose likely harm costs less than the
// delay of the rest.
func (r *Router) pickCanary(request *Request) *Host {
	const taste = 0.25                          // of what earlier hosts get, effects not yet judged
	const cleared, guilty, fails = 0.1, 10, 0.3 // odds; what a bad build fails of a category, more or less
	const lately, least, all = 2 * Second, 2, 8 // a while, copies in it of each router at the least, and of all
	n, class := r.release.status, request.Class
	alone := r.vote.choice == Rollback && r.release.config.RollbackQuorum <= 1 // others may not agree, and more copies change a mind
	if !r.release.known || n.Phase != Canary || alone || r.shadowsPaused() || !r.withinExposure(n.Build, class) {
		return nil
	}
	both := r.mergesZones()
	by := func(host *Host) bool { return both || r.localityOf(host) == localZone }
	here := func(host *Host) bool { return r.release.runsNewestBuild(host) && by(host) }
	on := here
	if well := func(host *Host) bool { return here(host) && host.health != ejected }; r.statsOutweighOwn() && r.countHosts(well) > 0 {
		on = well // the desk tells no host from a build: a sick one's failures would be the build's
	}
	// Where others cross, those nearby alone say little of what a host gets.
	peer := func(host *Host) bool { return r.isBaseline(host) && (by(host) || r.crossesCheaply()) }
	each := countSince(r.traffic.arrivals, r.now-lately, nil) / max(1, r.totalCapacity(peer))
	due := max(min(least, all/float64(r.routers)), each*r.totalCapacity(on))
	if class.Idempotency != Idempotent && r.release.config.HarmPrice*fails*class.failureOdds >= r.release.config.DelayPrice {
		if class.failureOdds < cleared || class.failureOdds > guilty || float64(r.random.intN(1000)) >= 1000*taste {
			return nil
		}
	}
	if due >= least {
		due -= countSince(r.traffic.canaryAttempts, r.now-lately, nil) + 1
	} else { // less than a router can count: by chance, lest all of them send at once
		due = due/max(1, countSince(r.traffic.arrivals, r.now-lately, nil)) - float64(r.random.intN(1000))/1000
	}
	if due < 0 || class.Idempotency != Idempotent && n.Stage == 0 {
		return nil
	}
	most := r.typicalLoad() + 1                        // tasks: a line that copies make is no build's fault
	return r.pickHost(request, func(host *Host) bool { // a sick one is judged too, but not at the cost of an effect
		return on(host) && (host.health != ejected || class.Idempotency == Idempotent) && r.hostLoad(host) <= most &&
			countSince(host.attempts, r.now-lately, nil) < max(1, each*r.capacity(host)) // not what others are too cold for
	})
}

// shadowsPaused tells whether copies rest, as the fleet has slowed during the trial.
func (r *Router) shadowsPaused() bool {
	return r.surge.state == surgePaused || r.surge.state == surgeProven
}
