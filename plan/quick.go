package plan

import (
	"math/big"
	"slices"
)

// solveLocally solves the common shape without a linear program: each location serves what is asked of it, so nothing
// crosses, which no share beats, and the most even use within a location is found by filling its pools to one level,
// those that reach their bound on tasks first. It reports false, with nothing changed, where some location can't, or
// where a balance asked for needs more.
func (s *Step) solveLocally() bool {
	byPlace := map[string][]int{}
	for p, x := range s.pools {
		byPlace[x.zone] = append(byPlace[x.zone], p)
	}
	to := make([][]*big.Rat, len(s.demands))
	use, caps := map[string]*big.Rat{}, map[string]int64{}
	var capAll, workAll int64
	for _, x := range s.pools {
		capAll += x.work
	}
	for g, o := range s.demands {
		workAll += o.work
		mine := byPlace[o.zone]
		some := make([]pool, len(mine))
		var cap int64
		for i, p := range mine {
			some[i] = s.pools[p]
			cap += s.pools[p].work
		}
		shares := fillPools(some, big.NewRat(o.work, 1), big.NewRat(o.rate, 1))
		if shares == nil {
			return false
		}
		to[g] = make([]*big.Rat, len(s.pools))
		for p := range to[g] {
			to[g][p] = new(big.Rat)
		}
		for i, p := range mine {
			to[g][p] = shares[i]
		}
		use[o.zone], caps[o.zone] = big.NewRat(o.work, cap), cap
		for i, p := range mine {
			if s.limits.MaxHostImbalance == 0 {
				break
			}
			level := new(big.Rat).Mul(shares[i], big.NewRat(o.work, s.pools[p].work))
			if level.Cmp(new(big.Rat).Mul(big.NewRat(toMicros(s.limits.MaxHostImbalance), micro), use[o.zone])) > 0 {
				return false
			}
		}
	}
	for _, o := range s.demands {
		if s.limits.MaxZoneImbalance == 0 {
			break
		}
		if scaledShare(toMicros(s.limits.MaxZoneImbalance), workAll, caps[o.zone], capAll).Cmp(big.NewInt(o.work)) < 0 {
			return false
		}
	}
	s.shares = to
	s.shed = make([]*big.Rat, len(s.demands))
	for g := range s.shed {
		s.shed[g] = new(big.Rat)
	}
	return true
}

// fillPools shares work and tasks a second out among pools: all to one level of use but those that their bound on tasks
// keeps below it. It returns nil where they can't take it all.
func fillPools(pools []pool, work, tasks *big.Rat) []*big.Rat {
	type bounded struct {
		pool  int
		bound *big.Rat // share of the whole
		level *big.Rat // use at the bound
	}
	var some []bounded
	var cap int64
	for p, x := range pools {
		cap += x.work
		if x.maxRate >= 0 {
			b := new(big.Rat).Quo(big.NewRat(x.maxRate, 1), tasks)
			some = append(some, bounded{p, b, new(big.Rat).Quo(new(big.Rat).Mul(b, work), big.NewRat(x.work, 1))})
		}
	}
	slices.SortStableFunc(some, func(a, b bounded) int { return a.level.Cmp(b.level) })
	shares := make([]*big.Rat, len(pools))
	left := big.NewRat(1, 1)
	level := new(big.Rat)
	for n := 0; ; n++ {
		if cap == 0 {
			if left.Sign() > 0 {
				return nil
			}
			break
		}
		level.Quo(new(big.Rat).Mul(left, work), big.NewRat(cap, 1))
		if n == len(some) || some[n].level.Cmp(level) >= 0 {
			break
		}
		x := some[n]
		shares[x.pool] = x.bound
		left = new(big.Rat).Sub(left, x.bound)
		cap -= pools[x.pool].work
	}
	if level.Cmp(big.NewRat(1, 1)) > 0 {
		return nil
	}
	for p, x := range pools {
		if shares[p] == nil {
			shares[p] = new(big.Rat).Quo(new(big.Rat).Mul(level, big.NewRat(x.work, 1)), work)
		}
	}
	return shares
}
