package plan

import (
	"fmt"
	"math/big"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dapplefront/policy"
)

// drawModel draws a model of three zones and two classes.
func drawModel(t *rapid.T) *Model {
	m := singleClassModel(nil)
	m.Classes = append(m.Classes, Class{Name: "order", Work: .04, Idempotency: policy.NonIdempotent, PriorityWeight: 3})
	m.Limits.MaxCrossZone = rapid.SampledFrom([]float64{0, .1, .5, 1}).Draw(t, "cross")
	m.Limits.Reserve = rapid.SampledFrom([]float64{0, .1}).Draw(t, "reserve")
	m.Limits.MaxZoneImbalance = rapid.SampledFrom([]float64{0, 0, 1.25}).Draw(t, "between")
	m.Limits.MaxHostImbalance = rapid.SampledFrom([]float64{0, 0, 1.5}).Draw(t, "within")
	var d []Demand
	for _, zone := range []string{"north", "port", "south"} {
		n := rapid.IntRange(0, 6).Draw(t, zone)
		for i, h := range hostsIn(zone, n, 1) {
			h.Weight = rapid.SampledFrom([]float64{.5, 1, 2, 40}).Draw(t, fmt.Sprintf("weight %d", i))
			if rapid.IntRange(0, 2).Draw(t, "cold") == 0 {
				h.StartsAt = -time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second
			}
			m.Hosts = append(m.Hosts, h)
		}
		for _, c := range []string{"quote", "order"} {
			d = append(d, Demand{Zone: zone, Class: c, Rate: float64(rapid.IntRange(0, 80).Draw(t, "rate"))})
		}
	}
	m.Forecast = []Forecast{{Demand: d}}
	return m
}

// solveDrawn solves a drawn model and returns the first step.
func solveDrawn(t require.TestingT, m *Model) *Step {
	p, err := Solve(m)
	require.NoError(t, err)
	return p.Steps[0]
}

func TestSolve_ServesNoLessWithAnAdditionalHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		before := solveDrawn(t, m)
		more := *m
		more.Hosts = append(slices.Clone(m.Hosts), Host{Name: "more", Zone: rapid.SampledFrom([]string{"north", "port"}).Draw(t, "where"),
			Build: 1, Weight: 3, StartsAt: -week})
		after := solveDrawn(t, &more)
		// The limits on imbalance are relative to an average utilization. Additional hosts lower it, so that the limits may
		// become tighter.
		if m.Limits.MaxZoneImbalance > 0 || m.Limits.MaxHostImbalance > 0 {
			return
		}
		require.LessOrEqual(t, shedValue(after), shedValue(before)+1e-9)
		if before.UnservedRate() == 0 {
			require.LessOrEqual(t, after.CrossZoneRate(""), before.CrossZoneRate("")+1e-9)
		}
	})
}

// shedValue returns the value of the shed requests, in priority weight per second.
func shedValue(s *Step) (sum float64) {
	for g, o := range s.demands {
		v, _ := new(big.Rat).Mul(s.shed[g], big.NewRat(o.value, micro)).Float64()
		sum += v
	}
	return sum
}

func TestSolve_IsIndependentOfHostOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		a := solveDrawn(t, m)
		other := *m
		other.Hosts = rapid.Permutation(m.Hosts).Draw(t, "order")
		b := solveDrawn(t, &other)
		for _, h := range m.Hosts {
			for _, o := range a.demands {
				require.Zero(t, a.Share(o.zone, h.Name).Cmp(b.Share(o.zone, h.Name)))
			}
		}
	})
}

func TestSolve_ScalesWithCapacityAndDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		by := float64(rapid.SampledFrom([]int{2, 10, 1000}).Draw(t, "by"))
		a := solveDrawn(t, m)
		other := *m
		other.Hosts = slices.Clone(m.Hosts)
		for i := range other.Hosts {
			other.Hosts[i].Weight *= by
		}
		d := slices.Clone(m.Forecast[0].Demand)
		for i := range d {
			d[i].Rate *= by
		}
		other.Forecast = []Forecast{{Demand: d}}
		b := solveDrawn(t, &other)
		require.InEpsilon(t, 1+by*a.UnservedRate(), 1+b.UnservedRate(), 1e-5)
		if a.UnservedRate() > 0 {
			return // among zones with the same value per request, the demand of any of them may be left unserved
		}
		require.InEpsilon(t, 1+by*a.CrossZoneRate(""), 1+b.CrossZoneRate(""), 1e-5)
		for _, h := range m.Hosts { // equally good solutions may differ in the zones whose requests a host gets, but not in its work
			require.InDelta(t, hostWork(a, h.Name), hostWork(b, h.Name)/by, 1e-4) // capacities are rounded down to millionths
		}
	})
}

// hostWork returns a host's work, in seconds per second.
func hostWork(s *Step, host string) float64 {
	sum := new(big.Rat)
	for _, o := range s.demands {
		sum.Add(sum, new(big.Rat).Mul(s.Share(o.zone, host), big.NewRat(o.work, micro)))
	}
	v, _ := sum.Float64()
	return v
}

func TestSolveLocally_GivesSameSharesAsLinearPrograms(t *testing.T) {
	solvedLocally := 0
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		s := solveDrawn(t, m)
		if !s.local {
			return
		}
		solvedLocally++
		l := s.program(everyConstraint, nil)
		l.minimizeShed()
		l.minimizeCrossZone()
		l.minimizeUtilization()
		byPrograms := *s
		l.readSolution(&byPrograms)
		for g := range s.shares {
			for p := range s.shares[g] {
				require.Zero(t, s.shares[g][p].Cmp(byPrograms.shares[g][p]), "%v, %v by linear programs", s.shares, byPrograms.shares)
			}
		}
	})
	require.Positive(t, solvedLocally)
}
