package audit

// judgeCold judges what a backend that warms up gets from all routers together, over every window that ends with an
// arrival.
func (ev *evaluation) judgeCold(e *event) {
	h := e.host
	if h.StartedAt == 0 || e.at > h.StartedAt+h.WarmUp || h.Capacity == nil {
		return
	}
	ev.arrivals[h] = append(ev.arrivals[h], *e)
	from := e.at - ev.limits.ColdOverloadWindow + ev.limits.TransitTime // arrivals may be bunched in transit
	sum, largest := 0.0, 0.0
	for _, a := range ev.arrivals[h] {
		if a.at > from {
			sum += a.work
			largest = max(largest, a.work)
		}
	}
	// The capacity grows: the least within the window is the strictest reading. One request more is a matter of chance.
	budget := ev.limits.ColdOverloadFactor * h.Capacity(max(from, h.StartedAt)) * ev.limits.ColdOverloadWindow.Seconds()
	v := ev.verdicts[RuleCold]
	v.MaxShare = max(v.MaxShare, sum/(budget+largest))
	v.Checked++
	if sum > budget+largest {
		ev.report(RuleCold, max(from, h.StartedAt), e.at, "cold host %d was sent %.2f s of work in %v, %.2f s allowed",
			h.ID, sum, ev.limits.ColdOverloadWindow, budget)
	}
}
