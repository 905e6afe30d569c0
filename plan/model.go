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
	Name   string
	Zone   string
	Build  int
	Weight float64       // seconds of work a second when warm
	Starts time.Duration // when its process starts, from the plan's start; negative for earlier
	Leaves time.Duration // when it drains; 0 for never
	Most   float64       // tasks a second at most, whatever its state; 0 for no such bound
}

// Demand is what one location is asked of one category during a step.
type Demand struct {
	Zone, Class string
	Rate        float64 // tasks a second
	Spread      float64 // of the forecast, one standard deviation in tasks a second
}

// Forecast is the demand of one step.
type Forecast struct {
	At     time.Duration
	Demand []Demand
}

// Cold is how hosts that have just started are treated.
type Cold struct {
	Lasts  time.Duration // until they can do all they can
	Share  float64       // of their size that they can do at the start; it rises evenly
	Tasks  float64       // sent to a host of size 1 within any window at most, as far as it has warmed; 0 for no bound
	Window time.Duration
}

// Limits are what every share must keep.
type Limits struct {
	Reserve    float64 // of each host's capacity, kept free
	Cold       Cold
	Cross      float64 // of a location's tasks, how many may go to other locations
	CrossPrice float64 // of a task that crosses, in earnings
	Between    float64 // no location's use above this many times the fleet's; 0 for no such bound
	Within     float64 // no host's use above this many times its location's; 0 for no such bound
	Spreads    float64 // demand planned for is the forecast and so many spreads
	LoseHost   bool    // the loss of any one host must be survived
	LosePlace  bool    // and the loss of any one location
}

// Stage is one stage of a release.
type Stage struct {
	At    time.Duration // when its hosts start, from the plan's start
	Share float64       // of the places
	Cap   float64       // copies at most, as a share of the tasks taken
}

// Release is a build that comes in stages during the plan.
type Release struct {
	Build      int
	Stages     []Stage
	Released   time.Duration // when it is released, so that its hosts carry tasks; 0 for after the plan
	Guarded    int           // stages that get retriable tasks only
	ByCategory bool          // the cap holds for each category by itself
	Beside     bool          // its hosts are further machines, not replacements
}

// Model is all that a plan is made from.
type Model struct {
	Classes  []Class
	Hosts    []Host
	Forecast []Forecast
	Limits   Limits
	Release  *Release
	Present  Present // what routers follow now; nil for nothing
}

// Present is shares in force: by the location where tasks are taken, then by host.
type Present map[string]map[string]float64

const unit = 1e6 // figures are whole millionths inside: fine enough for tasks a second, and sums stay exact

// most is the largest figure taken in, in its own unit: sums over 100,000 hosts stay within 63 bits.
const most = 1e7

// Check tells all that makes no sense in a model. A plan isn't made from such a model.
func (m *Model) Check() error {
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
		number("category "+c.Name+": earnings", c.PriorityWeight, 0, most)
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
		number("host "+h.Name+": size", h.Weight, 1e-6, most)
		number("host "+h.Name+": most", h.Most, 0, most)
		if h.Leaves != 0 && h.Leaves <= h.Starts {
			wrong("host %s leaves at %v, before it starts at %v", h.Name, h.Leaves, h.Starts)
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
			number(at, d.Rate, 0, most)
			number(at+": spread", d.Spread, 0, most)
		}
	}
	b := m.Limits
	number("reserve", b.Reserve, 0, .99)
	number("crossing", b.Cross, 0, 1)
	number("price of crossing", b.CrossPrice, 0, most)
	number("balance between locations", b.Between, 0, 1000)
	number("balance within locations", b.Within, 0, 1000)
	number("spreads", b.Spreads, -10, 10)
	number("share of a cold host", b.Cold.Share, 0, 1)
	number("tasks for a cold host", b.Cold.Tasks, 0, most)
	if b.Between > 0 && b.Between < 1 || b.Within > 0 && b.Within < 1 {
		wrong("a balance below 1 can't be: someone's use is above the average")
	}
	if b.Cold.Tasks > 0 && b.Cold.Window <= 0 || b.Cold.Lasts < 0 {
		wrong("a cold host's budget needs a window, and its time must not be negative")
	}
	if r := m.Release; r != nil {
		if r.Build <= 0 || len(r.Stages) == 0 {
			wrong("a release needs a build and at least one stage")
		}
		for n, s := range r.Stages {
			number(fmt.Sprintf("stage %d: share", n+1), s.Share, 1e-6, 1)
			number(fmt.Sprintf("stage %d: cap", n+1), s.Cap, 0, 1)
			if n > 0 && (s.At < r.Stages[n-1].At || s.Share < r.Stages[n-1].Share) {
				wrong("stage %d comes earlier or is smaller than the one before", n+1)
			}
		}
	}
	for from, to := range m.Present {
		for host, v := range to {
			number(fmt.Sprintf("present share of %s for %s", host, from), v, 0, 1)
		}
	}
	return errors.Join(all...)
}

// fix turns a figure into millionths, to the nearest; down and up round to the safe side.
func fix(v float64) int64  { return int64(math.Round(v * unit)) }
func down(v float64) int64 { return int64(math.Floor(v*unit + 1e-6)) }
func up(v float64) int64   { return int64(math.Ceil(v*unit - 1e-6)) }

// origin is where tasks are taken, with what is asked of it during a step, in millionths.
type origin struct {
	name  string
	rate  int64 // tasks a second
	work  int64 // seconds of work a second
	worth int64 // earnings a second
	rates []int64
}

// room is what one host can do during a step, in millionths.
type room struct {
	host   *Host
	work   int64 // seconds of work a second, less the reserve
	full   int64 // the same with it
	tasks  int64 // a second; -1 for no bound
	cold   bool
	onTest bool // runs the build on trial: it gets copies, not tasks
}

// Strength is the share of its size that a host can do at a moment; 0 before it starts and once it leaves.
// It rises evenly over the time that hosts are cold, as the module has it (logic.strength).
func (c Cold) Strength(h *Host, at time.Duration) float64 {
	age := at - h.Starts
	switch {
	case age < 0 || h.Leaves != 0 && at >= h.Leaves:
		return 0
	case age >= c.Lasts:
		return 1
	}
	return c.Share + (1-c.Share)*float64(age)/float64(c.Lasts)
}

// rooms are what the hosts can do at a moment, by name. Those that run the build on trial are told apart.
func rooms(hosts []Host, b Limits, at time.Duration, trial int) []room {
	out := make([]room, 0, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		strength := b.Cold.Strength(h, at)
		if strength == 0 {
			continue
		}
		r := room{host: h, work: down(h.Weight * strength * (1 - b.Reserve)), full: down(h.Weight * strength), tasks: -1,
			cold: at-h.Starts < b.Cold.Lasts, onTest: trial != 0 && h.Build == trial}
		if r.cold && b.Cold.Tasks > 0 {
			r.tasks = down(b.Cold.Tasks / b.Cold.Window.Seconds() * h.Weight * strength)
		}
		if h.Most > 0 && (r.tasks < 0 || fix(h.Most) < r.tasks) {
			r.tasks = fix(h.Most)
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b room) int { return cmp.Compare(a.host.Name, b.host.Name) })
	return out
}

// origins are the locations that are asked for something, by name.
func (m *Model) origins(f Forecast) []origin {
	by := map[string]*origin{}
	cats := map[string]int{}
	for i, c := range m.Classes {
		cats[c.Name] = i
	}
	for _, d := range f.Demand {
		rate := up(max(0, d.Rate+m.Limits.Spreads*d.Spread))
		if rate == 0 {
			continue
		}
		o := by[d.Zone]
		if o == nil {
			o = &origin{name: d.Zone, rates: make([]int64, len(m.Classes))}
			by[d.Zone] = o
		}
		i := cats[d.Class]
		c := m.Classes[i]
		o.rate += rate
		o.rates[i] += rate
		o.work += up(float64(rate) / unit * c.Work)
		o.worth += max(1, fix(float64(rate)/unit*c.PriorityWeight)) // what earns nothing is still wanted
	}
	out := make([]origin, 0, len(by))
	for _, o := range by {
		out = append(out, *o)
	}
	slices.SortFunc(out, func(a, b origin) int { return cmp.Compare(a.name, b.name) })
	return out
}
