package plan

import (
	"math/big"
	"slices"
)

// solveLocally solves the common case without a linear program: each zone serves its own demand. This is optimal because
// there is no cross-zone traffic, and filling the pools of a zone to the same level gives the most even utilization. It
// reports false and changes nothing if a zone can't serve its demand or a limit on imbalance would be exceeded.
func (s *Step) solveLocally() bool {
	zonePools := map[string][]int{}
	capacity := map[string]int64{}
	var totalCapacity, totalWork int64
	for p, x := range s.pools {
		zonePools[x.zone] = append(zonePools[x.zone], p)
		capacity[x.zone] += x.work
		totalCapacity += x.work
	}
	shares := make([][]*big.Rat, len(s.demands))
	for g, d := range s.demands {
		totalWork += d.work
		if shares[g] = s.fillZone(d, zonePools[d.zone], capacity[d.zone]); shares[g] == nil {
			return false
		}
	}
	for _, d := range s.demands {
		if s.limits.MaxZoneImbalance == 0 {
			break
		}
		bound := scaledShare(toMicros(s.limits.MaxZoneImbalance), totalWork, capacity[d.zone], totalCapacity)
		if bound.Cmp(big.NewInt(d.work)) < 0 {
			return false
		}
	}
	s.shares = shares
	s.shed = make([]*big.Rat, len(s.demands))
	for g := range s.shed {
		s.shed[g] = new(big.Rat)
	}
	return true
}

// fillZone distributes a zone's demand over its own pools. It returns the shares of all pools of the step, or nil if the
// zone's pools can't serve the demand within the limit on imbalance.
func (s *Step) fillZone(d zoneDemand, zonePools []int, capacity int64) []*big.Rat {
	pools := make([]pool, len(zonePools))
	for i, p := range zonePools {
		pools[i] = s.pools[p]
	}
	filled := fillPools(pools, big.NewRat(d.work, 1), big.NewRat(d.rate, 1))
	if filled == nil {
		return nil
	}
	shares := make([]*big.Rat, len(s.pools))
	for p := range shares {
		shares[p] = new(big.Rat)
	}
	for i, p := range zonePools {
		shares[p] = filled[i]
	}
	if s.limits.MaxHostImbalance == 0 {
		return shares
	}
	bound := new(big.Rat).Mul(big.NewRat(toMicros(s.limits.MaxHostImbalance), micro), big.NewRat(d.work, capacity))
	for i, x := range pools {
		if new(big.Rat).Mul(filled[i], big.NewRat(d.work, x.work)).Cmp(bound) > 0 {
			return nil
		}
	}
	return shares
}

// fillPools distributes work and requests per second over pools. All pools get the same utilization, except those that
// their rate bound keeps below it. It returns nil if the pools can't serve all the requests.
func fillPools(pools []pool, work, rate *big.Rat) []*big.Rat {
	type boundedPool struct {
		pool        int
		share       *big.Rat // share of all requests at the rate bound
		utilization *big.Rat // utilization at the rate bound
	}
	var bounded []boundedPool
	var capacity int64
	for p, x := range pools {
		capacity += x.work
		if x.maxRate >= 0 {
			share := new(big.Rat).Quo(big.NewRat(x.maxRate, 1), rate)
			bounded = append(bounded, boundedPool{p, share, new(big.Rat).Quo(new(big.Rat).Mul(share, work), big.NewRat(x.work, 1))})
		}
	}
	slices.SortStableFunc(bounded, func(a, b boundedPool) int { return a.utilization.Cmp(b.utilization) })
	shares := make([]*big.Rat, len(pools))
	left := big.NewRat(1, 1)
	level := new(big.Rat) // utilization of the pools that are not at their bounds
	for n := 0; capacity > 0; n++ {
		level.Quo(new(big.Rat).Mul(left, work), big.NewRat(capacity, 1))
		if n == len(bounded) || bounded[n].utilization.Cmp(level) >= 0 {
			break
		}
		b := bounded[n]
		shares[b.pool] = b.share
		left = new(big.Rat).Sub(left, b.share)
		capacity -= pools[b.pool].work
	}
	if capacity == 0 && left.Sign() > 0 || level.Cmp(big.NewRat(1, 1)) > 0 {
		return nil
	}
	for p, x := range pools {
		if shares[p] == nil {
			shares[p] = new(big.Rat).Quo(new(big.Rat).Mul(level, big.NewRat(x.work, 1)), work)
		}
	}
	return shares
}
