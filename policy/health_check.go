package policy

// checkRemotePath probes a host in another zone now and then while the path there is degraded, so that no request needs to
// try whether it still is.
func (r *Router) checkRemotePath() {
	const reviewsPerCheck = 20 // with the reports of local peers, enough to see that the path is degraded and that it recovers
	if !r.limits.HealthChecks || !r.crossesCheaply() || r.mergesZones() || r.random.intN(reviewsPerCheck) > 0 {
		return
	}
	if _, remote := r.splitByLocality(func(*Host) bool { return true }); len(remote) > 0 {
		r.effects.CheckHealth(remote[r.random.intN(len(remote))])
	}
}

// HealthChecked takes the result of a health check: of the network path and, by load, of the host; load is nil
// where it reported none.
func (r *Router) HealthChecked(now Time, host *Host, outcome Outcome, _ Time, load *LoadReport) {
	r.now = now
	path := healthStats{at: now, attempts: 1}
	if outcome != Succeeded {
		path.failures = 1
	}
	r.zones.paths[r.localityOf(host)].add(path)
	if load != nil {
		host.load, host.loadAt = load, now
	}
}
