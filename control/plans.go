package control

import (
	"maps"

	"dapplefront/plan"
	"dapplefront/policy"
)

// PlanAck is a router's acknowledgement of the plan in force.
type PlanAck struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason,omitempty"` // why the router does not follow it; empty where it does
}

// ActivePlan is the plan in force and how long it may still be followed from a moment on, which is negative once it has
// expired; nil for none.
func (s *State) ActivePlan(now policy.Time) (*plan.Published, policy.Time) {
	return s.plan, s.planPublished + s.planValidFor - now
}

// PlanAcks are the acknowledgements of the plan in force, by router.
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

// checkShadowShares rejects a plan that gives a canary more requests than its exposure cap.
func (s *State) checkShadowShares(p *plan.Published) *Error {
	status := s.machine.Status()
	if p.Build != status.Build || status.Phase != policy.Canary {
		return nil
	}
	for zone, weights := range p.ByZone {
		if float64(weights.ShadowShare) > status.ExposureCap*1e6+1 { // Copies are millionths; one for rounding
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
