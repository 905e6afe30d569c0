package policy

import (
	"slices"
)

// discoveryState is what is known of the polls of the endpoint list.
type discoveryState struct {
	failedPolls int // in a row
	lastPollAt  Time
}

// EndpointUpdate is what the host list says of one host; whoever calls turns lists into changes.
type EndpointUpdate struct {
	Host      *Host
	Zone      *Zone
	Cell      int
	State     EndpointState
	Build     int
	Weight    float64
	StartedAt Time
}

// EndpointsChanged takes in changes to the host list; ok is false when a call for it failed, or a watch that stood. The
// latter is asked for anew soon, inside the time after which what it misses counts as told; a call far slower
// and spread out, as a service with more callers than it can take answers none in time.
func (r *Router) EndpointsChanged(now Time, changes []EndpointUpdate, ok bool) {
	r.now = now
	if !ok {
		r.discovery.failedPolls = max(r.discovery.failedPolls, map[bool]int{true: 1}[now-r.discovery.lastPollAt < 3*Second]) // a call ends by then, a watch goes on
		wait := min(3*Second/8<<min(2*r.discovery.failedPolls, 6), max(r.limits.PollInterval, Second)*2/5)
		r.discovery.failedPolls++
		r.effects.SetTimer(wait+Time(r.random.intN(int(wait)+1)), &Timer{polls: true})
		return
	}
	r.discovery.failedPolls = 0
	for _, l := range changes {
		r.applyEndpoint(l)
	}
}

// applyEndpoint takes a change to the host list into the hosts, which stand in an order that is the same everywhere.
func (r *Router) applyEndpoint(l EndpointUpdate) {
	host := l.Host
	r.fleet.valid = false
	if !host.listed {
		host.listed = true
		at, _ := slices.BinarySearchFunc(r.hosts, host, func(a, b *Host) int { return int(a.ID) - int(b.ID) })
		r.hosts = slices.Insert(r.hosts, at, host)
	}
	if host.StartedAt != l.StartedAt || host.Build != l.Build { // another process: what the last one did says nothing of it
		host.samples, host.health, host.load, host.healthByHops = nil, healthy, nil, [3]healthStats{}
	}
	if host.State == Serving && l.State != Serving {
		host.leftAt = r.now
	}
	host.Zone, host.Cell, host.State, host.Build, host.Weight, host.StartedAt = l.Zone, l.Cell, l.State, l.Build, l.Weight, l.StartedAt
}

// Forget drops a host that has long been gone and to which no send is out.
func (r *Router) Forget(host *Host) {
	if host.State == Removed && len(host.inFlight) == 0 {
		host.listed, r.fleet.valid = false, false
		r.hosts = slices.DeleteFunc(r.hosts, func(x *Host) bool { return x == host })
	}
}
