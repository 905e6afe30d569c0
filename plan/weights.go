package plan

import (
	"maps"
	"math/big"
	"slices"
	"time"
)

// Weights are the host weights for the routers of one zone. They are integers in the same unit for all hosts, so that adding
// or removing a host does not change the weights of others.
type Weights struct {
	Local          map[string]uint64 `json:"near"`             // hosts of the zone, in millionths of a second of work per second
	Remote         map[string]uint64 `json:"far,omitempty"`    // hosts of other zones, in the same unit
	CrossZoneShare uint64            `json:"cross,omitempty"`  // share of the requests that go to other zones, in billionths
	ShadowShare    uint64            `json:"copies,omitempty"` // planned shadow requests, in millionths of the requests
}

// nano is the precision of Weights.CrossZoneShare. At this precision, the rounding error is far below any host's share.
const nano = 1e9

// Published is a numbered version of the weights of all zones.
type Published struct {
	Version uint64             `json:"version"`
	Stage   int                `json:"stage"` // stage of the release, from 0
	Build   int                `json:"build"` // the canary build; 0 if there is none
	ByZone  map[string]Weights `json:"for"`   // by zone
	Until   time.Duration      `json:"-"`     // when the version expires, on the publisher's clock
}

// Weights converts a step's exact shares to integer weights. If these break a limit, it returns the weights together with an
// error that names the limit.
func (s *Step) Weights() (map[string]Weights, error) {
	weights := map[string]Weights{}
	for g, d := range s.demands {
		weights[d.zone] = s.zoneWeights(g, d)
	}
	_, err := s.evaluate(weights)
	return weights, err
}

func (s *Step) zoneWeights(g int, d zoneDemand) Weights {
	w := Weights{Local: map[string]uint64{}}
	s.setWeights(g, w.Local, func(p pool) bool { return p.zone == d.zone })
	crossZone := new(big.Rat)
	for p, x := range s.pools {
		if x.zone != d.zone {
			crossZone.Add(crossZone, s.shares[g][p])
		}
	}
	if crossZone.Sign() > 0 {
		w.Remote = map[string]uint64{}
		s.setWeights(g, w.Remote, func(p pool) bool { return p.zone != d.zone })
		served := new(big.Rat).Sub(big.NewRat(1, 1), s.shed[g])
		w.CrossZoneShare = scaleDown(crossZone.Quo(crossZone, served), nano)
	}
	for _, t := range s.Shadows {
		if t.Zone == d.zone {
			w.ShadowShare = scaleDown(new(big.Rat).Quo(t.rate, big.NewRat(d.rate, 1)), micro)
		}
	}
	return w
}

// setWeights sets the weight of each host of the pools for which include returns true: the host's capacity times the
// utilization of its pool by this demand, relative to the largest such utilization.
func (s *Step) setWeights(g int, weights map[string]uint64, include func(pool) bool) {
	largest := new(big.Rat)
	utilization := make([]*big.Rat, len(s.pools))
	for p, x := range s.pools {
		if include(x) {
			utilization[p] = new(big.Rat).Quo(s.shares[g][p], big.NewRat(x.work, 1))
			if utilization[p].Cmp(largest) > 0 {
				largest = utilization[p]
			}
		}
	}
	if largest.Sign() == 0 {
		return
	}
	for p, x := range s.pools {
		if utilization[p] == nil || utilization[p].Sign() == 0 {
			continue
		}
		relative := new(big.Rat).Quo(utilization[p], largest)
		for _, h := range x.hosts {
			if w := scaleDown(relative, h.work); w > 0 {
				weights[h.host.Name] = w
			}
		}
	}
}

// scaleDown returns v times n, rounded down.
func scaleDown(v *big.Rat, n int64) uint64 {
	x := new(big.Int).Mul(v.Num(), big.NewInt(n))
	return x.Div(x, v.Denom()).Uint64()
}

// Changed returns the number of weights and cross-zone shares in which two versions differ.
func Changed(a, b map[string]Weights) (n int) {
	zones := map[string]bool{}
	for zone := range a {
		zones[zone] = true
	}
	for zone := range b {
		zones[zone] = true
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		n += changedWeights(a[zone].Local, b[zone].Local) + changedWeights(a[zone].Remote, b[zone].Remote)
		if a[zone].CrossZoneShare != b[zone].CrossZoneShare {
			n++
		}
	}
	return n
}

func changedWeights(a, b map[string]uint64) (n int) {
	for name, w := range a {
		if b[name] != w {
			n++
		}
	}
	for name := range b {
		if _, ok := a[name]; !ok {
			n++
		}
	}
	return n
}
