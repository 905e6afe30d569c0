package plan

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"dapplefront/policy"
)

// Class is a kind of task.
type Class struct {
	Name           string
	Work           float64 // seconds of work that a task takes on a host of size 1
	Idempotency    policy.Idempotency
	PriorityWeight float64 // of a task answered in time
}

// Host is a machine that can get tasks.
type Host struct {
	Name     string
	Zone     string
	Build    int
	Weight   float64       // seconds of work a second when warm
	StartsAt time.Duration // when its process starts, from the plan's start; negative for earlier
	DrainsAt time.Duration // when it drains; 0 for never
	MaxRate  float64       // tasks a second at most, whatever its state; 0 for no such bound
}

// Demand is what one location is asked of one category during a step.
type Demand struct {
	Zone, Class string
	Rate        float64 // tasks a second
	StdDev      float64 // of the forecast, one standard deviation in tasks a second
}

// Forecast is the demand of one step.
type Forecast struct {
	At     time.Duration
	Demand []Demand
}

// SlowStart is how hosts that have just started are treated.
type SlowStart struct {
	Duration        time.Duration // until they can do all they can
	InitialCapacity float64       // of their size that they can do at the start; it rises evenly
	MaxRequests     float64       // sent to a host of size 1 within any window at most, as far as it has warmed; 0 for no bound
	Window          time.Duration
}

// Limits are what every share must keep.
type Limits struct {
	Reserve          float64 // of each host's capacity, kept free
	SlowStart        SlowStart
	MaxCrossZone     float64 // of a location's tasks, how many may go to other locations
	CrossZonePrice   float64 // of a task that crosses, in earnings
	MaxZoneImbalance float64 // no location's use above this many times the fleet's; 0 for no such bound
	MaxHostImbalance float64 // no host's use above this many times its location's; 0 for no such bound
	StdDevs          float64 // demand planned for is the forecast and so many spreads
	SurviveHostLoss  bool    // the loss of any one host must be survived
	SurviveZoneLoss  bool    // and the loss of any one location
}

// Stage is one stage of a release.
type Stage struct {
	At        time.Duration // when its hosts start, from the plan's start
	HostShare float64       // of the places
	ShadowCap float64       // copies at most, as a share of the tasks taken
}

// Release is a build that comes in stages during the plan.
type Release struct {
	Build         int
	Stages        []Stage
	ReleasedAt    time.Duration // when it is released, so that its hosts carry tasks; 0 for after the plan
	GuardedStages int           // stages that get retriable tasks only
	CapPerClass   bool          // the cap holds for each category by itself
	SideBySide    bool          // its hosts are further machines, not replacements
}

// Model is all that a plan is made from.
type Model struct {
	Classes       []Class
	Hosts         []Host
	Forecast      []Forecast
	Limits        Limits
	Release       *Release
	CurrentShares Shares // what routers follow now; nil for nothing
}

// Shares is shares in force: by the location where tasks are taken, then by host.
type Shares map[string]map[string]float64

const micro = 1e6 // figures are whole millionths inside: fine enough for tasks a second, and sums stay exact

// maxValue is the largest figure taken in, in its own unit: sums over 100,000 hosts stay within 63 bits.
const maxValue = 1e7

// Validate tells all that makes no sense in a model. A plan isn't made from such a model.
func (m *Model) Validate() error {
	var all []error
	wrong := func(format string, values ...any) { all = append(all, fmt.Errorf(format, values...)) }
	number := func(what string, v, low, high float64) {
		if !(v >= low && v <= high) {
			wrong("%s: a number from %g to %g expected, not %g", what, low, high, v)
		}
	}
	cats := map[string]bool{}
	for _, c := range m.Classes {
		if c.Name == "" || cats[c.Name] {
			wrong("category %q: a name of its own expected", c.Name)
		}
		cats[c.Name] = true
		number("category "+c.Name+": work", c.Work, 1e-6, 1e4)
		number("category "+c.Name+": earnings", c.PriorityWeight, 0, maxValue)
	}
	hosts := map[string]bool{}
	for _, h := range m.Hosts {
		if h.Name == "" || hosts[h.Name] {
			wrong("host %q is listed twice or has no name", h.Name)
		}
		hosts[h.Name] = true
		if h.Zone == "" {
			wrong("host %s: a location is missing", h.Name)
		}
		number("host "+h.Name+": size", h.Weight, 1e-6, maxValue)
		number("host "+h.Name+": most", h.MaxRate, 0, maxValue)
		if h.DrainsAt != 0 && h.DrainsAt <= h.StartsAt {
			wrong("host %s leaves at %v, before it starts at %v", h.Name, h.DrainsAt, h.StartsAt)
		}
	}
	if len(m.Forecast) == 0 {
		wrong("a forecast of at least one step is missing")
	}
	for n, f := range m.Forecast {
		if n > 0 && f.At <= m.Forecast[n-1].At {
			wrong("step %d: at %v, which is not after the step before", n+1, f.At)
		}
		named := map[[2]string]bool{}
		for _, d := range f.Demand {
			at := fmt.Sprintf("step %d, demand of %s in %s", n+1, d.Class, d.Zone)
			if !cats[d.Class] {
				wrong("%s: no category has this name", at)
			}
			if k := [2]string{d.Zone, d.Class}; named[k] || d.Zone == "" {
				wrong("%s stands twice or has no location", at)
			} else {
				named[k] = true
			}
			number(at, d.Rate, 0, maxValue)
			number(at+": spread", d.StdDev, 0, maxValue)
		}
	}
	b := m.Limits
	number("reserve", b.Reserve, 0, .99)
	number("crossing", b.MaxCrossZone, 0, 1)
	number("price of crossing", b.CrossZonePrice, 0, maxValue)
	number("balance between locations", b.MaxZoneImbalance, 0, 1000)
	number("balance within locations", b.MaxHostImbalance, 0, 1000)
	number("spreads", b.StdDevs, -10, 10)
	number("share of a cold host", b.SlowStart.InitialCapacity, 0, 1)
	number("tasks for a cold host", b.SlowStart.MaxRequests, 0, maxValue)
	if b.MaxZoneImbalance > 0 && b.MaxZoneImbalance < 1 || b.MaxHostImbalance > 0 && b.MaxHostImbalance < 1 {
		wrong("a balance below 1 can't be: someone's use is above the average")
	}
	if b.SlowStart.MaxRequests > 0 && b.SlowStart.Window <= 0 || b.SlowStart.Duration < 0 {
		wrong("a cold host's budget needs a window, and its time must not be negative")
	}
	if r := m.Release; r != nil {
		if r.Build <= 0 || len(r.Stages) == 0 {
			wrong("a release needs a build and at least one stage")
		}
		for n, s := range r.Stages {
			number(fmt.Sprintf("stage %d: share", n+1), s.HostShare, 1e-6, 1)
			number(fmt.Sprintf("stage %d: cap", n+1), s.ShadowCap, 0, 1)
			if n > 0 && (s.At < r.Stages[n-1].At || s.HostShare < r.Stages[n-1].HostShare) {
				wrong("stage %d comes earlier or is smaller than the one before", n+1)
			}
		}
	}
	for from, to := range m.CurrentShares {
		for host, v := range to {
			number(fmt.Sprintf("present share of %s for %s", host, from), v, 0, 1)
		}
	}
	return errors.Join(all...)
}

// toMicros turns a figure into millionths, to the nearest; down and up round to the safe side.
func toMicros(v float64) int64    { return int64(math.Round(v * micro)) }
func floorMicros(v float64) int64 { return int64(math.Floor(v*micro + 1e-6)) }
func ceilMicros(v float64) int64  { return int64(math.Ceil(v*micro - 1e-6)) }

// zoneDemand is where tasks are taken, with what is asked of it during a step, in millionths.
type zoneDemand struct {
	zone       string
	rate       int64 // tasks a second
	work       int64 // seconds of work a second
	value      int64 // earnings a second
	classRates []int64
}

// hostCapacity is what one host can do during a step, in millionths.
type hostCapacity struct {
	host       *Host
	work       int64 // seconds of work a second, less the reserve
	unreserved int64 // the same with it
	maxRate    int64 // a second; -1 for no bound
	warmingUp  bool
	isCanary   bool // runs the build on trial: it gets copies, not tasks
}

// CapacityFactor is the share of its size that a host can do at a moment; 0 before it starts and once it leaves.
// It rises evenly over the time that hosts are cold, as the module has it (logic.strength).
func (c SlowStart) CapacityFactor(h *Host, at time.Duration) float64 {
	age := at - h.StartsAt
	switch {
	case age < 0 || h.DrainsAt != 0 && at >= h.DrainsAt:
		return 0
	case age >= c.Duration:
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*float64(age)/float64(c.Duration)
}

// hostCapacities are what the hosts can do at a moment, by name. Those that run the build on trial are told apart.
func hostCapacities(hosts []Host, b Limits, at time.Duration, trial int) []hostCapacity {
	out := make([]hostCapacity, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		strength := b.SlowStart.CapacityFactor(h, at)
		if strength == 0 {
			continue
		}
		r := hostCapacity{host: h, work: floorMicros(h.Weight * strength * (1 - b.Reserve)), unreserved: floorMicros(h.Weight * strength), maxRate: -1,
			warmingUp: at-h.StartsAt < b.SlowStart.Duration, isCanary: trial != 0 && h.Build == trial}
		if r.warmingUp && b.SlowStart.MaxRequests > 0 {
			r.maxRate = floorMicros(b.SlowStart.MaxRequests / b.SlowStart.Window.Seconds() * h.Weight * strength)
		}
		if h.MaxRate > 0 && (r.maxRate < 0 || toMicros(h.MaxRate) < r.maxRate) {
			r.maxRate = toMicros(h.MaxRate)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b hostCapacity) int { return cmp.Compare(a.host.Name, b.host.Name) })
	return out
}

// zoneDemands are the locations that are asked for something, by name.
func (m *Model) zoneDemands(f Forecast) []zoneDemand {
	by := map[string]*zoneDemand{}
	cats := map[string]int{}
	for i, c := range m.Classes {
		cats[c.Name] = i
	}
	for _, d := range f.Demand {
		rate := ceilMicros(max(0, d.Rate+m.Limits.StdDevs*d.StdDev))
		if rate == 0 {
			continue
		}
		o := by[d.Zone]
		if o == nil {
			o = &zoneDemand{zone: d.Zone, classRates: make([]int64, len(m.Classes))}
			by[d.Zone] = o
		}
		i := cats[d.Class]
		c := m.Classes[i]
		o.rate += rate
		o.classRates[i] += rate
		o.work += ceilMicros(float64(rate) / micro * c.Work)
		o.value += max(1, toMicros(float64(rate)/micro*c.PriorityWeight)) // what earns nothing is still wanted
	}
	out := make([]zoneDemand, 0, len(by))
	for _, o := range by {
		out = append(out, *o)
	}
	slices.SortFunc(out, func(a, b zoneDemand) int { return cmp.Compare(a.zone, b.zone) })
	return out
}
