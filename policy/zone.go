package policy

import "math"

// Zone is the location of hosts and routers. A Zone is identified by its address, so its size must not be zero.
type Zone struct{ _ byte }

// locality distinguishes the router's own zone from all other zones.
type locality int

const (
	localZone locality = iota
	remoteZones
)

// zonePaths is the observed state of the network paths to the router's own zone and to other zones.
type zonePaths struct {
	paths          [2]healthStats // of this router's attempts, by locality
	remoteDegraded bool
}

func (r *Router) localityOf(host *Host) locality {
	if host.Zone == r.zone {
		return localZone
	}
	return remoteZones
}

// splitByLocality returns the serving hosts that match, by locality. The slices are valid until the next call.
func (r *Router) splitByLocality(matches func(*Host) bool) (local, remote []*Host) {
	local, remote = r.balancer.localHosts[:0], r.balancer.remoteHosts[:0]
	for _, host := range r.hosts {
		switch {
		case host.State != Serving || !matches(host):
		case r.localityOf(host) == localZone:
			local = append(local, host)
		default:
			remote = append(remote, host)
		}
	}
	r.balancer.localHosts, r.balancer.remoteHosts = local, remote
	return local, remote
}

// crossesCheaply reports whether crossing zones costs less than an uneven distribution of traffic or hosts over zones,
// which a router with little traffic can't observe.
func (r *Router) crossesCheaply() bool {
	const cheap = 0.015
	return r.limits.CrossZonePrice <= cheap
}

// mergesZones reports whether hosts are drawn regardless of their zone: crossing must be cheap and the path to other
// zones must not be degraded. The path is degraded while the share of recent attempts that failed or were late is far
// higher over it than over the local path.
func (r *Router) mergesZones() bool {
	const minFailures, rateGap = 1.5, 0.3 // decayed number of failures over the path; difference between the failure rates
	if !r.crossesCheaply() {
		return false
	}
	remote, local := r.remotePathStats(), r.zones.paths[localZone].decayedTo(r.now)
	degraded := remote.failures >= minFailures &&
		remote.failures/remote.attempts >= local.failures/max(1, local.attempts)+rateGap
	// A decay of the failures doesn't show that the path has recovered: if health checks are allowed, attempts or
	// health checks over it must have succeeded.
	unproven := r.zones.remoteDegraded && r.limits.HealthChecks && remote.attempts-remote.failures < minFailures/2
	r.zones.remoteDegraded = degraded || unproven
	return !r.zones.remoteDegraded
}

// remotePathStats is the state of the path to other zones, from attempts of this router and of peers in this zone.
func (r *Router) remotePathStats() healthStats {
	stats := r.gossip.remotePath
	stats.add(r.zones.paths[remoteZones].decayedTo(r.now))
	return stats
}

// missProbability is the probability that a response from a locality misses the latency objective, if latencies are
// exponentially distributed.
func (r *Router) missProbability(request *Request, at locality) float64 {
	expected := r.expectedSlowdown(at) * float64(request.Class.usualLatency)
	return math.Exp(-float64(request.Class.LatencyObjective) / max(1, expected))
}
