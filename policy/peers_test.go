package policy

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// newGossipingFleet starts a router of many that may tell and probe; the desk counts two fifths of all sends.
func newGossipingFleet(t *testing.T, change func(*Config)) (*fakeFleet, []EndpointUpdate) {
	return newFakeFleet(t, func(p *Config) {
		p.Routers, p.Rank, p.Limits.MaxGossipBytes, p.Limits.HealthChecks, p.Limits.PushedDiscovery = 300, 7, 256, true, true
		p.Limits.CrossZonePrice, p.Release.SampledShare, p.Release.ComplaintShare = 0.01, 0.4, 0.3
		if change != nil {
			change(p)
		}
	})
}

// hostSummary is a digest of a peer nearby: so many sends at a host, so many of them bad.
func (f *fakeFleet) hostSummary(host *Host, n, bad float64) []byte {
	d := gossipSummary{nearbyHost: host, classes: make([]admissionStats, 3), hosts: []hostReport{{host, 0, healthStats{f.now, n, bad, n}}}}
	return d.encode(256)
}

func TestPeersSayThatAHostFailsBeforeAnyOwnSendDoes(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	for _, l := range list[:6] {
		f.router.GossipReceived(f.now, 3, f.hostSummary(l.Host, 8, 0))
	}
	require.Equal(t, healthy, list[0].Host.health)
	f.router.GossipReceived(f.now, 4, f.hostSummary(list[0].Host, 16, 14))
	require.Equal(t, ejected, list[0].Host.health)
	require.Equal(t, healthy, list[1].Host.health)
	f.advance(20 * Second) // no word against it any more
	require.Equal(t, healthy, list[0].Host.health)
}

func TestWordsAreToldOncePassedOnOnceAndNeverAsOwn(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	host := list[0].Host
	f.router.GossipReceived(f.now, 3, f.hostSummary(host, 8, 8))
	require.Zero(t, host.healthByHops[0].attempts, "no own sends")
	require.InDelta(t, 8, host.healthByHops[1].attempts, 0.1)
	d := f.router.summarize()
	require.Len(t, d.hosts, 1)
	require.Equal(t, 1, d.hosts[0].hops, "told at second hand")
	back, ok := f.router.decodeSummary(d.encode(256))
	require.True(t, ok)
	f.router.mergeLocalReport(back)
	require.InDelta(t, 8, host.healthByHops[1].attempts, 0.1)
	require.InDelta(t, 8, host.healthByHops[2].attempts, 0.1)
	require.Len(t, f.router.summarize().hosts, 1, "what came at second hand goes no further")
}

func TestWordsThatCantBeReadOrNameUnlistedHostsChangeNothing(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	good := f.hostSummary(list[0].Host, 8, 8)
	chance := rand.New(rand.NewPCG(1, 2))
	for n := range len(good) {
		f.router.GossipReceived(f.now, 3, good[:n])
	}
	f.router.GossipReceived(f.now, 3, append(good[:len(good):len(good)], 1))
	f.router.GossipReceived(f.now, f.router.rank, good) // from itself
	require.Zero(t, list[0].Host.healthByHops[1].attempts)
	f.router.GossipReceived(f.now, 3, f.hostSummary(&Host{ID: 77}, 8, 8))
	require.Len(t, f.router.hosts, 7)
	for range 2000 {
		b := make([]byte, chance.IntN(256))
		for i := range b {
			b[i] = byte(chance.Uint32())
		}
		if len(b) > 1 {
			b[0], b[1] = byte(1+chance.IntN(2)), 3
		}
		f.router.GossipReceived(f.now, 5, b)
	}
	f.serve(3, f.quote, succeeds)
	require.Empty(t, f.failed)
}

func TestDoubledStaleAndLostWordsMoveNoBoundOfARule(t *testing.T) {
	f, _ := newGossipingFleet(t, func(p *Config) { p.Release.ExposureWindow = Second })
	f.startCanary(0, 0.1)
	cold := f.host(20, 1)
	cold.StartedAt = f.now
	f.router.EndpointsChanged(f.now, []EndpointUpdate{cold}, true)
	before := [2]bool{f.router.withinExposure(2, f.quote), f.router.withinExposure(2, f.payment)}
	budget := func() (n int) {
		for range 400 {
			if f.router.withinWarmUpBudget(cold.Host) {
				n++
			}
		}
		return n
	}
	was := budget()
	for range 200 {
		f.router.GossipReceived(f.now, 3, f.hostSummary(cold.Host, 30, 0))
	}
	require.Equal(t, before, [2]bool{f.router.withinExposure(2, f.quote), f.router.withinExposure(2, f.payment)})
	require.InDelta(t, was, budget(), 80, "chance alone differs")
}

func TestNothingIsToldOrProbedWhereThatIsNotAllowed(t *testing.T) {
	f, list := newGossipingFleet(t, func(p *Config) { p.Limits.MaxGossipBytes, p.Limits.HealthChecks = 0, false })
	f.serve(5, f.quote, succeeds)
	f.router.ComplaintReceived(f.now, list[0].Host, f.quote, Second/2)
	f.advance(5 * Second)
	require.Empty(t, f.gossip)
	require.Empty(t, f.healthChecked)
}

func TestAMessageKeepsToItsSizeAndGoesToOthersAlone(t *testing.T) {
	f, _ := newGossipingFleet(t, func(p *Config) { p.Limits.MaxGossipBytes = 64 })
	f.serve(60, f.quote, succeeds)
	f.advance(20 * Second)
	require.NotEmpty(t, f.gossip)
	for i, b := range f.gossip {
		require.LessOrEqual(t, len(b), 64)
		require.NotEqual(t, f.router.rank, f.gossipTo[i])
		require.True(t, f.gossipTo[i] == Broadcast || f.gossipTo[i] >= 0 && f.gossipTo[i] < 300)
	}
}

// Hundreds of routers hear a complaint in ten days each; together they hear a build that errs.
func TestComplaintsOfAllRoutersAreWeighedAgainstTheDesksCounts(t *testing.T) {
	story := func(blames int) []VoteChoice {
		f, _ := newGossipingFleet(t, func(p *Config) { p.Routers, p.Rank, p.Release.Mode = 300, 0, Quorum })
		count := func(build, n int) {
			for _, class := range []*Class{f.quote, f.order, f.payment} {
				f.router.StatsReported(f.now, BuildStats{Build: build, Class: class, Samples: n, MeanLatency: Second / 20, Window: 2 * Second})
			}
		}
		count(1, 400)
		f.startCanary(2, 1)
		for range 10 {
			f.serve(10, f.quote, succeeds)
			count(1, 200)
			count(2, 200)
		}
		for range blames {
			f.router.GossipReceived(f.now, 9, encodeComplaints(2, 4))
		}
		f.votes = nil
		f.advance(2 * Second)
		return f.votes
	}
	require.NotContains(t, story(1), Rollback)
	require.Contains(t, story(120), Rollback)
}

func TestOwnComplaintsGoToAllOnce(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	f.advance(Second)
	for range 3 {
		f.router.ComplaintReceived(f.now, list[0].Host, f.quote, Second/2)
	}
	f.advance(10 * Second)
	n := 0
	for i, b := range f.gossip {
		if build, k, ok := decodeComplaints(b); ok {
			require.Equal(t, Broadcast, f.gossipTo[i])
			require.Equal(t, 1, build)
			n += k
		}
	}
	require.Equal(t, 3, n)
}

// A way that is poor is left to probes; tasks stay nearby until these are answered.
func TestAPoorWayIsProbedAndNotTried(t *testing.T) {
	f, _ := newGossipingFleet(t, nil)
	far := []EndpointUpdate{f.hostAt(30, 1, f.remoteZone), f.hostAt(31, 1, f.remoteZone), f.hostAt(32, 1, f.remoteZone)}
	f.router.EndpointsChanged(f.now, far, true)
	crossed := func(from int) (n int) {
		for _, attempt := range f.attempts[from:] {
			if attempt.Host.Zone == f.remoteZone {
				n++
			}
		}
		return n
	}
	f.serve(60, f.quote, succeeds)
	require.Positive(t, crossed(0))
	cut := func(attempt *Attempt) Outcome {
		if attempt.Host.Zone == f.remoteZone {
			return ConnectFailed
		}
		return Succeeded
	}
	f.serve(120, f.quote, cut)
	require.False(t, f.router.mergesZones())
	at, probes := len(f.attempts), 0
	for range 40 {
		f.healthChecked = nil
		f.serve(10, f.quote, cut)
		for _, host := range f.healthChecked {
			probes++
			require.Equal(t, f.remoteZone, host.Zone)
			f.router.HealthChecked(f.now, host, TimedOut, Second/4, nil)
		}
	}
	require.Less(t, crossed(at), 4) // a trickle to hosts that seem sick
	require.Positive(t, probes)
	for range 8 {
		f.router.HealthChecked(f.now, far[0].Host, Succeeded, Second/1000, nil)
	}
	require.True(t, f.router.mergesZones())
}

// One category waits everywhere: no host is to blame, and the others are not turned back.
func TestACategoryThatWaitsEverywhereIsAloneInIt(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	for range 6 {
		for _, class := range []*Class{f.quote, f.order, f.payment} {
			f.router.StatsReported(f.now, BuildStats{Build: 1, Class: class, Samples: 60, MeanLatency: Second / 20, Window: 2 * Second})
		}
	}
	usual := f.order.usualLatency
	for range 60 {
		slow, quick := f.arrive(f.order), f.arrive(f.quote)
		f.advance(Second / 20)
		for _, attempt := range quick.Attempts {
			f.end(attempt, Succeeded, Second/20)
		}
		f.advance(Second / 2)
		for _, attempt := range slow.Attempts {
			f.end(attempt, Succeeded, Second*11/20)
		}
	}
	for range 3 {
		f.router.StatsReported(f.now, BuildStats{Build: 1, Class: f.order, Samples: 60, MeanLatency: 2 * Second, Window: 2 * Second})
	}
	require.Equal(t, usual, f.order.usualLatency, "what is usual stays")
	for _, l := range list {
		require.NotEqual(t, ejected, l.Host.health)
	}
	for _, request := range f.rejected {
		require.Equal(t, f.order, request.Class)
	}
}

// A cold host on trial is due an earlier host's share: two warm ones once got the work of all the cold.
func TestSharesOnTrialAreThoseOfEarlierHosts(t *testing.T) {
	f, list := newGossipingFleet(t, func(p *Config) { p.Limits.AllowHedging = false })
	var young []EndpointUpdate
	for id := range uint32(3) {
		l := f.host(40+id, 2)
		l.StartedAt = f.now + 1
		young = append(young, l)
	}
	f.startCanary(2, 1)
	for i := range young {
		young[i].StartedAt = f.now
	}
	f.router.EndpointsChanged(f.now, young, true)
	at := len(f.attempts)
	f.serve(200, f.quote, succeeds)
	n := map[*Host]int{}
	for _, attempt := range f.attempts[at:] {
		n[attempt.Host]++
	}
	require.Less(t, n[list[6].Host], 60, "the warm one gets about what one of six earlier ones gets")
	for _, l := range young {
		require.Positive(t, n[l.Host])
	}
}

// Hosts of two kinds: the list's hint moves the shares where no one knows better.
func TestDrawsGoByTheListsSizes(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	for i := range list[:6] {
		list[i].Weight = []float64{1, 3}[i%2]
	}
	f.router.EndpointsChanged(f.now, list, true)
	f.serve(400, f.quote, succeeds)
	n := [2]int{}
	for _, attempt := range f.attempts {
		n[(attempt.Host.ID+1)%2]++
	}
	require.Greater(t, n[1], 2*n[0])
}

func TestSettingsChangeBetweenTwoEvents(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.advance(Second / 100)
	asks := f.polls
	request := f.arrive(f.payment)
	l, d := f.router.limits, f.router.release.config
	l.MaxGossipBytes, l.PushedDiscovery, l.AllowHedging = 256, true, false
	f.router.ConfigChanged(f.now, 300, 4, l, d)
	require.Len(t, f.attempts, 1, "nothing is sent anew")
	f.end(request.Attempts[0], Succeeded, Second/20)
	require.True(t, request.Answered())
	f.serve(30, f.quote, succeeds)
	f.advance(5 * Second)
	require.NotEmpty(t, f.gossip)
	l.MaxGossipBytes, l.PushedDiscovery = 0, false
	told := len(f.gossip)
	f.router.ConfigChanged(f.now, 1, 0, l, d)
	require.Equal(t, asks+1, f.polls, "the list is asked for from now on")
	f.advance(5 * Second)
	require.Len(t, f.gossip, told)
}

// A build that slows old and new alike leaves no gap: slow with copies, quick without, and slow again prove it.
func TestTwoSwellsWithCopiesProveABuildThatSlowsAll(t *testing.T) {
	story := func(means ...Time) (f *fakeFleet) {
		f, _ = newGossipingFleet(t, func(p *Config) { p.Release.Mode, p.Limits.AllowHedging = Quorum, false })
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
	const quick, slow = Second / 20, Second / 10
	f := story(quick, slow)
	require.True(t, f.router.shadowsPaused())
	require.True(t, f.router.isUnreadyForRelease(), "no release meanwhile")
	require.NotContains(t, f.votes, Rollback)
	require.False(t, story(quick, slow, quick).router.shadowsPaused(), "they go on when it is quick again")
	require.Contains(t, story(quick, slow, quick, slow).votes, Rollback)
	f = story(quick, slow, slow, slow, slow, slow, slow, slow)
	require.False(t, f.router.surge.state == surgeProven, "slow without copies too: another trouble")
	require.NotContains(t, f.votes, Rollback)
}

// What is given up gets its answer in the event that brings it, with a time to come back where one may be named.
func TestWhatIsGivenUpIsAnsweredAtOnceWithATimeToComeBack(t *testing.T) {
	f, list := newGossipingFleet(t, func(p *Config) { p.Limits.MaxRetryAfter = 2 * Second })
	for i := range list {
		list[i].State = Removed
	}
	f.router.EndpointsChanged(f.now, list, true)
	request := f.arrive(f.quote)
	require.Equal(t, []*Request{request}, f.rejected, "before the call returns")
	require.Positive(t, f.retryAfters[0])
	require.LessOrEqual(t, f.retryAfters[0], 2*Second)

	f, _ = newGossipingFleet(t, func(p *Config) { p.Limits.MaxAttempts = 1 })
	request = f.arrive(f.payment)
	f.end(request.Attempts[0], ConnectionLost, Second/20)
	require.Equal(t, []*Request{request}, f.failed, "it may have run, and nothing is held back")
}

// Probe answers that are late, doubled or of a host that has gone move no rule's bound.
func TestStrayProbeAnswersBringNoFault(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	gone := list[0]
	gone.State = Removed
	f.router.EndpointsChanged(f.now, []EndpointUpdate{gone}, true)
	for _, outcome := range []Outcome{Succeeded, TimedOut, ConnectFailed, Failed} {
		for range 3 {
			f.router.HealthChecked(f.now, gone.Host, outcome, 10*Second, nil)
			f.router.HealthChecked(f.now, list[1].Host, outcome, 10*Second, &LoadReport{ActiveRequests: -1})
		}
	}
	f.serve(30, f.quote, succeeds)
	require.Empty(t, f.failed)
	for _, attempt := range f.attempts {
		require.NotEqual(t, gone.Host, attempt.Host)
	}
}
