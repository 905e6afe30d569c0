package plan

import (
	"cmp"
	"fmt"
	"math/big"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// small is a case of the exhaustive search: up to eight hosts in up to three locations, whole numbers throughout, one
// task is one unit of work. It shares no code with the solver.
type small struct {
	place  []int // of each host
	can    []int // tasks a second that it can do
	may    []int // that it may be sent, as it is cold; -1 for warm
	trial  []bool
	asked  []int // by location
	cross  int   // percent that may cross
	capped int   // percent of the tasks that may be copied to the build on trial
}

// searched is what the search finds: the most that can be served and the least crossing with it, by trying every way to
// hand out whole tasks; the uses of all hosts, by trying every set of demands that could be the tightest; and copies.
type searched struct {
	served, cross int
	uses          []*big.Rat
	copies        []*big.Rat // by location
}

func (c small) search() searched {
	out := c.handOut()
	total := 0
	for _, n := range c.asked {
		total += n
	}
	if out.served == total {
		out.uses = c.level()
	}
	for l, n := range c.asked {
		allowed := big.NewRat(int64(n*c.capped), 100)
		room := 0
		for h := range c.place {
			if c.trial[h] && c.place[h] == l {
				room += c.limit(h)
			}
		}
		if r := big.NewRat(int64(room), 1); r.Cmp(allowed) < 0 {
			allowed = r
		}
		out.copies = append(out.copies, allowed)
	}
	return out
}

func (c small) limit(h int) int {
	if c.may[h] >= 0 {
		return min(c.can[h], c.may[h])
	}
	return c.can[h]
}

// handOut tries every way: the state is what each host has got, four bits each, and for each state the least crossing.
// A task of a location goes to any host with room, or to none.
func (c small) handOut() searched {
	const leftAt, crossedAt = 32, 36
	states := map[uint64]int8{0: 0}
	for l, n := range c.asked {
		// Tasks of one location are alike: hosts in order, each with any number of what is left.
		now := make(map[uint64]int8, len(states))
		for s, x := range states {
			now[s|uint64(n)<<leftAt] = x
		}
		for h := range c.place {
			if c.trial[h] {
				continue
			}
			next := make(map[uint64]int8, 2*len(now))
			for s, x := range now {
				left, crossed, got := int(s>>leftAt&15), int(s>>crossedAt&15), int(s>>(4*h)&15)
				for k := 0; k <= left && got+k <= c.limit(h); k++ {
					t, y := s+uint64(k)<<(4*h)-uint64(k)<<leftAt, x
					if c.place[h] != l {
						if 100*(crossed+k) > c.cross*n {
							break
						}
						t += uint64(k) << crossedAt
						y += int8(k)
					}
					if old, ok := next[t]; !ok || y < old {
						next[t] = y
					}
				}
			}
			now = next
		}
		clear(states)
		for s, x := range now {
			s &= 1<<leftAt - 1
			if old, ok := states[s]; !ok || x < old {
				states[s] = x
			}
		}
	}
	best := searched{served: -1}
	for s, x := range states {
		served := 0
		for h := range c.place {
			served += int(s >> (4 * h) & 15)
		}
		if served > best.served || served == best.served && int(x) < best.cross {
			best.served, best.cross = served, int(x)
		}
	}
	return best
}

// level finds the uses of the most even share with all served and the least crossing: what a location can't do itself
// crosses. For every set of demands, the hosts that may take it must stay at some level of use to hold it; the set that
// asks for the highest level fixes its hosts there, and the rest follow among themselves.
func (c small) level() []*big.Rat {
	type demand struct {
		hosts []int
		n     int
	}
	var demands []demand
	for l, n := range c.asked {
		var here, there []int
		room := 0
		for h := range c.place {
			switch {
			case c.trial[h]:
			case c.place[h] == l:
				here = append(here, h)
				room += c.limit(h)
			default:
				there = append(there, h)
			}
		}
		if stays := min(n, room); stays > 0 {
			demands = append(demands, demand{here, stays})
		}
		if n > room {
			demands = append(demands, demand{there, n - room})
		}
	}
	uses := map[int]*big.Rat{}
	for len(demands) > 0 {
		var top *big.Rat
		topSet := 0
		for set := 1; set < 1<<len(demands); set++ {
			n := 0
			hosts := map[int]bool{}
			for i, d := range demands {
				if set&(1<<i) != 0 {
					n += d.n
					for _, h := range d.hosts {
						if uses[h] == nil {
							hosts[h] = true
						}
					}
				}
			}
			v := c.levelOf(hosts, n)
			if top == nil || v.Cmp(top) > 0 || v.Cmp(top) == 0 && set&topSet == topSet {
				top, topSet = v, set
			}
		}
		var rest []demand
		for i, d := range demands {
			if topSet&(1<<i) == 0 {
				rest = append(rest, d)
				continue
			}
			for _, h := range d.hosts {
				if uses[h] == nil {
					uses[h] = c.useAt(h, top)
				}
			}
		}
		demands = rest
	}
	var out []*big.Rat
	for h := range c.place {
		if c.trial[h] || c.limit(h) == 0 && c.may[h] < 0 {
			continue
		}
		if uses[h] == nil {
			uses[h] = new(big.Rat)
		}
		out = append(out, uses[h])
	}
	return out
}

// useAt is a host's use when all are filled to a level and a bound holds it below.
func (c small) useAt(h int, level *big.Rat) *big.Rat {
	if c.may[h] >= 0 {
		if b := big.NewRat(int64(c.may[h]), int64(c.can[h])); b.Cmp(level) < 0 {
			return b
		}
	}
	return level
}

// levelOf is the level at which hosts hold n tasks: between which two of their bounds it lies is tried out.
func (c small) levelOf(hosts map[int]bool, n int) *big.Rat {
	marks := []*big.Rat{big.NewRat(1, 1)}
	for h := range hosts {
		if c.may[h] >= 0 {
			marks = append(marks, big.NewRat(int64(c.may[h]), int64(c.can[h])))
		}
	}
	slices.SortFunc(marks, (*big.Rat).Cmp)
	low := new(big.Rat)
	for _, high := range marks {
		fixed, free := new(big.Rat), 0
		for h := range hosts {
			if c.may[h] >= 0 && big.NewRat(int64(c.may[h]), int64(c.can[h])).Cmp(low) <= 0 {
				fixed.Add(fixed, big.NewRat(int64(c.may[h]), 1))
			} else {
				free += c.can[h]
			}
		}
		if free > 0 {
			v := new(big.Rat).Sub(big.NewRat(int64(n), 1), fixed)
			v.Quo(v, big.NewRat(int64(free), 1))
			if v.Cmp(high) <= 0 {
				return v
			}
		}
		low = high
	}
	return low // they hold it only when full
}

// model is the same case in the solver's words.
func (c small) model(order []int) *Model {
	names := []string{"east", "north", "port"}
	m := &Model{Classes: []Class{{Name: "quote", Work: 1, PriorityWeight: 1}},
		Limits:   Limits{MaxCrossZone: float64(c.cross) / 100, SlowStart: SlowStart{Duration: 5 * time.Second, InitialCapacity: 1}},
		Forecast: []Forecast{{}}}
	for _, h := range order {
		x := Host{Name: fmt.Sprintf("h%d", h), Zone: names[c.place[h]], Build: 1, Weight: float64(c.can[h]), StartsAt: -time.Hour}
		if c.may[h] >= 0 {
			x.StartsAt, x.MaxRate = 0, float64(c.may[h])
		}
		if c.trial[h] {
			x.Build = 2
		}
		m.Hosts = append(m.Hosts, x)
	}
	for l, n := range c.asked {
		m.Forecast[0].Demand = append(m.Forecast[0].Demand, Demand{Zone: names[l], Class: "quote", Rate: float64(n)})
	}
	return m
}

// compare holds the solver to the search: no difference where they agree. all tells whether all can be served.
func (c small) compare(r *rand.Rand) (all bool, differs string) {
	want := c.search()
	all = want.uses != nil
	m := c.model(r.Perm(len(c.place)))
	trial := 0
	if slices.Contains(c.trial, true) {
		trial = 2
		m.Release = &Release{Build: 2, Stages: []Stage{{HostShare: 1, ShadowCap: float64(c.capped) / 100}}}
	}
	s := &Step{limits: m.Limits, demands: m.zoneDemands(m.Forecast[0])}
	s.groupHosts(hostCapacities(m.Hosts, m.Limits, 0, trial))
	s.solve(nil)
	if trial != 0 {
		s.planShadows(m, 0)
	}
	if err := s.verify(m, m.Hosts, 0, trial); err != nil {
		return all, err.Error()
	}
	total := 0
	for _, n := range c.asked {
		total += n
	}
	if got := float64(total) - s.UnservedRate(); got-float64(want.served) > 1e-9 || float64(want.served)-got > 1e-9 {
		return all, fmt.Sprintf("%g served, %d by search", got, want.served)
	}
	if got := s.CrossZoneRate(""); got-float64(want.cross) > 1e-9 || float64(want.cross)-got > 1e-9 {
		return all, fmt.Sprintf("%g cross, %d by search", got, want.cross)
	}
	if want.uses != nil {
		var got []*big.Rat
		for _, u := range s.PoolUtilizations() {
			for range u.Hosts {
				got = append(got, u.exact)
			}
		}
		slices.SortFunc(got, (*big.Rat).Cmp)
		// Hosts that may do nothing at all stand in no pool of the solver's.
		uses := want.uses
		slices.SortFunc(uses, (*big.Rat).Cmp)
		if len(got) != len(uses) {
			return all, fmt.Sprintf("%d uses, %d by search", len(got), len(uses))
		}
		for i := range uses {
			if got[i].Cmp(uses[i]) != 0 {
				return all, fmt.Sprintf("uses %v, %v by search", got, uses)
			}
		}
	}
	for l, name := range []string{"east", "north", "port"}[:len(c.asked)] {
		for _, x := range s.Shadows {
			if v, _ := want.copies[l].Float64(); x.Zone == name && cmp.Compare(x.PlannedRate-v, 1e-9) > 0 || x.Zone == name && v-x.PlannedRate > 1e-9 {
				return all, fmt.Sprintf("%g copies in %s, %g by search", x.PlannedRate, name, v)
			}
		}
	}
	return all, ""
}

// drawn is a case of the grid: sizes 1 to 4 (at times far larger), warm or with a bound, up to three
// locations, at times one without hosts, builds on trial, bounds on crossing and caps.
func drawn(r *rand.Rand) small {
	n := 1 + r.IntN(8)
	places := 1 + r.IntN(3)
	c := small{cross: []int{0, 25, 50, 100}[r.IntN(4)], capped: []int{0, 5, 10, 50, 100}[r.IntN(5)]}
	tests := r.IntN(3) == 0
	for range n {
		c.place = append(c.place, r.IntN(places))
		size := 1 + r.IntN(4)
		if r.IntN(20) == 0 {
			size = 12
		}
		c.can = append(c.can, size)
		may := -1
		if r.IntN(3) == 0 {
			may = 1 + r.IntN(2)
		}
		c.may = append(c.may, may)
		c.trial = append(c.trial, tests && r.IntN(4) == 0)
	}
	for range places {
		n := r.IntN(9)
		c.asked = append(c.asked, n-n%map[int]int{0: 1, 25: 4, 50: 2, 100: 1}[c.cross]) // so that whole tasks meet the bound
	}
	return c
}

// TestSmallCasesEqualAnExhaustiveSearch takes a drawn part of the grid; PLAN_CASES asks for more (docs/plan.md).
func TestSmallCasesEqualAnExhaustiveSearch(t *testing.T) {
	n, seed := 2000, uint64(1)
	if v, err := strconv.Atoi(os.Getenv("PLAN_CASES")); err == nil {
		n, seed = v, uint64(time.Now().UnixNano())
	}
	const workers = 4
	var unserved atomic.Int64
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(w)))
			for i := range n / workers {
				c := drawn(r)
				all, differs := c.compare(r)
				if !assert.Empty(t, differs, "seed %d, worker %d, case %d: %+v", seed, w, i, c) {
					return
				}
				if !all {
					unserved.Add(1)
				}
			}
		})
	}
	wait.Wait()
	t.Logf("%d cases equal, %d of them with no share that serves all", n, unserved.Load())
}

func TestTheSearchFindsAWrongSolver(t *testing.T) {
	c := small{place: []int{0, 0}, can: []int{2, 2}, may: []int{-1, 1}, trial: []bool{false, false}, asked: []int{3}, cross: 100}
	r := rand.New(rand.NewPCG(1, 1))
	_, differs := c.compare(r)
	require.Empty(t, differs)
	wrong := c
	wrong.can = []int{1, 2} // as if the solver had left a host's second core out
	require.NotEqual(t, wrong.search().served, c.search().served)
	want := c.search()
	require.Equal(t, 3, want.served)
	require.Equal(t, "1/2", want.uses[1].RatString())
}
