package plan

import "math/big"

// Share returns the exact share of a zone's requests that a host gets; 0 if the zone or host is not part of the step.
func (s *Step) Share(zone, host string) *big.Rat {
	m, ok := s.members[host]
	if !ok || m.isCanary {
		return new(big.Rat)
	}
	for g, d := range s.demands {
		if d.zone == zone {
			return new(big.Rat).Mul(s.shares[g][m.pool], big.NewRat(m.work, s.pools[m.pool].work))
		}
	}
	return new(big.Rat)
}

// ShadowShare returns the exact share of a zone's shadow requests that a canary host gets; 0 for all other hosts.
func (s *Step) ShadowShare(zone, host string) *big.Rat {
	m, ok := s.members[host]
	if !ok || !m.isCanary {
		return new(big.Rat)
	}
	for _, t := range s.Shadows {
		if t.Zone == zone {
			return new(big.Rat).Mul(t.shares[m.pool], big.NewRat(m.work, s.canaryPools[m.pool].work))
		}
	}
	return new(big.Rat)
}

// UnservedRate returns the rate of requests that are shed, in requests per second.
func (s *Step) UnservedRate() float64 {
	sum := new(big.Rat)
	for g, d := range s.demands {
		sum.Add(sum, new(big.Rat).Mul(s.shed[g], big.NewRat(d.rate, micro)))
	}
	v, _ := sum.Float64()
	return v
}

// CrossZoneRate returns the rate of a zone's requests that go to other zones, in requests per second. The zone "" means
// all zones.
func (s *Step) CrossZoneRate(zone string) float64 {
	sum := new(big.Rat)
	for g, d := range s.demands {
		for p, x := range s.pools {
			if x.zone != d.zone && (zone == "" || zone == d.zone) {
				sum.Add(sum, new(big.Rat).Mul(s.shares[g][p], big.NewRat(d.rate, micro)))
			}
		}
	}
	v, _ := sum.Float64()
	return v
}

// Utilization returns the planned work of a zone's hosts divided by their capacity without the reserve. The zone "" means
// all zones.
func (s *Step) Utilization(zone string) float64 {
	sum, capacity := new(big.Rat), int64(0)
	for p, x := range s.pools {
		if zone != "" && x.zone != zone {
			continue
		}
		capacity += x.work
		for g, d := range s.demands {
			sum.Add(sum, new(big.Rat).Mul(s.shares[g][p], big.NewRat(d.work, 1)))
		}
	}
	if capacity == 0 {
		return 0
	}
	v, _ := sum.Quo(sum, big.NewRat(capacity, 1)).Float64()
	return v
}

// PoolUtilization is the utilization of a group of hosts of one zone that differ only in their weights.
type PoolUtilization struct {
	Zone        string
	Hosts       int
	WarmingUp   bool    // at least one host is warming up
	Capacity    float64 // seconds of work per second, without the reserve
	MaxRate     float64 // requests per second; -1 means no bound
	Rate        float64 // requests per second
	Utilization float64 // share of Capacity
	exact       *big.Rat
}

// PoolUtilizations returns the utilizations of all pools that can serve requests, sorted by zone.
func (s *Step) PoolUtilizations() (out []PoolUtilization) {
	for p, x := range s.pools {
		utilization, rate := new(big.Rat), new(big.Rat)
		for g, d := range s.demands {
			utilization.Add(utilization, new(big.Rat).Mul(s.shares[g][p], big.NewRat(d.work, x.work)))
			rate.Add(rate, new(big.Rat).Mul(s.shares[g][p], big.NewRat(d.rate, micro)))
		}
		u := PoolUtilization{
			Zone: x.zone, Hosts: len(x.hosts), WarmingUp: x.warmingUp, Capacity: float64(x.work) / micro, MaxRate: -1, exact: utilization,
		}
		if x.maxRate >= 0 {
			u.MaxRate = float64(x.maxRate) / micro
		}
		u.Utilization, _ = utilization.Float64()
		u.Rate, _ = rate.Float64()
		out = append(out, u)
	}
	return out
}
