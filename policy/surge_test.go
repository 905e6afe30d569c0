package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSurgeSeenOnlyByOwnAttemptsConvictsNoBuildAndEnds(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.startCanary(1, 0.5)
	f.router.surge.state, f.router.surge.since = surgeProven, f.now
	odds, testOdds := f.router.evidence()
	require.Contains(t, testOdds, 20.0)
	require.Less(t, odds, 8.0)
	f.advance(16 * Second)
	require.Equal(t, surgeNone, f.router.surge.state)
}

// A build that slows baseline and canary alike leaves no gap: slow with shadow attempts, fast without, and slow again prove it.
func TestTwoSurgesWithShadowAttemptsProveABuildThatSlowsTheFleet(t *testing.T) {
	surges := func(means ...Time) (f *fakeFleet) {
		f, _ = newGossipingFleet(t, func(config *Config) { config.Release.Mode, config.Limits.AllowHedging = Quorum, false })
		count := func(mean Time) {
			for _, b := range []int{1, 2} {
				for _, class := range []*Class{f.quote, f.order, f.payment} {
					f.router.StatsReported(f.now, BuildStats{Build: b, Class: class, Samples: 100, MeanLatency: mean, Window: 2 * Second})
				}
			}
		}
		count(Second / 20)
		f.startCanary(2, 1)
		for _, m := range means {
			f.advance(2 * Second)
			count(m)
			f.advance(Second / 2)
		}
		return f
	}
	const fast, slow = Second / 20, Second / 10
	f := surges(fast, slow)
	require.True(t, f.router.shadowsPaused())
	require.True(t, f.router.isUnreadyForRelease(), "no release meanwhile")
	require.NotContains(t, f.votes, Rollback)
	require.False(t, surges(fast, slow, fast).router.shadowsPaused(), "they go on when it is fast again")
	require.Contains(t, surges(fast, slow, fast, slow).votes, Rollback)
	f = surges(fast, slow, slow, slow, slow, slow, slow, slow)
	require.NotEqual(t, surgeProven, f.router.surge.state, "slow without shadow attempts too: another cause")
	require.NotContains(t, f.votes, Rollback)
}
