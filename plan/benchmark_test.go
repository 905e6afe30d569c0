package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchmarkModel returns a model of three zones with five classes over twelve steps.
func benchmarkModel(hosts int) *Model {
	m := singleClassModel(nil)
	r := rand.New(rand.NewPCG(1, 1))
	m.Limits.MaxCrossZone, m.Limits.Reserve = .3, .05
	m.Classes, m.Forecast = nil, nil
	for i := range 5 {
		m.Classes = append(m.Classes, Class{Name: fmt.Sprint("c", i), Work: .02 + .01*float64(i), PriorityWeight: float64(1 + i)})
	}
	zones := []string{"north", "port", "south"}
	capacity := map[string]float64{}
	for i := range hosts {
		h := Host{Name: fmt.Sprintf("h%05d", i), Zone: zones[i%3], Build: 1, Weight: 1 + r.Float64(), StartsAt: -week}
		if r.IntN(10) == 0 {
			h.StartsAt = -time.Duration(r.IntN(4000)) * time.Millisecond
		}
		capacity[h.Zone] += h.Weight
		m.Hosts = append(m.Hosts, h)
	}
	for n := range 12 {
		var d []Demand
		for p, zone := range zones {
			load := .5 + .45*float64((n+4*p)%12)/11 // the zones reach their peaks one after the other
			for i, c := range m.Classes {
				d = append(d, Demand{zone, c.Name, capacity[zone] * load / 5 / (.02 + .01*float64(i)), 0})
			}
		}
		m.Forecast = append(m.Forecast, Forecast{At: time.Duration(n) * time.Hour, Demand: d})
	}
	return m
}

func BenchmarkSolve(b *testing.B) {
	for _, n := range []int{8, 30, 300, 3000, 10000} {
		m := benchmarkModel(n)
		b.Run(fmt.Sprintf("hosts=%d/steps=12", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Solve(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSolveWithCrossZoneTraffic(b *testing.B) {
	for _, n := range []int{30, 300, 3000, 10000} {
		m := benchmarkModel(n)
		for i := range m.Forecast[0].Demand[:5] {
			m.Forecast[0].Demand[i].Rate *= 2.1 // above the capacity of north
		}
		m.Forecast = m.Forecast[:1]
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Solve(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkPublisherUpdate(b *testing.B) {
	for _, n := range []int{300, 3000, 10000} {
		m := benchmarkModel(n)
		m.Forecast = m.Forecast[:1]
		withoutHost := *m
		withoutHost.Hosts = m.Hosts[1:]
		b.Run(fmt.Sprintf("carried/hosts=%d", n), func(b *testing.B) {
			publisher := newPublisher()
			for i := 0; b.Loop(); i++ {
				update, err := publisher.Update(0, []*Model{m, &withoutHost}[i%2])
				if err != nil || i > 0 && (update.Recomputed || update.Changed != 1) {
					b.Fatal(update, err)
				}
			}
		})
		b.Run(fmt.Sprintf("recomputed/hosts=%d", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				if _, err := newPublisher().Update(0, []*Model{m, &withoutHost}[i%2]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
