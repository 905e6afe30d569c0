// Package plan computes traffic shares ahead of time: which share of each zone's requests each host should get in each
// step of a forecast, so that capacity, slow start, the limit on traffic between zones and the limits on imbalance are
// kept.
//
// It has no I/O and no clock. A Model is what is known: hosts, demand, limits. Solve returns a Plan with one Step for each
// step of the forecast; a step that can't serve all demand says which constraints contradict each other and what relaxing
// each would cost:
//
//	p, err := plan.Solve(&m) // err: the model is invalid
//	for _, s := range p.Steps {
//		if s.Infeasible != nil {
//			fmt.Println(s.Infeasible)
//		}
//		share := s.Share("north", "host-7") // exact, of the zone's requests
//	}
//
// The goals are met in strict order: to serve all demand, by priority weight; least traffic between zones; most even
// utilization (the largest, then the next largest, and so on); least change of the present shares. The solver is exact: it
// solves linear programs over integers without rounding, and verifies every step host by host in exact rationals. The same
// model gives the same plan in whatever order its hosts are listed.
//
// A Publisher makes new versions of weights as hosts come and go, and suppresses small changes. A Follower is the router's
// part: it rejects versions that are older, expired, or would break a cap. docs/plan.md has the model with its formulas
// and sources.
package plan
