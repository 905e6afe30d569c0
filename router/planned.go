package router

import (
	"time"

	"dapplefront/plan"
	"dapplefront/policy"
)

// tick is one of the module's units of time.
const tick = 100 * time.Microsecond

// planned passes a plan's version on to the mind or turns it down.
func (r *Router) planned(now policy.Time, o plan.Offered) {
	fleet := plan.Fleet{Hosts: make(map[uint32]plan.Known, len(r.hosts)), Cold: time.Duration(r.place.Limits.WarmUp) * tick}
	if r.news.Phase == policy.Canary {
		fleet.Build, fleet.Cap = r.news.Build, r.news.ExposureCap
	}
	here := r.location(r.place.Zone)
	for id, h := range r.hosts {
		n := h.noun
		age := now - n.StartedAt
		if n.StartedAt == 0 {
			age = r.place.Limits.WarmUp // started long ago
		}
		fleet.Hosts[id] = plan.Known{Near: n.Zone == here, Size: n.Weight, Age: time.Duration(max(0, age)) * tick,
			Trial: fleet.Build != 0 && n.Build == fleet.Build}
	}
	act := Action{Kind: AcknowledgePlan, PlanVersion: o.Version}
	if err := r.follower.Offer(o, fleet); err != nil {
		act.Text = err.Error()
	} else {
		r.plan, r.until = o, now+policy.Time(o.ValidFor/tick)
		r.policy.PlanOffered(now, r.course())
	}
	r.out = append(r.out, act)
}

// course is the plan in force, for the hosts that are known.
func (r *Router) course() policy.WeightPlan {
	c := policy.WeightPlan{Weights: make(map[*policy.Host]float64, len(r.plan.LocalWeights)+len(r.plan.RemoteWeights)), Cross: r.plan.CrossZoneShare, Until: r.until}
	for _, side := range [][]plan.HostWeight{r.plan.LocalWeights, r.plan.RemoteWeights} {
		for _, p := range side {
			if h := r.hosts[p.Host]; h != nil {
				c.Weights[h.noun] = p.Weight
			}
		}
	}
	return c
}
