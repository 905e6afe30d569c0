package plan

import (
	"cmp"
	"maps"
	"math/big"
	"slices"
)

// pool is a group of hosts of a zone that differ only in their weights: they have no rate bound, or the same rate bound per
// second of work. A pool's requests are divided among its hosts in proportion to capacity, so that all hosts have the same
// utilization. Therefore, the pools of a zone can serve exactly the same demand as its hosts.
type pool struct {
	zone      string
	hosts     []hostCapacity
	work      int64 // capacity of all hosts in millionths of a second of work per second
	maxRate   int64 // rate bound of all hosts in millionths of a request per second; -1 means no bound
	warmingUp bool  // at least one host is warming up
}

// maxBoundedPools is the largest number of pools of rate-bounded hosts in a zone. If there are more, neighboring pools are
// merged and the lower bound applies to both. A plan may then give such hosts less than they can serve, but never more.
const maxBoundedPools = 6

// groupPools groups hosts into pools. The order of the pools depends only on the hosts, not on map iteration.
func groupPools(hosts []hostCapacity) []pool {
	byZone := map[string][]hostCapacity{}
	for _, h := range hosts {
		byZone[h.host.Zone] = append(byZone[h.host.Zone], h)
	}
	var pools []pool
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		pools = append(pools, mergePools(zonePools(zone, byZone[zone]))...)
	}
	for i := range pools {
		pools[i].setTotals()
	}
	return pools
}

// zonePools groups the hosts of one zone into pools: first the hosts without a rate bound, then the others by decreasing
// bound per second of work.
func zonePools(zone string, hosts []hostCapacity) (pools []pool) {
	slices.SortStableFunc(hosts, func(a, b hostCapacity) int {
		if a.maxRate < 0 || b.maxRate < 0 {
			return cmp.Compare(min(b.maxRate, 0)*-1, min(a.maxRate, 0)*-1)
		}
		return compareRatio(b.maxRate, b.work, a.maxRate, a.work)
	})
	for _, h := range hosts {
		if h.work == 0 {
			continue
		}
		if last := len(pools) - 1; last >= 0 && sameRatio(pools[last].hosts[0], h) {
			pools[last].hosts = append(pools[last].hosts, h)
		} else {
			pools = append(pools, pool{zone: zone, hosts: []hostCapacity{h}})
		}
	}
	return pools
}

// sameRatio reports whether two hosts have the same rate bound per second of work, or both have no bound.
func sameRatio(a, b hostCapacity) bool {
	if a.maxRate < 0 || b.maxRate < 0 {
		return a.maxRate < 0 && b.maxRate < 0
	}
	return compareRatio(a.maxRate, a.work, b.maxRate, b.work) == 0
}

// compareRatio compares a/b with c/d exactly.
func compareRatio(a, b, c, d int64) int {
	x := new(big.Int).Mul(big.NewInt(a), big.NewInt(d))
	return x.Cmp(new(big.Int).Mul(big.NewInt(c), big.NewInt(b)))
}

// mergePools merges rate-bounded pools until there are at most maxBoundedPools. Each time, it merges the two neighbors with
// the fewest hosts.
func mergePools(pools []pool) []pool {
	for {
		count, best := 0, -1
		for i, p := range pools {
			if !p.bounded() {
				continue
			}
			count++
			if i > 0 && pools[i-1].bounded() && (best < 0 || mergedHosts(pools, i) < mergedHosts(pools, best)) {
				best = i
			}
		}
		if count <= maxBoundedPools {
			return pools
		}
		pools[best-1].hosts = joinNarrower(pools[best-1].hosts, pools[best].hosts)
		pools = slices.Delete(pools, best, best+1)
	}
}

func (p pool) bounded() bool { return p.hosts[0].maxRate >= 0 }

// mergedHosts returns the number of hosts in a pool and in the one before it.
func mergedHosts(pools []pool, i int) int { return len(pools[i].hosts) + len(pools[i-1].hosts) }

// joinNarrower joins hosts with a higher rate bound and hosts with a lower one. The lower bound then applies to all.
func joinNarrower(wide, narrow []hostCapacity) []hostCapacity {
	joined := slices.Clone(wide)
	for i := range joined {
		b := new(big.Int).Mul(big.NewInt(joined[i].work), big.NewInt(narrow[0].maxRate))
		joined[i].maxRate = b.Div(b, big.NewInt(narrow[0].work)).Int64()
	}
	return append(joined, narrow...)
}

// setTotals sets the pool's capacity and rate bound. Requests are divided in proportion to capacity, so the pool's bound is
// the rate at which the first of its hosts reaches its own bound. Hosts with equal ratios may differ by a millionth because
// all figures are integers.
func (p *pool) setTotals() {
	p.maxRate = -1
	for _, h := range p.hosts {
		p.work += h.work
		p.warmingUp = p.warmingUp || h.warmingUp
	}
	for _, h := range p.hosts {
		if h.maxRate < 0 {
			continue
		}
		b := new(big.Int).Mul(big.NewInt(p.work), big.NewInt(h.maxRate))
		if n := b.Div(b, big.NewInt(h.work)).Int64(); p.maxRate < 0 || n < p.maxRate {
			p.maxRate = n
		}
	}
}
