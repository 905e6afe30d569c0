package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRelease_SendsStickyKeyToBuildThatAnsweredIt(t *testing.T) {
	f, _ := newFakeFleet(t, func(config *Config) { config.Release.StickyKeys = true })
	f.startCanary(1, 0.5)
	f.router.release.stickyBuilds["pen"] = 2
	request := &Request{Class: f.quote, Timeout: Second, Key: "pen"}
	f.router.RequestArrived(f.now, request)
	for _, attempt := range request.Attempts {
		require.Equal(t, 2, attempt.build)
	}
}

// Sticky keys are not recorded while only one build serves, and are deleted when a new build is announced.
func TestRelease_RecordsStickyKeysOnlyWhileTwoBuildsServe(t *testing.T) {
	f, endpoints := newFakeFleet(t, func(config *Config) { config.Release.StickyKeys = true })
	serveKeys := func(n int) {
		for i := range n {
			request := &Request{Class: f.quote, Timeout: 3 * Second, Key: string(rune('a' + i))}
			f.router.RequestArrived(f.now, request)
			for _, attempt := range request.Attempts {
				f.end(attempt, Succeeded, Second/20)
			}
			f.advance(Second / 20)
		}
	}
	f.advance(5 * Second)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, Phase: Released, ExposureCap: 1})
	endpoints[0].Build = 2
	f.router.EndpointsChanged(f.now, endpoints, true)
	serveKeys(20)
	require.NotEmpty(t, f.router.release.stickyBuilds, "hosts of the earlier build still serve")
	for i := range endpoints {
		endpoints[i].Build = 2
	}
	f.router.EndpointsChanged(f.now, endpoints, true)
	before := len(f.router.release.stickyBuilds)
	serveKeys(26)
	require.Len(t, f.router.release.stickyBuilds, before, "only one build serves")
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 3, Phase: Canary, ExposureCap: 0.1})
	require.Empty(t, f.router.release.stickyBuilds)
}
