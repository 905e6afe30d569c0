package policy

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDiscovery_SendsNoAttemptToDrainingHost(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	endpoints[0].State, endpoints[1].State = Draining, Removed
	f.router.EndpointsChanged(f.now, endpoints, true)
	f.serve(100, f.quote, succeeds)
	for _, attempt := range f.attempts {
		require.Equal(t, Serving, attempt.Host.State)
	}
}

func TestDiscovery_BacksOffBetweenFailedPolls(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.advance(Second / 100) // the only router polls at once
	require.Equal(t, 1, f.polls)
	f.advance(4 * Second) // a watch was open for a while
	for n := range 20 {
		before, failed := f.polls, f.now
		f.router.EndpointsChanged(f.now, nil, false)
		for f.polls == before {
			f.advance(Second / 100)
		}
		least, most := MaxPollBackoff/2, MaxPollBackoff // the response must come within six seconds of the failure
		switch n {
		case 0:
			least, most = Second/4, 3*Second/4 // a watch that sends nothing more must be replaced within six seconds
		case 1:
			least, most = Second, 3*Second
		}
		require.GreaterOrEqual(t, f.now-failed, least)
		require.LessOrEqual(t, f.now-failed, most+Second/100)
		f.advance(8 * Second)
		require.Equal(t, before+1, f.polls)
	}
}

// A poll that fails immediately is not the end of a watch: the service has too many callers or is down, so the long backoff
// applies.
func TestDiscovery_BacksOffAfterFailedFirstPoll(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.advance(Second / 100)
	f.advance(2 * Second)
	f.router.EndpointsChanged(f.now, nil, false)
	f.advance(Second)
	require.Equal(t, 1, f.polls)
	f.advance(3 * Second)
	require.Equal(t, 2, f.polls)
}

// Routers that start at the same time, or lose the endpoint list at the same time, don't poll at the same time.
func TestDiscovery_SpreadsPollsOfRouters(t *testing.T) {
	const routers = 60
	var starts, retries []Time
	for rank := range routers {
		f, _ := newFakeFleet(t, func(config *Config) { config.Routers, config.Rank, config.Seed = routers, rank, uint64(rank) })
		for ; f.polls == 0; f.advance(Second / 100) {
		}
		starts = append(starts, f.now)
		for range 4 {
			f.router.EndpointsChanged(f.now, nil, false)
		}
		for n := len(f.timersDue) - 1; ; n-- {
			if f.timers[n].polls {
				retries = append(retries, f.timersDue[n]-f.now)
				break
			}
		}
	}
	for name, at := range map[string][]Time{"starts": starts, "retries": retries} {
		slices.Sort(at)
		require.LessOrEqual(t, at[routers-1], map[string]Time{"starts": 2*Second + Second/100, "retries": MaxPollBackoff}[name], name)
		for n := range at { // no tenth of the span has more than a third of the polls
			in := 0
			for _, x := range at {
				if x >= at[n] && x < at[n]+(at[routers-1]-at[0])/10 {
					in++
				}
			}
			require.LessOrEqual(t, in, routers/3, name)
		}
		require.Greater(t, at[routers-1]-at[0], Second, name)
	}
}

// While discovery fails, hosts of earlier builds count as draining some time after a release, because the endpoint list
// would report them as draining by then.
func TestDiscovery_DrainsHostsOfEarlierBuildsAfterReleaseWhilePollsFail(t *testing.T) {
	for name, test := range map[string]struct {
		discoveryFails bool
		statuses       []ReleaseStatus
		servesOld      bool // hosts of the earlier build still get attempts
	}{
		"discovery fails":              {true, nil, false},
		"discovery works":              {false, nil, true},
		"the release is rolling back":  {true, []ReleaseStatus{{Build: 2, Stage: 2, Phase: RollingBack}}, true},
		"the release was rolled back":  {true, []ReleaseStatus{{Build: 2, Phase: RolledBack}, {Build: 3, Phase: Canary, ExposureCap: 0.1}}, true},
		"the next build is the canary": {true, []ReleaseStatus{{Build: 3, Phase: Canary, ExposureCap: 0.1}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, endpoints := newFakeFleet(t, nil)
			f.advance(4 * Second)
			for i := range endpoints { // the released build has too few known hosts for all requests
				endpoints[i].Build = 1
			}
			endpoints[6].Build = 2
			f.router.EndpointsChanged(f.now, endpoints, true)
			f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, Phase: Released, ExposureCap: 1})
			serve := func() (old, all int) {
				before := len(f.attempts)
				f.serve(60, f.quote, succeeds)
				for _, attempt := range f.attempts[before:] {
					if all++; attempt.Host.Build == 1 {
						old++
					}
				}
				return old, all
			}
			if test.discoveryFails {
				f.router.EndpointsChanged(f.now, nil, false)
			}
			old, _ := serve()
			require.Positive(t, old, "hosts of the earlier build must not drain yet")
			for _, status := range test.statuses {
				f.router.ReleaseChanged(f.now, status)
			}
			f.advance(5 * Second)
			old, all := serve()
			require.Positive(t, all)
			require.Equal(t, test.servesOld, old > 0)
			if test.statuses != nil && test.statuses[0].Phase != Canary {
				require.Equal(t, all, old, "a build that rolls back must get no attempts")
			}
			for i := range endpoints {
				endpoints[i].State = Serving
			}
			f.router.EndpointsChanged(f.now, endpoints[:6], true) // the list is available again and reports them as serving
			if old, _ = serve(); len(test.statuses) == 0 {
				require.Positive(t, old)
			}
		})
	}
}

// While discovery fails and no host of the released build is known, requests are rejected, because draining hosts get no
// attempts.
func TestDiscovery_RejectsRequestsWhenAllKnownHostsDrain(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.advance(4 * Second)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 3, Stage: 2, Phase: Released, ExposureCap: 1})
	f.router.EndpointsChanged(f.now, nil, false)
	f.advance(7 * Second)
	attempts, rejected := len(f.attempts), len(f.rejected)
	f.serve(20, f.quote, succeeds)
	require.Len(t, f.attempts, attempts)
	require.Len(t, f.rejected, rejected+20)
}
