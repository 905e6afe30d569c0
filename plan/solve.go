package plan

import (
	"fmt"
	"math/big"
	"time"
)

// Step is the shares of one step of the forecast.
type Step struct {
	At         time.Duration
	Infeasible *Infeasibility  // nil where all is served
	Shadows    []ShadowTraffic // at the build on trial, by location; empty where none is

	limits      Limits
	demands     []zoneDemand
	pools       []pool
	canaryPools []pool
	shares      [][]*big.Rat // by origin and pool, shares of the origin's tasks
	shed        []*big.Rat   // by origin
	members     map[string]poolMember
	local       bool
}

// poolMember is where a host stands: its pool, and its part of it.
type poolMember struct {
	pool     int
	work     int64
	isCanary bool
}

// Solve makes a plan: a step for each of the forecast. An error tells what makes no sense in the model; bounds that
// can't all be kept are no error but told by the step.
func Solve(m *Model) (*Plan, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	p := &Plan{model: m}
	for i := range m.Forecast {
		s, err := m.step(i)
		if err != nil {
			return nil, err
		}
		p.Steps = append(p.Steps, s)
	}
	return p, nil
}

// Plan is shares for all steps.
type Plan struct {
	Steps []*Step
	model *Model
}

// Model is what the plan was made from.
func (p *Plan) Model() *Model { return p.model }

func (m *Model) step(n int) (*Step, error) {
	f := m.Forecast[n]
	hosts, stage, trial := m.hostsAt(f.At)
	s := &Step{At: f.At, limits: m.Limits, demands: m.zoneDemands(f)}
	s.groupHosts(hostCapacities(hosts, m.Limits, f.At, trial))
	s.solve(m.CurrentShares)
	if trial != 0 {
		s.planShadows(m, stage)
	}
	if s.UnservedRate() > 0 {
		s.Infeasible = m.infeasibility(s, n)
	}
	if err := s.verify(m, hosts, stage, trial); err != nil {
		return nil, fmt.Errorf("plan at %v: the shares don't stand up to the check, which is a fault of the solver: %w", f.At, err)
	}
	return s, nil
}

// groupHosts groups the hosts into pools.
func (s *Step) groupHosts(all []hostCapacity) {
	var ours, theirs []hostCapacity
	for _, r := range all {
		if r.isCanary {
			theirs = append(theirs, r)
		} else {
			ours = append(ours, r)
		}
	}
	s.pools, s.canaryPools = groupPools(ours), groupPools(theirs)
	s.members = make(map[string]poolMember, len(all))
	for test, ps := range map[bool][]pool{false: s.pools, true: s.canaryPools} {
		for i, p := range ps {
			for _, r := range p.hosts {
				s.members[r.host.Name] = poolMember{i, r.work, test}
			}
		}
	}
}

// solve finds the shares: at once where each location can serve itself, else by linear programs.
func (s *Step) solve(present Shares) {
	if s.local = s.solveLocally(); s.local {
		return
	}
	l := s.program(everyConstraint, present)
	l.minimizeShed()
	l.minimizeCrossZone()
	l.minimizeUtilization()
	l.minimizeChange()
	l.readSolution(s)
}

// constraint is a kind of bound that can be left out, to see which contradict each other.
type constraint struct {
	kind constraintKind
	zone string
}

type constraintKind int

const (
	demandConstraint constraintKind = iota
	capacityConstraint
	rateConstraint
	crossZoneConstraint
	zoneBalanceConstraint
	hostBalanceConstraint
)

// everyConstraint leaves no bound out.
func everyConstraint(constraint) bool { return true }

// linearProgram is the linear program of one step. Columns: for each origin what is shed and, for each pool, the share that it
// gets, parted in what it has already and more; then the largest use.
type linearProgram struct {
	*simplex
	demands         []zoneDemand
	pools           []pool
	shed            []int
	kept            [][]int // by origin and pool; -1 where it has nothing at present
	added           [][]int
	maxUtilization  int
	utilizationRows []int
}

func (s *Step) program(keeps func(constraint) bool, present Shares) *linearProgram {
	l := &linearProgram{pools: s.pools, utilizationRows: make([]int, len(s.pools))}
	for _, o := range s.demands {
		if keeps(constraint{demandConstraint, o.zone}) {
			l.demands = append(l.demands, o)
		}
	}
	now := l.currentShares(present)
	columns := 0
	next := func() int { columns++; return columns - 1 }
	for g := range l.demands {
		l.shed = append(l.shed, next())
		has, more := make([]int, len(l.pools)), make([]int, len(l.pools))
		for p := range l.pools {
			if has[p] = -1; now != nil && now[g][p] > 0 {
				has[p] = next()
			}
			more[p] = next()
		}
		l.kept, l.added = append(l.kept, has), append(l.added, more)
	}
	l.maxUtilization = next()
	l.simplex = newSimplex(columns)

	// Each origin's tasks are all shared out or shed.
	for g := range l.demands {
		var all []term
		for p := range l.pools {
			all = l.appendShare(all, g, p, big.NewInt(1))
		}
		l.addRow(big.NewInt(1), l.shed[g], all...)
	}
	var workAll, capAll int64
	capOf := map[string]int64{}
	for _, o := range l.demands {
		workAll += o.work
	}
	for _, p := range l.pools {
		capAll += p.work
		capOf[p.zone] += p.work
	}
	works := func(pools ...int) (all []term) { // the work that some pools get
		for _, p := range pools {
			for g, o := range l.demands {
				all = l.appendShare(all, g, p, big.NewInt(o.work))
			}
		}
		return all
	}
	inPlace := map[string][]int{}
	for p, x := range l.pools {
		inPlace[x.zone] = append(inPlace[x.zone], p)
		if keeps(constraint{capacityConstraint, x.zone}) {
			l.addRow(big.NewInt(x.work), -1, works(p)...)
		}
		if x.maxRate >= 0 && keeps(constraint{rateConstraint, x.zone}) {
			var all []term
			for g, o := range l.demands {
				all = l.appendShare(all, g, p, big.NewInt(o.rate))
			}
			l.addRow(big.NewInt(x.maxRate), -1, all...)
		}
		l.utilizationRows[p] = l.addRow(new(big.Int), -1, append(works(p), smallTerm(l.maxUtilization, -x.work))...)
	}
	if s.limits.MaxCrossZone < 1 {
		for g, o := range l.demands {
			if !keeps(constraint{crossZoneConstraint, o.zone}) {
				continue
			}
			var all []term
			for p, x := range l.pools {
				if x.zone != o.zone {
					all = l.appendShare(all, g, p, big.NewInt(micro))
				}
			}
			l.addRow(big.NewInt(toMicros(s.limits.MaxCrossZone)), -1, all...)
		}
	}
	for p, x := range l.pools {
		if s.limits.MaxZoneImbalance > 0 && inPlace[x.zone][0] == p && keeps(constraint{zoneBalanceConstraint, x.zone}) {
			l.addRow(scaledShare(toMicros(s.limits.MaxZoneImbalance), workAll, capOf[x.zone], capAll), -1, works(inPlace[x.zone]...)...)
		}
		if s.limits.MaxHostImbalance > 0 && keeps(constraint{hostBalanceConstraint, x.zone}) {
			// work of the pool x capacity of the place <= within x capacity of the pool x work of the place
			var all []term
			for _, q := range inPlace[x.zone] {
				by := new(big.Int).Mul(big.NewInt(-toMicros(s.limits.MaxHostImbalance)), big.NewInt(x.work))
				if q == p {
					by.Add(by, new(big.Int).Mul(big.NewInt(micro), big.NewInt(capOf[x.zone])))
				}
				for g, o := range l.demands {
					all = l.appendShare(all, g, q, new(big.Int).Mul(by, big.NewInt(o.work)))
				}
			}
			l.addRow(new(big.Int), -1, all...)
		}
	}
	for g := range l.demands {
		for p := range l.pools {
			if l.kept[g][p] >= 0 {
				l.addRow(big.NewInt(now[g][p]), -1, smallTerm(l.kept[g][p], micro))
			}
		}
	}
	l.addSlacks()
	return l
}

// scaledShare is by/unit x a x b / c, rounded down.
func scaledShare(by, a, b, c int64) *big.Int {
	v := new(big.Int).Mul(big.NewInt(by), big.NewInt(a))
	v.Mul(v, big.NewInt(b))
	if c == 0 {
		return new(big.Int)
	}
	return v.Div(v, new(big.Int).Mul(big.NewInt(c), big.NewInt(micro)))
}

// appendShare adds what a pool gets of an origin's tasks.
func (l *linearProgram) appendShare(all []term, g, p int, by *big.Int) []term {
	if c := l.kept[g][p]; c >= 0 {
		all = append(all, term{c, by})
	}
	return append(all, term{l.added[g][p], by})
}

// currentShares is what pools get now of each origin's tasks, in millionths.
func (l *linearProgram) currentShares(now Shares) [][]int64 {
	if now == nil {
		return nil
	}
	out := make([][]int64, len(l.demands))
	for g, o := range l.demands {
		out[g] = make([]int64, len(l.pools))
		for p, x := range l.pools {
			for _, r := range x.hosts {
				out[g][p] += toMicros(now[o.zone][r.host.Name])
			}
		}
	}
	return out
}

// minimizeShed is the first goal: as few earnings shed as can be.
func (l *linearProgram) minimizeShed() {
	cost := map[int]int64{}
	for g, o := range l.demands {
		cost[l.shed[g]] = o.value
	}
	l.minimize(cost)
}

// minimizeCrossZone is the second.
func (l *linearProgram) minimizeCrossZone() {
	cost := map[int]int64{}
	for g, o := range l.demands {
		for p, x := range l.pools {
			if x.zone == o.zone {
				continue
			}
			cost[l.added[g][p]] = o.rate
			if c := l.kept[g][p]; c >= 0 {
				cost[c] = o.rate
			}
		}
	}
	l.minimize(cost)
}

// minimizeUtilization is the third: the largest use as small as can be, then that of those that are not held to it, and so on. Each
// round, a further column stands for how far below the last use the rest can stay (the lexicographic optimum of flows
// with several sources: Megiddo, Optimal Flows in Networks with Multiple Sources and Sinks, 1974).
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

// minimizeChange is the last: as much as can be stays where it is.
func (l *linearProgram) minimizeChange() {
	cost := map[int]int64{}
	for g, o := range l.demands {
		for _, c := range l.kept[g] {
			if c >= 0 {
				cost[c] = -o.rate
			}
		}
	}
	if len(cost) > 0 {
		l.minimize(cost)
	}
}

// readSolution takes the shares out of the solution.
func (l *linearProgram) readSolution(s *Step) {
	s.shares, s.shed = nil, nil
	for g := range l.demands {
		to := make([]*big.Rat, len(l.pools))
		for p := range l.pools {
			to[p] = l.value(l.added[g][p])
			if c := l.kept[g][p]; c >= 0 {
				to[p].Add(to[p], l.value(c))
			}
		}
		s.shares, s.shed = append(s.shares, to), append(s.shed, l.value(l.shed[g]))
	}
}
