package plan

import (
	"fmt"
	"math/big"
)

// verifier checks the shares of a step host by host, in exact rationals. It takes all other figures from the model and uses
// no other results of the solver.
type verifier struct {
	step       *Step
	model      *Model
	stage      int
	demands    []zoneDemand
	hosts      []hostCapacity
	work, rate rationals // by host, in millionths per second
}

// rationals holds sums by name.
type rationals map[string]*big.Rat

func (r rationals) add(name string, v *big.Rat) {
	if r[name] == nil {
		r[name] = new(big.Rat)
	}
	r[name].Add(r[name], v)
}

// verify checks that the step's shares keep every limit. An error means a fault of the solver.
func (s *Step) verify(m *Model, hosts []Host, stage, canary int) error {
	v := verifier{
		step: s, model: m, stage: stage, demands: m.zoneDemands(m.forecastAt(s)),
		hosts: hostCapacities(hosts, s.limits, s.At, canary), work: rationals{}, rate: rationals{},
	}
	for g, d := range v.demands {
		if err := v.checkDemand(d, s.shed[g]); err != nil {
			return err
		}
	}
	for _, t := range s.Shadows {
		if err := v.checkShadows(t); err != nil {
			return err
		}
	}
	for _, h := range v.hosts {
		if err := v.checkHost(h); err != nil {
			return err
		}
	}
	return v.checkBalance()
}

// checkDemand checks that all of a zone's requests are either served or shed, and adds them to the load of the hosts.
func (v *verifier) checkDemand(d zoneDemand, shed *big.Rat) error {
	sum, crossZone := new(big.Rat).Set(shed), new(big.Rat)
	for _, h := range v.hosts {
		name := h.host.Name
		share := v.step.Share(d.zone, name)
		if share.Sign() == 0 {
			continue
		}
		if share.Sign() < 0 {
			return fmt.Errorf("host %s has a negative share of zone %s", name, d.zone)
		}
		if h.isCanary {
			return fmt.Errorf("host %s runs the canary build, but has a share of zone %s", name, d.zone)
		}
		sum.Add(sum, share)
		if h.host.Zone != d.zone {
			crossZone.Add(crossZone, share)
		}
		v.work.add(name, new(big.Rat).Mul(share, big.NewRat(d.work, 1)))
		v.rate.add(name, new(big.Rat).Mul(share, big.NewRat(d.rate, 1)))
	}
	if sum.Cmp(big.NewRat(1, 1)) != 0 || shed.Sign() < 0 {
		return fmt.Errorf("the shares of zone %s sum up to %s instead of 1, or the shed share is negative", d.zone, sum.FloatString(9))
	}
	limit := v.step.limits.MaxCrossZone
	if limit < 1 && crossZone.Cmp(big.NewRat(toMicros(limit), micro)) > 0 {
		return fmt.Errorf("a share of %s of the requests of zone %s goes to other zones, which exceeds the limit", crossZone.FloatString(9), d.zone)
	}
	return nil
}

// checkShadows checks a zone's shadow requests against the stage's cap, and adds them to the load of the hosts.
func (v *verifier) checkShadows(t ShadowTraffic) error {
	allowed := new(big.Rat)
	for _, d := range v.demands {
		if d.zone == t.Zone {
			allowed, _ = d.shadowDemand(v.model, v.model.Release, v.stage)
		}
	}
	if t.rate.Cmp(allowed) > 0 {
		return fmt.Errorf("the shadow requests of zone %s exceed the cap of stage %d", t.Zone, v.stage+1)
	}
	for _, h := range v.hosts {
		name := h.host.Name
		share := v.step.ShadowShare(t.Zone, name)
		if share.Sign() == 0 {
			continue
		}
		if !h.isCanary {
			return fmt.Errorf("host %s gets shadow requests, but does not run the canary build", name)
		}
		v.work.add(name, new(big.Rat).Mul(share, t.work))
		v.rate.add(name, new(big.Rat).Mul(share, t.rate))
	}
	return nil
}

// checkHost checks the load of a host against its capacity and its rate bound.
func (v *verifier) checkHost(h hostCapacity) error {
	work, rate := v.work[h.host.Name], v.rate[h.host.Name]
	if work == nil {
		return nil
	}
	if work.Cmp(big.NewRat(h.work, 1)) > 0 {
		return fmt.Errorf("host %s gets %s µs of work per second, its capacity is %d µs", h.host.Name, work.FloatString(3), h.work)
	}
	if h.maxRate >= 0 && rate.Cmp(big.NewRat(h.maxRate, 1)) > 0 {
		return fmt.Errorf("host %s gets %s millionths of a request per second, its bound is %d", h.host.Name, rate.FloatString(3), h.maxRate)
	}
	return nil
}

// checkBalance checks the utilization of zones and of hosts against the limits on imbalance.
func (v *verifier) checkBalance() error {
	zoneWork, capacity := rationals{}, map[string]int64{}
	var totalWork, totalCapacity int64
	for _, d := range v.demands {
		totalWork += d.work
	}
	for _, h := range v.hosts {
		if h.isCanary {
			continue
		}
		capacity[h.host.Zone] += h.work
		totalCapacity += h.work
		if work := v.work[h.host.Name]; work != nil {
			zoneWork.add(h.host.Zone, work)
		}
	}
	limits := v.step.limits
	for zone, work := range zoneWork {
		bound := scaledShare(toMicros(limits.MaxZoneImbalance), totalWork, capacity[zone], totalCapacity)
		if limits.MaxZoneImbalance > 0 && work.Cmp(new(big.Rat).SetInt(bound)) > 0 {
			return fmt.Errorf("the utilization of zone %s exceeds the limit on imbalance between zones", zone)
		}
	}
	if limits.MaxHostImbalance == 0 {
		return nil
	}
	for _, h := range v.hosts {
		work := v.work[h.host.Name]
		if work == nil || h.isCanary {
			continue
		}
		bound := new(big.Rat).Mul(big.NewRat(toMicros(limits.MaxHostImbalance), micro), zoneWork[h.host.Zone])
		bound.Mul(bound, big.NewRat(h.work, capacity[h.host.Zone]))
		if work.Cmp(bound) > 0 {
			return fmt.Errorf("the utilization of host %s exceeds the limit on imbalance within its zone", h.host.Name)
		}
	}
	return nil
}

// forecastAt returns the forecast that a step was computed from.
func (m *Model) forecastAt(s *Step) Forecast {
	for _, f := range m.Forecast {
		if f.At == s.At {
			return f
		}
	}
	return m.Forecast[0]
}
