package plan

import (
	"fmt"
	"math/big"
	"slices"
	"strings"
	"time"
)

// Unfit says why a step can't serve all that is asked, and what would.
type Unfit struct {
	Unserved float64  // tasks a second
	Because  []string // the smallest set of bounds that contradict each other, in plain words
	Ways     []Way    // each would do by itself, the cheapest first
}

// Way is the least relaxation of one kind that would do.
type Way struct {
	What  string
	Price float64 // in earnings, for as long as the step lasts where it says nothing else: a second
}

func (u *Unfit) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.4g tasks a second can't be served: %s", u.Unserved, strings.Join(u.Because, "; "))
	for i, w := range u.Ways {
		fmt.Fprintf(&b, "%s%s (%.4g in earnings a second)", []string{". What would do: ", "; or "}[min(i, 1)], w.What, w.Price)
	}
	return b.String()
}

// unfit finds the contradiction and the ways out of it.
func (m *Model) unfit(s *Step, n int) *Unfit {
	u := &Unfit{Unserved: s.Unserved()}
	for _, g := range s.conflict() {
		u.Because = append(u.Because, s.words(g))
	}
	// To shed: what the first goal left.
	worth := new(big.Rat)
	var parts []string
	for g, o := range s.origins {
		if s.shed[g].Sign() > 0 {
			worth.Add(worth, new(big.Rat).Mul(s.shed[g], big.NewRat(o.worth, unit)))
			v, _ := new(big.Rat).Mul(s.shed[g], big.NewRat(o.rate, unit)).Float64()
			parts = append(parts, fmt.Sprintf("%.4g tasks a second of %s", v, o.name))
		}
	}
	shed, _ := worth.Float64()
	u.Ways = append(u.Ways, Way{"turn back " + strings.Join(parts, " and "), shed})
	if w, ok := m.crossMore(s); ok {
		u.Ways = append(u.Ways, w)
	}
	if w, ok := m.wait(s, n, shed); ok {
		u.Ways = append(u.Ways, w)
	}
	slices.SortStableFunc(u.Ways, func(a, b Way) int {
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

// conflict is a smallest set of bounds that no share keeps. One is found by leaving bounds out one by one as long as the
// rest still contradict each other; then all smaller sets are tried.
func (s *Step) conflict() []group {
	var all []group
	places := map[string]bool{}
	for _, o := range s.origins {
		all = append(all, group{ofDemand, o.name})
		if s.bounds.Cross < 1 {
			all = append(all, group{ofCrossing, o.name})
		}
	}
	for _, p := range s.pools {
		if !places[p.place] {
			places[p.place] = true
			all = append(all, group{ofCapacity, p.place})
			if s.bounds.Between > 0 {
				all = append(all, group{ofBetween, p.place})
			}
			if s.bounds.Within > 0 {
				all = append(all, group{ofWithin, p.place})
			}
		}
		if g := (group{ofCold, p.place}); p.tasks >= 0 && !slices.Contains(all, g) {
			all = append(all, g)
		}
	}
	slices.SortFunc(all, func(a, b group) int {
		if a.kind != b.kind {
			return int(b.kind - a.kind) // leave out the less telling ones first
		}
		return strings.Compare(a.place, b.place)
	})
	contradict := func(some []group) bool {
		l := s.program(func(g group) bool { return slices.Contains(some, g) }, nil)
		l.serve()
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
	slices.SortFunc(found, func(a, b group) int {
		if a.kind != b.kind {
			return int(a.kind - b.kind)
		}
		return strings.Compare(a.place, b.place)
	})
	return found
}

// subset is the first of the sets of a size that holds, as long as tries are left.
func subset(all []group, size int, left *int, holds func([]group) bool) []group {
	var some []group
	var try func(from int) bool
	try = func(from int) bool {
		if len(some) == size {
			*left--
			return slices.ContainsFunc(some, func(g group) bool { return g.kind == ofDemand }) && holds(some)
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

// words say a bound as operators would.
func (s *Step) words(g group) string {
	var hosts, cold int
	var can, tasks float64
	bounded := false
	for _, p := range s.pools {
		if p.place != g.place {
			continue
		}
		hosts += len(p.rooms)
		can += float64(p.work) / unit
		if p.cold {
			cold += len(p.rooms)
		}
		if p.tasks >= 0 {
			bounded = true
			tasks += float64(p.tasks) / unit
		}
	}
	switch g.kind {
	case ofDemand:
		for _, o := range s.origins {
			if o.name == g.place {
				return fmt.Sprintf("%s is asked %.4g tasks a second, %.4g s of work", g.place, float64(o.rate)/unit, float64(o.work)/unit)
			}
		}
	case ofCapacity:
		return fmt.Sprintf("%s has %d hosts for %.4g s of work a second, %.3g%% kept in reserve", g.place, hosts, can, 100*s.bounds.Reserve)
	case ofCold:
		if only := cold == hosts && bounded; only {
			return fmt.Sprintf("%s has only hosts started less than %v ago: %.4g tasks a second at most", g.place,
				s.bounds.Cold.Lasts, tasks)
		}
		return fmt.Sprintf("%d hosts in %s started less than %v ago or are bounded: %.4g tasks a second at most", max(cold, 1), g.place,
			s.bounds.Cold.Lasts, tasks)
	case ofCrossing:
		for _, p := range s.pools {
			if p.place == g.place {
				return fmt.Sprintf("at most %.3g%% of the tasks of %s may cross", 100*s.bounds.Cross, g.place)
			}
		}
		return fmt.Sprintf("%s has no host, and at most %.3g%% of its tasks may cross", g.place, 100*s.bounds.Cross)
	case ofBetween:
		return fmt.Sprintf("%s may be used at most %.3g times as much as the fleet", g.place, s.bounds.Between)
	case ofWithin:
		return fmt.Sprintf("no host in %s may be used more than %.3g times as much as its location", g.place, s.bounds.Within)
	}
	return fmt.Sprintf("%s: bound %d", g.place, g.kind)
}

// crossMore is the least crossing with which all would be served, if any.
func (m *Model) crossMore(s *Step) (Way, bool) {
	if s.bounds.Cross >= 1 {
		return Way{}, false
	}
	free := *s
	free.bounds.Cross = 1
	l := free.program(everything, nil)
	l.serve()
	l.crossLeast()
	l.read(&free)
	if free.Unserved() > 0 {
		return Way{}, false
	}
	var parts []string
	for _, o := range free.origins {
		if n := free.Crossing(o.name); n > 0 {
			parts = append(parts, fmt.Sprintf("%.3g%% of the tasks of %s", 100*n*unit/float64(o.rate), o.name))
		}
	}
	return Way{"let " + strings.Join(parts, " and ") + " cross", free.Crossing("") * m.Limits.CrossPrice}, true
}

// wait is how long it takes until all could be served at this step's demand as hosts warm up, to a tenth of a second,
// at most until the last of them is warm.
func (m *Model) wait(s *Step, n int, shed float64) (Way, bool) {
	served := func(at time.Duration) bool {
		hosts, _, trial := m.hostsAt(at)
		x := &Step{At: at, bounds: s.bounds, origins: s.origins}
		x.place(rooms(hosts, s.bounds, at, trial))
		x.serveOnly()
		return x.Unserved() == 0
	}
	var last time.Duration
	hosts, _, _ := m.hostsAt(s.At)
	for _, h := range hosts {
		last = max(last, h.Starts+s.bounds.Cold.Lasts)
	}
	if n+1 < len(m.Forecast) {
		last = min(last, m.Forecast[n+1].At)
	}
	if last <= s.At || !served(last) {
		return Way{}, false
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
	return Way{fmt.Sprintf("wait until %v, when the hosts are warm enough, and turn back less and less meanwhile", high), shed / 2}, true
}
