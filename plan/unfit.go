package plan

import (
	"fmt"
	"math/big"
	"slices"
	"strings"
	"time"
)

// Infeasibility says why a step can't serve all that is asked, and what would.
type Infeasibility struct {
	UnservedRate float64      // tasks a second
	Conflicts    []string     // the smallest set of bounds that contradict each other, in plain words
	Relaxations  []Relaxation // each would do by itself, the cheapest first
}

// Relaxation is the least relaxation of one kind that would do.
type Relaxation struct {
	Description string
	Price       float64 // in earnings, for as long as the step lasts where it says nothing else: a second
}

func (u *Infeasibility) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.4g tasks a second can't be served: %s", u.UnservedRate, strings.Join(u.Conflicts, "; "))
	for i, w := range u.Relaxations {
		fmt.Fprintf(&b, "%s%s (%.4g in earnings a second)", []string{". What would do: ", "; or "}[min(i, 1)], w.Description, w.Price)
	}
	return b.String()
}

// infeasibility finds the contradiction and the ways out of it.
func (m *Model) infeasibility(s *Step, n int) *Infeasibility {
	u := &Infeasibility{UnservedRate: s.UnservedRate()}
	for _, g := range s.conflictingConstraints() {
		u.Conflicts = append(u.Conflicts, s.describe(g))
	}
	// To shed: what the first goal left.
	worth := new(big.Rat)
	var parts []string
	for g, o := range s.demands {
		if s.shed[g].Sign() > 0 {
			worth.Add(worth, new(big.Rat).Mul(s.shed[g], big.NewRat(o.value, micro)))
			v, _ := new(big.Rat).Mul(s.shed[g], big.NewRat(o.rate, micro)).Float64()
			parts = append(parts, fmt.Sprintf("%.4g tasks a second of %s", v, o.zone))
		}
	}
	shed, _ := worth.Float64()
	u.Relaxations = append(u.Relaxations, Relaxation{"turn back " + strings.Join(parts, " and "), shed})
	if w, ok := m.relaxCrossZone(s); ok {
		u.Relaxations = append(u.Relaxations, w)
	}
	if w, ok := m.waitForWarmUp(s, n, shed); ok {
		u.Relaxations = append(u.Relaxations, w)
	}
	slices.SortStableFunc(u.Relaxations, func(a, b Relaxation) int {
		switch {
		case a.Price < b.Price:
			return -1
		case a.Price > b.Price:
			return 1
		}
		return 0
	})
	return u
}

// conflictingConstraints is a smallest set of bounds that no share keeps. One is found by leaving bounds out one by one as long as the
// rest still contradict each other; then all smaller sets are tried.
func (s *Step) conflictingConstraints() []constraint {
	var all []constraint
	places := map[string]bool{}
	for _, o := range s.demands {
		all = append(all, constraint{demandConstraint, o.zone})
		if s.limits.MaxCrossZone < 1 {
			all = append(all, constraint{crossZoneConstraint, o.zone})
		}
	}
	for _, p := range s.pools {
		if !places[p.zone] {
			places[p.zone] = true
			all = append(all, constraint{capacityConstraint, p.zone})
			if s.limits.MaxZoneImbalance > 0 {
				all = append(all, constraint{zoneBalanceConstraint, p.zone})
			}
			if s.limits.MaxHostImbalance > 0 {
				all = append(all, constraint{hostBalanceConstraint, p.zone})
			}
		}
		if g := (constraint{rateConstraint, p.zone}); p.maxRate >= 0 && !slices.Contains(all, g) {
			all = append(all, g)
		}
	}
	slices.SortFunc(all, func(a, b constraint) int {
		if a.kind != b.kind {
			return int(b.kind - a.kind) // leave out the less telling ones first
		}
		return strings.Compare(a.zone, b.zone)
	})
	contradict := func(some []constraint) bool {
		l := s.program(func(g constraint) bool { return slices.Contains(some, g) }, nil)
		l.minimizeShed()
		for _, c := range l.shed {
			if l.value(c).Sign() > 0 {
				return true
			}
		}
		return false
	}
	found := slices.Clone(all)
	for i := 0; i < len(found); {
		if rest := slices.Delete(slices.Clone(found), i, i+1); contradict(rest) {
			found = rest
		} else {
			i++
		}
	}
	const tries = 3000 // sets; more than three locations with every bound there is need for sets of four
	left := tries
	for size := 1; size < len(found) && left > 0; size++ {
		if some := subset(all, size, &left, contradict); some != nil {
			found = some
			break
		}
	}
	slices.SortFunc(found, func(a, b constraint) int {
		if a.kind != b.kind {
			return int(a.kind - b.kind)
		}
		return strings.Compare(a.zone, b.zone)
	})
	return found
}

// subset is the first of the sets of a size that holds, as long as tries are left.
func subset(all []constraint, size int, left *int, holds func([]constraint) bool) []constraint {
	var some []constraint
	var try func(from int) bool
	try = func(from int) bool {
		if len(some) == size {
			*left--
			return slices.ContainsFunc(some, func(g constraint) bool { return g.kind == demandConstraint }) && holds(some)
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

// describe say a bound as operators would.
func (s *Step) describe(g constraint) string {
	var hosts, cold int
	var can, tasks float64
	bounded := false
	for _, p := range s.pools {
		if p.zone != g.zone {
			continue
		}
		hosts += len(p.hosts)
		can += float64(p.work) / micro
		if p.warmingUp {
			cold += len(p.hosts)
		}
		if p.maxRate >= 0 {
			bounded = true
			tasks += float64(p.maxRate) / micro
		}
	}
	switch g.kind {
	case demandConstraint:
		for _, o := range s.demands {
			if o.zone == g.zone {
				return fmt.Sprintf("%s is asked %.4g tasks a second, %.4g s of work", g.zone, float64(o.rate)/micro, float64(o.work)/micro)
			}
		}
	case capacityConstraint:
		return fmt.Sprintf("%s has %d hosts for %.4g s of work a second, %.3g%% kept in reserve", g.zone, hosts, can, 100*s.limits.Reserve)
	case rateConstraint:
		if only := cold == hosts && bounded; only {
			return fmt.Sprintf("%s has only hosts started less than %v ago: %.4g tasks a second at most", g.zone,
				s.limits.SlowStart.Duration, tasks)
		}
		return fmt.Sprintf("%d hosts in %s started less than %v ago or are bounded: %.4g tasks a second at most", max(cold, 1), g.zone,
			s.limits.SlowStart.Duration, tasks)
	case crossZoneConstraint:
		for _, p := range s.pools {
			if p.zone == g.zone {
				return fmt.Sprintf("at most %.3g%% of the tasks of %s may cross", 100*s.limits.MaxCrossZone, g.zone)
			}
		}
		return fmt.Sprintf("%s has no host, and at most %.3g%% of its tasks may cross", g.zone, 100*s.limits.MaxCrossZone)
	case zoneBalanceConstraint:
		return fmt.Sprintf("%s may be used at most %.3g times as much as the fleet", g.zone, s.limits.MaxZoneImbalance)
	case hostBalanceConstraint:
		return fmt.Sprintf("no host in %s may be used more than %.3g times as much as its location", g.zone, s.limits.MaxHostImbalance)
	}
	return fmt.Sprintf("%s: bound %d", g.zone, g.kind)
}

// relaxCrossZone is the least crossing with which all would be served, if any.
func (m *Model) relaxCrossZone(s *Step) (Relaxation, bool) {
	if s.limits.MaxCrossZone >= 1 {
		return Relaxation{}, false
	}
	free := *s
	free.limits.MaxCrossZone = 1
	l := free.program(everyConstraint, nil)
	l.minimizeShed()
	l.minimizeCrossZone()
	l.readSolution(&free)
	if free.UnservedRate() > 0 {
		return Relaxation{}, false
	}
	var parts []string
	for _, o := range free.demands {
		if n := free.CrossZoneRate(o.zone); n > 0 {
			parts = append(parts, fmt.Sprintf("%.3g%% of the tasks of %s", 100*n*micro/float64(o.rate), o.zone))
		}
	}
	return Relaxation{"let " + strings.Join(parts, " and ") + " cross", free.CrossZoneRate("") * m.Limits.CrossZonePrice}, true
}

// waitForWarmUp is how long it takes until all could be served at this step's demand as hosts warm up, to a tenth of a second,
// at most until the last of them is warm.
func (m *Model) waitForWarmUp(s *Step, n int, shed float64) (Relaxation, bool) {
	served := func(at time.Duration) bool {
		hosts, _, trial := m.hostsAt(at)
		x := &Step{At: at, limits: s.limits, demands: s.demands}
		x.groupHosts(hostCapacities(hosts, s.limits, at, trial))
		x.minimizeUnserved()
		return x.UnservedRate() == 0
	}
	var last time.Duration
	hosts, _, _ := m.hostsAt(s.At)
	for _, h := range hosts {
		last = max(last, h.StartsAt+s.limits.SlowStart.Duration)
	}
	if n+1 < len(m.Forecast) {
		last = min(last, m.Forecast[n+1].At)
	}
	if last <= s.At || !served(last) {
		return Relaxation{}, false
	}
	const grain = 100 * time.Millisecond
	low, high := s.At, last
	for high-low > grain/10 {
		if mid := low + (high-low)/2; served(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	high = (high + grain - 1).Truncate(grain)
	return Relaxation{fmt.Sprintf("wait until %v, when the hosts are warm enough, and turn back less and less meanwhile", high), shed / 2}, true
}
