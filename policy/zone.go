package policy

import "math"

// Zone is where hosts and routers stand. It is identified by its address, so it must not be of size zero.
type Zone struct{ _ byte }

// locality separates the router's own zone from all others.
type locality int

const (
	localZone locality = iota
	remoteZones
)

// zonePaths is what is known of the network paths to the own zone and to the other ones.
type zonePaths struct {
	paths          [2]healthStats // own attempts, by locality
	remoteDegraded bool
}

func (r *Router) localityOf(host *Host) locality {
	if host.Zone == r.zone {
		return localZone
	}
	return remoteZones
}

// splitByLocality gives the serving hosts of a kind. The slices hold until the next call.
func (r *Router) splitByLocality(fits func(*Host) bool) (local, remote []*Host) {
	local, remote = r.balancer.localHosts[:0], r.balancer.remoteHosts[:0]
	for _, host := range r.hosts {
		switch {
		case host.State != Serving || !fits(host):
		case r.localityOf(host) == localZone:
			local = append(local, host)
		default:
			remote = append(remote, host)
		}
	}
	r.balancer.localHosts, r.balancer.remoteHosts = local, remote
	return local, remote
}

// crossesCheaply reports whether crossing zones costs less than an uneven split of traffic or hosts over zones does, which a
// router with little traffic can't see.
func (r *Router) crossesCheaply() bool {
	const cheap = 0.015
	return r.limits.CrossZonePrice <= cheap
}

// mergesZones reports whether hosts are drawn whatever their zone: where crossing is cheap and the path to other zones is not
// degraded, which it is while far more of the last attempts there failed or were late than of local ones.
func (r *Router) mergesZones() bool {
	const minFailures, rateGap = 1.5, 0.3 // decayed attempts; difference of failure rates
	if !r.crossesCheaply() {
		return false
	}
	remote, local := r.remotePathStats(), r.zones.paths[localZone].decayedTo(r.now)
	degraded := remote.failures >= minFailures &&
		remote.failures/remote.attempts >= local.failures/max(1, local.attempts)+rateGap
	// That failures decay is no sign of recovery: where there are health checks, some attempt must have succeeded.
	unproven := r.zones.remoteDegraded && r.limits.HealthChecks && remote.attempts-remote.failures < minFailures/2
	r.zones.remoteDegraded = degraded || unproven
	return !r.zones.remoteDegraded
}

// remotePathStats is what is known of the path to other zones, by own attempts and by peers in this zone.
func (r *Router) remotePathStats() healthStats {
	stats := r.gossip.remotePath
	stats.add(r.zones.paths[remoteZones].decayedTo(r.now))
	return stats
}

// missProbability is the chance that a response from a locality misses the latency objective, as if latencies were
// distributed exponentially.
func (r *Router) missProbability(request *Request, at locality) float64 {
	expected := r.expectedSlowdown(at) * float64(request.Class.usualLatency)
	return math.Exp(-float64(request.Class.LatencyObjective) / max(1, expected))
}
