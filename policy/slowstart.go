package policy

// slowStartRate is how many attempts a baseline host gets from this router, in attempts for each unit of Time; it is worked
// out once for each moment.
type slowStartRate struct {
	at   Time
	rate float64
}

// isWarmAt reports whether a host had been up for its full warm-up by a moment.
func (r *Router) isWarmAt(host *Host, at Time) bool {
	return host.StartedAt == 0 || at-host.StartedAt >= r.limits.WarmUp
}

// capacityFactor is the share of its full capacity that a host has at the least, as it warms up.
func (r *Router) capacityFactor(host *Host) float64 { return r.capacityFactorAt(host, r.now) }

func (r *Router) capacityFactorAt(host *Host, at Time) float64 {
	if r.isWarmAt(host, at) {
		return 1
	}
	return r.limits.ColdCapacity + (1-r.limits.ColdCapacity)*float64(max(0, at-host.StartedAt))/float64(r.limits.WarmUp)
}

// totalCapacityFactor is how many warm hosts the hosts of a kind are worth.
func (r *Router) totalCapacityFactor(is func(*Host) bool) (sum float64) {
	for _, host := range r.hosts {
		if is(host) {
			sum += r.capacityFactor(host)
		}
	}
	return sum
}

// withinWarmUpBudget keeps all routers together from overloading a cold host: each sends its part of what the limits allow,
// by what baseline hosts get now. Where that is less than one attempt, requests go by chance, so often that the routers' sum
// keeps within the limit however uneven their traffic is.
func (r *Router) withinWarmUpBudget(host *Host) bool {
	const usedShare = 0.5         // of the budget; the rest is for uneven routers, long requests and bursts
	const rateWindow = 4 * Second // long enough to even out bursts
	if r.isWarmAt(host, r.now) {
		return true
	}
	window := r.limits.ColdOverloadWindow
	budget := usedShare * r.limits.ColdOverloadFactor * r.capacityFactor(host) * float64(window) * r.baselineAttemptRate(rateWindow)
	if countSince(host.attempts, r.now-window, nil)+1 > max(1, budget) {
		return false
	}
	// Of a canary host too, as it is due what a baseline host gets.
	due := countSince(r.traffic.arrivals, r.now-rateWindow, nil) * float64(window) / float64(rateWindow) *
		r.capacity(host) / max(r.capacity(host), r.baselineCapacity())
	return due <= budget || r.random.chance(1000*budget/due)
}

// baselineAttemptRate is the rate at which a host of the build with most hosts gets attempts from this router. Hosts that
// left within the span count, or a lone new host would be due all their work.
func (r *Router) baselineAttemptRate(over Time) float64 {
	if r.slowStart.at != r.now {
		hosts, most := map[int]float64{}, 1.0
		for _, host := range r.hosts {
			if host.State == Serving || r.now-host.leftAt < over {
				hosts[host.Build]++
				most = max(most, hosts[host.Build])
			}
		}
		r.slowStart.at = r.now
		r.slowStart.rate = countSince(r.traffic.baselineAttempts, r.now-over, nil) / float64(over) / most
	}
	return r.slowStart.rate
}
