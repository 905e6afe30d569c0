package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPlan_ReportsLossesThatLeaveDemandUnserved(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 20, "south": 20, "port": 20}, hostsIn("north", 3, 1), hostsIn("south", 3, 1), hostsIn("port", 3, 1))
	m.Limits.SurviveZoneLoss, m.Limits.MaxCrossZone = true, .1
	p, err := Solve(m)
	require.NoError(t, err)
	require.Empty(t, p.UnsurvivedLosses(), "the demand is work for six hosts, and six hosts remain")
	m.Forecast = forecastOf(map[string]float64{"north": 21, "south": 20, "port": 20})
	p, err = Solve(m)
	require.NoError(t, err)
	require.Len(t, p.UnsurvivedLosses(), 3)
	withoutPort, err := m.WhatIf("lose port")
	require.NoError(t, err)
	require.InDelta(t, 1, solveFirstStep(t, withoutPort).UnservedRate(), 1e-6)
	_, err = m.WhatIf("lose nowhere")
	require.ErrorContains(t, err, "no host is in zone nowhere")
	_, err = m.WhatIf("rain")
	require.ErrorContains(t, err, "expected")
}

func TestPlan_ReportsStageThatIsInfeasibleAtPeakDemand(t *testing.T) {
	m := singleClassModel(nil, hostsIn("north", 10, 1))
	m.Forecast = []Forecast{{At: 0, Demand: []Demand{{"north", "quote", 40, 0}}}, {At: time.Hour, Demand: []Demand{{"north", "quote", 80, 0}}}}
	m.Release = &Release{Build: 2, Stages: []Stage{{At: 0, HostShare: .1, ShadowCap: .05}, {At: 2 * time.Hour, HostShare: .5, ShadowCap: .5}}}
	p, err := Solve(m)
	require.NoError(t, err)
	fits, err := p.CheckStages()
	require.NoError(t, err)
	var infeasible []string
	for _, f := range fits {
		if !f.Feasible() {
			infeasible = append(infeasible, fmt.Sprintf("stage %d step %d: %.4g", f.Stage, f.Step, f.UnservedRate))
		}
	}
	require.Equal(t, []string{"stage 1 step 1: 30"}, infeasible)
	m.Release.SideBySide = true
	p, err = Solve(m)
	require.NoError(t, err)
	fits, _ = p.CheckStages()
	for _, f := range fits {
		require.True(t, f.Feasible(), "additional hosts do not reduce the capacity")
	}
}
