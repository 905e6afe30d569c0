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

// TestMain makes rapid draw the same cases in each run, so that results depend only on the code. With PLAN_DRAW=new each run
// draws new cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("PLAN_DRAW") == "" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "60")
	}
	os.Exit(m.Run())
}

const week = 7 * 24 * time.Hour

// hostsIn returns n hosts of a zone that have the same weight and have warmed up.
func hostsIn(zone string, n int, weight float64) (out []Host) {
	for i := range n {
		out = append(out, Host{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Build: 1, Weight: weight, StartsAt: -week})
	}
	return out
}

// forecastOf returns a forecast of one step with the given rates by zone.
func forecastOf(rates map[string]float64) []Forecast {
	var d []Demand
	for zone, rate := range rates {
		d = append(d, Demand{Zone: zone, Class: "quote", Rate: rate})
	}
	return []Forecast{{Demand: d}}
}

// singleClassModel returns a model of one class with 100 ms of work per request.
func singleClassModel(rates map[string]float64, hosts ...[]Host) *Model {
	return &Model{Classes: []Class{{Name: "quote", Work: .1, PriorityWeight: 1}}, Hosts: slices.Concat(hosts...), Forecast: forecastOf(rates),
		Limits: Limits{MaxCrossZone: 1, CrossZonePrice: .02, SlowStart: SlowStart{Duration: 5 * time.Second, InitialCapacity: .33, MaxRequests: 4, Window: 2 * time.Second}}}
}

// solveFirstStep solves a model and returns the first step.
func solveFirstStep(t *testing.T, m *Model) *Step {
	t.Helper()
	p, err := Solve(m)
	require.NoError(t, err)
	return p.Steps[0]
}
