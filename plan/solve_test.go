package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSolve_ExplainsInfeasibilityOfZoneInSlowStart(t *testing.T) {
	port := hostsIn("port", 10, 2)
	for i := range port {
		port[i].StartsAt = 0
	}
	m := singleClassModel(map[string]float64{"port": 68, "north": 50}, port, hostsIn("north", 10, 2))
	s := solveFirstStep(t, m) // 10 hosts x 2 requests/s x weight 2 x 0.33 = 13.2 requests/s
	require.Nil(t, s.Infeasible)
	require.InDelta(t, 68-13.2, s.CrossZoneRate("port"), 1e-6)

	m.Limits.MaxCrossZone = .5
	s = solveFirstStep(t, m)
	require.InDelta(t, 68-34-13.2, s.Infeasible.UnservedRate, 1e-6)
	require.Equal(t, []string{"zone port has a demand of 68 requests/s, 6.8 s of work per second",
		"zone port has only hosts that started less than 5s ago: at most 13.2 requests/s",
		"at most 50% of the requests of zone port may go to other zones"}, s.Infeasible.Conflicts)
	text := s.Infeasible.String()
	require.Contains(t, text, "let 80.6% of the requests of zone port go to other zones")
	require.Contains(t, text, "shed 20.8 requests/s of zone port")
	require.Contains(t, text, "wait until 3.9s") // 40 x (0.33 + 0.67 t/5) reaches 34 requests/s
	require.Contains(t, s.Infeasible.Relaxations[0].Description, "go to other zones", "the cheapest relaxation comes first")
	_, err := s.Weights()
	require.NoError(t, err, "the weights of an infeasible step keep all limits")
}

func TestSolve_SendsRequestsOfZoneWithoutHostsToOtherZones(t *testing.T) {
	m := singleClassModel(map[string]float64{"port": 30, "north": 10}, hostsIn("north", 4, 2))
	s := solveFirstStep(t, m)
	require.Nil(t, s.Infeasible)
	require.InDelta(t, 30, s.CrossZoneRate("port"), 1e-9)
	m.Limits.MaxCrossZone = .2
	s = solveFirstStep(t, m)
	require.InDelta(t, 24, s.Infeasible.UnservedRate, 1e-9)
	require.Contains(t, s.Infeasible.Conflicts, "zone port has no host, and at most 20% of its requests may go to other zones")
	m = singleClassModel(map[string]float64{"port": 30})
	require.InDelta(t, 30, solveFirstStep(t, m).Infeasible.UnservedRate, 1e-9)
}

func TestSolve_ReportsLossOfDominantHost(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 50}, hostsIn("north", 3, 1))
	m.Hosts[0].Weight = 97
	s := solveFirstStep(t, m)
	share, _ := s.Share("north", "north-0").Float64()
	require.InDelta(t, 97./99, share, 1e-12)
	m.Limits.SurviveHostLoss = true
	p, err := Solve(m)
	require.NoError(t, err)
	losses := p.UnsurvivedLosses()
	require.Len(t, losses, 1)
	require.Equal(t, "host north-0", losses[0].Lost)
	require.InDelta(t, 30, losses[0].UnservedRate, 1e-6)
}

func TestSolve_HandlesZeroDemandAndDemandAtCapacity(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 0}, hostsIn("north", 3, 1))
	s := solveFirstStep(t, m)
	require.Nil(t, s.Infeasible)
	require.Zero(t, s.Utilization(""))
	m = singleClassModel(map[string]float64{"north": 30}, hostsIn("north", 3, 1))
	s = solveFirstStep(t, m)
	require.Nil(t, s.Infeasible)
	require.InDelta(t, 1.0, s.Utilization("north"), 0)
	m.Forecast[0].Demand[0].Rate += 1e-5
	require.NotNil(t, solveFirstStep(t, m).Infeasible)
}

func TestSolve_KeepsRatioOfVeryDifferentWeights(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 500}, hostsIn("north", 2, 100), hostsIn("south", 5, .1))
	for i := range m.Hosts[2:] {
		m.Hosts[2+i].Zone = "north"
	}
	s := solveFirstStep(t, m)
	a, _ := s.Share("north", "north-0").Float64()
	b, _ := s.Share("north", "south-0").Float64()
	require.InDelta(t, 1000, a/b, 1e-6)
	w, err := s.Weights()
	require.NoError(t, err)
	require.Equal(t, uint64(1000), w["north"].Local["north-0"]/w["north"].Local["south-0"])
}

func TestSolve_BreaksTiesIndependentlyOfHostOrder(t *testing.T) {
	// The requests that north can't serve may go to south or to port, which are equivalent.
	m := singleClassModel(map[string]float64{"north": 30, "south": 10, "port": 10}, hostsIn("north", 2, 1), hostsIn("south", 3, 1), hostsIn("port", 3, 1))
	first, err := solveFirstStep(t, m).Weights()
	require.NoError(t, err)
	r := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		r.Shuffle(len(m.Hosts), func(i, j int) { m.Hosts[i], m.Hosts[j] = m.Hosts[j], m.Hosts[i] })
		d := m.Forecast[0].Demand
		r.Shuffle(len(d), func(i, j int) { d[i], d[j] = d[j], d[i] })
		again, err := solveFirstStep(t, m).Weights()
		require.NoError(t, err)
		require.Equal(t, first, again)
	}
}

func TestSolve_BreaksTiesByLeastChange(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 30, "south": 10, "port": 10}, hostsIn("north", 2, 1), hostsIn("south", 3, 1), hostsIn("port", 3, 1))
	m.Limits.MaxCrossZone = 1
	shareOf := func(s *Step, zone string) (sum float64) {
		for i := range 3 {
			v, _ := s.Share("north", fmt.Sprintf("%s-%d", zone, i)).Float64()
			sum += v
		}
		return sum
	}
	s := solveFirstStep(t, m)
	require.InDelta(t, 1./3, shareOf(s, "south")+shareOf(s, "port"), 1e-9)
	require.InDelta(t, shareOf(s, "south"), shareOf(s, "port"), 1e-9, "both zones have the same utilization")
	// Requests of north and east go to south and port. It makes no difference which zone's requests go to which of these.
	m = singleClassModel(map[string]float64{"north": 40, "east": 40, "south": 10, "port": 10}, hostsIn("north", 2, 1), hostsIn("east", 2, 1), hostsIn("south", 4, 1), hostsIn("port", 4, 1))
	a := solveFirstStep(t, m)
	m.CurrentShares = Shares{"north": {"south-0": .25, "south-1": .25}, "east": {"port-0": .25, "port-1": .25}}
	b := solveFirstStep(t, m)
	require.InDelta(t, .375, shareOf(b, "south"), 1e-6, "three of the zone's four hosts")
	m.CurrentShares = Shares{"north": {"port-0": .25, "port-1": .25}, "east": {"south-0": .25, "south-1": .25}}
	c := solveFirstStep(t, m)
	require.InDelta(t, .375, shareOf(c, "port"), 1e-6)
	require.InDelta(t, a.Utilization("south"), b.Utilization("south"), 1e-9)
	require.InDelta(t, b.Utilization("south"), c.Utilization("south"), 1e-9)
}

func TestSolve_AppliesImbalanceLimitsBetweenAndWithinZones(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 18, "south": 2}, hostsIn("north", 2, 1), hostsIn("south", 2, 1))
	m.Limits.MaxZoneImbalance = 1.2
	s := solveFirstStep(t, m)
	require.Nil(t, s.Infeasible)
	require.InDelta(t, .6, s.Utilization("north"), 1e-6)
	m.Limits.MaxCrossZone = .1
	s = solveFirstStep(t, m)
	require.Contains(t, s.Infeasible.Conflicts, "the utilization of zone north may be at most 1.2 times that of the fleet")
	// Half of the hosts are in slow start. The utilization of the others may be at most 1.1 times that of the zone.
	m = singleClassModel(map[string]float64{"north": 10}, hostsIn("north", 4, 1))
	m.Hosts[0].StartsAt, m.Hosts[1].StartsAt = 0, 0
	m.Limits.MaxHostImbalance = 1.1
	s = solveFirstStep(t, m)
	require.NotNil(t, s.Infeasible)
	require.Contains(t, s.Infeasible.String(), "the utilization of each host in zone north may be at most 1.1 times")
}

func TestSolve_PlansForStandardDeviationsOfForecast(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 40}, hostsIn("north", 6, 1), hostsIn("south", 6, 1))
	m.Forecast[0].Demand[0].StdDev = 20
	m.Limits.StdDevs = 1
	s := solveFirstStep(t, m)
	require.InDelta(t, 1, s.Utilization("north"), 1e-6, "the plan is for 1.5 times the forecast demand")
	m.Limits.StdDevs = 2
	s = solveFirstStep(t, m)
	require.InDelta(t, 20, s.CrossZoneRate(""), 1e-6)
}
