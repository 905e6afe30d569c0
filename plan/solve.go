package plan

import (
	"fmt"
	"math/big"
	"time"
)

// Step is the shares of one step of the forecast.
type Step struct {
	At     time.Duration
	Unfit  *Unfit   // nil where all is served
	Copies []Copies // at the build on trial, by location; empty where none is

	bounds  Limits
	origins []origin
	pools   []pool
	trial   []pool
	to      [][]*big.Rat // by origin and pool, shares of the origin's tasks
	shed    []*big.Rat   // by origin
	poolOf  map[string]place
	quick   bool
}

// place is where a host stands: its pool, and its part of it.
type place struct {
	pool int
	work int64
	test bool
}

// Solve makes a plan: a step for each of the forecast. An error tells what makes no sense in the model; bounds that
// can't all be kept are no error but told by the step.
func Solve(m *Model) (*Plan, error) {
	if err := m.Check(); err != nil {
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
	s := &Step{At: f.At, bounds: m.Limits, origins: m.origins(f)}
	s.place(rooms(hosts, m.Limits, f.At, trial))
	s.solve(m.Present)
	if trial != 0 {
		s.copies(m, stage)
	}
	if s.Unserved() > 0 {
		s.Unfit = m.unfit(s, n)
	}
	if err := s.verify(m, hosts, stage, trial); err != nil {
		return nil, fmt.Errorf("plan at %v: the shares don't stand up to the check, which is a fault of the solver: %w", f.At, err)
	}
	return s, nil
}

// place groups the hosts into pools.
func (s *Step) place(all []room) {
	var ours, theirs []room
	for _, r := range all {
		if r.onTest {
			theirs = append(theirs, r)
		} else {
			ours = append(ours, r)
		}
	}
	s.pools, s.trial = pools(ours), pools(theirs)
	s.poolOf = make(map[string]place, len(all))
	for test, ps := range map[bool][]pool{false: s.pools, true: s.trial} {
		for i, p := range ps {
			for _, r := range p.rooms {
				s.poolOf[r.host.Name] = place{i, r.work, test}
			}
		}
	}
}

// solve finds the shares: at once where each location can serve itself, else by linear programs.
func (s *Step) solve(present Present) {
	if s.quick = s.byItself(); s.quick {
		return
	}
	l := s.program(everything, present)
	l.serve()
	l.crossLeast()
	l.evenOut()
	l.changeLeast()
	l.read(s)
}

// group is a kind of bound that can be left out, to see which contradict each other.
type group struct {
	kind  groupKind
	place string
}

type groupKind int

const (
	ofDemand groupKind = iota
	ofCapacity
	ofCold
	ofCrossing
	ofBetween
	ofWithin
)

// everything leaves no bound out.
func everything(group) bool { return true }

// program is the linear program of one step. Columns: for each origin what is shed and, for each pool, the share that it
// gets, parted in what it has already and more; then the largest use.
type program struct {
	*simplex
	origins []origin
	pools   []pool
	shed    []int
	has     [][]int // by origin and pool; -1 where it has nothing at present
	more    [][]int
	use     int
	useRows []int
}

func (s *Step) program(keeps func(group) bool, present Present) *program {
	l := &program{pools: s.pools, useRows: make([]int, len(s.pools))}
	for _, o := range s.origins {
		if keeps(group{ofDemand, o.name}) {
			l.origins = append(l.origins, o)
		}
	}
	now := l.present(present)
	columns := 0
	next := func() int { columns++; return columns - 1 }
	for g := range l.origins {
		l.shed = append(l.shed, next())
		has, more := make([]int, len(l.pools)), make([]int, len(l.pools))
		for p := range l.pools {
			if has[p] = -1; now != nil && now[g][p] > 0 {
				has[p] = next()
			}
			more[p] = next()
		}
		l.has, l.more = append(l.has, has), append(l.more, more)
	}
	l.use = next()
	l.simplex = newSimplex(columns)

	// Each origin's tasks are all shared out or shed.
	for g := range l.origins {
		var all []term
		for p := range l.pools {
			all = l.each(all, g, p, big.NewInt(1))
		}
		l.row(big.NewInt(1), l.shed[g], all...)
	}
	var workAll, capAll int64
	capOf := map[string]int64{}
	for _, o := range l.origins {
		workAll += o.work
	}
	for _, p := range l.pools {
		capAll += p.work
		capOf[p.place] += p.work
	}
	works := func(pools ...int) (all []term) { // the work that some pools get
		for _, p := range pools {
			for g, o := range l.origins {
				all = l.each(all, g, p, big.NewInt(o.work))
			}
		}
		return all
	}
	inPlace := map[string][]int{}
	for p, x := range l.pools {
		inPlace[x.place] = append(inPlace[x.place], p)
		if keeps(group{ofCapacity, x.place}) {
			l.row(big.NewInt(x.work), -1, works(p)...)
		}
		if x.tasks >= 0 && keeps(group{ofCold, x.place}) {
			var all []term
			for g, o := range l.origins {
				all = l.each(all, g, p, big.NewInt(o.rate))
			}
			l.row(big.NewInt(x.tasks), -1, all...)
		}
		l.useRows[p] = l.row(new(big.Int), -1, append(works(p), part(l.use, -x.work))...)
	}
	if s.bounds.Cross < 1 {
		for g, o := range l.origins {
			if !keeps(group{ofCrossing, o.name}) {
				continue
			}
			var all []term
			for p, x := range l.pools {
				if x.place != o.name {
					all = l.each(all, g, p, big.NewInt(unit))
				}
			}
			l.row(big.NewInt(fix(s.bounds.Cross)), -1, all...)
		}
	}
	for p, x := range l.pools {
		if s.bounds.Between > 0 && inPlace[x.place][0] == p && keeps(group{ofBetween, x.place}) {
			l.row(share(fix(s.bounds.Between), workAll, capOf[x.place], capAll), -1, works(inPlace[x.place]...)...)
		}
		if s.bounds.Within > 0 && keeps(group{ofWithin, x.place}) {
			// work of the pool x capacity of the place <= within x capacity of the pool x work of the place
			var all []term
			for _, q := range inPlace[x.place] {
				by := new(big.Int).Mul(big.NewInt(-fix(s.bounds.Within)), big.NewInt(x.work))
				if q == p {
					by.Add(by, new(big.Int).Mul(big.NewInt(unit), big.NewInt(capOf[x.place])))
				}
				for g, o := range l.origins {
					all = l.each(all, g, q, new(big.Int).Mul(by, big.NewInt(o.work)))
				}
			}
			l.row(new(big.Int), -1, all...)
		}
	}
	for g := range l.origins {
		for p := range l.pools {
			if l.has[g][p] >= 0 {
				l.row(big.NewInt(now[g][p]), -1, part(l.has[g][p], unit))
			}
		}
	}
	l.close()
	return l
}

// share is by/unit x a x b / c, rounded down.
func share(by, a, b, c int64) *big.Int {
	v := new(big.Int).Mul(big.NewInt(by), big.NewInt(a))
	v.Mul(v, big.NewInt(b))
	if c == 0 {
		return new(big.Int)
	}
	return v.Div(v, new(big.Int).Mul(big.NewInt(c), big.NewInt(unit)))
}

// each adds what a pool gets of an origin's tasks.
func (l *program) each(all []term, g, p int, by *big.Int) []term {
	if c := l.has[g][p]; c >= 0 {
		all = append(all, term{c, by})
	}
	return append(all, term{l.more[g][p], by})
}

// present is what pools get now of each origin's tasks, in millionths.
func (l *program) present(now Present) [][]int64 {
	if now == nil {
		return nil
	}
	out := make([][]int64, len(l.origins))
	for g, o := range l.origins {
		out[g] = make([]int64, len(l.pools))
		for p, x := range l.pools {
			for _, r := range x.rooms {
				out[g][p] += fix(now[o.name][r.host.Name])
			}
		}
	}
	return out
}

// serve is the first goal: as few earnings shed as can be.
func (l *program) serve() {
	cost := map[int]int64{}
	for g, o := range l.origins {
		cost[l.shed[g]] = o.worth
	}
	l.least(cost)
}

// crossLeast is the second.
func (l *program) crossLeast() {
	cost := map[int]int64{}
	for g, o := range l.origins {
		for p, x := range l.pools {
			if x.place == o.name {
				continue
			}
			cost[l.more[g][p]] = o.rate
			if c := l.has[g][p]; c >= 0 {
				cost[c] = o.rate
			}
		}
	}
	l.least(cost)
}

// evenOut is the third: the largest use as small as can be, then that of those that are not held to it, and so on. Each
// round, a further column stands for how far below the last use the rest can stay (the lexicographic optimum of flows
// with several sources: Megiddo, Optimal Flows in Networks with Multiple Sources and Sinks, 1974).
func (l *program) evenOut() {
	l.least(map[int]int64{l.use: 1})
	for range l.pools {
		below := map[int]int64{}
		for p, row := range l.useRows {
			if !l.tight(row) {
				below[row] = l.pools[p].work
			}
		}
		if len(below) == 0 {
			return
		}
		l.least(map[int]int64{l.column(below): -1})
	}
}

// changeLeast is the last: as much as can be stays where it is.
func (l *program) changeLeast() {
	cost := map[int]int64{}
	for g, o := range l.origins {
		for _, c := range l.has[g] {
			if c >= 0 {
				cost[c] = -o.rate
			}
		}
	}
	if len(cost) > 0 {
		l.least(cost)
	}
}

// read takes the shares out of the solution.
func (l *program) read(s *Step) {
	s.to, s.shed = nil, nil
	for g := range l.origins {
		to := make([]*big.Rat, len(l.pools))
		for p := range l.pools {
			to[p] = l.value(l.more[g][p])
			if c := l.has[g][p]; c >= 0 {
				to[p].Add(to[p], l.value(c))
			}
		}
		s.to, s.shed = append(s.to, to), append(s.shed, l.value(l.shed[g]))
	}
}
