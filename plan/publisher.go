package plan

import (
	"fmt"
	"time"
)

// Publisher makes versions of weights as hosts come and go. It is a state machine without a clock: what it publishes
// depends only on the models that it is given, so that controllers with the same models publish the same.
//
// A change of one host moves one weight in each zone's table, its own, as long as the weights of the others keep every
// limit and stay within Tolerance of the optimum. Only then are all weights recomputed, and where the present ones still
// keep the limits, only after HoldTime outside the tolerance.
type Publisher struct {
	Tolerance float64       // relative to the least possible utilization and traffic between zones
	HoldTime  time.Duration // outside the tolerance before all weights are recomputed
	ValidFor  time.Duration // of a version

	current      *Published
	outside      bool // the weights in force are outside the tolerance
	outsideSince time.Duration
}

// Last returns the version in force; nil for none.
func (p *Publisher) Last() *Published { return p.current }

// Restore sets the version in force, as it was stored.
func (p *Publisher) Restore(v *Published) { p.current, p.outside = v, false }

// Update is the outcome of an update of the fleet.
type Update struct {
	Published  *Published // nil where the last version stays in force
	Changed    int        // weights that differ from the last version
	Recomputed bool       // all weights were recomputed, rather than carried over
	Reason     string
	Infeasible *Infeasibility // nil where all demand is served
}

// Update considers the fleet as it is now, which is the first step of the model. It fails for an invalid model.
func (p *Publisher) Update(now time.Duration, m *Model) (Update, error) {
	if err := m.Validate(); err != nil {
		return Update{}, err
	}
	f := m.Forecast[0]
	hosts, stage, canary := m.hostsAt(f.At)
	next := Published{Stage: stage, Build: canary}
	if p.current != nil {
		s := m.newStep(f, hostCapacities(hosts, m.Limits, f.At, canary))
		if weights, ok := p.carryOver(now, s); ok {
			changed := Changed(p.current.ByZone, weights)
			if changed == 0 && !p.isDue(now, next) {
				return Update{}, nil
			}
			s.setShadowShares(m, stage, canary, weights)
			next.ByZone = weights
			return p.publish(now, next, Update{Changed: changed, Reason: "hosts came, left or warmed"}), nil
		}
	}
	return p.recompute(now, m, hosts, next)
}

// carryOver returns the weights in force for the present hosts. It reports false where they break a limit, or have been
// outside the tolerance for HoldTime.
func (p *Publisher) carryOver(now time.Duration, s *Step) (map[string]Weights, bool) {
	weights, v, err := p.carry(s)
	if err != nil {
		return nil, false
	}
	switch {
	case p.withinTolerance(s, v):
		p.outside = false
		return weights, true
	case !p.outside:
		p.outside, p.outsideSince = true, now
	}
	return weights, now-p.outsideSince < p.HoldTime
}

func (p *Publisher) withinTolerance(s *Step, v evaluation) bool {
	return v.maxUtilization <= s.minUtilization()*(1+p.Tolerance) &&
		v.crossZoneRate <= s.minCrossZoneRate()+p.Tolerance*s.totalRate()
}

// isDue reports whether a version has to be published though no weight has changed.
func (p *Publisher) isDue(now time.Duration, next Published) bool {
	return p.current.Until-now < p.ValidFor/2 || p.current.Build != next.Build || p.current.Stage != next.Stage && next.Build != 0
}

// recompute computes all weights, with as little change of the present shares as the other goals allow.
func (p *Publisher) recompute(now time.Duration, m *Model, hosts []Host, next Published) (Update, error) {
	reduced := *m
	reduced.CurrentShares = p.currentShares(hosts)
	reduced.Limits.SlowStart.MaxRequests *= 1 - p.Tolerance/2 // so that bounded hosts keep their weights when others come or go
	s, err := reduced.step(0)
	if err != nil {
		return Update{}, err
	}
	weights, err := s.Weights()
	if err != nil {
		return Update{}, fmt.Errorf("weights: %w", err)
	}
	changed := len(weights)
	if p.current != nil {
		changed = Changed(p.current.ByZone, weights)
	}
	p.outside = false
	if p.current != nil && changed == 0 && s.Infeasible == nil && p.current.Until-now >= p.ValidFor/2 {
		return Update{}, nil
	}
	next.ByZone = weights
	return p.publish(now, next, Update{Changed: changed, Recomputed: true, Reason: "weighed anew", Infeasible: s.Infeasible}), nil
}

// publish numbers a version and puts it in force.
func (p *Publisher) publish(now time.Duration, next Published, u Update) Update {
	next.Version, next.Until = 1, now+p.ValidFor
	if p.current != nil {
		next.Version = p.current.Version + 1
	}
	p.current, u.Published = &next, &next
	return u
}

// currentShares returns the shares that the hosts have by the version in force; nil for none.
func (p *Publisher) currentShares(hosts []Host) Shares {
	if p.current == nil {
		return nil
	}
	present := map[string]bool{}
	for _, h := range hosts {
		present[h.Name] = true
	}
	shares := Shares{}
	for zone, w := range p.current.ByZone {
		crossZone := float64(w.CrossZoneShare) / nano
		shares[zone] = map[string]float64{}
		addShares(shares[zone], w.Local, present, 1-crossZone)
		addShares(shares[zone], w.Remote, present, crossZone)
	}
	return shares
}

// addShares divides a part of a zone's requests among the hosts that are present, by their weights.
func addShares(shares map[string]float64, weights map[string]uint64, present map[string]bool, part float64) {
	var sum uint64
	for name, weight := range weights {
		if present[name] {
			sum += weight
		}
	}
	for name, weight := range weights {
		if present[name] {
			shares[name] = min(1, part*float64(weight)/float64(sum))
		}
	}
}
