package plan

import (
	"cmp"
	"fmt"
	"math/big"
	"slices"
	"strings"
	"time"
)

// Infeasibility explains why a step can't serve all demand and which relaxations would make it feasible.
type Infeasibility struct {
	UnservedRate float64      // requests per second
	Conflicts    []string     // descriptions of the constraints that conflict with each other
	Relaxations  []Relaxation // alternatives, each sufficient on its own, sorted by increasing price
}

// Relaxation is the least relaxation of one kind that makes a step feasible.
type Relaxation struct {
	Description string
	Price       float64 // in priority weight per second
}

// String returns a description of the infeasibility in one line.
func (i *Infeasibility) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.4g requests/s can't be served: %s", i.UnservedRate, strings.Join(i.Conflicts, "; "))
	for n, r := range i.Relaxations {
		fmt.Fprintf(&b, "%s%s (cost: %.4g in earnings per second)", []string{". Possible relaxations: ", "; or "}[min(n, 1)], r.Description, r.Price)
	}
	return b.String()
}

// infeasibility explains a step that leaves demand unserved.
func (m *Model) infeasibility(s *Step, step int) *Infeasibility {
	result := &Infeasibility{UnservedRate: s.UnservedRate()}
	for _, c := range s.conflictingConstraints() {
		result.Conflicts = append(result.Conflicts, s.describe(c))
	}
	shed := s.shedUnserved()
	result.Relaxations = append(result.Relaxations, shed)
	if r, ok := m.relaxCrossZone(s); ok {
		result.Relaxations = append(result.Relaxations, r)
	}
	if r, ok := m.waitForWarmUp(s, step, shed.Price); ok {
		result.Relaxations = append(result.Relaxations, r)
	}
	slices.SortStableFunc(result.Relaxations, func(a, b Relaxation) int { return cmp.Compare(a.Price, b.Price) })
	return result
}

// shedUnserved returns the relaxation that sheds the requests that the solution leaves unserved.
func (s *Step) shedUnserved() Relaxation {
	value := new(big.Rat)
	var parts []string
	for g, d := range s.demands {
		if s.shed[g].Sign() > 0 {
			value.Add(value, new(big.Rat).Mul(s.shed[g], big.NewRat(d.value, micro)))
			rate, _ := new(big.Rat).Mul(s.shed[g], big.NewRat(d.rate, micro)).Float64()
			parts = append(parts, fmt.Sprintf("%.4g requests/s of zone %s", rate, d.zone))
		}
	}
	price, _ := value.Float64()
	return Relaxation{"shed " + strings.Join(parts, " and "), price}
}

// relaxCrossZone returns the least cross-zone traffic with which all demand would be served. It reports false if no amount
// of it suffices or if cross-zone traffic is not limited.
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
	for _, d := range free.demands {
		if rate := free.CrossZoneRate(d.zone); rate > 0 {
			parts = append(parts, fmt.Sprintf("%.3g%% of the requests of zone %s", 100*rate*micro/float64(d.rate), d.zone))
		}
	}
	price := free.CrossZoneRate("") * m.Limits.CrossZonePrice
	return Relaxation{"let " + strings.Join(parts, " and ") + " go to other zones", price}, true
}

// waitForWarmUp returns the time, rounded up to a tenth of a second, at which enough hosts have warmed up to serve all
// demand of the step. It reports false if this time is not within the step. The price is half of the price of the demand
// that is shed at the step's start, because the shed demand decreases while hosts warm up.
func (m *Model) waitForWarmUp(s *Step, step int, shedPrice float64) (Relaxation, bool) {
	const precision = 100 * time.Millisecond
	feasible := func(at time.Duration) bool {
		hosts, _, canary := m.hostsAt(at)
		x := &Step{At: at, limits: s.limits, demands: s.demands}
		x.groupHosts(hostCapacities(hosts, s.limits, at, canary))
		x.minimizeUnserved()
		return x.UnservedRate() == 0
	}
	last := m.warmedUpAt(s)
	if step+1 < len(m.Forecast) {
		last = min(last, m.Forecast[step+1].At)
	}
	if last <= s.At || !feasible(last) {
		return Relaxation{}, false
	}
	low, high := s.At, last
	for high-low > precision/10 {
		if mid := low + (high-low)/2; feasible(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	high = (high + precision - 1).Truncate(precision)
	return Relaxation{fmt.Sprintf("wait until %v after the plan's start, when enough hosts have warmed up, and shed less and less until then", high), shedPrice / 2}, true
}

// warmedUpAt returns the time at which the last host of a step has warmed up.
func (m *Model) warmedUpAt(s *Step) (last time.Duration) {
	hosts, _, _ := m.hostsAt(s.At)
	for _, h := range hosts {
		last = max(last, h.StartsAt+s.limits.SlowStart.Duration)
	}
	return last
}
