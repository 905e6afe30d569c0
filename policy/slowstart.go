package policy

// slowStartRate is the rate of attempts from this router at a baseline host, in attempts per unit of Time. It is computed
// once for each point in time.
type slowStartRate struct {
	at   Time
	rate float64
}

// isWarmAt reports whether a host has completed its warm-up at the given time.
func (r *Router) isWarmAt(host *Host, at Time) bool {
	return host.StartedAt == 0 || at-host.StartedAt >= r.limits.WarmUp
}

// capacityFactor is a lower bound for a host's current capacity, as a share of its full capacity. It is 1 for a warm
// host.
func (r *Router) capacityFactor(host *Host) float64 { return r.capacityFactorAt(host, r.now) }

func (r *Router) capacityFactorAt(host *Host, at Time) float64 {
	if r.isWarmAt(host, at) {
		return 1
	}
	return r.limits.ColdCapacity + (1-r.limits.ColdCapacity)*float64(max(0, at-host.StartedAt))/float64(r.limits.WarmUp)
}

// totalCapacityFactor is the capacity of the hosts that match, as a number of warm hosts.
func (r *Router) totalCapacityFactor(matches func(*Host) bool) (sum float64) {
	for _, host := range r.hosts {
		if matches(host) {
			sum += r.capacityFactor(host)
		}
	}
	return sum
}

// withinWarmUpBudget reports whether a host may get another attempt while it warms up. It keeps all routers together
// from overloading a cold host: each router sends at most its part of the attempts that the limits allow. The limits
// are relative to the attempts that baseline hosts get now. If that part is less than one attempt, requests are sent at
// random, with a probability that keeps the sum over all routers within the limit however uneven their traffic is.
func (r *Router) withinWarmUpBudget(host *Host) bool {
	const usedShare = 0.5         // share of the budget that is used; the rest is for uneven routers, long requests and bursts
	const rateWindow = 4 * Second // long enough to even out bursts
	if r.isWarmAt(host, r.now) {
		return true
	}
	window := r.limits.ColdOverloadWindow
	budget := usedShare * r.limits.ColdOverloadFactor * r.capacityFactor(host) * float64(window) * r.baselineAttemptRate(rateWindow)
	if countSince(host.attempts, r.now-window, nil)+1 > max(1, budget) {
		return false
	}
	// This estimate is valid for a canary host too, because it is due as many attempts as a baseline host gets.
	due := countSince(r.traffic.arrivals, r.now-rateWindow, nil) * float64(window) / float64(rateWindow) *
		r.capacity(host) / max(r.capacity(host), r.baselineCapacity())
	return due <= budget || r.random.chance(1000*budget/due)
}

// baselineAttemptRate is the rate of attempts from this router at a host of the build with the most hosts. Hosts that
// began to drain or were removed within the span count too; otherwise a single new host would be due all the attempts
// that these hosts got.
func (r *Router) baselineAttemptRate(span Time) float64 {
	if r.slowStart.at != r.now {
		hosts, most := map[int]float64{}, 1.0
		for _, host := range r.hosts {
			if host.State == Serving || r.now-host.leftAt < span {
				hosts[host.Build]++
				most = max(most, hosts[host.Build])
			}
		}
		r.slowStart.at = r.now
		r.slowStart.rate = countSince(r.traffic.baselineAttempts, r.now-span, nil) / float64(span) / most
	}
	return r.slowStart.rate
}
