package audit

// judgeDrain judges an attempt at a backend that the router knows to be draining or removed.
func (ev *evaluation) judgeDrain(r *routerState, e *event) {
	ev.verdicts[RuleDrain].Checked++
	since, draining := r.drainingSince[e.host.ID]
	if draining && e.at > since+ev.limits.DrainGrace+ev.limits.TransitTime {
		ev.report(RuleDrain, since, e.at, "router %s sent to host %d %v after it was told that it drains", e.router, e.host.ID, e.at-since)
	}
}
