package policy

// checkRemotePath probes a host far away now and then while the way there is poor, so that no task need try whether
// it still is; what comes of it is told like a send.
func (r *Router) checkRemotePath() {
	const oneIn = 20 // looks: with what those nearby tell, enough to keep the way shut and to find it open
	if !r.limits.HealthChecks || !r.crossesCheaply() || r.mergesZones() || r.random.intN(oneIn) > 0 {
		return
	}
	if _, there := r.splitByLocality(func(*Host) bool { return true }); len(there) > 0 { // sick ones too
		r.effects.CheckHealth(there[r.random.intN(len(there))])
	}
}

// HealthChecked takes in what a probe found: of the way, and what the host reports.
func (r *Router) HealthChecked(now Time, host *Host, outcome Outcome, _ Time, load *LoadReport) {
	r.now = now
	way := healthStats{at: now, attempts: 1}
	if outcome != Succeeded {
		way.failures = 1
	}
	r.zones.paths[r.localityOf(host)].add(way)
	if load != nil {
		host.load, host.loadAt = load, now
	}
}
