package control

import (
	"maps"

	"dapplefront/plan"
	"dapplefront/policy"
)

// PlanAck is a router's acknowledgement of the plan in force.
type PlanAck struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason,omitempty"` // why the router does not follow the plan; empty if it does
}

// ActivePlan returns the plan in force, or nil if there is none, and how long it remains valid after the given time. The
// remaining time is negative once the plan has expired.
func (s *State) ActivePlan(now policy.Time) (*plan.Published, policy.Time) {
	return s.plan, s.planPublished + s.planValidFor - now
}

// PlanAcks returns the acknowledgements of the plan in force, by router.
func (s *State) PlanAcks() map[string]PlanAck { return maps.Clone(s.planAcks) }

func (s *State) publishPlan(c Command) (Reply, *Error) {
	switch {
	case c.Plan == nil || c.Plan.Version == 0 || c.ValidFor <= 0:
		return Reply{}, reject(ErrInvalid, "version", "a plan with a version and a time to follow it expected")
	case s.plan != nil && c.Plan.Version <= s.plan.Version:
		return Reply{}, reject(ErrConflict, "version", "version %d is in force", s.plan.Version)
	}
	if rejected := s.checkShadowShares(c.Plan); rejected != nil {
		return Reply{}, rejected
	}
	s.plan, s.planPublished, s.planValidFor = c.Plan, s.now, c.ValidFor
	clear(s.planAcks)
	s.emit(EventPlan, "", encode(map[string]uint64{"version": c.Plan.Version}))
	return Reply{}, nil
}

// checkShadowShares rejects a plan that sends a canary more shadow requests than the canary's exposure cap allows.
func (s *State) checkShadowShares(p *plan.Published) *Error {
	status := s.machine.Status()
	if p.Build != status.Build || status.Phase != policy.Canary {
		return nil
	}
	for zone, weights := range p.ByZone {
		if float64(weights.ShadowShare) > status.ExposureCap*1e6+1 { // ShadowShare is in millionths; 1 allows for rounding
			return reject(ErrConflict, "for."+zone+".copies", "%.3g%% of the tasks would go to build %d, %.3g%% are allowed",
				float64(weights.ShadowShare)/1e4, status.Build, 100*status.ExposureCap)
		}
	}
	return nil
}

func (s *State) ackPlan(c Command) (Reply, *Error) {
	if s.plan == nil || c.PlanAck == nil || c.PlanAck.Version != s.plan.Version {
		return Reply{}, reject(ErrConflict, "version", "this plan is not in force")
	}
	s.planAcks[c.Router] = *c.PlanAck
	return Reply{}, nil
}
