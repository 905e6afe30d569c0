// Package plan computes traffic shares ahead of time: which share of each zone's requests each host should get in each
// step of a forecast, within the hosts' capacity, slow start, the limit on cross-zone traffic and the limits on imbalance.
//
// It has no I/O and no clock. A Model holds the input: hosts, demand and limits. Solve returns a Plan with one Step for
// each step of the forecast. A step that can't serve all demand reports which constraints conflict with each other, and
// the possible relaxations with their costs:
//
//	p, err := plan.Solve(&m) // err: the model is invalid
//	for _, s := range p.Steps {
//		if s.Infeasible != nil {
//			fmt.Println(s.Infeasible)
//		}
//		share := s.Share("north", "host-7") // exact, of the zone's requests
//	}
//
// The solver optimizes these goals in strict order: serve all demand, weighted by priority; minimize cross-zone traffic;
// minimize the largest utilization, then the next largest, and so on; minimize the change from the current shares. The
// solver is exact: it solves linear programs over integers without rounding, and verifies every step host by host in exact
// rationals. The plan does not depend on the order in which the model lists its hosts.
//
// A Publisher publishes new versions of weights as hosts are added and removed, and suppresses small changes. A Follower
// is the router's part: it rejects a version that is older than the one in force, has expired, or would exceed a cap.
// docs/plan.md describes the model with its formulas and sources.
package plan
