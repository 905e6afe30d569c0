package plan

import (
	"fmt"
	"math/big"
)

// verify goes through every bound, host by host, with the shares as they are handed out and figures taken from the model
// anew, in exact rationals. It trusts nothing that the solver worked out.
func (s *Step) verify(m *Model, hosts []Host, stage, trial int) error {
	b := s.limits
	one := big.NewRat(1, 1)
	origins := m.zoneDemands(m.Forecast[indexOf(m, s)])
	work, tasks := map[string]*big.Rat{}, map[string]*big.Rat{} // by host
	add := func(to map[string]*big.Rat, name string, v *big.Rat) {
		if to[name] == nil {
			to[name] = new(big.Rat)
		}
		to[name].Add(to[name], v)
	}
	all := hostCapacities(hosts, b, s.At, trial)
	for g, o := range origins {
		sum, crosses := new(big.Rat).Set(s.shed[g]), new(big.Rat)
		for _, r := range all {
			x := s.Share(o.zone, r.host.Name)
			if x.Sign() == 0 {
				continue
			}
			if x.Sign() < 0 {
				return fmt.Errorf("%s gets less than nothing from %s", r.host.Name, o.zone)
			}
			if r.isCanary {
				return fmt.Errorf("%s runs the build on trial, but gets tasks from %s", r.host.Name, o.zone)
			}
			sum.Add(sum, x)
			if r.host.Zone != o.zone {
				crosses.Add(crosses, x)
			}
			add(work, r.host.Name, new(big.Rat).Mul(x, big.NewRat(o.work, 1)))
			add(tasks, r.host.Name, new(big.Rat).Mul(x, big.NewRat(o.rate, 1)))
		}
		if sum.Cmp(one) != 0 || s.shed[g].Sign() < 0 {
			return fmt.Errorf("shares of %s sum up to %s", o.zone, sum.FloatString(9))
		}
		if b.MaxCrossZone < 1 && crosses.Cmp(big.NewRat(toMicros(b.MaxCrossZone), micro)) > 0 {
			return fmt.Errorf("%s of the tasks of %s cross", crosses.FloatString(9), o.zone)
		}
	}
	for _, c := range s.Shadows {
		allowed := new(big.Rat)
		for _, o := range origins {
			if o.zone == c.Zone {
				allowed, _ = o.shadowDemand(m, m.Release, stage)
			}
		}
		if c.rate.Cmp(allowed) > 0 {
			return fmt.Errorf("copies in %s go beyond the cap of stage %d", c.Zone, stage+1)
		}
		for _, r := range all {
			if x := s.ShadowShare(c.Zone, r.host.Name); x.Sign() != 0 {
				if !r.isCanary {
					return fmt.Errorf("%s gets copies, but does not run the build on trial", r.host.Name)
				}
				add(work, r.host.Name, new(big.Rat).Mul(x, c.work))
				add(tasks, r.host.Name, new(big.Rat).Mul(x, c.rate))
			}
		}
	}
	workOf, capOf := map[string]*big.Rat{}, map[string]int64{}
	var workAll, capAll int64
	for _, o := range origins {
		workAll += o.work
	}
	for _, r := range all {
		w, n := work[r.host.Name], tasks[r.host.Name]
		if !r.isCanary {
			capOf[r.host.Zone] += r.work
			capAll += r.work
		}
		if w == nil {
			continue
		}
		if w.Cmp(big.NewRat(r.work, 1)) > 0 {
			return fmt.Errorf("%s gets %s of work, %d can be done", r.host.Name, w.FloatString(3), r.work)
		}
		if r.maxRate >= 0 && n.Cmp(big.NewRat(r.maxRate, 1)) > 0 {
			return fmt.Errorf("%s gets %s tasks, %d are allowed", r.host.Name, n.FloatString(3), r.maxRate)
		}
		if !r.isCanary {
			add(workOf, r.host.Zone, w)
		}
	}
	for place, w := range workOf {
		if b.MaxZoneImbalance > 0 && w.Cmp(new(big.Rat).SetInt(scaledShare(toMicros(b.MaxZoneImbalance), workAll, capOf[place], capAll))) > 0 {
			return fmt.Errorf("%s is used more than the balance between locations allows", place)
		}
	}
	if b.MaxHostImbalance == 0 {
		return nil
	}
	for _, r := range all {
		if w := work[r.host.Name]; w != nil && !r.isCanary {
			most := new(big.Rat).Mul(big.NewRat(toMicros(b.MaxHostImbalance), micro), workOf[r.host.Zone])
			most.Mul(most, big.NewRat(r.work, capOf[r.host.Zone]))
			if w.Cmp(most) > 0 {
				return fmt.Errorf("%s is used more than the balance within its location allows", r.host.Name)
			}
		}
	}
	return nil
}

func indexOf(m *Model, s *Step) int {
	for i, f := range m.Forecast {
		if f.At == s.At {
			return i
		}
	}
	return 0
}

// Share is the exact part of the tasks taken in a location that a host gets; 0 for one that the step doesn't know.
func (s *Step) Share(origin, host string) *big.Rat {
	at, ok := s.members[host]
	if !ok || at.isCanary {
		return new(big.Rat)
	}
	for g, o := range s.demands {
		if o.zone == origin {
			return new(big.Rat).Mul(s.shares[g][at.pool], big.NewRat(at.work, s.pools[at.pool].work))
		}
	}
	return new(big.Rat)
}

// ShadowShare is the exact part of the copies made in a location that a host on trial gets.
func (s *Step) ShadowShare(origin, host string) *big.Rat {
	at, ok := s.members[host]
	if !ok || !at.isCanary {
		return new(big.Rat)
	}
	for _, c := range s.Shadows {
		if c.Zone == origin {
			return new(big.Rat).Mul(c.shares[at.pool], big.NewRat(at.work, s.canaryPools[at.pool].work))
		}
	}
	return new(big.Rat)
}

// UnservedRate is how much is shed, in tasks a second.
func (s *Step) UnservedRate() float64 {
	sum := new(big.Rat)
	for g, o := range s.demands {
		sum.Add(sum, new(big.Rat).Mul(s.shed[g], big.NewRat(o.rate, micro)))
	}
	v, _ := sum.Float64()
	return v
}

// CrossZoneRate is how many tasks a second cross, of an origin, or of all with "".
func (s *Step) CrossZoneRate(origin string) float64 {
	sum := new(big.Rat)
	for g, o := range s.demands {
		for p, x := range s.pools {
			if x.zone != o.zone && (origin == "" || origin == o.zone) {
				sum.Add(sum, new(big.Rat).Mul(s.shares[g][p], big.NewRat(o.rate, micro)))
			}
		}
	}
	v, _ := sum.Float64()
	return v
}

// Utilization is how much of what a location's hosts can do, less the reserve, is planned to be used; with "" of all hosts.
func (s *Step) Utilization(location string) float64 {
	sum, cap := new(big.Rat), int64(0)
	for p, x := range s.pools {
		if location != "" && x.zone != location {
			continue
		}
		cap += x.work
		for g, o := range s.demands {
			sum.Add(sum, new(big.Rat).Mul(s.shares[g][p], big.NewRat(o.work, 1)))
		}
	}
	if cap == 0 {
		return 0
	}
	v, _ := sum.Quo(sum, big.NewRat(cap, 1)).Float64()
	return v
}

// PoolUtilizations are the uses of all pools that get tasks, with how many hosts each has, in the order of locations.
func (s *Step) PoolUtilizations() (out []PoolUtilization) {
	for p, x := range s.pools {
		sum, n := new(big.Rat), new(big.Rat)
		for g, o := range s.demands {
			sum.Add(sum, new(big.Rat).Mul(s.shares[g][p], big.NewRat(o.work, x.work)))
			n.Add(n, new(big.Rat).Mul(s.shares[g][p], big.NewRat(o.rate, micro)))
		}
		u := PoolUtilization{Zone: x.zone, Hosts: len(x.hosts), WarmingUp: x.warmingUp, Capacity: float64(x.work) / micro, MaxRate: -1, exact: sum}
		if x.maxRate >= 0 {
			u.MaxRate = float64(x.maxRate) / micro
		}
		u.Utilization, _ = sum.Float64()
		u.Rate, _ = n.Float64()
		out = append(out, u)
	}
	return out
}

// PoolUtilization is how much a pool of hosts is used.
type PoolUtilization struct {
	Zone        string
	Hosts       int
	WarmingUp   bool
	Capacity    float64 // seconds of work a second, less the reserve
	MaxRate     float64 // tasks a second at most; -1 for no bound
	Rate        float64 // a second
	Utilization float64 // of what they can do
	exact       *big.Rat
}
