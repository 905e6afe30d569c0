package audit

// judgeCold checks the work that all routers together have sent to a backend in warm-up within the window that ends with
// this arrival.
func (ev *evaluation) judgeCold(e *event) {
	h := e.host
	if h.StartedAt == 0 || e.at > h.StartedAt+h.WarmUp || h.Capacity == nil {
		return
	}
	ev.arrivals[h] = append(ev.arrivals[h], *e)
	from := e.at - ev.limits.ColdOverloadWindow + ev.limits.TransitTime // shortened, because attempts may arrive closer together than they were sent
	sum, largest := 0.0, 0.0
	for _, a := range ev.arrivals[h] {
		if a.at > from {
			sum += a.work
			largest = max(largest, a.work)
		}
	}
	// The capacity grows, so the capacity at the start of the window is the lowest within it and gives the strictest limit.
	// The largest request in the window is allowed on top of the budget, because arrival times are a matter of chance.
	budget := ev.limits.ColdOverloadFactor * h.Capacity(max(from, h.StartedAt)) * ev.limits.ColdOverloadWindow.Seconds()
	v := ev.verdicts[RuleCold]
	v.MaxShare = max(v.MaxShare, sum/(budget+largest))
	v.Checked++
	if sum > budget+largest {
		ev.report(RuleCold, max(from, h.StartedAt), e.at, "cold host %d received %.2f s of work within %v; %.2f s is allowed",
			h.ID, sum, ev.limits.ColdOverloadWindow, budget)
	}
}
