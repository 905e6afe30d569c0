package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

func TestSolve_PlansWholeShadowCapForOneCanaryHost(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 60}, hostsIn("north", 10, 1))
	m.Release = &Release{Build: 2, Stages: []Stage{{HostShare: .03, ShadowCap: .05}}} // 1 of 10 hosts gets shadow requests for 5% of the requests
	m.Limits.SlowStart = SlowStart{}
	s := solveFirstStep(t, m)
	require.Nil(t, s.Infeasible)
	require.InDelta(t, 3, s.Shadows[0].PlannedRate, 1e-9)
	one, _ := s.ShadowShare("north", "north-0").Float64()
	require.InDelta(t, 1.0, one, 0)
	w, err := s.Weights()
	require.NoError(t, err)
	require.Equal(t, uint64(50_000), w["north"].ShadowShare)
	require.NotContains(t, w["north"].Local, "north-0", "original requests go to the earlier build only")
}

func TestSolve_PlansFewerShadowRequestsForCanaryHostInSlowStart(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 600}, hostsIn("north", 100, 1))
	m.Release = &Release{Build: 2, Stages: []Stage{{HostShare: .02, ShadowCap: .1}}}
	s := solveFirstStep(t, m)
	require.InDelta(t, 60, s.Shadows[0].AllowedRate, 1e-6)
	require.InDelta(t, 2*2*.33, s.Shadows[0].PlannedRate, 1e-6)
}

func TestSolve_AppliesGuardedStagesAndCapsPerClass(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 60}, hostsIn("north", 10, 2))
	m.Limits.SlowStart = SlowStart{}
	m.Classes = append(m.Classes, Class{Name: "order", Work: .1, Idempotency: policy.IdempotentWithKey, PriorityWeight: 1},
		Class{Name: "transfer", Work: .1, Idempotency: policy.NonIdempotent, PriorityWeight: 1})
	m.Forecast[0].Demand = append(m.Forecast[0].Demand, Demand{"north", "order", 30, 0}, Demand{"north", "transfer", 10, 0})
	m.Release = &Release{Build: 2, Stages: []Stage{{HostShare: .1, ShadowCap: .1}}, GuardedStages: 1, CapPerClass: true}
	require.InDelta(t, 6, solveFirstStep(t, m).Shadows[0].AllowedRate, 1e-9, "a tenth of the idempotent requests")
	m.Release.GuardedStages = 0
	require.InDelta(t, 9, solveFirstStep(t, m).Shadows[0].AllowedRate, 1e-9, "a tenth of the requests that are idempotent, with or without a key")
	m.Release.CapPerClass = false
	require.InDelta(t, 10, solveFirstStep(t, m).Shadows[0].AllowedRate, 1e-9, "a tenth of all requests")
}
