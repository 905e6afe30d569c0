package policy

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDrainingHostGetsNoAttempt(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	list[0].State, list[1].State = Draining, Removed
	f.router.EndpointsChanged(f.now, list, true)
	f.serve(100, f.quote, succeeds)
	for _, attempt := range f.attempts {
		require.Equal(t, Serving, attempt.Host.State)
	}
}

func TestFailingEndpointListIsPolledAgainWithoutAFlood(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.advance(Second / 100) // a lone router asks at once
	require.Equal(t, 1, f.polls)
	f.advance(4 * Second) // a watch stood for a while
	for n := range 20 {
		before, failed := f.polls, f.now
		f.router.EndpointsChanged(f.now, nil, false)
		for f.polls == before {
			f.advance(Second / 100)
		}
		least, most := 4*Second, 8*Second // the most is within ask-within
		if n == 0 {
			least, most = Second/4, 3*Second/4 // a watch that fell silent has to be replaced within six seconds
		} else if n == 1 {
			least, most = Second, 3*Second
		}
		require.GreaterOrEqual(t, f.now-failed, least)
		require.LessOrEqual(t, f.now-failed, most+Second/100)
		f.advance(8 * Second)
		require.Equal(t, before+1, f.polls)
	}
}

// A call that fails is no watch that stood: who answers it has too many callers, or is down.
func TestFirstPollThatFailsIsNotRepeatedSoon(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.advance(Second / 100)
	f.advance(2 * Second)
	f.router.EndpointsChanged(f.now, nil, false)
	f.advance(Second)
	require.Equal(t, 1, f.polls)
	f.advance(3 * Second)
	require.Equal(t, 2, f.polls)
}

// A fleet that starts or loses its list at one moment doesn't ask as one, again and again.
func TestRoutersSpreadTheirPolls(t *testing.T) {
	const routers = 60
	var starts, retries []Time
	for rank := range routers {
		f, _ := newFakeFleet(t, func(p *Config) { p.Routers, p.Rank, p.Seed = routers, rank, uint64(rank) })
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
		require.LessOrEqual(t, at[routers-1], map[string]Time{"starts": 2*Second + Second/100, "retries": 8 * Second}[name], name)
		for n := range at { // in no tenth of the span more than a third of them
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

// While the list is out of reach, what it would have told after a release counts as told all the same.
func TestHostsOfEarlierBuildsDrainWhileDiscoveryFailsAfterARelease(t *testing.T) {
	for name, x := range map[string]struct {
		lost  bool
		after []ReleaseStatus
		old   bool // earlier hosts are still sent to
	}{
		"list out of reach":    {true, nil, false},
		"list stands":          {false, nil, true},
		"it goes back":         {true, []ReleaseStatus{{Build: 2, Stage: 2, Phase: RollingBack}}, true},
		"it has gone back":     {true, []ReleaseStatus{{Build: 2, Phase: RolledBack}, {Build: 3, Phase: Canary, ExposureCap: 0.1}}, true},
		"the next is on trial": {true, []ReleaseStatus{{Build: 3, Phase: Canary, ExposureCap: 0.1}}, false},
	} {
		f, list := newFakeFleet(t, nil)
		f.advance(4 * Second)
		for i := range list { // a build with too few known hosts to carry all
			list[i].Build = 1
		}
		list[6].Build = 2
		f.router.EndpointsChanged(f.now, list, true)
		f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, Phase: Released, ExposureCap: 1})
		to := func() (old, all int) {
			before := len(f.attempts)
			f.serve(60, f.quote, succeeds)
			for _, attempt := range f.attempts[before:] {
				if all++; attempt.Host.Build == 1 {
					old++
				}
			}
			return old, all
		}
		if x.lost {
			f.router.EndpointsChanged(f.now, nil, false)
		}
		old, _ := to()
		require.Positive(t, old, "%s: it may still be as it was", name)
		for _, n := range x.after {
			f.router.ReleaseChanged(f.now, n)
		}
		f.advance(5 * Second)
		old, all := to()
		require.Positive(t, all, name)
		require.Equal(t, x.old, old > 0, name)
		if x.after != nil && x.after[0].Phase != Canary {
			require.Equal(t, all, old, "%s: a build that goes back is done with", name)
		}
		for i := range list {
			list[i].State = Serving
		}
		f.router.EndpointsChanged(f.now, list[:6], true) // the list is back, and has them serve
		if old, _ = to(); len(x.after) == 0 {
			require.Positive(t, old, name)
		}
	}
}

// Where no host of the released build is known either, what comes is turned back: hosts that are told to drain get nothing.
func TestRequestsAreRejectedRatherThanSentToDrainedHostsWhileDiscoveryFails(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.advance(4 * Second)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 3, Stage: 2, Phase: Released, ExposureCap: 1})
	f.router.EndpointsChanged(f.now, nil, false)
	f.advance(7 * Second)
	sent, turned := len(f.attempts), len(f.rejected)
	f.serve(20, f.quote, succeeds)
	require.Len(t, f.attempts, sent)
	require.Len(t, f.rejected, turned+20)
}
