package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// hostsAt are the hosts at a moment, with the stage that a release is in (from 0) and the build on trial; 0 for none.
func (m *Model) hostsAt(at time.Duration) (hosts []Host, stage, trial int) {
	r := m.Release
	if r == nil {
		return m.Hosts, 0, 0
	}
	stage = -1
	for n, s := range r.Stages {
		if s.At <= at {
			stage = n
		}
	}
	if stage < 0 {
		return m.Hosts, 0, 0
	}
	if r.ReleasedAt != 0 && at >= r.ReleasedAt {
		return m.hostsAfterRelease(), stage, 0
	}
	return m.hostsInStage(stage), stage, r.Build
}

// hostsAfterRelease are the hosts once the release is over: its build stands at all places, and earlier ones have left.
func (m *Model) hostsAfterRelease() (hosts []Host) {
	r := m.Release
	last := m.hostsInStage(len(r.Stages) - 1)
	replaced := map[string]bool{}
	for _, h := range last[len(m.Hosts):] {
		replaced[h.Name] = true
	}
	for _, h := range last {
		switch {
		case h.Build == r.Build:
			hosts = append(hosts, h)
		case !replaced[sideBySideName(h.Name, r.Build)]:
			h.Build, h.StartsAt, h.DrainsAt = r.Build, r.ReleasedAt, 0
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func sideBySideName(name string, build int) string { return fmt.Sprintf("%s+%d", name, build) }

// hostsInStage are the hosts in a stage of the release: so many places as it says run its build, those of all locations by
// turns. Each started with the stage that brought it.
func (m *Model) hostsInStage(stage int) []Host {
	r := m.Release
	order := m.rolloutOrder()
	hosts := slices.Clone(m.Hosts)
	done := 0
	for n := 0; n <= stage; n++ {
		upto := int(math.Ceil(r.Stages[n].HostShare*float64(len(order)) - 1e-9))
		for ; done < upto; done++ {
			h := hosts[order[done]]
			h.Build, h.StartsAt, h.DrainsAt = r.Build, r.Stages[n].At, 0
			if r.SideBySide {
				h.Name = sideBySideName(h.Name, r.Build)
				hosts = append(hosts, h)
			} else {
				hosts[order[done]] = h
			}
		}
	}
	return hosts
}

// rolloutOrder is the order in which places get a build: by name, the locations by turns.
func (m *Model) rolloutOrder() []int {
	byPlace := map[string][]int{}
	var places []string
	for i, h := range m.Hosts {
		if byPlace[h.Zone] == nil {
			places = append(places, h.Zone)
		}
		byPlace[h.Zone] = append(byPlace[h.Zone], i)
	}
	slices.Sort(places)
	for _, p := range places {
		slices.SortFunc(byPlace[p], func(a, b int) int { return cmp.Compare(m.Hosts[a].Name, m.Hosts[b].Name) })
	}
	var out []int
	for n := 0; len(out) < len(m.Hosts); n++ {
		for _, p := range places {
			if n < len(byPlace[p]) {
				out = append(out, byPlace[p][n])
			}
		}
	}
	return out
}

// StageFeasibility is whether a stage could stand during a step: what of the demand its earlier hosts would leave unserved, and
// how many of the copies that its cap allows its hosts could take, all of them warm.
type StageFeasibility struct {
	Stage, Step  int
	Hosts        int // that run its build
	UnservedRate float64
	AllowedRate  float64
	PlannedRate  float64
}

// Feasible tells whether the stage leaves all demand served.
func (f StageFeasibility) Feasible() bool { return f.UnservedRate == 0 }

// CheckStages tries every stage of the release at every step, before it starts.
func (p *Plan) CheckStages() (out []StageFeasibility, err error) {
	m := p.model
	if m.Release == nil {
		return nil, nil
	}
	for n := range m.Release.Stages {
		hosts := m.hostsInStage(n)
		for i, f := range m.Forecast {
			now := slices.Clone(hosts)
			count := 0
			for j := range now {
				if now[j].Build == m.Release.Build {
					now[j].StartsAt = f.At - m.Limits.SlowStart.Duration
					count++
				}
			}
			s := &Step{At: f.At, limits: m.Limits, demands: m.zoneDemands(f)}
			s.groupHosts(hostCapacities(now, m.Limits, f.At, m.Release.Build))
			s.minimizeUnserved()
			s.planShadows(m, n)
			fit := StageFeasibility{Stage: n, Step: i, Hosts: count, UnservedRate: s.UnservedRate()}
			for _, c := range s.Shadows {
				fit.AllowedRate += c.AllowedRate
				fit.PlannedRate += c.PlannedRate
			}
			out = append(out, fit)
		}
	}
	return out, nil
}

// minimizeUnserved works out no more than what can be served.
func (s *Step) minimizeUnserved() {
	if s.solveLocally() {
		return
	}
	l := s.program(everyConstraint, nil)
	l.minimizeShed()
	l.readSolution(s)
}

// Loss is a loss that would not be survived at a step, once routers know of it and follow new shares.
type Loss struct {
	Step         int
	Lost         string
	UnservedRate float64 // tasks a second
}

// UnsurvivedLosses tries the losses that the bounds ask to be survived, at every step: of any one location, whose tasks are then
// free to cross, and of the largest host of each kind.
func (p *Plan) UnsurvivedLosses() (out []Loss) {
	m := p.model
	for i, f := range m.Forecast {
		hosts, _, trial := m.hostsAt(f.At)
		try := func(what string, gone func(hostCapacity) bool, free string) {
			s := &Step{At: f.At, limits: m.Limits, demands: m.zoneDemands(f)}
			var left []hostCapacity
			for _, r := range hostCapacities(hosts, m.Limits, f.At, trial) {
				if !gone(r) {
					left = append(left, r)
				}
			}
			s.groupHosts(left)
			if !s.solveLocally() {
				l := s.program(func(g constraint) bool { return g != constraint{crossZoneConstraint, free} }, nil)
				l.minimizeShed()
				l.readSolution(s)
			}
			if n := s.UnservedRate(); n > 0 {
				out = append(out, Loss{Step: i, Lost: what, UnservedRate: n})
			}
		}
		step := p.Steps[i]
		if m.Limits.SurviveZoneLoss {
			var last string
			for _, x := range step.pools {
				if x.zone != last {
					last = x.zone
					try("the location "+last, func(r hostCapacity) bool { return r.host.Zone == x.zone }, last)
				}
			}
		}
		if m.Limits.SurviveHostLoss {
			for _, x := range step.pools {
				big := slices.MaxFunc(x.hosts, func(a, b hostCapacity) int { return cmp.Compare(a.work, b.work) })
				try("the host "+big.host.Name, func(r hostCapacity) bool { return r.host.Name == big.host.Name }, "")
			}
		}
	}
	return out
}

// WhatIf is a model as it would be after something has happened:
//
//	lose LOCATION         all its hosts are gone
//	lose host NAME        one is
//	cold LOCATION         all its hosts start anew at the plan's start
//	demand xN [LOCATION]  so many times the forecast, everywhere or there
//	no release            the release does not come
func (m *Model) WhatIf(what string) (*Model, error) {
	out := *m
	out.Hosts = slices.Clone(m.Hosts)
	words := strings.Fields(what)
	known := func(place string) error {
		for _, h := range m.Hosts {
			if h.Zone == place {
				return nil
			}
		}
		return fmt.Errorf("what if %q: no host stands in %s", what, place)
	}
	switch {
	case len(words) == 3 && words[0] == "lose" && words[1] == "host":
		n := len(out.Hosts)
		out.Hosts = slices.DeleteFunc(out.Hosts, func(h Host) bool { return h.Name == words[2] })
		if len(out.Hosts) == n {
			return nil, fmt.Errorf("what if %q: no host has this name", what)
		}
	case len(words) == 2 && words[0] == "lose":
		if err := known(words[1]); err != nil {
			return nil, err
		}
		out.Hosts = slices.DeleteFunc(out.Hosts, func(h Host) bool { return h.Zone == words[1] })
		out.Limits.MaxCrossZone = 1 // its tasks have nowhere else to go
	case len(words) == 2 && words[0] == "cold":
		if err := known(words[1]); err != nil {
			return nil, err
		}
		for i := range out.Hosts {
			if out.Hosts[i].Zone == words[1] {
				out.Hosts[i].StartsAt = m.Forecast[0].At
			}
		}
	case (len(words) == 2 || len(words) == 3) && words[0] == "demand" && strings.HasPrefix(words[1], "x"):
		var by float64
		if _, err := fmt.Sscanf(words[1], "x%g", &by); err != nil || !(by >= 0 && by <= 1000) {
			return nil, fmt.Errorf("what if %q: x and a number from 0 to 1000 expected, not %s", what, words[1])
		}
		out.Forecast = slices.Clone(m.Forecast)
		for i := range out.Forecast {
			d := slices.Clone(out.Forecast[i].Demand)
			for j := range d {
				if len(words) == 2 || d[j].Zone == words[2] {
					d[j].Rate *= by
					d[j].StdDev *= by
				}
			}
			out.Forecast[i].Demand = d
		}
	case what == "no release":
		out.Release = nil
	default:
		return nil, fmt.Errorf("what if %q: lose LOCATION, lose host NAME, cold LOCATION, demand xN [LOCATION] or no release expected", what)
	}
	return &out, nil
}
