package plan

import (
	"fmt"
	"time"
)

// Publisher publishes versions of weights as hosts are added and removed. It is a state machine without a clock: its output
// depends only on the models and times that it is given, so that controllers with the same input publish the same versions.
//
// A change of one host changes only the weight of that host in each zone's table, as long as the resulting weights keep all
// limits and remain within Tolerance of the optimum. Otherwise, all weights are recomputed: at once if they break a limit,
// or after they have been outside the tolerance for RecomputeDelay.
type Publisher struct {
	// Tolerance is the accepted excess over the least possible utilization, as a share of it, and over the least possible
	// cross-zone traffic, as a share of all requests.
	Tolerance      float64
	RecomputeDelay time.Duration // time outside the tolerance before all weights are recomputed
	ValidFor       time.Duration // validity of a version

	current             *Published
	outOfTolerance      bool // the weights in force are outside the tolerance
	outOfToleranceSince time.Duration
}

// Last returns the version in force; nil if there is none.
func (p *Publisher) Last() *Published { return p.current }

// Restore sets the version in force to a stored one.
func (p *Publisher) Restore(v *Published) { p.current, p.outOfTolerance = v, false }

// Update is the result of Publisher.Update.
type Update struct {
	Published  *Published // nil if the last version stays in force
	Changed    int        // number of changed weights and cross-zone shares; for the first version, the number of zones
	Recomputed bool       // whether all weights were recomputed rather than carried over
	Reason     string
	Infeasible *Infeasibility // nil if all demand is served
}

// Update publishes a new version if the current fleet, which is the first step of the model, requires one. It fails for an
// invalid model.
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

// carryOver returns the weights in force, carried over to the current hosts. It reports false if these weights break a limit
// or have been outside the tolerance for RecomputeDelay.
func (p *Publisher) carryOver(now time.Duration, s *Step) (map[string]Weights, bool) {
	weights, v, err := p.carry(s)
	if err != nil {
		return nil, false
	}
	switch {
	case p.withinTolerance(s, v):
		p.outOfTolerance = false
		return weights, true
	case !p.outOfTolerance:
		p.outOfTolerance, p.outOfToleranceSince = true, now
	}
	return weights, now-p.outOfToleranceSince < p.RecomputeDelay
}

func (p *Publisher) withinTolerance(s *Step, v evaluation) bool {
	return v.maxUtilization <= s.minUtilization()*(1+p.Tolerance) &&
		v.crossZoneRate <= s.minCrossZoneRate()+p.Tolerance*s.totalRate()
}

// isDue reports whether a version has to be published although no weight has changed.
func (p *Publisher) isDue(now time.Duration, next Published) bool {
	return p.current.Until-now < p.ValidFor/2 || p.current.Build != next.Build || p.current.Stage != next.Stage && next.Build != 0
}

// recompute computes all weights, with as little change of the current shares as the other goals allow.
func (p *Publisher) recompute(now time.Duration, m *Model, hosts []Host, next Published) (Update, error) {
	reduced := *m
	reduced.CurrentShares = p.currentShares(hosts)
	// The lower bound lets hosts in slow start keep their weights when other hosts are added or removed.
	reduced.Limits.SlowStart.MaxRequests *= 1 - p.Tolerance/2
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
	p.outOfTolerance = false
	if p.current != nil && changed == 0 && s.Infeasible == nil && p.current.Until-now >= p.ValidFor/2 {
		return Update{}, nil
	}
	next.ByZone = weights
	return p.publish(now, next, Update{Changed: changed, Recomputed: true, Reason: "weighed anew", Infeasible: s.Infeasible}), nil
}

// publish assigns the next number to a version and puts it in force.
func (p *Publisher) publish(now time.Duration, next Published, u Update) Update {
	next.Version, next.Until = 1, now+p.ValidFor
	if p.current != nil {
		next.Version = p.current.Version + 1
	}
	p.current, u.Published = &next, &next
	return u
}

// currentShares returns the hosts' shares according to the version in force; nil if there is none.
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

// addShares divides a part of a zone's requests among the hosts that are present, in proportion to their weights.
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
