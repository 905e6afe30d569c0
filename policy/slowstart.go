package policy

// slowStartRate is how many attempts a baseline host gets from this router, in attempts for each unit of Time; it is worked
// out once for each moment.
type slowStartRate struct {
	at   Time
	rate float64
}

// isWarm tells hosts that have been up for long enough to do all they can.
func (r *Router) isWarm(host *Host) bool { return r.isWarmAt(host, r.now) }

func (r *Router) isWarmAt(host *Host, at Time) bool {
	return host.StartedAt == 0 || at-host.StartedAt >= r.limits.WarmUp
}

// capacityFactor is the share of its capacity that a host has at the least, as it warms.
func (r *Router) capacityFactor(host *Host) float64 {
	return r.capacityFactorAt(host, r.now)
}

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

// withinWarmUpBudget keeps a cold host from being pushed over by all routers together: each sends its part of what the
// rule allows, by what hosts get now. Where that is below one send, tasks go by chance, so often that all
// routers' sums keep to it however uneven they are: turns by rank left the work of one router in a hundred.
func (r *Router) withinWarmUpBudget(host *Host) bool {
	const part = 0.5            // of the budget; the rest is for uneven routers, heavy tasks and bursts
	const flowOver = 4 * Second // long enough to even out bursts
	if r.isWarm(host) {
		return true
	}
	budget := part * r.limits.ColdOverloadFactor * r.capacityFactor(host) * float64(r.limits.ColdOverloadWindow) * r.baselineAttemptRate(flowOver)
	if countSince(host.attempts, r.now-r.limits.ColdOverloadWindow, nil)+1 > max(1, budget) {
		return false
	}
	due := countSince(r.traffic.arrivals, r.now-flowOver, nil) * float64(r.limits.ColdOverloadWindow) / float64(flowOver) *
		r.capacity(host) / max(r.capacity(host), r.baselineCapacity()) // on trial too, where shares are those of earlier hosts
	return due <= budget || float64(r.random.intN(1000)) < 1000*budget/due
}

// baselineAttemptRate is how many sends a host of the build with most hosts gets from this router, worked out once for each
// moment. Hosts that left within the span count, or a lone newcomer would be due all their work.
func (r *Router) baselineAttemptRate(over Time) float64 {
	if r.slowStart.at != r.now {
		of, most := map[int]float64{}, 1.0
		for _, host := range r.hosts {
			if host.State == Serving || r.now-host.leftAt < over {
				of[host.Build]++
				most = max(most, of[host.Build])
			}
		}
		r.slowStart.at, r.slowStart.rate = r.now, countSince(r.traffic.baselineAttempts, r.now-over, nil)/float64(over)/most
	}
	return r.slowStart.rate
}
