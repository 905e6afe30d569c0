package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Change is one figure in which two plans differ.
type Change struct {
	At       time.Duration
	Metric   string // unserved, crossing, use, tasks
	Zone     string
	Was, Now float64
}

// Diff are the differences between two plans, step by step as far as both have the same moments: what is served, what
// crosses, and how each location is used, by more than a thousandth.
func Diff(a, b *Plan) (out []Change) {
	for _, s := range a.Steps {
		i := slices.IndexFunc(b.Steps, func(t *Step) bool { return t.At == s.At })
		if i < 0 {
			continue
		}
		t := b.Steps[i]
		add := func(what, location string, was, now float64) {
			if math.Abs(was-now) > 1e-3*max(1, math.Abs(was)) {
				out = append(out, Change{s.At, what, location, was, now})
			}
		}
		add("unserved", "", s.UnservedRate(), t.UnservedRate())
		add("crossing", "", s.CrossZoneRate(""), t.CrossZoneRate(""))
		places := map[string]bool{}
		for _, x := range append(slices.Clone(s.pools), t.pools...) {
			places[x.zone] = true
		}
		for _, p := range slices.Sorted(maps.Keys(places)) {
			add("use", p, s.Utilization(p), t.Utilization(p))
		}
	}
	slices.SortStableFunc(out, func(x, y Change) int { return cmp.Compare(x.At, y.At) })
	return out
}
