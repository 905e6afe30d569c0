package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAZoneWithOnlyHostsInSlowStart(t *testing.T) {
	port := hostsIn("port", 10, 2)
	for i := range port {
		port[i].StartsAt = 0
	}
	m := singleClassModel(map[string]float64{"port": 68, "north": 50}, port, hostsIn("north", 10, 2))
	s := solveFirstStep(t, m) // 10 hosts x 2 requests a second x 2 x 0.33 = 13.2 a second
	require.Nil(t, s.Infeasible)
	require.InDelta(t, 68-13.2, s.CrossZoneRate("port"), 1e-6)

	m.Limits.MaxCrossZone = .5
	s = solveFirstStep(t, m)
	require.InDelta(t, 68-34-13.2, s.Infeasible.UnservedRate, 1e-6)
	require.Equal(t, []string{"port is asked 68 tasks a second, 6.8 s of work",
		"port has only hosts started less than 5s ago: 13.2 tasks a second at most",
		"at most 50% of the tasks of port may cross"}, s.Infeasible.Conflicts)
	text := s.Infeasible.String()
	require.Contains(t, text, "let 80.6% of the tasks of port cross")
	require.Contains(t, text, "turn back 20.8 tasks a second of port")
	require.Contains(t, text, "wait until 3.9s") // 40 x (0.33 + 0.67 t/5) reaches 34 a second
	require.Contains(t, s.Infeasible.Relaxations[0].Description, "cross", "the cheapest way comes first")
	_, err := s.Weights()
	require.NoError(t, err, "the best that can be done is followed all the same")
}

func TestAZoneWithoutHosts(t *testing.T) {
	m := singleClassModel(map[string]float64{"port": 30, "north": 10}, hostsIn("north", 4, 2))
	s := solveFirstStep(t, m)
	require.Nil(t, s.Infeasible)
	require.InDelta(t, 30, s.CrossZoneRate("port"), 1e-9)
	m.Limits.MaxCrossZone = .2
	s = solveFirstStep(t, m)
	require.InDelta(t, 24, s.Infeasible.UnservedRate, 1e-9)
	require.Contains(t, s.Infeasible.Conflicts, "port has no host, and at most 20% of its tasks may cross")
	m = singleClassModel(map[string]float64{"port": 30})
	require.InDelta(t, 30, solveFirstStep(t, m).Infeasible.UnservedRate, 1e-9)
}

func TestOneHugeHost(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 50}, hostsIn("north", 3, 1))
	m.Hosts[0].Weight = 97
	s := solveFirstStep(t, m)
	share, _ := s.Share("north", "north-0").Float64()
	require.InDelta(t, 97./99, share, 1e-12)
	m.Limits.SurviveHostLoss = true
	p, err := Solve(m)
	require.NoError(t, err)
	lost := p.UnsurvivedLosses()
	require.Len(t, lost, 1)
	require.Equal(t, "the host north-0", lost[0].Lost)
	require.InDelta(t, 30, lost[0].UnservedRate, 1e-6)
}

func TestZeroDemandAndDemandJustAtCapacity(t *testing.T) {
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

func TestWeightsThatDifferAThousandfold(t *testing.T) {
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

func TestTiesAreBrokenTheSameWayInAnyOrderOfHosts(t *testing.T) {
	// What north can't do may go to south or to port, which are alike.
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

func TestTiesAreBrokenByTheLeastChange(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 30, "south": 10, "port": 10}, hostsIn("north", 2, 1), hostsIn("south", 3, 1), hostsIn("port", 3, 1))
	m.Limits.MaxCrossZone = 1
	far := func(s *Step, place string) (sum float64) {
		for i := range 3 {
			v, _ := s.Share("north", fmt.Sprintf("%s-%d", place, i)).Float64()
			sum += v
		}
		return sum
	}
	s := solveFirstStep(t, m)
	require.InDelta(t, 1./3, far(s, "south")+far(s, "port"), 1e-9)
	require.InDelta(t, far(s, "south"), far(s, "port"), 1e-9, "evenly, as both are used alike")
	// Two zones that serve each other: which requests of which go where makes no difference.
	m = singleClassModel(map[string]float64{"north": 40, "east": 40, "south": 10, "port": 10}, hostsIn("north", 2, 1), hostsIn("east", 2, 1), hostsIn("south", 4, 1), hostsIn("port", 4, 1))
	a := solveFirstStep(t, m)
	m.CurrentShares = Shares{"north": {"south-0": .25, "south-1": .25}, "east": {"port-0": .25, "port-1": .25}}
	b := solveFirstStep(t, m)
	require.InDelta(t, .375, far(b, "south"), 1e-6, "three of its four hosts")
	m.CurrentShares = Shares{"north": {"port-0": .25, "port-1": .25}, "east": {"south-0": .25, "south-1": .25}}
	c := solveFirstStep(t, m)
	require.InDelta(t, .375, far(c, "port"), 1e-6)
	require.InDelta(t, a.Utilization("south"), b.Utilization("south"), 1e-9)
	require.InDelta(t, b.Utilization("south"), c.Utilization("south"), 1e-9)
}

func TestImbalanceLimitsBetweenAndWithinZones(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 18, "south": 2}, hostsIn("north", 2, 1), hostsIn("south", 2, 1))
	m.Limits.MaxZoneImbalance = 1.2
	s := solveFirstStep(t, m)
	require.Nil(t, s.Infeasible)
	require.InDelta(t, .6, s.Utilization("north"), 1e-6)
	m.Limits.MaxCrossZone = .1
	s = solveFirstStep(t, m)
	require.Contains(t, s.Infeasible.Conflicts, "north may be used at most 1.2 times as much as the fleet")
	// One half is in slow start: the other's utilization may be at most 1.1 times the zone's.
	m = singleClassModel(map[string]float64{"north": 10}, hostsIn("north", 4, 1))
	m.Hosts[0].StartsAt, m.Hosts[1].StartsAt = 0, 0
	m.Limits.MaxHostImbalance = 1.1
	s = solveFirstStep(t, m)
	require.NotNil(t, s.Infeasible)
	require.Contains(t, s.Infeasible.String(), "no host in north may be used more than 1.1 times")
}

func TestAForecastThatIsWrongByHalf(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 40}, hostsIn("north", 6, 1), hostsIn("south", 6, 1))
	m.Forecast[0].Demand[0].StdDev = 20
	m.Limits.StdDevs = 1
	s := solveFirstStep(t, m)
	require.InDelta(t, 1, s.Utilization("north"), 1e-6, "planned for half as much again")
	m.Limits.StdDevs = 2
	s = solveFirstStep(t, m)
	require.InDelta(t, 20, s.CrossZoneRate(""), 1e-6)
}
