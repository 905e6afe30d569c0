package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// micro is the precision of all figures in the solver. They are integers in millionths, which is precise enough for
// request rates and keeps sums exact.
const micro = 1e6

// toMicros rounds a figure to the nearest millionth. floorMicros rounds capacities down and ceilMicros rounds demand up.
func toMicros(v float64) int64    { return int64(math.Round(v * micro)) }
func floorMicros(v float64) int64 { return int64(math.Floor(v*micro + 1e-6)) }
func ceilMicros(v float64) int64  { return int64(math.Ceil(v*micro - 1e-6)) }

// zoneDemand is the demand of a zone during a step, in millionths.
type zoneDemand struct {
	zone       string
	rate       int64   // requests per second
	work       int64   // seconds of work per second
	value      int64   // priority weight per second
	classRates []int64 // rate by class
}

// hostCapacity is the capacity of a host during a step, in millionths.
type hostCapacity struct {
	host       *Host
	work       int64 // seconds of work per second, without the reserve
	unreserved int64 // seconds of work per second, including the reserve
	maxRate    int64 // requests per second; -1 means no bound
	warmingUp  bool
	isCanary   bool // the host runs the build that is being released and gets shadow requests only
}

// CapacityFactor returns the share of a host's weight that is available at a time: 0 before the host starts and once it
// drains. It rises linearly during slow start, in the same way as in routers.
func (s SlowStart) CapacityFactor(h *Host, at time.Duration) float64 {
	age := at - h.StartsAt
	switch {
	case age < 0 || h.DrainsAt != 0 && at >= h.DrainsAt:
		return 0
	case age >= s.Duration:
		return 1
	}
	return s.InitialCapacity + (1-s.InitialCapacity)*float64(age)/float64(s.Duration)
}

// hostCapacities returns the capacities at a time of the hosts whose capacity is above 0, sorted by name. It sets isCanary
// for hosts that run the canary build. canary is the number of that build, or 0 if there is none.
func hostCapacities(hosts []Host, l Limits, at time.Duration, canary int) []hostCapacity {
	out := make([]hostCapacity, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		factor := l.SlowStart.CapacityFactor(h, at)
		if factor == 0 {
			continue
		}
		c := hostCapacity{
			host: h, work: floorMicros(h.Weight * factor * (1 - l.Reserve)), unreserved: floorMicros(h.Weight * factor), maxRate: -1,
			warmingUp: at-h.StartsAt < l.SlowStart.Duration, isCanary: canary != 0 && h.Build == canary,
		}
		if c.warmingUp && l.SlowStart.MaxRequests > 0 {
			c.maxRate = floorMicros(l.SlowStart.MaxRequests / l.SlowStart.Window.Seconds() * h.Weight * factor)
		}
		if h.MaxRate > 0 && (c.maxRate < 0 || toMicros(h.MaxRate) < c.maxRate) {
			c.maxRate = toMicros(h.MaxRate)
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b hostCapacity) int { return cmp.Compare(a.host.Name, b.host.Name) })
	return out
}

// zoneDemands returns the demands of the zones whose demand is above 0, sorted by name.
func (m *Model) zoneDemands(f Forecast) []zoneDemand {
	byZone := map[string]*zoneDemand{}
	classIndex := map[string]int{}
	for i, c := range m.Classes {
		classIndex[c.Name] = i
	}
	for _, d := range f.Demand {
		rate := ceilMicros(max(0, d.Rate+m.Limits.StdDevs*d.StdDev))
		if rate == 0 {
			continue
		}
		z := byZone[d.Zone]
		if z == nil {
			z = &zoneDemand{zone: d.Zone, classRates: make([]int64, len(m.Classes))}
			byZone[d.Zone] = z
		}
		i := classIndex[d.Class]
		c := m.Classes[i]
		z.rate += rate
		z.classRates[i] += rate
		z.work += ceilMicros(float64(rate) / micro * c.Work)
		z.value += max(1, toMicros(float64(rate)/micro*c.PriorityWeight)) // requests of weight 0 must be served too
	}
	out := make([]zoneDemand, 0, len(byZone))
	for _, z := range byZone {
		out = append(out, *z)
	}
	slices.SortFunc(out, func(a, b zoneDemand) int { return cmp.Compare(a.zone, b.zone) })
	return out
}
