package plan

import (
	"maps"
	"math/big"
	"slices"
	"time"
)

// Weights are what the routers of one zone follow: integers in the same unit for all hosts, so that a host that comes or
// goes changes no other's.
type Weights struct {
	Local          map[string]uint64 `json:"near"`             // hosts of the zone, in millionths of a second of work a second
	Remote         map[string]uint64 `json:"far,omitempty"`    // hosts of other zones
	CrossZoneShare uint64            `json:"cross,omitempty"`  // share of the requests that go to other zones, in billionths
	ShadowShare    uint64            `json:"copies,omitempty"` // planned shadow requests, in millionths of the requests
}

// nano is the precision of Weights.Cross, at which rounding adds far less than any host may get.
const nano = 1e9

// Published is a numbered version of the weights of all zones.
type Published struct {
	Version uint64             `json:"version"`
	Stage   int                `json:"stage"` // of the release
	Build   int                `json:"build"` // the canary build; 0 for none
	ByZone  map[string]Weights `json:"for"`   // by zone
	Until   time.Duration      `json:"-"`     // when it expires, on the publisher's clock
}

// Weights converts a step's exact shares to integers. It returns the weights also where these break a limit, with an error
// that says which.
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
	s.weighPools(g, w.Local, func(p pool) bool { return p.zone == d.zone })
	crossZone := new(big.Rat)
	for p, x := range s.pools {
		if x.zone != d.zone {
			crossZone.Add(crossZone, s.shares[g][p])
		}
	}
	if crossZone.Sign() > 0 {
		w.Remote = map[string]uint64{}
		s.weighPools(g, w.Remote, func(p pool) bool { return p.zone != d.zone })
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

// weighPools gives each host of some pools its weight: its capacity times the pool's utilization by this demand, relative
// to the largest of these pools.
func (s *Step) weighPools(g int, weights map[string]uint64, include func(pool) bool) {
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

// scaleDown is v times n, rounded down.
func scaleDown(v *big.Rat, n int64) uint64 {
	x := new(big.Int).Mul(v.Num(), big.NewInt(n))
	return x.Div(x, v.Denom()).Uint64()
}

// Changed counts the weights and the shares between zones in which two versions differ.
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
