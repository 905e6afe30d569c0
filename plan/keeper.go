package plan

import (
	"fmt"
	"maps"
	"math"
	"time"
)

// Publisher makes versions of weights anew as hosts come and go. It is a state machine without a clock: what it publishes
// depends on what it heard alone, so controllers that hear the same publish the same.
//
// One host's change moves one weight, its own, in each location's table, as long as the weights of the others still keep
// every bound and stay near the best; only then is all weighed anew. What is only a little better waits until it has
// been so for a while.
type Publisher struct {
	Tolerance float64       // how much more than the least possible the largest use may be before all is weighed anew
	HoldTime  time.Duration // how long a better plan must have been better before it is published
	ValidFor  time.Duration // how long a version may be followed

	current      *Published
	outsideSince time.Duration // when the last version first was not near the best
	outside      bool
}

// Last is the version in force, nil for none.
func (k *Publisher) Last() *Published { return k.current }

// Restore sets the version in force, as read from where it was kept.
func (k *Publisher) Restore(p *Published) { k.current, k.outside = p, false }

// Update is what became of a look at the fleet.
type Update struct {
	Published  *Published // nil where the last version stays as it is
	Changed    int        // weights that differ from the last version
	Recomputed bool       // all was weighed anew, rather than hosts carried over
	Reason     string
	Infeasible *Infeasibility
}

// Update looks at the fleet as it is now: the model's first step is the present.
func (k *Publisher) Update(now time.Duration, m *Model) (Update, error) {
	if err := m.Validate(); err != nil {
		return Update{}, err
	}
	f := m.Forecast[0]
	hosts, stage, trial := m.hostsAt(f.At)
	s := &Step{At: f.At, limits: m.Limits, demands: m.zoneDemands(f)}
	s.groupHosts(hostCapacities(hosts, m.Limits, f.At, trial))
	if k.current != nil {
		carried, v, err := k.carry(s)
		near := err == nil && v.maxUtilization <= s.minUtilization()*(1+k.Tolerance) && v.crossZoneRate <= s.minCrossZoneRate()+k.Tolerance*s.totalRate()
		due := k.current.Until-now < k.ValidFor/2 || k.current.Build != trial || k.current.Stage != stage && trial != 0
		if near {
			k.outside = false
		} else if err == nil && !k.outside {
			k.outside, k.outsideSince = true, now
		}
		if err == nil && (near || now-k.outsideSince < k.HoldTime) {
			n := Changed(k.current.For, carried)
			if n == 0 && !due {
				return Update{}, nil
			}
			s.setShadowShares(m, stage, trial, carried)
			return k.publish(now, stage, trial, carried, Update{Changed: n, Reason: "hosts came, left or warmed"}), nil
		}
	}
	with := *m
	with.CurrentShares = k.currentShares(hosts)
	with.Limits.SlowStart.MaxRequests *= 1 - k.Tolerance/2 // so that the weights of bounded hosts can stay when others come or go
	full, err := with.step(0)
	if err != nil {
		return Update{}, err
	}
	weights, err := full.Weights()
	if err != nil {
		return Update{}, fmt.Errorf("weights: %w", err)
	}
	n := len(weights)
	if k.current != nil {
		n = Changed(k.current.For, weights)
	}
	k.outside = false
	if k.current != nil && n == 0 && full.Infeasible == nil && k.current.Until-now >= k.ValidFor/2 {
		return Update{}, nil
	}
	return k.publish(now, stage, trial, weights, Update{Changed: n, Recomputed: true, Reason: "weighed anew", Infeasible: full.Infeasible}), nil
}

func (k *Publisher) publish(now time.Duration, stage, trial int, w map[string]Weights, o Update) Update {
	p := &Published{Version: 1, Stage: stage, Build: trial, For: w, Until: now + k.ValidFor}
	if k.current != nil {
		p.Version = k.current.Version + 1
	}
	k.current, o.Published = p, p
	return o
}

// carry is the last version for the hosts that there are: others' weights stay, a new host gets what its like have for
// each second of work, one that is gone has none.
func (k *Publisher) carry(s *Step) (map[string]Weights, evaluation, error) {
	out := map[string]Weights{}
	for _, o := range s.demands {
		w, ok := k.current.For[o.zone]
		if !ok {
			return nil, evaluation{}, fmt.Errorf("%s was asked for nothing before", o.zone)
		}
		n := Weights{Cross: w.Cross, Copies: w.Copies}
		n.Near = s.carryWeights(w.Near, func(p pool) bool { return p.zone == o.zone })
		if w.Far != nil {
			n.Far = s.carryWeights(w.Far, func(p pool) bool { return p.zone != o.zone })
		}
		out[o.zone] = n
	}
	v, err := s.evaluate(out)
	return out, v, err
}

func (s *Step) carryWeights(was map[string]uint64, of func(pool) bool) map[string]uint64 {
	out := make(map[string]uint64, len(was))
	for _, p := range s.pools {
		if !of(p) {
			continue
		}
		// What hosts of this pool that were weighed before have, for each second of work.
		var weight, work uint64
		for _, r := range p.hosts {
			if w, ok := was[r.host.Name]; ok {
				weight, work = weight+w, work+uint64(r.work)
			}
		}
		for _, r := range p.hosts {
			w, ok := was[r.host.Name]
			if limit := uint64(r.work); ok && w > limit { // it is colder, or smaller, than it was
				w = limit
			} else if !ok && work > 0 {
				w = uint64(float64(weight) / float64(work) * float64(r.work))
			} else if !ok { // none like it was weighed before: it is bounded, or it gets what it can do
				w = uint64(r.work)
				if r.maxRate >= 0 {
					w = s.boundedWeight(r, was)
				}
			} else if p.maxRate < 0 && !r.warmingUp && work > uint64(r.work) {
				w = warmedUpWeight(w, uint64(r.work), weight-w, work-uint64(r.work))
			}
			if w > 0 {
				out[r.host.Name] = w
			}
		}
	}
	return out
}

// warmedUpWeight is the weight of a host that was cold when it was weighed: what others like it have for their work, if that is
// far more.
func warmedUpWeight(w, work, others, theirs uint64) uint64 {
	const far = 0.9 // less than this part of what others have: no rounding
	if like := float64(others) / float64(theirs) * float64(work); float64(w) < far*like {
		return uint64(math.Round(like))
	}
	return w
}

// boundedWeight is a weight that keeps a bounded host within its bound, by the weights that stand.
func (s *Step) boundedWeight(r hostCapacity, was map[string]uint64) uint64 {
	var sum uint64
	for _, w := range was {
		sum += w
	}
	rate := int64(0)
	for _, o := range s.demands {
		if o.zone == r.host.Zone {
			rate = o.rate
		}
	}
	if rate == 0 {
		return uint64(r.work)
	}
	const part = 0.9 // the sum of weights may shrink a little before the next look
	return min(uint64(r.work), uint64(part*float64(r.maxRate)/float64(rate)*float64(sum)))
}

// currentShares is what the hosts get by the version in force, as shares.
func (k *Publisher) currentShares(hosts []Host) Shares {
	if k.current == nil {
		return nil
	}
	here := map[string]bool{}
	for _, h := range hosts {
		here[h.Name] = true
	}
	out := Shares{}
	for place, w := range k.current.For {
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
		cross := float64(w.Cross) / nano
		add(w.Near, 1-cross)
		add(w.Far, cross)
		out[place] = to
	}
	return out
}

// minUtilization is a bound that no share's largest use can be below: all work over all that can be done.
func (s *Step) minUtilization() float64 {
	var work, can int64
	for _, o := range s.demands {
		work += o.work
	}
	for _, p := range s.pools {
		can += p.work
	}
	// Where nothing need cross, each location stands for itself.
	least := float64(work) / max(1, float64(can))
	if s.minCrossZoneRate() > 0 {
		return least
	}
	byPlace := map[string]int64{}
	for _, p := range s.pools {
		byPlace[p.zone] += p.work
	}
	for _, o := range s.demands {
		if c := byPlace[o.zone]; c > 0 {
			least = max(least, float64(o.work)/float64(c))
		}
	}
	return least
}

// minCrossZoneRate is a bound that no share's crossing can be below, in tasks a second: what a location's hosts can't do.
func (s *Step) minCrossZoneRate() (sum float64) {
	can := map[string]float64{}
	for _, o := range s.demands {
		each := float64(o.work) / float64(o.rate)
		for _, p := range s.pools {
			if p.zone != o.zone {
				continue
			}
			n := float64(p.work) / each
			if p.maxRate >= 0 {
				n = min(n, float64(p.maxRate))
			}
			can[o.zone] += n
		}
		sum += max(0, float64(o.rate)-can[o.zone]) / micro
	}
	return sum
}

// totalRate is the tasks a second of all locations.
func (s *Step) totalRate() (sum float64) {
	for _, o := range s.demands {
		sum += float64(o.rate) / micro
	}
	return sum
}

// setShadowShares notes how many copies the stage lets each location make.
func (s *Step) setShadowShares(m *Model, stage, trial int, w map[string]Weights) {
	if trial == 0 {
		for place, x := range w {
			x.Copies = 0
			w[place] = x
		}
		return
	}
	s.planShadows(m, stage)
	full := maps.Clone(w)
	for g, o := range s.demands {
		x := full[o.zone]
		x.Copies = 0
		if c := s.Shadows[g]; o.rate > 0 {
			x.Copies = uint64(c.PlannedRate * micro / float64(o.rate) * micro)
		}
		w[o.zone] = x
	}
}
