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
// stay unchanged and the list is polled again after a backoff.
func (r *Router) EndpointsChanged(now Time, changes []EndpointUpdate, ok bool) {
	r.now = now
	if ok {
		r.discovery.failedPolls = 0
		for _, update := range changes {
			r.applyEndpoint(update)
		}
		return
	}
	backoff := r.minPollBackoff(now - r.discovery.lastPollAt)
	r.discovery.failedPolls++
	r.effects.SetTimer(backoff+Time(r.random.intN(int(backoff)+1)), &Timer{polls: true})
}

// Limits on the time until the endpoint list is polled again. A change counts as received 6 s after discovery had it and
// could be reached, whatever failed before; by then the next poll must have its response. A refused call shows that discovery
// can't be reached at that moment, but after one that timed out it may have been reachable since the poll.
const (
	MaxWatchEndBackoff  = 3 * Second / 4  // after the end of a watch; short, because a silent watch is detected late
	MaxPollBackoff      = 15 * Second / 4 // from a failure to the next poll, which may then take a call's whole timeout
	MaxTimeBetweenPolls = 21 * Second / 4 // from start to start, after a call that timed out
)

// minPollBackoff returns the shortest backoff after a failure at a time since the poll; the longest is twice as long.
// Backoffs are randomized and grow with each failure, because a service with more clients than it can serve responds to none
// of them in time.
func (r *Router) minPollBackoff(sincePoll Time) Time {
	const pollEndsWithin = 3 * Second // a failure later than this after the poll is the end of a watch
	const doublingsPerFailure, maxDoublings = 2, 6
	longest := MaxPollBackoff
	if sincePoll < pollEndsWithin {
		r.discovery.failedPolls = max(r.discovery.failedPolls, 1)
		longest = min(longest, MaxTimeBetweenPolls-sincePoll)
	}
	backoff := MaxWatchEndBackoff / 2 << min(doublingsPerFailure*r.discovery.failedPolls, maxDoublings)
	return min(backoff, max(r.limits.PollInterval, Second)*2/5, longest/2)
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
