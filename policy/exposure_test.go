package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExposure_KeepsCanaryAttemptsWithinCapAndGuardedStages(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.startCanary(0, 0.1)
	for range 300 {
		f.serve(1, f.quote, succeeds)
		f.serve(1, f.order, succeeds)
		require.LessOrEqual(t, countSince(f.router.traffic.canaryAttempts, f.now-4*Second, nil), 1+0.1*countSince(f.router.traffic.arrivals, f.now-4*Second, nil))
	}
	require.Positive(t, f.canaryAttempts())
	for _, attempt := range f.attempts {
		require.False(t, attempt.build == 2 && attempt.Request.Class != f.quote)
	}
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Phase: RollingBack})
	n := f.canaryAttempts()
	f.serve(100, f.quote, succeeds)
	require.Equal(t, n, f.canaryAttempts())
}

func TestExposure_AllowsNoCanaryAttemptAfterStartAndAssumesFirstStageForUnannouncedBuild(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	require.Equal(t, exposureLimit{applies: true, stage: 0, share: 0.1}, f.router.release.exposureOf(2))
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 1, ExposureCap: 0.5})
	f.serve(60, f.quote, succeeds) // takes 3 s, less than the exposure window
	require.Zero(t, f.canaryAttempts())
}

// Without baseline hosts, a request must not be sent to the canary twice.
func TestDispatch_SendsOneCanaryAttemptWithoutBaselineHosts(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Phase: Canary, ExposureCap: 0.1})
	for i := range endpoints[:6] {
		endpoints[i].State = Removed
	}
	f.router.EndpointsChanged(f.now, endpoints, true)
	f.advance(5 * Second) // longer than the exposure window after the start
	require.Len(t, f.arrive(f.quote).Attempts, 1, "the exposure allowance is one attempt per window")
}
