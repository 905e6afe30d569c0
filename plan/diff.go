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
	Metric   string // unserved, crossing (both in requests per second) or use (a share of the capacity)
	Zone     string // "" means all zones
	Was, Now float64
}

// minChange is the smallest change that is reported: relative for figures above 1, absolute for smaller ones.
const minChange = 1e-3

// Diff returns the differences between two plans in the steps that both have: unserved requests, cross-zone traffic and the
// utilization of each zone.
func Diff(a, b *Plan) (out []Change) {
	for _, s := range a.Steps {
		i := slices.IndexFunc(b.Steps, func(t *Step) bool { return t.At == s.At })
		if i < 0 {
			continue
		}
		t := b.Steps[i]
		add := func(metric, zone string, was, now float64) {
			if math.Abs(was-now) > minChange*max(1, math.Abs(was)) {
				out = append(out, Change{s.At, metric, zone, was, now})
			}
		}
		add("unserved", "", s.UnservedRate(), t.UnservedRate())
		add("crossing", "", s.CrossZoneRate(""), t.CrossZoneRate(""))
		zones := map[string]bool{}
		for _, p := range slices.Concat(s.pools, t.pools) {
			zones[p.zone] = true
		}
		for _, zone := range slices.Sorted(maps.Keys(zones)) {
			add("use", zone, s.Utilization(zone), t.Utilization(zone))
		}
	}
	slices.SortStableFunc(out, func(x, y Change) int { return cmp.Compare(x.At, y.At) })
	return out
}
