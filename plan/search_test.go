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

// exhaustiveCase is a case of the exhaustive search: up to eight hosts in up to three zones. All figures are integers, and
// each request is one unit of work. The search shares no code with the solver.
type exhaustiveCase struct {
	zoneOf       []int // by host
	capacity     []int // requests per second, by host
	maxRate      []int // requests per second in slow start, by host; -1 for a host that has warmed up
	canary       []bool
	demand       []int // requests per second, by zone
	maxCrossZone int   // percent of a zone's requests
	shadowCap    int   // shadow requests, in percent of a zone's requests
}

// searchResult is the result of the search. served is the largest number of requests that can be served, crossZone the least
// cross-zone traffic that this needs. Both are found by trying every assignment of requests to hosts. utilizations are those
// of the hosts, found by trying every set of demands; they are nil if some demand can't be served.
type searchResult struct {
	served, crossZone int
	utilizations      []*big.Rat
	shadows           []*big.Rat // shadow requests by zone
}

func (c exhaustiveCase) search() searchResult {
	out := c.assign()
	total := 0
	for _, n := range c.demand {
		total += n
	}
	if out.served == total {
		out.utilizations = c.mostEvenUtilizations()
	}
	for l, n := range c.demand {
		allowed := big.NewRat(int64(n*c.shadowCap), 100)
		capacity := 0
		for h := range c.zoneOf {
			if c.canary[h] && c.zoneOf[h] == l {
				capacity += c.limit(h)
			}
		}
		if r := big.NewRat(int64(capacity), 1); r.Cmp(allowed) < 0 {
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

// assign tries every assignment of requests to hosts. A request of a zone goes to any host that can serve it, or to none. A
// state is the number of requests of each host, in four bits each. states maps it to the least cross-zone traffic with which
// it can be reached.
func (c exhaustiveCase) assign() searchResult {
	const leftAt, crossedAt = 32, 36
	states := map[uint64]int8{0: 0}
	for l, n := range c.demand {
		// Requests of one zone are interchangeable: each host in order gets any number of the remaining ones.
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

// mostEvenUtilizations returns the utilizations of the most even shares that serve all demand with the least cross-zone
// traffic: only what a zone can't serve itself goes to other zones. Every set of demands requires a utilization of the hosts
// that may serve it. The set that requires the highest one determines the utilization of its hosts. This is repeated for the
// remaining demands and hosts.
func (c exhaustiveCase) mostEvenUtilizations() []*big.Rat {
	type demand struct {
		hosts []int
		n     int
	}
	var demands []demand
	for l, n := range c.demand {
		var local, remote []int
		capacity := 0
		for h := range c.zoneOf {
			switch {
			case c.canary[h]:
			case c.zoneOf[h] == l:
				local = append(local, h)
				capacity += c.limit(h)
			default:
				remote = append(remote, h)
			}
		}
		if servedLocally := min(n, capacity); servedLocally > 0 {
			demands = append(demands, demand{local, servedLocally})
		}
		if n > capacity {
			demands = append(demands, demand{remote, n - capacity})
		}
	}
	utilizations := map[int]*big.Rat{}
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
						if utilizations[h] == nil {
							hosts[h] = true
						}
					}
				}
			}
			v := c.fillLevel(hosts, n)
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
				if utilizations[h] == nil {
					utilizations[h] = c.utilizationAt(h, top)
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
		if utilizations[h] == nil {
			utilizations[h] = new(big.Rat)
		}
		out = append(out, utilizations[h])
	}
	return out
}

// utilizationAt returns a host's utilization when all hosts are filled to a level. A rate bound may keep the host below it.
func (c exhaustiveCase) utilizationAt(h int, level *big.Rat) *big.Rat {
	if c.maxRate[h] >= 0 {
		if b := big.NewRat(int64(c.maxRate[h]), int64(c.capacity[h])); b.Cmp(level) < 0 {
			return b
		}
	}
	return level
}

// fillLevel returns the level to which hosts have to be filled to serve n requests. It tries the intervals between the
// utilizations at which hosts reach their rate bounds.
func (c exhaustiveCase) fillLevel(hosts map[int]bool, n int) *big.Rat {
	ends := []*big.Rat{big.NewRat(1, 1)} // of the intervals
	for h := range hosts {
		if c.maxRate[h] >= 0 {
			ends = append(ends, big.NewRat(int64(c.maxRate[h]), int64(c.capacity[h])))
		}
	}
	slices.SortFunc(ends, (*big.Rat).Cmp)
	low := new(big.Rat)
	for _, high := range ends {
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
	return low // the hosts serve n requests only when full
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

// compare compares the results of the solver and the search. It returns whether all demand can be served, and a description
// of the first difference, which is empty if there is none.
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
		return all, fmt.Sprintf("%g requests to other zones, %d by search", got, want.crossZone)
	}
	if want.utilizations != nil {
		var got []*big.Rat
		for _, u := range s.PoolUtilizations() {
			for range u.Hosts {
				got = append(got, u.exact)
			}
		}
		slices.SortFunc(got, (*big.Rat).Cmp)
		// Hosts without capacity are in none of the solver's pools.
		utilizations := want.utilizations
		slices.SortFunc(utilizations, (*big.Rat).Cmp)
		if len(got) != len(utilizations) {
			return all, fmt.Sprintf("%d utilizations, %d by search", len(got), len(utilizations))
		}
		for i := range utilizations {
			if got[i].Cmp(utilizations[i]) != 0 {
				return all, fmt.Sprintf("utilizations %v, %v by search", got, utilizations)
			}
		}
	}
	for l, name := range []string{"east", "north", "port"}[:len(c.demand)] {
		for _, x := range s.Shadows {
			if v, _ := want.shadows[l].Float64(); x.Zone == name && cmp.Compare(x.PlannedRate-v, 1e-9) > 0 || x.Zone == name && v-x.PlannedRate > 1e-9 {
				return all, fmt.Sprintf("%g shadow requests of %s, %g by search", x.PlannedRate, name, v)
			}
		}
	}
	return all, ""
}

// drawCase draws a random case: weights from 1 to 4 (sometimes 12), with or without rate bounds, up to three zones, some of
// them without hosts, canary builds, limits on cross-zone traffic and shadow caps.
func drawCase(r *rand.Rand) exhaustiveCase {
	n := 1 + r.IntN(8)
	zones := 1 + r.IntN(3)
	c := exhaustiveCase{maxCrossZone: []int{0, 25, 50, 100}[r.IntN(4)], shadowCap: []int{0, 5, 10, 50, 100}[r.IntN(5)]}
	hasCanaries := r.IntN(3) == 0
	for range n {
		c.zoneOf = append(c.zoneOf, r.IntN(zones))
		capacity := 1 + r.IntN(4)
		if r.IntN(20) == 0 {
			capacity = 12
		}
		c.capacity = append(c.capacity, capacity)
		maxRate := -1
		if r.IntN(3) == 0 {
			maxRate = 1 + r.IntN(2)
		}
		c.maxRate = append(c.maxRate, maxRate)
		c.canary = append(c.canary, hasCanaries && r.IntN(4) == 0)
	}
	for range zones {
		n := r.IntN(9)
		c.demand = append(c.demand, n-n%map[int]int{0: 1, 25: 4, 50: 2, 100: 1}[c.maxCrossZone]) // the cross-zone limit is a whole number
	}
	return c
}

// TestSolve_EqualsExhaustiveSearchInSmallCases compares the solver and the search in random cases. PLAN_CASES sets their
// number and makes the seed depend on the time (docs/plan.md).
func TestSolve_EqualsExhaustiveSearchInSmallCases(t *testing.T) {
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
	t.Logf("%d cases equal, %d of them with unserved demand", n, unserved.Load())
}

func TestExhaustiveSearch_DetectsWrongCapacity(t *testing.T) {
	c := exhaustiveCase{zoneOf: []int{0, 0}, capacity: []int{2, 2}, maxRate: []int{-1, 1}, canary: []bool{false, false}, demand: []int{3}, maxCrossZone: 100}
	r := rand.New(rand.NewPCG(1, 1))
	_, differs := c.compare(r)
	require.Empty(t, differs)
	wrong := c
	wrong.capacity = []int{1, 2} // as if the solver had left out one unit of a host's capacity
	require.NotEqual(t, wrong.search().served, c.search().served)
	want := c.search()
	require.Equal(t, 3, want.served)
	require.Equal(t, "1/2", want.utilizations[1].RatString())
}
