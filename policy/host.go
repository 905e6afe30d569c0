package policy

import "slices"

// EndpointState is what the endpoint list says of a host.
type EndpointState int

// States of an endpoint; their values are stored.
const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Host is one endpoint. A later process or machine under the same ID is the same Host with another StartedAt. Its exported
// fields but the ID are the router's to set, by EndpointsChanged.
type Host struct {
	ID        uint32 // for an order that is the same at all routers, nothing else
	Zone      *Zone
	Cell      int
	State     EndpointState
	Build     int
	Weight    float64 // against other hosts, in any unit; 0 where unknown
	StartedAt Time    // when its process last started; 0 is long ago

	listed       bool
	health       hostHealth
	backoffUntil Time // while it is backingOff
	leftAt       Time // when it began to drain or was removed

	inFlight []*Attempt
	attempts []trafficEvent  // the last starts
	samples  []attemptSample // the last ends

	load        *LoadReport // the last one, nil for none
	loadAt      Time
	connectedAt Time // when an attempt over a connection to it last ended; 0 where the last one had none

	healthByHops [3]healthStats // own; reported by peers that made them; passed on by peers
	planWeight   float64        // share of its locality's requests by the plan, in a unit that all hosts share
}

// LoadReport is what a host reports of itself. A negative figure was not reported.
type LoadReport struct{ ActiveRequests, QueuedRequests, CPUUtilization, MeanLatency, RequestsPerSecond float64 }

// isBaseline reports whether a host serves with a build whose exposure is not limited.
func (r *Router) isBaseline(host *Host) bool {
	return host.State == Serving && !r.release.exposureOf(host.Build).applies
}

// runsNewestBuild reports whether a host serves with the newest build that the release controller announced.
func (s *releaseState) runsNewestBuild(host *Host) bool {
	return host.Build == s.status.Build && host.State == Serving
}

// countHosts is how many hosts there are of a kind.
func (r *Router) countHosts(is func(*Host) bool) (n float64) {
	for _, host := range r.hosts {
		if is(host) {
			n++
		}
	}
	return n
}

// hostByID is the listed host of an ID, or nil.
func (r *Router) hostByID(id uint32) *Host {
	at, ok := slices.BinarySearchFunc(r.hosts, id, func(host *Host, id uint32) int { return int(host.ID) - int(id) })
	if !ok {
		return nil
	}
	return r.hosts[at]
}

// capacity is what a host can do against others: its weight, where that is known, by its capacity factor.
func (r *Router) capacity(host *Host) float64 {
	if host.Weight <= 0 {
		return r.capacityFactor(host)
	}
	return host.Weight * r.capacityFactor(host)
}

// totalCapacity adds up the capacities of the serving hosts of a kind.
func (r *Router) totalCapacity(is func(*Host) bool) (sum float64) {
	for _, host := range r.hosts {
		if host.State == Serving && is(host) {
			sum += r.capacity(host)
		}
	}
	return sum
}

// baselineCapacity adds up the capacities of the baseline hosts; it is worked out once for each moment.
func (r *Router) baselineCapacity() float64 {
	fleet := r.snapshot()
	if fleet.capacityAt != r.now {
		fleet.baselineCapacity, fleet.capacityAt = r.totalCapacity(r.isBaseline), r.now
	}
	return fleet.baselineCapacity
}

// fleetSnapshot counts hosts and their attempts in flight. Attempts change it as they start and end; any other change makes
// it invalid, to be counted anew by snapshot.
type fleetSnapshot struct {
	valid   bool
	ejected int // of all hosts

	baselineHosts       int
	newestBaseline      int // newest build of the baseline hosts
	newestBaselineHosts int // that run it

	healthy  [2]int // baseline hosts by locality
	inFlight [2]int // attempts at these

	baselineCapacity float64 // as of capacityAt
	capacityAt       Time
}

// snapshot is the present count, made anew where it is invalid.
func (r *Router) snapshot() *fleetSnapshot {
	fleet := &r.fleet
	if fleet.valid {
		return fleet
	}
	*fleet = fleetSnapshot{valid: true}
	for _, host := range r.hosts {
		if host.health == ejected {
			fleet.ejected++
		}
		if !r.isBaseline(host) {
			continue
		}
		if fleet.baselineHosts++; host.Build > fleet.newestBaseline {
			fleet.newestBaseline, fleet.newestBaselineHosts = host.Build, 0
		}
		if host.Build == fleet.newestBaseline {
			fleet.newestBaselineHosts++
		}
		if host.health == healthy {
			fleet.healthy[r.localityOf(host)]++
			fleet.inFlight[r.localityOf(host)] += len(host.inFlight)
		}
	}
	return fleet
}
