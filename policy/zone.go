package policy

import (
	"math"
)

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
	here, there = r.localHosts[:0], r.remoteHosts[:0]
	for _, host := range r.hosts {
		switch {
		case host.State != Serving || !fits(host):
		case r.localityOf(host) == localZone:
			here = append(here, host)
		default:
			there = append(there, host)
		}
	}
	r.localHosts, r.remoteHosts = here, there
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
	there, here := r.remotePathStats(), r.paths[localZone].decayedTo(r.now)
	poor := there.failures >= few && there.failures/there.attempts >= here.failures/max(1, here.attempts)+gap
	// What fades is no good news: where probes tell, the way stays shut until something came through.
	r.remoteDegraded = poor || r.remoteDegraded && r.limits.HealthChecks && there.attempts-there.failures < few/2
	return !r.remoteDegraded
}

// missProbability is the chance that a task breaks its promised time on a side, as if answers took exponential times.
func (r *Router) missProbability(request *Request, side int) float64 {
	return math.Exp(-float64(request.Class.LatencyObjective) / max(1, r.expectedSlowdown(side)*float64(request.Class.usualLatency)))
}
