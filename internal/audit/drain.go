package audit

// judgeDrain checks that an attempt does not reach a backend that the router has known to be draining or removed for
// longer than the grace period.
func (ev *evaluation) judgeDrain(r *routerState, e *event) {
	ev.verdicts[RuleDrain].Checked++
	since, draining := r.drainingSince[e.host.ID]
	if draining && e.at > since+ev.limits.DrainGrace+ev.limits.TransitTime {
		ev.report(RuleDrain, since, e.at, "router %s sent an attempt to host %d %v after it was notified that the host drains or is removed",
			e.router, e.host.ID, e.at-since)
	}
}
