package policy

import (
	"slices"
)

// EndpointState is what the host list says of a host.
type EndpointState int

const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Host is one machine; a later process or machine under the same id is the same Host with a new Up.
type Host struct {
	ID        uint32 // for an order that is the same everywhere, nothing else
	Zone      *Zone
	Cell      int
	State     EndpointState
	Build     int
	Weight    float64
	StartedAt Time // when its process last started; 0 is long ago

	listed       bool
	health       hostHealth
	backoffUntil Time // when its health is looked at anew
	leftAt       Time // when it was told to drain or to be gone
	inFlight     []*Attempt
	attempts     []trafficEvent
	samples      []attemptSample
	load         *LoadReport
	loadAt       Time
	connectedAt  Time           // when a send over a link to it last ended
	healthByHops [3]healthStats // own, told by who met the host, and passed on once
	planWeight   float64        // of the tasks of its side, as a plan has it; in a unit that all share
}

// LoadReport is what a host reports of itself; a negative figure was not reported.
type LoadReport struct{ ActiveRequests, QueuedRequests, CPUUtilization, MeanLatency, RequestsPerSecond float64 }

// isBaseline tells hosts that serve with a build that is not on trial.
func (r *Router) isBaseline(host *Host) bool {
	on, _, _ := r.release.exposureOf(host.Build)
	return !on && host.State == Serving
}

// runsNewestBuild tells hosts that serve with the newest build told.
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

// hostByID is the listed host of an id, or nil.
func (r *Router) hostByID(id uint32) *Host {
	at, ok := slices.BinarySearchFunc(r.hosts, id, func(host *Host, id uint32) int { return int(host.ID) - int(id) })
	if !ok {
		return nil
	}
	return r.hosts[at]
}

// capacity is what a host can do against others: its size, as far as the list hints at it, and as it warms.
func (r *Router) capacity(host *Host) float64 {
	if host.Weight <= 0 {
		return r.capacityFactor(host)
	}
	return host.Weight * r.capacityFactor(host)
}

// totalCapacity adds up what the hosts of a kind that serve can do.
func (r *Router) totalCapacity(is func(*Host) bool) (sum float64) {
	for _, host := range r.hosts {
		if host.State == Serving && is(host) {
			sum += r.capacity(host)
		}
	}
	return sum
}

// baselineCapacity is what all hosts whose build is not on trial can do, worked out once for each moment.
func (r *Router) baselineCapacity() float64 {
	m := r.snapshot()
	if m.capacityAt != r.now {
		m.baselineCapacity, m.capacityAt = r.totalCapacity(r.isBaseline), r.now
	}
	return m.baselineCapacity
}

// fleetSnapshot is what hosts add up to, kept as sends come and go and counted anew once hosts or news have changed.
type fleetSnapshot struct {
	valid               bool
	healthy             [2]int // hosts of a side that are fit and whose build is not on trial
	inFlight            [2]int // sends out at these
	ejected             int
	baselineHosts       int // whose build is not on trial; newest is the newest of these builds, which latest of them run
	newestBaseline      int
	newestBaselineHosts int
	baselineCapacity    float64 // what hosts whose build is not on trial can do, as of a moment
	capacityAt          Time
}

// snapshot counts hosts and the sends out at them, if anything but sends has changed since it was last done.
func (r *Router) snapshot() *fleetSnapshot {
	m := &r.fleet
	if m.valid {
		return m
	}
	*m = fleetSnapshot{valid: true}
	for _, host := range r.hosts {
		if host.health == ejected {
			m.ejected++
		}
		if !r.isBaseline(host) {
			continue
		}
		if m.baselineHosts++; host.Build > m.newestBaseline {
			m.newestBaseline, m.newestBaselineHosts = host.Build, 0
		}
		if host.Build == m.newestBaseline {
			m.newestBaselineHosts++
		}
		if host.health == healthy {
			m.healthy[r.localityOf(host)]++
			m.inFlight[r.localityOf(host)] += len(host.inFlight)
		}
	}
	return m
}
