package policy

// checkRemotePath occasionally probes a random host in another zone while the path to other zones is degraded, so that no
// request is needed to detect that the path has recovered.
func (r *Router) checkRemotePath() {
	const reviewsPerCheck = 20 // with the reports of local peers, enough to detect that the path is degraded and that it recovers
	if !r.limits.HealthChecks || !r.crossesCheaply() || r.mergesZones() || r.random.intN(reviewsPerCheck) > 0 {
		return
	}
	if _, remote := r.splitByLocality(func(*Host) bool { return true }); len(remote) > 0 {
		r.effects.CheckHealth(remote[r.random.intN(len(remote))])
	}
}

// HealthChecked processes the result of a health check, which counts for the network path to the host's zone. load is the
// host's load report, or nil if it sent none.
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
