package policy

import "slices"

// EndpointState is the state of a host in the endpoint list.
type EndpointState int

// States of an endpoint; their values are stored.
const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Host is one endpoint. A later process or machine with the same ID is the same Host with another StartedAt. All exported
// fields but the ID are set by the router, in EndpointsChanged.
type Host struct {
	ID        uint32 // identifies the host in gossip and gives hosts the same order at all routers
	Zone      *Zone
	Cell      int
	State     EndpointState
	Build     int
	Weight    float64 // relative to other hosts, in any unit; 0 if unknown
	StartedAt Time    // when its process last started; 0 means long ago

	listed       bool
	health       hostHealth
	backoffUntil Time // end of the backoff while health is backingOff
	leftAt       Time // when it began to drain or was removed

	inFlight []*Attempt
	attempts []trafficEvent  // recent starts of attempts
	samples  []attemptSample // recently ended attempts

	load        *LoadReport // last load report; nil if there was none
	loadAt      Time        // when load was reported
	connectedAt Time        // when an attempt over a connection to it last ended; 0 if the last attempt found no connection

	healthByHops [3]healthStats // index 0: this router's attempts; 1: attempts that peers made and reported; 2: reports that other peers passed on
	planWeight   float64        // weight in the plan, in the unit of WeightPlan.Weights; 0 if the plan doesn't name the host
}

// LoadReport is what a host reports about itself. A negative value means that the host did not report it.
type LoadReport struct{ ActiveRequests, QueuedRequests, CPUUtilization, MeanLatency, RequestsPerSecond float64 }

// isBaseline reports whether a host is serving and runs a build whose exposure is not limited.
func (r *Router) isBaseline(host *Host) bool {
	return host.State == Serving && !r.release.exposureOf(host.Build).applies
}

// runsNewestBuild reports whether a host is serving and runs the newest build that the release controller announced.
func (s *releaseState) runsNewestBuild(host *Host) bool {
	return host.Build == s.status.Build && host.State == Serving
}

// countHosts returns the number of hosts that match.
func (r *Router) countHosts(matches func(*Host) bool) (n float64) {
	for _, host := range r.hosts {
		if matches(host) {
			n++
		}
	}
	return n
}

// hostByID returns the listed host with an ID, or nil.
func (r *Router) hostByID(id uint32) *Host {
	at, ok := slices.BinarySearchFunc(r.hosts, id, func(host *Host, id uint32) int { return int(host.ID) - int(id) })
	if !ok {
		return nil
	}
	return r.hosts[at]
}

// capacity is a host's capacity relative to other hosts: its weight, if known, times its capacity factor.
func (r *Router) capacity(host *Host) float64 {
	if host.Weight <= 0 {
		return r.capacityFactor(host)
	}
	return host.Weight * r.capacityFactor(host)
}

// totalCapacity is the sum of the capacities of the serving hosts that match.
func (r *Router) totalCapacity(matches func(*Host) bool) (sum float64) {
	for _, host := range r.hosts {
		if host.State == Serving && matches(host) {
			sum += r.capacity(host)
		}
	}
	return sum
}

// baselineCapacity is the sum of the capacities of the baseline hosts. It is computed once for each point in time.
func (r *Router) baselineCapacity() float64 {
	fleet := r.snapshot()
	if fleet.capacityAt != r.now {
		fleet.baselineCapacity, fleet.capacityAt = r.totalCapacity(r.isBaseline), r.now
	}
	return fleet.baselineCapacity
}

// fleetSnapshot counts hosts and their attempts in flight. It is updated as attempts start and end; any other change
// makes it invalid, and snapshot counts again.
type fleetSnapshot struct {
	valid   bool
	ejected int // ejected hosts of any build

	baselineHosts       int
	newestBaseline      int // newest build of the baseline hosts
	newestBaselineHosts int // baseline hosts that run newestBaseline

	healthy  [2]int // healthy baseline hosts, by locality
	inFlight [2]int // attempts in flight at these hosts

	baselineCapacity float64 // as of capacityAt
	capacityAt       Time
}

// snapshot returns the current counts. It recounts if they are invalid.
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
