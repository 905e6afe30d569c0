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
	place string
	rooms []room
	work  int64 // sums of its hosts'
	tasks int64 // -1 for no bound
	cold  bool
}

// ratios is how many pools of bounded hosts a location has at most. Where more different ratios are told, the narrower
// ones of neighbours count for both, so that a plan may ask less of such hosts than it could, never more.
const ratios = 6

// pools groups rooms, in an order that depends on the hosts alone.
func pools(all []room) []pool {
	byPlace := map[string][]room{}
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
		slices.SortStableFunc(rooms, func(a, b room) int {
			switch {
			case a.tasks < 0 || b.tasks < 0:
				return cmp.Compare(min(b.tasks, 0)*-1, min(a.tasks, 0)*-1)
			default:
				return compareRatio(b.tasks, b.work, a.tasks, a.work)
			}
		})
		first := len(out)
		for _, r := range rooms {
			if r.work == 0 {
				continue
			}
			last := len(out) - 1
			if last >= first && alike(out[last].rooms[0], r) {
				out[last].rooms = append(out[last].rooms, r)
			} else {
				out = append(out, pool{place: place, rooms: []room{r}})
			}
		}
		out = append(out[:first], merged(out[first:])...)
	}
	for i := range out {
		out[i].sum()
	}
	return out
}

func alike(a, b room) bool {
	if a.tasks < 0 || b.tasks < 0 {
		return a.tasks < 0 && b.tasks < 0
	}
	return compareRatio(a.tasks, a.work, b.tasks, b.work) == 0
}

// compareRatio compares a/b with c/d without a rounding.
func compareRatio(a, b, c, d int64) int {
	x := new(big.Int).Mul(big.NewInt(a), big.NewInt(d))
	return x.Cmp(new(big.Int).Mul(big.NewInt(c), big.NewInt(b)))
}

// merged joins bounded pools until few are left: always the two neighbours with the fewest hosts.
func merged(all []pool) []pool {
	bounded := func(p pool) bool { return p.rooms[0].tasks >= 0 }
	for {
		n, best := 0, -1
		for i, p := range all {
			if !bounded(p) {
				continue
			}
			n++
			if i > 0 && bounded(all[i-1]) && (best < 0 ||
				len(p.rooms)+len(all[i-1].rooms) < len(all[best].rooms)+len(all[best-1].rooms)) {
				best = i
			}
		}
		if n <= ratios {
			return all
		}
		// The narrower ratio stands last in the order; the wider hosts' bounds come down to it.
		narrow := all[best].rooms[0]
		joined := slices.Clone(all[best-1].rooms)
		for i := range joined {
			b := new(big.Int).Mul(big.NewInt(joined[i].work), big.NewInt(narrow.tasks))
			joined[i].tasks = b.Div(b, big.NewInt(narrow.work)).Int64()
		}
		all[best-1].rooms = append(joined, all[best].rooms...)
		all = slices.Delete(all, best, best+1)
	}
}

// sum adds up its hosts. A bound on tasks is what all hosts together get when each gets its part by capacity and none
// more than its own bound; equal ratios may differ by a millionth, as figures are whole.
func (p *pool) sum() {
	p.tasks = -1
	for _, r := range p.rooms {
		p.work += r.work
		p.cold = p.cold || r.cold
	}
	for _, r := range p.rooms {
		if r.tasks < 0 {
			continue
		}
		b := new(big.Int).Mul(big.NewInt(p.work), big.NewInt(r.tasks))
		if n := b.Div(b, big.NewInt(r.work)).Int64(); p.tasks < 0 || n < p.tasks {
			p.tasks = n
		}
	}
}
