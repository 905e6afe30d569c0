package plan

import (
	"errors"
	"fmt"
)

// Bounds on the figures of a model.
const (
	// maxValue is the largest value of a figure, in the figure's unit. With this bound, sums over 100,000 hosts fit into 63
	// bits.
	maxValue     = 1e7
	minValue     = 1e-6 // smallest value of figures that must be above 0
	maxWork      = 1e4  // seconds
	maxReserve   = .99
	maxImbalance = 1000
	maxStdDevs   = 10
)

// Validate returns all errors of a model, joined. No plan is computed from an invalid model.
func (m *Model) Validate() error {
	v := &validation{classes: map[string]bool{}}
	v.checkClasses(m.Classes)
	v.checkHosts(m.Hosts)
	v.checkForecast(m.Forecast)
	v.checkLimits(m.Limits)
	if m.Release != nil {
		v.checkRelease(m.Release)
	}
	for zone, shares := range m.CurrentShares {
		for host, share := range shares {
			v.inRange(fmt.Sprintf("current share of host %s for zone %s", host, zone), share, 0, 1)
		}
	}
	return errors.Join(v.errs...)
}

// validation collects errors.
type validation struct {
	classes map[string]bool
	errs    []error
}

func (v *validation) add(format string, values ...any) {
	v.errs = append(v.errs, fmt.Errorf(format, values...))
}

// inRange adds an error if a figure is out of range or not a number.
func (v *validation) inRange(what string, value, low, high float64) {
	if !(value >= low && value <= high) {
		v.add("%s: a number from %g to %g expected, not %g", what, low, high, value)
	}
}

func (v *validation) checkClasses(classes []Class) {
	for _, c := range classes {
		if c.Name == "" || v.classes[c.Name] {
			v.add("class %q: a unique, non-empty name expected", c.Name)
		}
		v.classes[c.Name] = true
		v.inRange("class "+c.Name+": work", c.Work, minValue, maxWork)
		v.inRange("class "+c.Name+": priority weight", c.PriorityWeight, 0, maxValue)
	}
}

func (v *validation) checkHosts(hosts []Host) {
	names := map[string]bool{}
	for _, h := range hosts {
		if h.Name == "" || names[h.Name] {
			v.add("host %q is listed twice or has no name", h.Name)
		}
		names[h.Name] = true
		if h.Zone == "" {
			v.add("host %s: zone is missing", h.Name)
		}
		v.inRange("host "+h.Name+": weight", h.Weight, minValue, maxValue)
		v.inRange("host "+h.Name+": maximum rate", h.MaxRate, 0, maxValue)
		if h.DrainsAt != 0 && h.DrainsAt <= h.StartsAt {
			v.add("host %s drains at %v, which is not after its start at %v", h.Name, h.DrainsAt, h.StartsAt)
		}
	}
}

func (v *validation) checkForecast(forecast []Forecast) {
	if len(forecast) == 0 {
		v.add("a forecast with at least one step is missing")
	}
	for n, f := range forecast {
		if n > 0 && f.At <= forecast[n-1].At {
			v.add("step %d at %v is not after the previous step", n+1, f.At)
		}
		v.checkDemand(n+1, f.Demand)
	}
}

func (v *validation) checkDemand(step int, demand []Demand) {
	type zoneClass struct{ zone, class string }
	seen := map[zoneClass]bool{}
	for _, d := range demand {
		at := fmt.Sprintf("step %d, demand of %s in %s", step, d.Class, d.Zone)
		if !v.classes[d.Class] {
			v.add("%s: unknown class", at)
		}
		if k := (zoneClass{d.Zone, d.Class}); seen[k] || d.Zone == "" {
			v.add("%s is listed twice or has no zone", at)
		} else {
			seen[k] = true
		}
		v.inRange(at, d.Rate, 0, maxValue)
		v.inRange(at+": standard deviation", d.StdDev, 0, maxValue)
	}
}

func (v *validation) checkLimits(l Limits) {
	v.inRange("reserve", l.Reserve, 0, maxReserve)
	v.inRange("maximum share of cross-zone requests", l.MaxCrossZone, 0, 1)
	v.inRange("price of a cross-zone request", l.CrossZonePrice, 0, maxValue)
	v.inRange("maximum imbalance between zones", l.MaxZoneImbalance, 0, maxImbalance)
	v.inRange("maximum imbalance within zones", l.MaxHostImbalance, 0, maxImbalance)
	v.inRange("standard deviations", l.StdDevs, -maxStdDevs, maxStdDevs)
	v.inRange("slow start: initial capacity", l.SlowStart.InitialCapacity, 0, 1)
	v.inRange("slow start: maximum requests", l.SlowStart.MaxRequests, 0, maxValue)
	if l.MaxZoneImbalance > 0 && l.MaxZoneImbalance < 1 || l.MaxHostImbalance > 0 && l.MaxHostImbalance < 1 {
		v.add("a maximum imbalance below 1 is impossible: the largest utilization is never below the average")
	}
	if l.SlowStart.MaxRequests > 0 && l.SlowStart.Window <= 0 || l.SlowStart.Duration < 0 {
		v.add("slow start: maximum requests need a window above 0, and the duration must not be negative")
	}
}

func (v *validation) checkRelease(r *Release) {
	if r.Build <= 0 || len(r.Stages) == 0 {
		v.add("a release needs a build and at least one stage")
	}
	for n, s := range r.Stages {
		v.inRange(fmt.Sprintf("stage %d: host share", n+1), s.HostShare, minValue, 1)
		v.inRange(fmt.Sprintf("stage %d: shadow cap", n+1), s.ShadowCap, 0, 1)
		if n > 0 && (s.At < r.Stages[n-1].At || s.HostShare < r.Stages[n-1].HostShare) {
			v.add("stage %d is earlier than the previous stage or has a smaller host share", n+1)
		}
	}
}
