package plan

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMain draws the same cases each time, so that a run's verdict is about the code; PLAN_DRAW=new draws others.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("PLAN_DRAW") == "" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "60")
	}
	os.Exit(m.Run())
}

const week = 7 * 24 * time.Hour

// hostsIn returns hosts of a zone with the same weight that have warmed up.
func hostsIn(location string, n int, size float64) (out []Host) {
	for i := range n {
		out = append(out, Host{Name: fmt.Sprintf("%s-%d", location, i), Zone: location, Build: 1, Weight: size, StartsAt: -week})
	}
	return out
}

// forecastOf returns one step with demand by zone.
func forecastOf(rates map[string]float64) []Forecast {
	var d []Demand
	for l, r := range rates {
		d = append(d, Demand{Zone: l, Class: "quote", Rate: r})
	}
	return []Forecast{{Demand: d}}
}

// singleClassModel returns a model of one class with 100 ms of work a request.
func singleClassModel(rates map[string]float64, hosts ...[]Host) *Model {
	return &Model{Classes: []Class{{Name: "quote", Work: .1, PriorityWeight: 1}}, Hosts: slices.Concat(hosts...), Forecast: forecastOf(rates),
		Limits: Limits{MaxCrossZone: 1, CrossZonePrice: .02, SlowStart: SlowStart{Duration: 5 * time.Second, InitialCapacity: .33, MaxRequests: 4, Window: 2 * time.Second}}}
}

// solveFirstStep returns the first step of a model.
func solveFirstStep(t *testing.T, m *Model) *Step {
	t.Helper()
	p, err := Solve(m)
	require.NoError(t, err)
	return p.Steps[0]
}
