package plan

import "math/big"

// constraint is a group of rows that can be left out to find out which constraints conflict with each other.
type constraint struct {
	kind constraintKind
	zone string
}

// constraintKind is the kind of limit that a constraint enforces. Explanations list constraints in this order.
type constraintKind int

const (
	demandConstraint constraintKind = iota
	capacityConstraint
	rateConstraint
	crossZoneConstraint
	zoneBalanceConstraint
	hostBalanceConstraint
)

// everyConstraint selects all constraints.
func everyConstraint(constraint) bool { return true }

// linearProgram is the linear program of one step. For each zone's demand it has a column for the share that is shed and,
// for each pool, columns for the pool's share, split into the part retained from the current shares and the part added to
// them. The last column is the largest utilization. The minimize methods meet the goals in order.
type linearProgram struct {
	*simplex
	demands         []zoneDemand
	pools           []pool
	zonePools       map[string][]int // pools by zone
	shed            []int            // column by demand
	retained        [][]int          // column by demand and pool; -1 where the pool has no current share
	added           [][]int          // column by demand and pool
	maxUtilization  int              // column
	utilizationRows []int            // by pool
}

// program returns the linear program of a step with the constraints for which keep returns true.
func (s *Step) program(keep func(constraint) bool, current Shares) *linearProgram {
	l := &linearProgram{pools: s.pools, zonePools: map[string][]int{}, utilizationRows: make([]int, len(s.pools))}
	for _, d := range s.demands {
		if keep(constraint{demandConstraint, d.zone}) {
			l.demands = append(l.demands, d)
		}
	}
	for p, x := range l.pools {
		l.zonePools[x.zone] = append(l.zonePools[x.zone], p)
	}
	present := l.currentShares(current)
	l.addColumns(present)
	l.addDemandRows()
	l.addPoolRows(keep)
	if s.limits.MaxCrossZone < 1 {
		l.addCrossZoneRows(keep, s.limits.MaxCrossZone)
	}
	l.addBalanceRows(keep, s.limits)
	l.addRetainedRows(present)
	l.addSlacks()
	return l
}

func (l *linearProgram) addColumns(present [][]int64) {
	count := 0
	next := func() int { count++; return count - 1 }
	for g := range l.demands {
		l.shed = append(l.shed, next())
		retained, added := make([]int, len(l.pools)), make([]int, len(l.pools))
		for p := range l.pools {
			if retained[p] = -1; present != nil && present[g][p] > 0 {
				retained[p] = next()
			}
			added[p] = next()
		}
		l.retained, l.added = append(l.retained, retained), append(l.added, added)
	}
	l.maxUtilization = next()
	l.simplex = newSimplex(count)
}

// addDemandRows adds the rows that require all requests of each zone to be either served or shed.
func (l *linearProgram) addDemandRows() {
	for g := range l.demands {
		var terms []term
		for p := range l.pools {
			terms = l.appendShare(terms, g, p, big.NewInt(1))
		}
		l.addRow(big.NewInt(1), l.shed[g], terms...)
	}
}

// addPoolRows adds the rows for the capacity, the rate bound and the utilization of each pool.
func (l *linearProgram) addPoolRows(keep func(constraint) bool) {
	for p, x := range l.pools {
		if keep(constraint{capacityConstraint, x.zone}) {
			l.addRow(big.NewInt(x.work), -1, l.work(p)...)
		}
		if x.maxRate >= 0 && keep(constraint{rateConstraint, x.zone}) {
			var terms []term
			for g, d := range l.demands {
				terms = l.appendShare(terms, g, p, big.NewInt(d.rate))
			}
			l.addRow(big.NewInt(x.maxRate), -1, terms...)
		}
		l.utilizationRows[p] = l.addRow(new(big.Int), -1, append(l.work(p), smallTerm(l.maxUtilization, -x.work))...)
	}
}

// addCrossZoneRows adds the rows that limit the share of each zone's requests that goes to other zones.
func (l *linearProgram) addCrossZoneRows(keep func(constraint) bool, limit float64) {
	for g, d := range l.demands {
		if !keep(constraint{crossZoneConstraint, d.zone}) {
			continue
		}
		var terms []term
		for p, x := range l.pools {
			if x.zone != d.zone {
				terms = l.appendShare(terms, g, p, big.NewInt(micro))
			}
		}
		l.addRow(big.NewInt(toMicros(limit)), -1, terms...)
	}
}

// addBalanceRows adds the rows that limit the utilization of zones relative to the fleet's and of pools relative to their
// zone's.
func (l *linearProgram) addBalanceRows(keep func(constraint) bool, limits Limits) {
	var totalWork, totalCapacity int64
	capacity := map[string]int64{}
	for _, d := range l.demands {
		totalWork += d.work
	}
	for _, p := range l.pools {
		totalCapacity += p.work
		capacity[p.zone] += p.work
	}
	for p, x := range l.pools {
		pools := l.zonePools[x.zone]
		if limits.MaxZoneImbalance > 0 && pools[0] == p && keep(constraint{zoneBalanceConstraint, x.zone}) {
			bound := scaledShare(toMicros(limits.MaxZoneImbalance), totalWork, capacity[x.zone], totalCapacity)
			l.addRow(bound, -1, l.work(pools...)...)
		}
		if limits.MaxHostImbalance > 0 && keep(constraint{hostBalanceConstraint, x.zone}) {
			l.addHostBalanceRow(p, limits.MaxHostImbalance, capacity[x.zone])
		}
	}
}

// addHostBalanceRow adds the row: work of the pool x capacity of the zone <= limit x capacity of the pool x work of the
// zone.
func (l *linearProgram) addHostBalanceRow(p int, limit float64, zoneCapacity int64) {
	var terms []term
	for _, q := range l.zonePools[l.pools[p].zone] {
		factor := new(big.Int).Mul(big.NewInt(-toMicros(limit)), big.NewInt(l.pools[p].work))
		if q == p {
			factor.Add(factor, new(big.Int).Mul(big.NewInt(micro), big.NewInt(zoneCapacity)))
		}
		for g, d := range l.demands {
			terms = l.appendShare(terms, g, q, new(big.Int).Mul(factor, big.NewInt(d.work)))
		}
	}
	l.addRow(new(big.Int), -1, terms...)
}

// addRetainedRows adds the rows that limit the retained part of a pool's share to its current share.
func (l *linearProgram) addRetainedRows(present [][]int64) {
	for g := range l.demands {
		for p := range l.pools {
			if l.retained[g][p] >= 0 {
				l.addRow(big.NewInt(present[g][p]), -1, smallTerm(l.retained[g][p], micro))
			}
		}
	}
}

// work returns the terms of the work that the given pools get.
func (l *linearProgram) work(pools ...int) (terms []term) {
	for _, p := range pools {
		for g, d := range l.demands {
			terms = l.appendShare(terms, g, p, big.NewInt(d.work))
		}
	}
	return terms
}

// appendShare appends the terms of a pool's share of a zone's requests, times a factor.
func (l *linearProgram) appendShare(terms []term, g, p int, factor *big.Int) []term {
	if c := l.retained[g][p]; c >= 0 {
		terms = append(terms, term{c, factor})
	}
	return append(terms, term{l.added[g][p], factor})
}

// scaledShare returns factor x a x b / c, rounded down, with the factor in millionths; 0 if c is 0.
func scaledShare(factor, a, b, c int64) *big.Int {
	v := new(big.Int).Mul(big.NewInt(factor), big.NewInt(a))
	v.Mul(v, big.NewInt(b))
	if c == 0 {
		return new(big.Int)
	}
	return v.Div(v, new(big.Int).Mul(big.NewInt(c), big.NewInt(micro)))
}

// currentShares returns the pools' current shares of each zone's requests, in millionths; nil if no shares are in force.
func (l *linearProgram) currentShares(current Shares) [][]int64 {
	if current == nil {
		return nil
	}
	out := make([][]int64, len(l.demands))
	for g, d := range l.demands {
		out[g] = make([]int64, len(l.pools))
		for p, x := range l.pools {
			for _, h := range x.hosts {
				out[g][p] += toMicros(current[d.zone][h.host.Name])
			}
		}
	}
	return out
}

// minimizeShed meets the first goal: minimize the value of shed requests.
func (l *linearProgram) minimizeShed() {
	cost := map[int]int64{}
	for g, d := range l.demands {
		cost[l.shed[g]] = d.value
	}
	l.minimize(cost)
}

// minimizeCrossZone meets the second goal: minimize the rate of requests to other zones.
func (l *linearProgram) minimizeCrossZone() {
	cost := map[int]int64{}
	for g, d := range l.demands {
		for p, x := range l.pools {
			if x.zone == d.zone {
				continue
			}
			cost[l.added[g][p]] = d.rate
			if c := l.retained[g][p]; c >= 0 {
				cost[c] = d.rate
			}
		}
	}
	l.minimize(cost)
}

// minimizeUtilization meets the third goal: minimize the largest utilization, then the largest one among the pools that can
// stay below it, and so on. Each round adds a column for the distance by which these pools can stay below the last
// utilization, and maximizes it (the lexicographic optimum of flows with several sources: Megiddo, Optimal Flows in
// Networks with Multiple Sources and Sinks, 1974).
func (l *linearProgram) minimizeUtilization() {
	l.minimize(map[int]int64{l.maxUtilization: 1})
	for range l.pools {
		below := map[int]int64{}
		for p, row := range l.utilizationRows {
			if !l.isTight(row) {
				below[row] = l.pools[p].work
			}
		}
		if len(below) == 0 {
			return
		}
		l.minimize(map[int]int64{l.addColumn(below): -1})
	}
}

// minimizeChange meets the last goal: retain as much as possible of the current shares.
func (l *linearProgram) minimizeChange() {
	cost := map[int]int64{}
	for g, d := range l.demands {
		for _, c := range l.retained[g] {
			if c >= 0 {
				cost[c] = -d.rate
			}
		}
	}
	if len(cost) > 0 {
		l.minimize(cost)
	}
}

// readSolution stores the shares of the solution in a step.
func (l *linearProgram) readSolution(s *Step) {
	s.shares, s.shed = nil, nil
	for g := range l.demands {
		shares := make([]*big.Rat, len(l.pools))
		for p := range l.pools {
			shares[p] = l.value(l.added[g][p])
			if c := l.retained[g][p]; c >= 0 {
				shares[p].Add(shares[p], l.value(c))
			}
		}
		s.shares, s.shed = append(s.shares, shares), append(s.shed, l.value(l.shed[g]))
	}
}
