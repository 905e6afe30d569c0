package plan

import (
	"cmp"
	"fmt"
	"slices"
)

// maxConflictTries bounds the number of constraint sets that are tried. With more than three zones and all limits set,
// there are too many sets of four constraints to try them all.
const maxConflictTries = 3000

// conflictingConstraints returns the smallest set that it finds of constraints that conflict with each other. It first finds
// a set by removing constraints one by one while the remaining ones still conflict. Then it tries up to maxConflictTries
// smaller sets, by increasing size.
func (s *Step) conflictingConstraints() []constraint {
	all := s.constraints()
	found := slices.Clone(all)
	for i := 0; i < len(found); {
		if rest := slices.Delete(slices.Clone(found), i, i+1); s.infeasibleUnder(rest) {
			found = rest
		} else {
			i++
		}
	}
	left := maxConflictTries
	for size := 1; size < len(found) && left > 0; size++ {
		if smaller := firstSubset(all, size, &left, s.infeasibleUnder); smaller != nil {
			found = smaller
			break
		}
	}
	slices.SortFunc(found, func(a, b constraint) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.zone, b.zone))
	})
	return found
}

// constraints returns all constraints of a step. The less informative kinds come first, so that they are removed first.
func (s *Step) constraints() (all []constraint) {
	for _, d := range s.demands {
		all = append(all, constraint{demandConstraint, d.zone})
		if s.limits.MaxCrossZone < 1 {
			all = append(all, constraint{crossZoneConstraint, d.zone})
		}
	}
	zones := map[string]bool{}
	for _, p := range s.pools {
		if !zones[p.zone] {
			zones[p.zone] = true
			all = append(all, constraint{capacityConstraint, p.zone})
			if s.limits.MaxZoneImbalance > 0 {
				all = append(all, constraint{zoneBalanceConstraint, p.zone})
			}
			if s.limits.MaxHostImbalance > 0 {
				all = append(all, constraint{hostBalanceConstraint, p.zone})
			}
		}
		if c := (constraint{rateConstraint, p.zone}); p.maxRate >= 0 && !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b constraint) int {
		return cmp.Or(cmp.Compare(b.kind, a.kind), cmp.Compare(a.zone, b.zone))
	})
	return all
}

// infeasibleUnder reports whether some constraints alone leave demand unserved.
func (s *Step) infeasibleUnder(some []constraint) bool {
	l := s.program(func(c constraint) bool { return slices.Contains(some, c) }, nil)
	l.minimizeShed()
	return slices.ContainsFunc(l.shed, func(column int) bool { return l.value(column).Sign() > 0 })
}

// firstSubset returns the first subset of the given size that contains a demand and satisfies the condition. It returns nil
// if there is none, or if the number of remaining tries (left) reaches 0.
func firstSubset(all []constraint, size int, left *int, condition func([]constraint) bool) []constraint {
	var some []constraint
	isDemand := func(c constraint) bool { return c.kind == demandConstraint }
	var try func(from int) bool
	try = func(from int) bool {
		if len(some) == size {
			*left--
			return slices.ContainsFunc(some, isDemand) && condition(some)
		}
		for i := from; i < len(all) && *left > 0; i++ {
			some = append(some, all[i])
			if try(i + 1) {
				return true
			}
			some = some[:len(some)-1]
		}
		return false
	}
	if try(0) {
		return some
	}
	return nil
}

// zoneSummary summarizes a zone's hosts for descriptions of constraints.
type zoneSummary struct {
	hosts, warmingUp int
	work             float64 // capacity in seconds of work per second, without the reserve
	maxRate          float64 // requests per second that the hosts with a rate bound can get
	bounded          bool    // at least one host has a rate bound
}

func (s *Step) summarize(zone string) (z zoneSummary) {
	for _, p := range s.pools {
		if p.zone != zone {
			continue
		}
		z.hosts += len(p.hosts)
		z.work += float64(p.work) / micro
		if p.warmingUp {
			z.warmingUp += len(p.hosts)
		}
		if p.maxRate >= 0 {
			z.bounded = true
			z.maxRate += float64(p.maxRate) / micro
		}
	}
	return z
}

// describe returns a description of a constraint for operators.
func (s *Step) describe(c constraint) string {
	z := s.summarize(c.zone)
	switch c.kind {
	case demandConstraint:
		for _, d := range s.demands {
			if d.zone == c.zone {
				return fmt.Sprintf("zone %s has a demand of %.4g requests/s, %.4g s of work per second", c.zone, float64(d.rate)/micro, float64(d.work)/micro)
			}
		}
	case capacityConstraint:
		return fmt.Sprintf("zone %s has %d hosts with a capacity of %.4g s of work per second, without the reserve of %.3g%%", c.zone, z.hosts, z.work, 100*s.limits.Reserve)
	case rateConstraint:
		if z.warmingUp == z.hosts && z.bounded {
			return fmt.Sprintf("zone %s has only hosts that started less than %v ago: at most %.4g requests/s", c.zone,
				s.limits.SlowStart.Duration, z.maxRate)
		}
		return fmt.Sprintf("%d hosts in zone %s started less than %v ago or have a rate bound: at most %.4g requests/s", max(z.warmingUp, 1), c.zone,
			s.limits.SlowStart.Duration, z.maxRate)
	case crossZoneConstraint:
		if z.hosts > 0 {
			return fmt.Sprintf("at most %.3g%% of the requests of zone %s may go to other zones", 100*s.limits.MaxCrossZone, c.zone)
		}
		return fmt.Sprintf("zone %s has no host, and at most %.3g%% of its requests may go to other zones", c.zone, 100*s.limits.MaxCrossZone)
	case zoneBalanceConstraint:
		return fmt.Sprintf("the utilization of zone %s may be at most %.3g times that of the fleet", c.zone, s.limits.MaxZoneImbalance)
	case hostBalanceConstraint:
		return fmt.Sprintf("the utilization of each host in zone %s may be at most %.3g times that of the zone", c.zone, s.limits.MaxHostImbalance)
	}
	return fmt.Sprintf("zone %s: constraint of kind %d", c.zone, c.kind)
}
