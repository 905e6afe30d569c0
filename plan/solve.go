package plan

import (
	"fmt"
	"math/big"
	"time"
)

// Plan is the shares of all steps of a forecast.
type Plan struct {
	Steps []*Step
	model *Model
}

// Model returns what the plan was made from.
func (p *Plan) Model() *Model { return p.model }

// Step is the shares of one step of the forecast. Its methods give them host by host.
type Step struct {
	At         time.Duration   // from the plan's start
	Infeasible *Infeasibility  // nil where all demand is served
	Shadows    []ShadowTraffic // to the canary build, by zone; empty where there is none

	limits      Limits
	demands     []zoneDemand
	pools       []pool
	canaryPools []pool
	shares      [][]*big.Rat          // by demand and pool, of the zone's requests
	shed        []*big.Rat            // by demand
	members     map[string]poolMember // by host
	local       bool                  // found without a linear program
}

// poolMember says which pool a host is in.
type poolMember struct {
	pool     int
	work     int64
	isCanary bool // the pool is one of canaryPools
}

// Solve makes a plan with a step for each step of the forecast. It fails for an invalid model. Limits that can't all be
// kept are no error: the step says so in Infeasible.
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

// step solves one step of the forecast and verifies the solution.
func (m *Model) step(n int) (*Step, error) {
	f := m.Forecast[n]
	hosts, stage, canary := m.hostsAt(f.At)
	s := m.newStep(f, hostCapacities(hosts, m.Limits, f.At, canary))
	s.solve(m.CurrentShares)
	if canary != 0 {
		s.planShadows(m, stage)
	}
	if s.UnservedRate() > 0 {
		s.Infeasible = m.infeasibility(s, n)
	}
	if err := s.verify(m, hosts, stage, canary); err != nil {
		return nil, fmt.Errorf("plan at %v: the shares don't stand up to the check, which is a fault of the solver: %w", f.At, err)
	}
	return s, nil
}

// newStep returns a step without shares.
func (m *Model) newStep(f Forecast, hosts []hostCapacity) *Step {
	s := &Step{At: f.At, limits: m.Limits, demands: m.zoneDemands(f)}
	s.groupHosts(hosts)
	return s
}

// groupHosts groups the hosts into pools, those of the canary build apart.
func (s *Step) groupHosts(hosts []hostCapacity) {
	var serving, canaries []hostCapacity
	for _, h := range hosts {
		if h.isCanary {
			canaries = append(canaries, h)
		} else {
			serving = append(serving, h)
		}
	}
	s.pools, s.canaryPools = groupPools(serving), groupPools(canaries)
	s.members = make(map[string]poolMember, len(hosts))
	s.addMembers(s.pools, false)
	s.addMembers(s.canaryPools, true)
}

func (s *Step) addMembers(pools []pool, isCanary bool) {
	for i, p := range pools {
		for _, h := range p.hosts {
			s.members[h.host.Name] = poolMember{pool: i, work: h.work, isCanary: isCanary}
		}
	}
}

// solve finds the shares: directly where each zone can serve itself, else by linear programs.
func (s *Step) solve(current Shares) {
	if s.local = s.solveLocally(); s.local {
		return
	}
	l := s.program(everyConstraint, current)
	l.minimizeShed()
	l.minimizeCrossZone()
	l.minimizeUtilization()
	l.minimizeChange()
	l.readSolution(s)
}

// minimizeUnserved finds no more than what can be served.
func (s *Step) minimizeUnserved() { s.minimizeUnservedUnder(everyConstraint) }

// minimizeUnservedUnder is minimizeUnserved without the constraints that keep refuses, unless each zone can serve itself.
func (s *Step) minimizeUnservedUnder(keep func(constraint) bool) {
	if s.solveLocally() {
		return
	}
	l := s.program(keep, nil)
	l.minimizeShed()
	l.readSolution(s)
}
