package plan

import (
	"fmt"
	"math/big"
	"time"
)

// Plan holds the shares for all steps of a forecast.
type Plan struct {
	Steps []*Step
	model *Model
}

// Model returns the model that the plan was computed from.
func (p *Plan) Model() *Model { return p.model }

// Step holds the shares for one step of the forecast. Its methods return them host by host.
type Step struct {
	At         time.Duration   // relative to the plan's start
	Infeasible *Infeasibility  // nil if all demand is served
	Shadows    []ShadowTraffic // shadow requests to the canary build, by zone; empty if there is no canary build

	limits      Limits
	demands     []zoneDemand
	pools       []pool
	canaryPools []pool
	shares      [][]*big.Rat          // share of the zone's requests by demand and pool
	shed        []*big.Rat            // share of the zone's requests that is shed, by demand
	members     map[string]poolMember // by host
	local       bool                  // the shares were found without a linear program
}

// poolMember is a host's membership in a pool.
type poolMember struct {
	pool     int   // index into pools or canaryPools
	work     int64 // the host's capacity
	isCanary bool  // the pool is one of canaryPools
}

// Solve computes a plan with a step for each step of the forecast. It fails for an invalid model. It is not an error if a
// step can't serve all demand within the limits: the step then has Infeasible set.
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
		return nil, fmt.Errorf("plan at %v: solver fault: the computed shares fail verification: %w", f.At, err)
	}
	return s, nil
}

// newStep returns a step without shares.
func (m *Model) newStep(f Forecast, hosts []hostCapacity) *Step {
	s := &Step{At: f.At, limits: m.Limits, demands: m.zoneDemands(f)}
	s.groupHosts(hosts)
	return s
}

// groupHosts groups the hosts into pools. Hosts of the canary build are in separate pools.
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

// solve computes the shares: directly if each zone can serve its own demand, otherwise by linear programs.
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

// minimizeUnserved computes shares that serve as much demand as possible, without the other goals.
func (s *Step) minimizeUnserved() { s.minimizeUnservedUnder(everyConstraint) }

// minimizeUnservedUnder is minimizeUnserved with only the constraints for which keep returns true. If each zone can serve
// its own demand, all constraints are met and keep is not used.
func (s *Step) minimizeUnservedUnder(keep func(constraint) bool) {
	if s.solveLocally() {
		return
	}
	l := s.program(keep, nil)
	l.minimizeShed()
	l.readSolution(s)
}
