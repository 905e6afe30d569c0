package router

import (
	"time"

	"dapplefront/plan"
	"dapplefront/policy"
)

// policyTick is the unit of policy.Time.
const policyTick = 100 * time.Microsecond

// planOffered applies or rejects a version of a weight plan, and acknowledges it.
func (r *Router) planOffered(now policy.Time, offer plan.Offer) {
	ack := Action{Kind: AcknowledgePlan, PlanVersion: offer.Version}
	if err := r.planFollower.Offer(offer, r.planFleet(now)); err != nil {
		ack.Text = err.Error()
	} else {
		r.plan, r.planValidUntil = offer, now+policy.Time(offer.ValidFor/policyTick)
		r.policy.PlanOffered(now, r.weightPlan())
	}
	r.actions = append(r.actions, ack)
}

// planFleet returns the state of the fleet by which a plan is checked: the known hosts, and the canary build with its
// exposure cap.
func (r *Router) planFleet(now policy.Time) plan.Fleet {
	warmUp := r.config.Limits.WarmUp
	fleet := plan.Fleet{Hosts: make(map[uint32]plan.KnownHost, len(r.hosts)), SlowStart: time.Duration(warmUp) * policyTick}
	if r.releaseStatus.Phase == policy.Canary {
		fleet.CanaryBuild, fleet.ShadowCap = r.releaseStatus.Build, r.releaseStatus.ExposureCap
	}
	local := r.zone(r.config.Zone)
	for id, h := range r.hosts {
		p := h.policy
		age := now - p.StartedAt
		if p.StartedAt == 0 {
			age = warmUp // 0 means that the process started long ago
		}
		fleet.Hosts[id] = plan.KnownHost{IsLocal: p.Zone == local, Weight: p.Weight, Age: time.Duration(max(0, age)) * policyTick,
			IsCanary: fleet.CanaryBuild != 0 && p.Build == fleet.CanaryBuild}
	}
	return fleet
}

// weightPlan returns the plan in force with the weights of the known hosts.
func (r *Router) weightPlan() policy.WeightPlan {
	w := policy.WeightPlan{Weights: make(map[*policy.Host]float64, len(r.plan.LocalWeights)+len(r.plan.RemoteWeights)),
		CrossZoneShare: r.plan.CrossZoneShare, Until: r.planValidUntil}
	for _, weights := range [][]plan.HostWeight{r.plan.LocalWeights, r.plan.RemoteWeights} {
		for _, hw := range weights {
			if h := r.hosts[hw.Host]; h != nil {
				w.Weights[h.policy] = hw.Weight
			}
		}
	}
	return w
}
