package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSurge_DoesNotRollBackOnOwnAttemptsAloneAndTimesOut(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.startCanary(1, 0.5)
	f.router.surge.state, f.router.surge.since = surgeProven, f.now
	odds, testOdds := f.router.evidence()
	require.Contains(t, testOdds, 20.0)
	require.Less(t, odds, 8.0)
	f.advance(16 * Second)
	require.Equal(t, surgeNone, f.router.surge.state)
}

// A build that slows down baseline and canary alike leaves no gap between them. It is rolled back if the fleet is slow
// with shadow attempts, fast without them and slow with them again.
func TestSurge_RollsBackBuildOnlyAfterTwoSurgesWithShadowAttempts(t *testing.T) {
	surges := func(means ...Time) (f *fakeFleet) {
		f, _ = newGossipingFleet(t, func(config *Config) { config.Release.Mode, config.Limits.AllowHedging = Quorum, false })
		report := func(mean Time) {
			for _, b := range []int{1, 2} {
				for _, class := range []*Class{f.quote, f.order, f.payment} {
					f.router.StatsReported(f.now, BuildStats{Build: b, Class: class, Samples: 100, MeanLatency: mean, Window: 2 * Second})
				}
			}
		}
		report(Second / 20)
		f.startCanary(2, 1)
		for _, m := range means {
			f.advance(2 * Second)
			report(m)
			f.advance(Second / 2)
		}
		return f
	}
	const fast, slow = Second / 20, Second / 10
	f := surges(fast, slow)
	require.True(t, f.router.shadowsPaused())
	require.True(t, f.router.isUnreadyForRelease(), "no release while shadow attempts are paused")
	require.NotContains(t, f.votes, Rollback)
	require.False(t, surges(fast, slow, fast).router.shadowsPaused(), "shadow attempts resume when the fleet is fast again")
	require.Contains(t, surges(fast, slow, fast, slow).votes, Rollback)
	f = surges(fast, slow, slow, slow, slow, slow, slow, slow)
	require.NotEqual(t, surgeProven, f.router.surge.state, "the fleet is slow without shadow attempts too, so the build is not the cause")
	require.NotContains(t, f.votes, Rollback)
}
