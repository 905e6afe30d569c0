package policy

import (
	"math"
)

// zonePaths is what is known of the network paths to the own zone and to the other ones.
type zonePaths struct {
	paths          [2]healthStats // own attempts, by locality
	remoteDegraded bool
}

// Zone is where hosts and routers stand. It is told by its address alone, so it must not be of size zero.
type Zone struct{ _ byte }

const (
	localZone = iota
	remoteZones
)

// localityOf tells hosts nearby from the rest.
func (r *Router) localityOf(host *Host) int {
	if host.Zone == r.zone {
		return localZone
	}
	return remoteZones
}

// splitByLocality are the hosts nearby and the rest, as far as they fit; until it is asked for again.
func (r *Router) splitByLocality(fits func(*Host) bool) (here, there []*Host) {
	here, there = r.balancer.localHosts[:0], r.balancer.remoteHosts[:0]
	for _, host := range r.hosts {
		switch {
		case host.State != Serving || !fits(host):
		case r.localityOf(host) == localZone:
			here = append(here, host)
		default:
			there = append(there, host)
		}
	}
	r.balancer.localHosts, r.balancer.remoteHosts = here, there
	return here, there
}

// crossesCheaply tells that crossing costs less than an uneven split of traffic or hosts over locations does,
// which a router with little traffic can't see.
func (r *Router) crossesCheaply() bool {
	const cheap = 0.015 // points of service: near sends alone lost five times that
	return r.limits.CrossZonePrice <= cheap
}

// mergesZones tells that hosts are drawn wherever they stand. Not while the way there is poor: of the last sends
// there far more failed or dragged than of those nearby.
func (r *Router) mergesZones() bool {
	const few, gap = 1.5, 0.3
	if !r.crossesCheaply() {
		return false
	}
	there, here := r.remotePathStats(), r.zones.paths[localZone].decayedTo(r.now)
	poor := there.failures >= few && there.failures/there.attempts >= here.failures/max(1, here.attempts)+gap
	// What fades is no good news: where probes tell, the way stays shut until something came through.
	r.zones.remoteDegraded = poor || r.zones.remoteDegraded && r.limits.HealthChecks && there.attempts-there.failures < few/2
	return !r.zones.remoteDegraded
}

// missProbability is the chance that a task breaks its promised time on a side, as if answers took exponential times.
func (r *Router) missProbability(request *Request, side int) float64 {
	return math.Exp(-float64(request.Class.LatencyObjective) / max(1, r.expectedSlowdown(side)*float64(request.Class.usualLatency)))
}
