package policy

import "slices"

// discoveryState is what is known of the polls of the endpoint list.
type discoveryState struct {
	failedPolls int // in a row
	lastPollAt  Time
}

// EndpointUpdate is what the endpoint list says of one host.
type EndpointUpdate struct {
	Host      *Host
	Zone      *Zone
	Cell      int
	State     EndpointState
	Build     int
	Weight    float64
	StartedAt Time
}

// EndpointsChanged takes changes to the endpoint list. ok is false when a poll failed or a watch ended: hosts stay as they
// are, and the list is polled again after a backoff that grows and is spread by chance, as a service with more callers than
// it can take answers none in time. After a watch that stood the first time is short, within the time by which the changes
// that it missed must be followed.
func (r *Router) EndpointsChanged(now Time, changes []EndpointUpdate, ok bool) {
	const pollEndsWithin = 3 * Second // a failure after that is a watch's
	const firstBackoff = 3 * Second / 8
	const doublingsPerFailure, maxDoublings = 2, 6
	r.now = now
	if ok {
		r.discovery.failedPolls = 0
		for _, update := range changes {
			r.applyEndpoint(update)
		}
		return
	}
	if now-r.discovery.lastPollAt < pollEndsWithin {
		r.discovery.failedPolls = max(r.discovery.failedPolls, 1)
	}
	longest := max(r.limits.PollInterval, Second) * 2 / 5
	backoff := min(firstBackoff<<min(doublingsPerFailure*r.discovery.failedPolls, maxDoublings), longest)
	r.discovery.failedPolls++
	r.effects.SetTimer(backoff+Time(r.random.intN(int(backoff)+1)), &Timer{polls: true})
}

// applyEndpoint takes a change of one host. Hosts are kept in an order that is the same at all routers.
func (r *Router) applyEndpoint(update EndpointUpdate) {
	host := update.Host
	r.fleet.valid = false
	if !host.listed {
		host.listed = true
		at, _ := slices.BinarySearchFunc(r.hosts, host, func(a, b *Host) int { return int(a.ID) - int(b.ID) })
		r.hosts = slices.Insert(r.hosts, at, host)
	}
	if host.StartedAt != update.StartedAt || host.Build != update.Build { // what another process did says nothing of this one
		host.samples, host.health, host.load, host.healthByHops = nil, healthy, nil, [3]healthStats{}
	}
	if host.State == Serving && update.State != Serving {
		host.leftAt = r.now
	}
	host.Zone, host.Cell, host.State, host.Build = update.Zone, update.Cell, update.State, update.Build
	host.Weight, host.StartedAt = update.Weight, update.StartedAt
}

// Forget drops a host that was removed and has no attempt in flight; any other host stays.
func (r *Router) Forget(host *Host) {
	if host.State == Removed && len(host.inFlight) == 0 {
		host.listed, r.fleet.valid = false, false
		r.hosts = slices.DeleteFunc(r.hosts, func(x *Host) bool { return x == host })
	}
}
