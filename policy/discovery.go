package policy

import "slices"

// discoveryState is the state of polling the endpoint list.
type discoveryState struct {
	failedPolls int // number of consecutive failed polls
	lastPollAt  Time
}

// EndpointUpdate is the entry of one host in the endpoint list.
type EndpointUpdate struct {
	Host      *Host
	Zone      *Zone
	Cell      int
	State     EndpointState
	Build     int
	Weight    float64
	StartedAt Time
}

// EndpointsChanged applies changes to the endpoint list. ok is false when a poll failed or a watch ended: the hosts
// stay unchanged and the list is polled again after a backoff. The backoff is randomized and grows with each failure,
// because a service with more clients than it can serve responds to none of them in time. After an established watch
// ends, the first backoff is short, so that the changes that the watch missed are applied in time.
func (r *Router) EndpointsChanged(now Time, changes []EndpointUpdate, ok bool) {
	const pollEndsWithin = 3 * Second // a failure later than this after the poll is the end of a watch
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

// applyEndpoint applies a change of one host. Hosts are ordered by ID, which gives the same order at all routers.
func (r *Router) applyEndpoint(update EndpointUpdate) {
	host := update.Host
	r.fleet.valid = false
	if !host.listed {
		host.listed = true
		at, _ := slices.BinarySearchFunc(r.hosts, host, func(a, b *Host) int { return int(a.ID) - int(b.ID) })
		r.hosts = slices.Insert(r.hosts, at, host)
	}
	if host.StartedAt != update.StartedAt || host.Build != update.Build { // samples of another process don't apply to this one
		host.samples, host.health, host.load, host.healthByHops = nil, healthy, nil, [3]healthStats{}
	}
	if host.State == Serving && update.State != Serving {
		host.leftAt = r.now
	}
	host.Zone, host.Cell, host.State, host.Build = update.Zone, update.Cell, update.State, update.Build
	host.Weight, host.StartedAt = update.Weight, update.StartedAt
}

// Forget deletes a host that was removed and has no attempt in flight. It does nothing for any other host.
func (r *Router) Forget(host *Host) {
	if host.State == Removed && len(host.inFlight) == 0 {
		host.listed, r.fleet.valid = false, false
		r.hosts = slices.DeleteFunc(r.hosts, func(x *Host) bool { return x == host })
	}
}
