package plan

import (
	"fmt"
	"maps"
	"math"
)

// carry returns the weights in force, carried over to the hosts of a step. A host keeps its weight unless its capacity has
// decreased or it has warmed up. A new host gets the weight that other hosts of its pool have per second of work. A removed
// host has no weight.
func (p *Publisher) carry(s *Step) (map[string]Weights, evaluation, error) {
	carried := map[string]Weights{}
	for _, d := range s.demands {
		w, ok := p.current.ByZone[d.zone]
		if !ok {
			return nil, evaluation{}, fmt.Errorf("the version in force has no weights for zone %s", d.zone)
		}
		n := Weights{CrossZoneShare: w.CrossZoneShare, ShadowShare: w.ShadowShare}
		n.Local = s.carryWeights(w.Local, func(p pool) bool { return p.zone == d.zone })
		if w.Remote != nil {
			n.Remote = s.carryWeights(w.Remote, func(p pool) bool { return p.zone != d.zone })
		}
		carried[d.zone] = n
	}
	v, err := s.evaluate(carried)
	return carried, v, err
}

// carryWeights carries over the weights of the hosts of the pools for which include returns true.
func (s *Step) carryWeights(last map[string]uint64, include func(pool) bool) map[string]uint64 {
	carried := make(map[string]uint64, len(last))
	for _, p := range s.pools {
		if !include(p) {
			continue
		}
		var weight, work uint64 // sums over the hosts of this pool that had a weight
		for _, h := range p.hosts {
			if w, ok := last[h.host.Name]; ok {
				weight, work = weight+w, work+uint64(h.work)
			}
		}
		for _, h := range p.hosts {
			if w := s.carryWeight(p, h, last, weight, work); w > 0 {
				carried[h.host.Name] = w
			}
		}
	}
	return carried
}

// carryWeight returns the weight of one host. weight and work are the sums over the hosts of its pool that had a weight.
func (s *Step) carryWeight(p pool, h hostCapacity, last map[string]uint64, weight, work uint64) uint64 {
	w, ok := last[h.host.Name]
	capacity := uint64(h.work)
	switch {
	case ok && w > capacity: // the host's capacity has decreased
		return capacity
	case !ok && work > 0:
		return uint64(float64(weight) / float64(work) * float64(h.work))
	case !ok && h.maxRate >= 0:
		return s.boundedWeight(h, last)
	case !ok:
		return capacity
	case p.maxRate < 0 && !h.warmingUp && work > capacity:
		return warmedUpWeight(w, capacity, weight-w, work-capacity)
	}
	return w
}

// warmedUpWeight returns the weight of a host that has warmed up but may still have its weight from slow start. If the
// weight is clearly below the one that the other hosts of the pool have for the same work, the host gets the same weight per
// second of work as they have.
func warmedUpWeight(w, work, othersWeight, othersWork uint64) uint64 {
	const minRatio = 0.9 // a lower ratio to the other hosts' weight is not a rounding error
	if expected := float64(othersWeight) / float64(othersWork) * float64(work); float64(w) < minRatio*expected {
		return uint64(math.Round(expected))
	}
	return w
}

// boundedWeight returns a weight that keeps a host within its rate bound, given the weights of all other hosts.
func (s *Step) boundedWeight(h hostCapacity, last map[string]uint64) uint64 {
	const margin = 0.9 // the sum of the weights may decrease slightly before the next update
	var sum uint64
	for _, w := range last {
		sum += w
	}
	rate := int64(0)
	for _, d := range s.demands {
		if d.zone == h.host.Zone {
			rate = d.rate
		}
	}
	if rate == 0 {
		return uint64(h.work)
	}
	return min(uint64(h.work), uint64(margin*float64(h.maxRate)/float64(rate)*float64(sum)))
}

// minUtilization returns a lower bound on the largest utilization that any shares can have: all work divided by all
// capacity and, if no requests have to go to other zones, the same ratio for each zone.
func (s *Step) minUtilization() float64 {
	var work, capacity int64
	for _, d := range s.demands {
		work += d.work
	}
	zoneCapacity := map[string]int64{}
	for _, p := range s.pools {
		capacity += p.work
		zoneCapacity[p.zone] += p.work
	}
	least := float64(work) / max(1, float64(capacity))
	if s.minCrossZoneRate() > 0 {
		return least
	}
	for _, d := range s.demands {
		if c := zoneCapacity[d.zone]; c > 0 {
			least = max(least, float64(d.work)/float64(c))
		}
	}
	return least
}

// minCrossZoneRate returns a lower bound on the cross-zone traffic that any shares can have, in requests per second: the
// demand of each zone that its own hosts can't serve.
func (s *Step) minCrossZoneRate() (sum float64) {
	for _, d := range s.demands {
		capacity := 0.0
		workPerRequest := float64(d.work) / float64(d.rate)
		for _, p := range s.pools {
			if p.zone != d.zone {
				continue
			}
			rate := float64(p.work) / workPerRequest
			if p.maxRate >= 0 {
				rate = min(rate, float64(p.maxRate))
			}
			capacity += rate
		}
		sum += max(0, float64(d.rate)-capacity) / micro
	}
	return sum
}

// totalRate returns the demand of all zones in requests per second.
func (s *Step) totalRate() (sum float64) {
	for _, d := range s.demands {
		sum += float64(d.rate) / micro
	}
	return sum
}

// setShadowShares sets each zone's planned share of shadow requests in a stage, or 0 if there is no canary build.
func (s *Step) setShadowShares(m *Model, stage, canary int, weights map[string]Weights) {
	if canary == 0 {
		for zone, w := range weights {
			w.ShadowShare = 0
			weights[zone] = w
		}
		return
	}
	s.planShadows(m, stage)
	last := maps.Clone(weights)
	for g, d := range s.demands {
		w := last[d.zone]
		w.ShadowShare = 0
		if t := s.Shadows[g]; d.rate > 0 {
			w.ShadowShare = uint64(t.PlannedRate * micro / float64(d.rate) * micro)
		}
		weights[d.zone] = w
	}
}
