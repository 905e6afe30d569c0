package plan

import (
	"math/big"

	"dapplefront/policy"
)

// ShadowTraffic is what the build on trial gets in a location: copies, never the originals.
type ShadowTraffic struct {
	Zone        string
	AllowedRate float64 // tasks a second that the stage's cap allows
	PlannedRate float64 // tasks a second that its hosts can take of them
	rate        *big.Rat
	work        *big.Rat
	shares      []*big.Rat // by pool, shares of the copies
}

// planShadows shares out what the stage allows among the hosts on trial nearby: as much as the cap and the hosts allow.
func (s *Step) planShadows(m *Model, stage int) {
	r := m.Release
	for _, o := range s.demands {
		var some []pool
		var at []int
		for p, x := range s.canaryPools {
			if x.zone == o.zone {
				some, at = append(some, x), append(at, p)
			}
		}
		rate, work := o.shadowDemand(m, r, stage)
		c := ShadowTraffic{Zone: o.zone, rate: rate, work: work, shares: make([]*big.Rat, len(s.canaryPools))}
		for p := range c.shares {
			c.shares[p] = new(big.Rat)
		}
		c.AllowedRate, _ = new(big.Rat).Quo(rate, big.NewRat(micro, 1)).Float64()
		if rate.Sign() > 0 {
			each := new(big.Rat).Quo(work, rate)
			room := new(big.Rat)
			for _, x := range some {
				can := new(big.Rat).Quo(big.NewRat(x.work, 1), each)
				if b := big.NewRat(x.maxRate, 1); x.maxRate >= 0 && b.Cmp(can) < 0 {
					can = b
				}
				room.Add(room, can)
			}
			if room.Cmp(rate) < 0 {
				c.rate, c.work = room, new(big.Rat).Mul(room, each)
			}
			if c.rate.Sign() > 0 {
				for i, x := range fillPools(some, c.work, c.rate) {
					c.shares[at[i]] = x
				}
			}
		}
		c.PlannedRate, _ = new(big.Rat).Quo(c.rate, big.NewRat(micro, 1)).Float64()
		s.Shadows = append(s.Shadows, c)
	}
}

// shadowDemand are the tasks and the work a second, in millionths, that a stage lets go to the build on trial from here.
func (o zoneDemand) shadowDemand(m *Model, r *Release, stage int) (rate, work *big.Rat) {
	var some, load int64
	for i, c := range m.Classes {
		if c.Idempotency == policy.Idempotent || c.Idempotency == policy.IdempotentWithKey && stage >= r.GuardedStages {
			some += o.classRates[i]
			load += ceilMicros(float64(o.classRates[i]) / micro * c.Work)
		}
	}
	of := o.rate
	if r.CapPerClass {
		of = some
	}
	rate = new(big.Rat).Mul(big.NewRat(toMicros(r.Stages[stage].ShadowCap), micro), big.NewRat(of, 1))
	if all := big.NewRat(some, 1); all.Cmp(rate) < 0 {
		rate = all // one copy of a task at most
	}
	if some == 0 {
		return new(big.Rat), new(big.Rat)
	}
	return rate, new(big.Rat).Mul(rate, big.NewRat(load, some))
}
