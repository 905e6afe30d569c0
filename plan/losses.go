package plan

import (
	"cmp"
	"slices"
)

// Loss is a loss of hosts that would leave demand unserved in a step even after routers follow shares computed without
// these hosts.
type Loss struct {
	Step         int     // index of the step in the forecast
	Lost         string  // "zone NAME" or "host NAME"
	UnservedRate float64 // requests per second
}

// UnsurvivedLosses tries, in every step, the losses that the limits require the fleet to survive, and returns those that
// leave demand unserved: the loss of each zone, whose requests may then all go to other zones, and of the largest host of
// each pool.
func (p *Plan) UnsurvivedLosses() (out []Loss) {
	for step := range p.model.Forecast {
		out = append(out, p.zoneLosses(step)...)
		out = append(out, p.hostLosses(step)...)
	}
	return out
}

func (p *Plan) zoneLosses(step int) (out []Loss) {
	if !p.model.Limits.SurviveZoneLoss {
		return nil
	}
	var last string
	for _, x := range p.Steps[step].pools {
		if x.zone == last {
			continue
		}
		last = x.zone
		inZone := func(h hostCapacity) bool { return h.host.Zone == x.zone }
		if rate := p.model.unservedWithout(step, inZone, x.zone); rate > 0 {
			out = append(out, Loss{Step: step, Lost: "zone " + x.zone, UnservedRate: rate})
		}
	}
	return out
}

func (p *Plan) hostLosses(step int) (out []Loss) {
	if !p.model.Limits.SurviveHostLoss {
		return nil
	}
	for _, x := range p.Steps[step].pools {
		largest := slices.MaxFunc(x.hosts, func(a, b hostCapacity) int { return cmp.Compare(a.work, b.work) })
		isLargest := func(h hostCapacity) bool { return h.host.Name == largest.host.Name }
		if rate := p.model.unservedWithout(step, isLargest, ""); rate > 0 {
			out = append(out, Loss{Step: step, Lost: "host " + largest.host.Name, UnservedRate: rate})
		}
	}
	return out
}

// unservedWithout returns the unserved rate without the lost hosts. The limit on cross-zone traffic does not apply to
// requests of the zone that is given as unbounded.
func (m *Model) unservedWithout(step int, lost func(hostCapacity) bool, unbounded string) float64 {
	f := m.Forecast[step]
	hosts, _, canary := m.hostsAt(f.At)
	s := m.newStep(f, slices.DeleteFunc(hostCapacities(hosts, m.Limits, f.At, canary), lost))
	s.minimizeUnservedUnder(func(c constraint) bool { return c != constraint{crossZoneConstraint, unbounded} })
	return s.UnservedRate()
}
