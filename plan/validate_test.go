package plan

import (
	"math"
	"math/big"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestValidate_RejectsInvalidModels(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 1}, hostsIn("north", 2, 1))
	m.Hosts[1].Name = m.Hosts[0].Name
	_, err := Solve(m)
	require.ErrorContains(t, err, `host "north-0" is listed twice`)
	for want, modify := range map[string]func(m *Model){
		"host north-0: weight":         func(m *Model) { m.Hosts[0].Weight = math.NaN() },
		"drains at":                    func(m *Model) { m.Hosts[0].DrainsAt = -2 * week },
		"unknown class":                func(m *Model) { m.Forecast[0].Demand[0].Class = "?" },
		"step 1, demand of quote":      func(m *Model) { m.Forecast[0].Demand[0].Rate = -1 },
		"reserve":                      func(m *Model) { m.Limits.Reserve = 1 },
		"a maximum imbalance below 1":  func(m *Model) { m.Limits.MaxZoneImbalance = .5 },
		"a forecast with at least one": func(m *Model) { m.Forecast = nil },
		"a release needs":              func(m *Model) { m.Release = &Release{} },
		"current share":                func(m *Model) { m.CurrentShares = Shares{"north": {"x": 2}} },
		"not after the previous step":  func(m *Model) { m.Forecast = append(m.Forecast, m.Forecast[0]) },
	} {
		m := singleClassModel(map[string]float64{"north": 1}, hostsIn("north", 2, 1))
		modify(m)
		_, err := Solve(m)
		require.ErrorContains(t, err, want)
	}
}

func TestVerify_DetectsWrongShares(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 10, "south": 5}, hostsIn("north", 2, 1), hostsIn("south", 2, 1))
	m.Limits.MaxCrossZone, m.Limits.MaxZoneImbalance, m.Limits.MaxHostImbalance = .1, 1.5, 1.2
	m.Hosts[3].StartsAt = 0
	m.Limits.MaxZoneImbalance = 0
	m.Limits.MaxHostImbalance = 0
	for name, modify := range map[string]func(s *Step){
		"do not sum up to 1": func(s *Step) { s.shares[0][0] = big.NewRat(9, 10) },
		"negative share":     func(s *Step) { s.shares[0][0] = big.NewRat(-1, 10) },
		"cross-zone limit":   func(s *Step) { s.shares[0][0], s.shares[0][1] = big.NewRat(1, 2), big.NewRat(1, 2) },
		"capacity":           func(s *Step) { s.pools[0].work /= 3 },
		"rate bound":         func(s *Step) { s.shares[1][1], s.shares[1][2] = big.NewRat(1, 10), big.NewRat(9, 10) },
	} {
		s := solveFirstStep(t, m)
		require.NoError(t, s.verify(m, m.Hosts, 0, 0))
		modify(s)
		require.Error(t, s.verify(m, m.Hosts, 0, 0), name)
	}
}
