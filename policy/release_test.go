package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestStickyKeyStaysWithTheBuildThatAnsweredIt(t *testing.T) {
	f, _ := newFakeFleet(t, func(p *Config) { p.Release.StickyKeys = true })
	f.startCanary(1, 0.5)
	f.router.release.stickyBuilds["pen"] = 2
	request := &Request{Class: f.quote, Timeout: Second, Key: "pen"}
	f.router.RequestArrived(f.now, request)
	for _, attempt := range request.Attempts {
		require.Equal(t, 2, attempt.build)
	}
}

// What is kept of keys ends with the time in which they could go from one build to the other.
func TestStickyKeysAreKeptNoLongerThanTwoBuildsServe(t *testing.T) {
	f, list := newFakeFleet(t, func(p *Config) { p.Release.StickyKeys = true })
	keyed := func(n int) {
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
	list[0].Build = 2
	f.router.EndpointsChanged(f.now, list, true)
	keyed(20)
	require.NotEmpty(t, f.router.release.stickyBuilds, "earlier hosts still serve")
	for i := range list {
		list[i].Build = 2
	}
	f.router.EndpointsChanged(f.now, list, true)
	before := len(f.router.release.stickyBuilds)
	keyed(26)
	require.Len(t, f.router.release.stickyBuilds, before, "one build alone")
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 3, Phase: Canary, ExposureCap: 0.1})
	require.Empty(t, f.router.release.stickyBuilds)
}
