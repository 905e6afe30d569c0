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

// exhaustiveCase is a case of the exhaustive search: up to eight hosts in up to three zones, with integers throughout, and
// requests of one unit of work. It shares no code with the solver.
type exhaustiveCase struct {
	zoneOf       []int // of each host
	capacity     []int // requests a second
	maxRate      []int // requests a second in slow start; -1 for a host that has warmed up
	canary       []bool
	demand       []int // requests a second, by zone
	maxCrossZone int   // percent of a zone's requests
	shadowCap    int   // shadow requests, in percent of a zone's requests
}

// searchResult is what the search finds: the most that can be served and the least traffic between zones with it, by trying
// every assignment of requests to hosts; the utilizations of all hosts, by trying every set of demands that could be the
// tightest; and the shadow requests.
type searchResult struct {
	served, crossZone int
	utilizations      []*big.Rat
	shadows           []*big.Rat // by zone
}

func (c exhaustiveCase) search() searchResult {
	out := c.assign()
	total := 0
	for _, n := range c.demand {
		total += n
	}
	if out.served == total {
		out.utilizations = c.level()
	}
	for l, n := range c.demand {
		allowed := big.NewRat(int64(n*c.shadowCap), 100)
		room := 0
		for h := range c.zoneOf {
			if c.canary[h] && c.zoneOf[h] == l {
				room += c.limit(h)
			}
		}
		if r := big.NewRat(int64(room), 1); r.Cmp(allowed) < 0 {
			allowed = r
		}
		out.shadows = append(out.shadows, allowed)
	}
	return out
}

func (c exhaustiveCase) limit(h int) int {
	if c.maxRate[h] >= 0 {
		return min(c.capacity[h], c.maxRate[h])
	}
	return c.capacity[h]
}

// assign tries every assignment: the state is what each host has got, four bits each, with the least traffic between zones
// for each state.
// A request of a zone goes to any host that can take it, or to none.
func (c exhaustiveCase) assign() searchResult {
	const leftAt, crossedAt = 32, 36
	states := map[uint64]int8{0: 0}
	for l, n := range c.demand {
		// Requests of one zone are alike: hosts in order, each with any number of what is left.
		now := make(map[uint64]int8, len(states))
		for s, x := range states {
			now[s|uint64(n)<<leftAt] = x
		}
		for h := range c.zoneOf {
			if c.canary[h] {
				continue
			}
			next := make(map[uint64]int8, 2*len(now))
			for s, x := range now {
				left, crossed, got := int(s>>leftAt&15), int(s>>crossedAt&15), int(s>>(4*h)&15)
				for k := 0; k <= left && got+k <= c.limit(h); k++ {
					t, y := s+uint64(k)<<(4*h)-uint64(k)<<leftAt, x
					if c.zoneOf[h] != l {
						if 100*(crossed+k) > c.maxCrossZone*n {
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
	best := searchResult{served: -1}
	for s, x := range states {
		served := 0
		for h := range c.zoneOf {
			served += int(s >> (4 * h) & 15)
		}
		if served > best.served || served == best.served && int(x) < best.crossZone {
			best.served, best.crossZone = served, int(x)
		}
	}
	return best
}

// level finds the utilizations of the most even shares with all demand served and the least traffic between zones: what a
// zone can't serve itself goes to others. For every set of demands, the hosts that may serve it need some utilization; the
// set that needs the highest fixes that of its hosts, and the others follow among themselves.
func (c exhaustiveCase) level() []*big.Rat {
	type demand struct {
		hosts []int
		n     int
	}
	var demands []demand
	for l, n := range c.demand {
		var here, there []int
		room := 0
		for h := range c.zoneOf {
			switch {
			case c.canary[h]:
			case c.zoneOf[h] == l:
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
	for h := range c.zoneOf {
		if c.canary[h] || c.limit(h) == 0 && c.maxRate[h] < 0 {
			continue
		}
		if uses[h] == nil {
			uses[h] = new(big.Rat)
		}
		out = append(out, uses[h])
	}
	return out
}

// useAt is a host's utilization when all are filled to a level, which its bound may keep it below.
func (c exhaustiveCase) useAt(h int, level *big.Rat) *big.Rat {
	if c.maxRate[h] >= 0 {
		if b := big.NewRat(int64(c.maxRate[h]), int64(c.capacity[h])); b.Cmp(level) < 0 {
			return b
		}
	}
	return level
}

// levelOf is the level at which hosts serve n requests: between which two of their bounds it lies is tried out.
func (c exhaustiveCase) levelOf(hosts map[int]bool, n int) *big.Rat {
	marks := []*big.Rat{big.NewRat(1, 1)}
	for h := range hosts {
		if c.maxRate[h] >= 0 {
			marks = append(marks, big.NewRat(int64(c.maxRate[h]), int64(c.capacity[h])))
		}
	}
	slices.SortFunc(marks, (*big.Rat).Cmp)
	low := new(big.Rat)
	for _, high := range marks {
		fixed, free := new(big.Rat), 0
		for h := range hosts {
			if c.maxRate[h] >= 0 && big.NewRat(int64(c.maxRate[h]), int64(c.capacity[h])).Cmp(low) <= 0 {
				fixed.Add(fixed, big.NewRat(int64(c.maxRate[h]), 1))
			} else {
				free += c.capacity[h]
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

// model returns the same case as a model.
func (c exhaustiveCase) model(order []int) *Model {
	names := []string{"east", "north", "port"}
	m := &Model{Classes: []Class{{Name: "quote", Work: 1, PriorityWeight: 1}},
		Limits:   Limits{MaxCrossZone: float64(c.maxCrossZone) / 100, SlowStart: SlowStart{Duration: 5 * time.Second, InitialCapacity: 1}},
		Forecast: []Forecast{{}}}
	for _, h := range order {
		x := Host{Name: fmt.Sprintf("h%d", h), Zone: names[c.zoneOf[h]], Build: 1, Weight: float64(c.capacity[h]), StartsAt: -time.Hour}
		if c.maxRate[h] >= 0 {
			x.StartsAt, x.MaxRate = 0, float64(c.maxRate[h])
		}
		if c.canary[h] {
			x.Build = 2
		}
		m.Hosts = append(m.Hosts, x)
	}
	for l, n := range c.demand {
		m.Forecast[0].Demand = append(m.Forecast[0].Demand, Demand{Zone: names[l], Class: "quote", Rate: float64(n)})
	}
	return m
}

// compare compares the solver with the search. It returns whether all demand can be served, and how they differ.
func (c exhaustiveCase) compare(r *rand.Rand) (all bool, differs string) {
	want := c.search()
	all = want.utilizations != nil
	m := c.model(r.Perm(len(c.zoneOf)))
	canary := 0
	if slices.Contains(c.canary, true) {
		canary = 2
		m.Release = &Release{Build: 2, Stages: []Stage{{HostShare: 1, ShadowCap: float64(c.shadowCap) / 100}}}
	}
	s := &Step{limits: m.Limits, demands: m.zoneDemands(m.Forecast[0])}
	s.groupHosts(hostCapacities(m.Hosts, m.Limits, 0, canary))
	s.solve(nil)
	if canary != 0 {
		s.planShadows(m, 0)
	}
	if err := s.verify(m, m.Hosts, 0, canary); err != nil {
		return all, err.Error()
	}
	total := 0
	for _, n := range c.demand {
		total += n
	}
	if got := float64(total) - s.UnservedRate(); got-float64(want.served) > 1e-9 || float64(want.served)-got > 1e-9 {
		return all, fmt.Sprintf("%g served, %d by search", got, want.served)
	}
	if got := s.CrossZoneRate(""); got-float64(want.crossZone) > 1e-9 || float64(want.crossZone)-got > 1e-9 {
		return all, fmt.Sprintf("%g cross, %d by search", got, want.crossZone)
	}
	if want.utilizations != nil {
		var got []*big.Rat
		for _, u := range s.PoolUtilizations() {
			for range u.Hosts {
				got = append(got, u.exact)
			}
		}
		slices.SortFunc(got, (*big.Rat).Cmp)
		// Hosts that may do nothing at all stand in no pool of the solver's.
		uses := want.utilizations
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
	for l, name := range []string{"east", "north", "port"}[:len(c.demand)] {
		for _, x := range s.Shadows {
			if v, _ := want.shadows[l].Float64(); x.Zone == name && cmp.Compare(x.PlannedRate-v, 1e-9) > 0 || x.Zone == name && v-x.PlannedRate > 1e-9 {
				return all, fmt.Sprintf("%g copies in %s, %g by search", x.PlannedRate, name, v)
			}
		}
	}
	return all, ""
}

// drawCase draws a case of the grid: weights 1 to 4 (at times far larger), with a bound or without, up to three zones, at
// times one without hosts, canary builds, limits on traffic between zones and caps.
func drawCase(r *rand.Rand) exhaustiveCase {
	n := 1 + r.IntN(8)
	zones := 1 + r.IntN(3)
	c := exhaustiveCase{maxCrossZone: []int{0, 25, 50, 100}[r.IntN(4)], shadowCap: []int{0, 5, 10, 50, 100}[r.IntN(5)]}
	tests := r.IntN(3) == 0
	for range n {
		c.zoneOf = append(c.zoneOf, r.IntN(zones))
		size := 1 + r.IntN(4)
		if r.IntN(20) == 0 {
			size = 12
		}
		c.capacity = append(c.capacity, size)
		may := -1
		if r.IntN(3) == 0 {
			may = 1 + r.IntN(2)
		}
		c.maxRate = append(c.maxRate, may)
		c.canary = append(c.canary, tests && r.IntN(4) == 0)
	}
	for range zones {
		n := r.IntN(9)
		c.demand = append(c.demand, n-n%map[int]int{0: 1, 25: 4, 50: 2, 100: 1}[c.maxCrossZone]) // so that whole requests meet the bound
	}
	return c
}

// TestSmallCasesEqualAnExhaustiveSearch takes a part of the grid at random; PLAN_CASES sets how many cases (docs/plan.md).
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
				c := drawCase(r)
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
	c := exhaustiveCase{zoneOf: []int{0, 0}, capacity: []int{2, 2}, maxRate: []int{-1, 1}, canary: []bool{false, false}, demand: []int{3}, maxCrossZone: 100}
	r := rand.New(rand.NewPCG(1, 1))
	_, differs := c.compare(r)
	require.Empty(t, differs)
	wrong := c
	wrong.capacity = []int{1, 2} // as if the solver had left a host's second core out
	require.NotEqual(t, wrong.search().served, c.search().served)
	want := c.search()
	require.Equal(t, 3, want.served)
	require.Equal(t, "1/2", want.utilizations[1].RatString())
}
