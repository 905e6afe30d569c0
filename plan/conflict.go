package plan

import (
	"cmp"
	"fmt"
	"slices"
)

// maxConflictTries bounds the sets of constraints that are tried: with more than three zones and every limit there are
// too many sets of four.
const maxConflictTries = 3000

// conflictingConstraints returns a smallest set of constraints that contradict each other. One set is found by leaving out
// constraints one by one as long as the others still contradict each other; then all smaller sets are tried.
func (s *Step) conflictingConstraints() []constraint {
	all := s.constraints()
	found := slices.Clone(all)
	for i := 0; i < len(found); {
		if rest := slices.Delete(slices.Clone(found), i, i+1); s.contradict(rest) {
			found = rest
		} else {
			i++
		}
	}
	left := maxConflictTries
	for size := 1; size < len(found) && left > 0; size++ {
		if smaller := firstSubset(all, size, &left, s.contradict); smaller != nil {
			found = smaller
			break
		}
	}
	slices.SortFunc(found, func(a, b constraint) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.zone, b.zone))
	})
	return found
}

// constraints returns all constraints of a step, the less informative kinds first, as these are left out first.
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

// contradict reports whether demand is left unserved under some constraints only.
func (s *Step) contradict(some []constraint) bool {
	l := s.program(func(c constraint) bool { return slices.Contains(some, c) }, nil)
	l.minimizeShed()
	return slices.ContainsFunc(l.shed, func(column int) bool { return l.value(column).Sign() > 0 })
}

// firstSubset returns the first subset of a size, with a demand in it, for which a condition is true; nil if there is none
// or no tries are left.
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

// zoneSummary is what descriptions say of a zone's hosts.
type zoneSummary struct {
	hosts, warmingUp int
	work             float64 // seconds a second
	maxRate          float64 // requests a second, of the hosts that have a bound
	bounded          bool    // some host has a bound
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

// describe describes a constraint for operators.
func (s *Step) describe(c constraint) string {
	z := s.summarize(c.zone)
	switch c.kind {
	case demandConstraint:
		for _, d := range s.demands {
			if d.zone == c.zone {
				return fmt.Sprintf("%s is asked %.4g tasks a second, %.4g s of work", c.zone, float64(d.rate)/micro, float64(d.work)/micro)
			}
		}
	case capacityConstraint:
		return fmt.Sprintf("%s has %d hosts for %.4g s of work a second, %.3g%% kept in reserve", c.zone, z.hosts, z.work, 100*s.limits.Reserve)
	case rateConstraint:
		if z.warmingUp == z.hosts && z.bounded {
			return fmt.Sprintf("%s has only hosts started less than %v ago: %.4g tasks a second at most", c.zone,
				s.limits.SlowStart.Duration, z.maxRate)
		}
		return fmt.Sprintf("%d hosts in %s started less than %v ago or are bounded: %.4g tasks a second at most", max(z.warmingUp, 1), c.zone,
			s.limits.SlowStart.Duration, z.maxRate)
	case crossZoneConstraint:
		if z.hosts > 0 {
			return fmt.Sprintf("at most %.3g%% of the tasks of %s may cross", 100*s.limits.MaxCrossZone, c.zone)
		}
		return fmt.Sprintf("%s has no host, and at most %.3g%% of its tasks may cross", c.zone, 100*s.limits.MaxCrossZone)
	case zoneBalanceConstraint:
		return fmt.Sprintf("%s may be used at most %.3g times as much as the fleet", c.zone, s.limits.MaxZoneImbalance)
	case hostBalanceConstraint:
		return fmt.Sprintf("no host in %s may be used more than %.3g times as much as its location", c.zone, s.limits.MaxHostImbalance)
	}
	return fmt.Sprintf("%s: bound %d", c.zone, c.kind)
}
