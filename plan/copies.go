package plan

import (
	"math/big"

	"dapplefront/policy"
)

// Copies is what the build on trial gets in a location: copies, never the originals.
type Copies struct {
	Place   string
	Allowed float64 // tasks a second that the stage's cap allows
	Planned float64 // tasks a second that its hosts can take of them
	rate    *big.Rat
	work    *big.Rat
	to      []*big.Rat // by pool, shares of the copies
}

// copies shares out what the stage allows among the hosts on trial nearby: as much as the cap and the hosts allow.
func (s *Step) copies(m *Model, stage int) {
	r := m.Release
	for _, o := range s.origins {
		var some []pool
		var at []int
		for p, x := range s.trial {
			if x.place == o.name {
				some, at = append(some, x), append(at, p)
			}
		}
		rate, work := o.copies(m, r, stage)
		c := Copies{Place: o.name, rate: rate, work: work, to: make([]*big.Rat, len(s.trial))}
		for p := range c.to {
			c.to[p] = new(big.Rat)
		}
		c.Allowed, _ = new(big.Rat).Quo(rate, big.NewRat(unit, 1)).Float64()
		if rate.Sign() > 0 {
			each := new(big.Rat).Quo(work, rate)
			room := new(big.Rat)
			for _, x := range some {
				can := new(big.Rat).Quo(big.NewRat(x.work, 1), each)
				if b := big.NewRat(x.tasks, 1); x.tasks >= 0 && b.Cmp(can) < 0 {
					can = b
				}
				room.Add(room, can)
			}
			if room.Cmp(rate) < 0 {
				c.rate, c.work = room, new(big.Rat).Mul(room, each)
			}
			if c.rate.Sign() > 0 {
				for i, x := range fill(some, c.work, c.rate) {
					c.to[at[i]] = x
				}
			}
		}
		c.Planned, _ = new(big.Rat).Quo(c.rate, big.NewRat(unit, 1)).Float64()
		s.Copies = append(s.Copies, c)
	}
}

// copies are the tasks and the work a second, in millionths, that a stage lets go to the build on trial from here.
func (o origin) copies(m *Model, r *Release, stage int) (rate, work *big.Rat) {
	var some, load int64
	for i, c := range m.Classes {
		if c.Idempotency == policy.Idempotent || c.Idempotency == policy.IdempotentWithKey && stage >= r.Guarded {
			some += o.rates[i]
			load += up(float64(o.rates[i]) / unit * c.Work)
		}
	}
	of := o.rate
	if r.ByCategory {
		of = some
	}
	rate = new(big.Rat).Mul(big.NewRat(fix(r.Stages[stage].Cap), unit), big.NewRat(of, 1))
	if all := big.NewRat(some, 1); all.Cmp(rate) < 0 {
		rate = all // one copy of a task at most
	}
	if some == 0 {
		return new(big.Rat), new(big.Rat)
	}
	return rate, new(big.Rat).Mul(rate, big.NewRat(load, some))
}
