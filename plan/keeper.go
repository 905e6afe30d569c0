package plan

import (
	"fmt"
	"maps"
	"math"
	"time"
)

// Keeper makes versions of weights anew as hosts come and go. It is a state machine without a clock: what it publishes
// depends on what it heard alone, so controllers that hear the same publish the same.
//
// One host's change moves one weight, its own, in each location's table, as long as the weights of the others still keep
// every bound and stay near the best; only then is all weighed anew. What is only a little better waits until it has
// been so for a while.
type Keeper struct {
	Near float64       // how much more than the least possible the largest use may be before all is weighed anew
	Hold time.Duration // how long a better plan must have been better before it is published
	For  time.Duration // how long a version may be followed

	last  *Published
	since time.Duration // when the last version first was not near the best
	worse bool
}

// Last is the version in force, nil for none.
func (k *Keeper) Last() *Published { return k.last }

// Restore sets the version in force, as read from where it was kept.
func (k *Keeper) Restore(p *Published) { k.last, k.worse = p, false }

// Outcome is what became of a look at the fleet.
type Outcome struct {
	Published *Published // nil where the last version stays as it is
	Changed   int        // weights that differ from the last version
	Whole     bool       // all was weighed anew, rather than hosts carried over
	Why       string
	Unfit     *Unfit
}

// Hear looks at the fleet as it is now: the model's first step is the present.
func (k *Keeper) Hear(now time.Duration, m *Model) (Outcome, error) {
	if err := m.Check(); err != nil {
		return Outcome{}, err
	}
	f := m.Forecast[0]
	hosts, stage, trial := m.hostsAt(f.At)
	s := &Step{At: f.At, bounds: m.Limits, origins: m.origins(f)}
	s.place(rooms(hosts, m.Limits, f.At, trial))
	if k.last != nil {
		carried, v, err := k.carry(s)
		near := err == nil && v.use <= s.leastUse()*(1+k.Near) && v.cross <= s.leastCrossing()+k.Near*s.asked()
		due := k.last.Until-now < k.For/2 || k.last.Build != trial || k.last.Stage != stage && trial != 0
		if near {
			k.worse = false
		} else if err == nil && !k.worse {
			k.worse, k.since = true, now
		}
		if err == nil && (near || now-k.since < k.Hold) {
			n := Changed(k.last.For, carried)
			if n == 0 && !due {
				return Outcome{}, nil
			}
			s.copiesInto(m, stage, trial, carried)
			return k.publish(now, stage, trial, carried, Outcome{Changed: n, Why: "hosts came, left or warmed"}), nil
		}
	}
	with := *m
	with.Present = k.present(hosts)
	with.Limits.Cold.Tasks *= 1 - k.Near/2 // so that the weights of bounded hosts can stay when others come or go
	full, err := with.step(0)
	if err != nil {
		return Outcome{}, err
	}
	weights, err := full.Weights()
	if err != nil {
		return Outcome{}, fmt.Errorf("weights: %w", err)
	}
	n := len(weights)
	if k.last != nil {
		n = Changed(k.last.For, weights)
	}
	k.worse = false
	if k.last != nil && n == 0 && full.Unfit == nil && k.last.Until-now >= k.For/2 {
		return Outcome{}, nil
	}
	return k.publish(now, stage, trial, weights, Outcome{Changed: n, Whole: true, Why: "weighed anew", Unfit: full.Unfit}), nil
}

func (k *Keeper) publish(now time.Duration, stage, trial int, w map[string]Weights, o Outcome) Outcome {
	p := &Published{Version: 1, Stage: stage, Build: trial, For: w, Until: now + k.For}
	if k.last != nil {
		p.Version = k.last.Version + 1
	}
	k.last, o.Published = p, p
	return o
}

// carry is the last version for the hosts that there are: others' weights stay, a new host gets what its like have for
// each second of work, one that is gone has none.
func (k *Keeper) carry(s *Step) (map[string]Weights, verdict, error) {
	out := map[string]Weights{}
	for _, o := range s.origins {
		w, ok := k.last.For[o.name]
		if !ok {
			return nil, verdict{}, fmt.Errorf("%s was asked for nothing before", o.name)
		}
		n := Weights{Cross: w.Cross, Copies: w.Copies}
		n.Near = s.carried(w.Near, func(p pool) bool { return p.place == o.name })
		if w.Far != nil {
			n.Far = s.carried(w.Far, func(p pool) bool { return p.place != o.name })
		}
		out[o.name] = n
	}
	v, err := s.judge(out)
	return out, v, err
}

func (s *Step) carried(was map[string]uint64, of func(pool) bool) map[string]uint64 {
	out := make(map[string]uint64, len(was))
	for _, p := range s.pools {
		if !of(p) {
			continue
		}
		// What hosts of this pool that were weighed before have, for each second of work.
		var weight, work uint64
		for _, r := range p.rooms {
			if w, ok := was[r.host.Name]; ok {
				weight, work = weight+w, work+uint64(r.work)
			}
		}
		for _, r := range p.rooms {
			w, ok := was[r.host.Name]
			if limit := uint64(r.work); ok && w > limit { // it is colder, or smaller, than it was
				w = limit
			} else if !ok && work > 0 {
				w = uint64(float64(weight) / float64(work) * float64(r.work))
			} else if !ok { // none like it was weighed before: it is bounded, or it gets what it can do
				w = uint64(r.work)
				if r.tasks >= 0 {
					w = s.fits(r, was)
				}
			} else if p.tasks < 0 && !r.cold && work > uint64(r.work) {
				w = warmed(w, uint64(r.work), weight-w, work-uint64(r.work))
			}
			if w > 0 {
				out[r.host.Name] = w
			}
		}
	}
	return out
}

// warmed is the weight of a host that was cold when it was weighed: what others like it have for their work, if that is
// far more.
func warmed(w, work, others, theirs uint64) uint64 {
	const far = 0.9 // less than this part of what others have: no rounding
	if like := float64(others) / float64(theirs) * float64(work); float64(w) < far*like {
		return uint64(math.Round(like))
	}
	return w
}

// fits is a weight that keeps a bounded host within its bound, by the weights that stand.
func (s *Step) fits(r room, was map[string]uint64) uint64 {
	var sum uint64
	for _, w := range was {
		sum += w
	}
	rate := int64(0)
	for _, o := range s.origins {
		if o.name == r.host.Zone {
			rate = o.rate
		}
	}
	if rate == 0 {
		return uint64(r.work)
	}
	const part = 0.9 // the sum of weights may shrink a little before the next look
	return min(uint64(r.work), uint64(part*float64(r.tasks)/float64(rate)*float64(sum)))
}

// present is what the hosts get by the version in force, as shares.
func (k *Keeper) present(hosts []Host) Present {
	if k.last == nil {
		return nil
	}
	here := map[string]bool{}
	for _, h := range hosts {
		here[h.Name] = true
	}
	out := Present{}
	for place, w := range k.last.For {
		to := map[string]float64{}
		add := func(of map[string]uint64, part float64) {
			var sum uint64
			for name, x := range of {
				if here[name] {
					sum += x
				}
			}
			for name, x := range of {
				if here[name] {
					to[name] = min(1, part*float64(x)/float64(sum))
				}
			}
		}
		cross := float64(w.Cross) / fine
		add(w.Near, 1-cross)
		add(w.Far, cross)
		out[place] = to
	}
	return out
}

// leastUse is a bound that no share's largest use can be below: all work over all that can be done.
func (s *Step) leastUse() float64 {
	var work, can int64
	for _, o := range s.origins {
		work += o.work
	}
	for _, p := range s.pools {
		can += p.work
	}
	// Where nothing need cross, each location stands for itself.
	least := float64(work) / max(1, float64(can))
	if s.leastCrossing() > 0 {
		return least
	}
	byPlace := map[string]int64{}
	for _, p := range s.pools {
		byPlace[p.place] += p.work
	}
	for _, o := range s.origins {
		if c := byPlace[o.name]; c > 0 {
			least = max(least, float64(o.work)/float64(c))
		}
	}
	return least
}

// leastCrossing is a bound that no share's crossing can be below, in tasks a second: what a location's hosts can't do.
func (s *Step) leastCrossing() (sum float64) {
	can := map[string]float64{}
	for _, o := range s.origins {
		each := float64(o.work) / float64(o.rate)
		for _, p := range s.pools {
			if p.place != o.name {
				continue
			}
			n := float64(p.work) / each
			if p.tasks >= 0 {
				n = min(n, float64(p.tasks))
			}
			can[o.name] += n
		}
		sum += max(0, float64(o.rate)-can[o.name]) / unit
	}
	return sum
}

// asked is the tasks a second of all locations.
func (s *Step) asked() (sum float64) {
	for _, o := range s.origins {
		sum += float64(o.rate) / unit
	}
	return sum
}

// copiesInto notes how many copies the stage lets each location make.
func (s *Step) copiesInto(m *Model, stage, trial int, w map[string]Weights) {
	if trial == 0 {
		for place, x := range w {
			x.Copies = 0
			w[place] = x
		}
		return
	}
	s.copies(m, stage)
	full := maps.Clone(w)
	for g, o := range s.origins {
		x := full[o.name]
		x.Copies = 0
		if c := s.Copies[g]; o.rate > 0 {
			x.Copies = uint64(c.Planned * unit / float64(o.rate) * unit)
		}
		w[o.name] = x
	}
}
