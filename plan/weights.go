package plan

import (
	"errors"
	"fmt"
	"maps"
	"math/big"
	"slices"
	"time"
)

// Weights are what the routers of one location follow: whole numbers, in the same unit for all, so that a host's coming
// or going changes no other's.
type Weights struct {
	Near  map[string]uint64 `json:"near"`            // hosts of the location; millionths of a second of work a second
	Far   map[string]uint64 `json:"far,omitempty"`   // hosts elsewhere
	Cross uint64            `json:"cross,omitempty"` // thousand-millionths of the tasks that go to those
	// Copies is how many copies for the build on trial the plan counts on, in millionths of the tasks taken.
	Copies uint64 `json:"copies,omitempty"`
}

const nano = 1e9 // so that what a rounding adds stays far below what any host may get

// Published is a numbered version of weights for all locations.
type Published struct {
	Version uint64             `json:"version"`
	Stage   int                `json:"stage"` // of the release that it was made for
	Build   int                `json:"build"` // on trial, 0 for none
	For     map[string]Weights `json:"for"`   // by location
	Until   time.Duration      `json:"-"`     // on the clock of whoever made it
}

// Weights turns a step's exact shares into whole numbers, and checks these anew.
func (s *Step) Weights() (map[string]Weights, error) {
	out := map[string]Weights{}
	for g, o := range s.demands {
		w := Weights{Near: map[string]uint64{}}
		s.weighPools(g, o, w.Near, func(p pool) bool { return p.zone == o.zone })
		cross := new(big.Rat)
		for p, x := range s.pools {
			if x.zone != o.zone {
				cross.Add(cross, s.shares[g][p])
			}
		}
		if cross.Sign() > 0 {
			w.Far = map[string]uint64{}
			s.weighPools(g, o, w.Far, func(p pool) bool { return p.zone != o.zone })
			w.Cross = scaleDown(cross.Quo(cross, new(big.Rat).Sub(big.NewRat(1, 1), s.shed[g])), nano) // of what is served
		}
		for _, c := range s.Shadows {
			if c.Zone == o.zone {
				w.Copies = scaleDown(new(big.Rat).Quo(c.rate, big.NewRat(o.rate, 1)), micro)
			}
		}
		out[o.zone] = w
	}
	_, err := s.evaluate(out)
	return out, err
}

// weighPools gives each host of some pools its weight: what it can do, times how far its pool is used against the most used
// of them.
func (s *Step) weighPools(g int, o zoneDemand, to map[string]uint64, of func(pool) bool) {
	most := new(big.Rat)
	level := make([]*big.Rat, len(s.pools))
	for p, x := range s.pools {
		if of(x) {
			level[p] = new(big.Rat).Quo(s.shares[g][p], big.NewRat(x.work, 1))
			if level[p].Cmp(most) > 0 {
				most = level[p]
			}
		}
	}
	if most.Sign() == 0 {
		return
	}
	for p, x := range s.pools {
		if level[p] == nil || level[p].Sign() == 0 {
			continue
		}
		by := new(big.Rat).Quo(level[p], most)
		for _, r := range x.hosts {
			if w := scaleDown(by, r.work); w > 0 {
				to[r.host.Name] = w
			}
		}
	}
}

// scaleDown is v times n, rounded down.
func scaleDown(v *big.Rat, n int64) uint64 {
	x := new(big.Int).Mul(v.Num(), big.NewInt(n))
	return x.Div(x, v.Denom()).Uint64()
}

// worth of weights: what following them would bring.
type evaluation struct {
	maxUtilization float64 // of the most used host, of what it can do less the reserve
	crossZoneRate  float64 // tasks a second
}

// evaluate works out what each host would get from routers that follow weights, in whole numbers, and tells the bounds that
// this would break. Whole weights can't meet shares exactly: a millionth of a bound is let pass, which is less than
// routers can count; capacity is judged with the reserve as far as one is kept.
func (s *Step) evaluate(all map[string]Weights) (evaluation, error) {
	type side struct {
		of         map[string]uint64
		work, rate *big.Int // for each unit of weight, over the common denominator
	}
	var v evaluation
	common := big.NewInt(nano)
	sums := make([][2]uint64, len(s.demands))
	var wrong []error
	for g, o := range s.demands {
		w := all[o.zone]
		for name, x := range w.Near {
			if at, ok := s.members[name]; !ok || at.isCanary {
				wrong = append(wrong, fmt.Errorf("%s has a weight for %s, but can't get tasks", name, o.zone))
			}
			sums[g][0] += x
		}
		for name, x := range w.Far {
			if at, ok := s.members[name]; !ok || at.isCanary {
				wrong = append(wrong, fmt.Errorf("%s has a weight for %s, but can't get tasks", name, o.zone))
			}
			sums[g][1] += x
		}
		if sums[g][0] == 0 && w.Cross < nano || sums[g][1] == 0 && w.Cross > 0 {
			if s.shed == nil || s.shed[g].Cmp(big.NewRat(1, 1)) < 0 {
				wrong = append(wrong, fmt.Errorf("no host has a weight for tasks taken in %s", o.zone))
			}
			continue
		}
		for _, n := range sums[g] {
			if n > 0 {
				common = new(big.Int).Mul(common, new(big.Int).SetUint64(n))
			}
		}
		part := big.NewRat(int64(w.Cross), nano)
		if s.shed != nil {
			part.Mul(part, new(big.Rat).Sub(big.NewRat(1, 1), s.shed[g]))
		}
		if s.limits.MaxCrossZone < 1 && part.Cmp(big.NewRat(toMicros(s.limits.MaxCrossZone), micro)) > 0 {
			wrong = append(wrong, fmt.Errorf("%.4g%% of the tasks of %s cross", float64(w.Cross)/nano*100, o.zone))
		}
		v.crossZoneRate += float64(w.Cross) / nano * float64(o.rate) / micro
	}
	var sides []side
	for g, o := range s.demands {
		w := all[o.zone]
		served := big.NewRat(1, 1)
		if s.shed != nil {
			served.Sub(served, s.shed[g])
		}
		for i, of := range []map[string]uint64{w.Near, w.Far} {
			n := sums[g][i]
			if n == 0 {
				continue
			}
			part := []uint64{nano - min(nano, w.Cross), w.Cross}[i]
			k := new(big.Int).Div(common, new(big.Int).SetUint64(n))
			k.Mul(k, new(big.Int).SetUint64(part))
			k.Mul(k, served.Num())
			k.Div(k, new(big.Int).Mul(served.Denom(), big.NewInt(nano)))
			sides = append(sides, side{of, new(big.Int).Mul(k, big.NewInt(o.work)), new(big.Int).Mul(k, big.NewInt(o.rate))})
		}
	}
	var work, rate, t, bound big.Int
	check := func(got *big.Int, may, slack int64) bool { // got/common <= may and its slack
		bound.Mul(big.NewInt(may), common)
		bound.Add(&bound, t.Div(t.Mul(big.NewInt(may+slack), common), big.NewInt(micro)))
		return got.Cmp(&bound) <= 0
	}
	for _, x := range s.pools {
		for _, r := range x.hosts {
			work.SetInt64(0)
			rate.SetInt64(0)
			for _, d := range sides {
				if n := d.of[r.host.Name]; n > 0 {
					t.SetUint64(n)
					work.Add(&work, new(big.Int).Mul(d.work, &t))
					t.SetUint64(n)
					rate.Add(&rate, t.Mul(d.rate, &t))
				}
			}
			if !check(&work, r.unreserved, micro) {
				wrong = append(wrong, fmt.Errorf("%s would get more work than it can do", r.host.Name))
			}
			if r.maxRate >= 0 && !check(&rate, r.maxRate, micro) {
				wrong = append(wrong, fmt.Errorf("%s would get more than the %.4g tasks a second that it may", r.host.Name,
					float64(r.maxRate)/micro))
			}
			use, _ := new(big.Rat).SetFrac(&work, new(big.Int).Mul(common, big.NewInt(max(1, r.work)))).Float64()
			v.maxUtilization = max(v.maxUtilization, use)
		}
	}
	return v, errors.Join(wrong...)
}

// Changed counts the weights in which two versions differ.
func Changed(a, b map[string]Weights) (n int) {
	count := func(x, y map[string]uint64) {
		for name, w := range x {
			if y[name] != w {
				n++
			}
		}
		for name := range y {
			if _, ok := x[name]; !ok {
				n++
			}
		}
	}
	places := map[string]bool{}
	for p := range a {
		places[p] = true
	}
	for p := range b {
		places[p] = true
	}
	for _, p := range slices.Sorted(maps.Keys(places)) {
		count(a[p].Near, b[p].Near)
		count(a[p].Far, b[p].Far)
		if a[p].Cross != b[p].Cross {
			n++
		}
	}
	return n
}
