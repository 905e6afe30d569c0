package router

import (
	"cmp"
	"slices"

	"dapplefront/policy"
)

// A removed host is forgotten once forgetHostAfter has passed, which is far longer than any period over which the
// policy counts events. The router checks its hosts for this at intervals of forgetHostsInterval.
const (
	forgetHostAfter     = 600 * policy.Second
	forgetHostsInterval = 60 * policy.Second
)

// host is an endpoint that is listed or was listed earlier.
type host struct {
	policy           *policy.Host
	removedAt        policy.Time // when the host was removed; 0 while it is listed
	attemptsInFlight int
}

// endpointsChanged applies an endpoint list. It then applies the plan in force again, because the plan may have weights
// for hosts that were not listed before.
func (r *Router) endpointsChanged(now policy.Time, e EndpointsChanged) {
	r.policy.EndpointsChanged(now, r.endpointUpdates(now, e), true)
	r.forgetHosts(now)
	if now < r.planValidUntil {
		r.policy.PlanOffered(now, r.weightPlan())
	}
}

// endpointUpdates turns an endpoint list into updates of the known hosts. Hosts that are missing from a complete list are
// removed, in the order of their ids.
func (r *Router) endpointUpdates(now policy.Time, e EndpointsChanged) []policy.EndpointUpdate {
	updates := make([]policy.EndpointUpdate, 0, len(e.Hosts))
	listed := make(map[uint32]bool, len(e.Hosts))
	for _, l := range e.Hosts {
		h := r.hosts[l.ID]
		if h == nil {
			h = &host{policy: &policy.Host{ID: l.ID}}
			r.hosts[l.ID] = h
		}
		if h.removedAt = 0; l.State == policy.Removed {
			h.removedAt = now
		}
		listed[l.ID] = true
		updates = append(updates, policy.EndpointUpdate{Host: h.policy, Zone: r.zone(l.Zone), Cell: l.Cell,
			State: l.State, Build: l.Build, Weight: l.Weight, StartedAt: l.StartedAt})
	}
	if !e.Complete {
		return updates
	}
	removals := len(updates)
	for id, h := range r.hosts {
		if listed[id] {
			continue
		}
		if h.removedAt == 0 {
			h.removedAt = now
		}
		p := h.policy
		updates = append(updates, policy.EndpointUpdate{Host: p, Zone: p.Zone, Cell: p.Cell, State: policy.Removed,
			Build: p.Build, Weight: p.Weight, StartedAt: p.StartedAt})
	}
	slices.SortFunc(updates[removals:], func(a, b policy.EndpointUpdate) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return updates
}

// forgetHosts forgets the hosts that were removed more than forgetHostAfter ago and have no attempts in flight, because
// their observations no longer affect any decision.
func (r *Router) forgetHosts(now policy.Time) {
	if now-r.hostsForgottenAt < forgetHostsInterval {
		return
	}
	r.hostsForgottenAt = now
	for id, h := range r.hosts {
		if h.removedAt != 0 && now-h.removedAt > forgetHostAfter && h.attemptsInFlight == 0 {
			r.policy.Forget(h.policy)
			delete(r.hosts, id)
		}
	}
}

// zone returns the policy's object for the zone with the given name and creates it if necessary.
func (r *Router) zone(name string) *policy.Zone {
	if r.zones[name] == nil {
		r.zones[name] = &policy.Zone{}
	}
	return r.zones[name]
}
