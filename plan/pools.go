package plan

import (
	"cmp"
	"math/big"
	"slices"
)

// pool is the hosts of a location that are alike but for their size: no bound on tasks, or the same number of tasks for
// each second of work. What a pool gets is parted by capacity, which uses all its hosts equally; so the pools of a
// location can do exactly what its hosts can.
type pool struct {
	zone      string
	hosts     []hostCapacity
	work      int64 // sums of its hosts'
	maxRate   int64 // -1 for no bound
	warmingUp bool
}

// maxBoundedPools is how many pools of bounded hosts a location has at most. Where more different ratios are told, the narrower
// ones of neighbours count for both, so that a plan may ask less of such hosts than it could, never more.
const maxBoundedPools = 6

// groupPools groups rooms, in an order that depends on the hosts alone.
func groupPools(all []hostCapacity) []pool {
	byPlace := map[string][]hostCapacity{}
	for _, r := range all {
		byPlace[r.host.Zone] = append(byPlace[r.host.Zone], r)
	}
	places := make([]string, 0, len(byPlace))
	for p := range byPlace {
		places = append(places, p)
	}
	slices.Sort(places)
	var out []pool
	for _, place := range places {
		rooms := byPlace[place]
		// Warm ones first, then by tasks for each second of work, the widest first.
		slices.SortStableFunc(rooms, func(a, b hostCapacity) int {
			switch {
			case a.maxRate < 0 || b.maxRate < 0:
				return cmp.Compare(min(b.maxRate, 0)*-1, min(a.maxRate, 0)*-1)
			default:
				return compareRatio(b.maxRate, b.work, a.maxRate, a.work)
			}
		})
		first := len(out)
		for _, r := range rooms {
			if r.work == 0 {
				continue
			}
			last := len(out) - 1
			if last >= first && sameRatio(out[last].hosts[0], r) {
				out[last].hosts = append(out[last].hosts, r)
			} else {
				out = append(out, pool{zone: place, hosts: []hostCapacity{r}})
			}
		}
		out = append(out[:first], mergePools(out[first:])...)
	}
	for i := range out {
		out[i].sum()
	}
	return out
}

func sameRatio(a, b hostCapacity) bool {
	if a.maxRate < 0 || b.maxRate < 0 {
		return a.maxRate < 0 && b.maxRate < 0
	}
	return compareRatio(a.maxRate, a.work, b.maxRate, b.work) == 0
}

// compareRatio compares a/b with c/d without a rounding.
func compareRatio(a, b, c, d int64) int {
	x := new(big.Int).Mul(big.NewInt(a), big.NewInt(d))
	return x.Cmp(new(big.Int).Mul(big.NewInt(c), big.NewInt(b)))
}

// mergePools joins bounded pools until few are left: always the two neighbours with the fewest hosts.
func mergePools(all []pool) []pool {
	bounded := func(p pool) bool { return p.hosts[0].maxRate >= 0 }
	for {
		n, best := 0, -1
		for i, p := range all {
			if !bounded(p) {
				continue
			}
			n++
			if i > 0 && bounded(all[i-1]) && (best < 0 ||
				len(p.hosts)+len(all[i-1].hosts) < len(all[best].hosts)+len(all[best-1].hosts)) {
				best = i
			}
		}
		if n <= maxBoundedPools {
			return all
		}
		// The narrower ratio stands last in the order; the wider hosts' bounds come down to it.
		narrow := all[best].hosts[0]
		joined := slices.Clone(all[best-1].hosts)
		for i := range joined {
			b := new(big.Int).Mul(big.NewInt(joined[i].work), big.NewInt(narrow.maxRate))
			joined[i].maxRate = b.Div(b, big.NewInt(narrow.work)).Int64()
		}
		all[best-1].hosts = append(joined, all[best].hosts...)
		all = slices.Delete(all, best, best+1)
	}
}

// sum adds up its hosts. A bound on tasks is what all hosts together get when each gets its part by capacity and none
// more than its own bound; equal ratios may differ by a millionth, as figures are whole.
func (p *pool) sum() {
	p.maxRate = -1
	for _, r := range p.hosts {
		p.work += r.work
		p.warmingUp = p.warmingUp || r.warmingUp
	}
	for _, r := range p.hosts {
		if r.maxRate < 0 {
			continue
		}
		b := new(big.Int).Mul(big.NewInt(p.work), big.NewInt(r.maxRate))
		if n := b.Div(b, big.NewInt(r.work)).Int64(); p.maxRate < 0 || n < p.maxRate {
			p.maxRate = n
		}
	}
}
