package policy

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// among starts a router of many that may tell and probe; the desk counts two fifths of all sends.
func among(t *testing.T, change func(*Config)) (*fake, []EndpointUpdate) {
	return begin(t, func(p *Config) {
		p.Routers, p.Rank, p.Limits.MaxGossipBytes, p.Limits.HealthChecks, p.Limits.PushedDiscovery = 300, 7, 256, true, true
		p.Limits.CrossZonePrice, p.Release.SampledShare, p.Release.ComplaintShare = 0.01, 0.4, 0.3
		if change != nil {
			change(p)
		}
	})
}

// word is a digest of a peer nearby: so many sends at a host, so many of them bad.
func (f *fake) word(h *Host, n, bad float64) []byte {
	d := digest{stands: h, rushes: make([]rush, 3), words: []saying{{h, 0, repute{f.now, n, bad, n}}}}
	return d.pack(256)
}

func TestPeersSayThatAHostFailsBeforeAnyOwnSendDoes(t *testing.T) {
	f, list := among(t, nil)
	for _, l := range list[:6] {
		f.r.GossipReceived(f.now, 3, f.word(l.Host, 8, 0))
	}
	require.Equal(t, fit, list[0].Host.health)
	f.r.GossipReceived(f.now, 4, f.word(list[0].Host, 16, 14))
	require.Equal(t, sick, list[0].Host.health)
	require.Equal(t, fit, list[1].Host.health)
	f.pass(20 * Second) // no word against it any more
	require.Equal(t, fit, list[0].Host.health)
}

func TestWordsAreToldOncePassedOnOnceAndNeverAsOwn(t *testing.T) {
	f, list := among(t, nil)
	h := list[0].Host
	f.r.GossipReceived(f.now, 3, f.word(h, 8, 8))
	require.Zero(t, h.words[0].n, "no own sends")
	require.InDelta(t, 8, h.words[1].n, 0.1)
	d := f.r.lore(0.3)
	require.Len(t, d.words, 1)
	require.Equal(t, 1, d.words[0].hop, "told at second hand")
	back, ok := f.r.unpack(d.pack(256))
	require.True(t, ok)
	f.r.nearTold(back)
	require.InDelta(t, 8, h.words[1].n, 0.1)
	require.InDelta(t, 8, h.words[2].n, 0.1)
	require.Len(t, f.r.lore(0.3).words, 1, "what came at second hand goes no further")
}

func TestWordsThatCantBeReadOrNameUnlistedHostsChangeNothing(t *testing.T) {
	f, list := among(t, nil)
	good := f.word(list[0].Host, 8, 8)
	chance := rand.New(rand.NewPCG(1, 2))
	for n := range len(good) {
		f.r.GossipReceived(f.now, 3, good[:n])
	}
	f.r.GossipReceived(f.now, 3, append(good[:len(good):len(good)], 1))
	f.r.GossipReceived(f.now, f.r.rank, good) // from itself
	require.Zero(t, list[0].Host.words[1].n)
	f.r.GossipReceived(f.now, 3, f.word(&Host{ID: 77}, 8, 8))
	require.Len(t, f.r.hosts, 7)
	for range 2000 {
		b := make([]byte, chance.IntN(256))
		for i := range b {
			b[i] = byte(chance.Uint32())
		}
		if len(b) > 1 {
			b[0], b[1] = byte(1+chance.IntN(2)), 3
		}
		f.r.GossipReceived(f.now, 5, b)
	}
	f.serve(3, f.quote, fine)
	require.Empty(t, f.scrapped)
}

func TestDoubledStaleAndLostWordsMoveNoBoundOfARule(t *testing.T) {
	f, _ := among(t, func(p *Config) { p.Release.ExposureWindow = Second })
	f.trial(0, 0.1)
	cold := f.host(20, 1)
	cold.StartedAt = f.now
	f.r.EndpointsChanged(f.now, []EndpointUpdate{cold}, true)
	before := [2]bool{f.r.room(2, f.quote), f.r.room(2, f.payment)}
	budget := func() (n int) {
		for range 400 {
			if f.r.mayWarm(cold.Host) {
				n++
			}
		}
		return n
	}
	was := budget()
	for range 200 {
		f.r.GossipReceived(f.now, 3, f.word(cold.Host, 30, 0))
	}
	require.Equal(t, before, [2]bool{f.r.room(2, f.quote), f.r.room(2, f.payment)})
	require.InDelta(t, was, budget(), 80, "chance alone differs")
}

func TestNothingIsToldOrProbedWhereThatIsNotAllowed(t *testing.T) {
	f, list := among(t, func(p *Config) { p.Limits.MaxGossipBytes, p.Limits.HealthChecks = 0, false })
	f.serve(5, f.quote, fine)
	f.r.ComplaintReceived(f.now, list[0].Host, f.quote, Second/2)
	f.pass(5 * Second)
	require.Empty(t, f.told)
	require.Empty(t, f.probed)
}

func TestAMessageKeepsToItsSizeAndGoesToOthersAlone(t *testing.T) {
	f, _ := among(t, func(p *Config) { p.Limits.MaxGossipBytes = 64 })
	f.serve(60, f.quote, fine)
	f.pass(20 * Second)
	require.NotEmpty(t, f.told)
	for i, b := range f.told {
		require.LessOrEqual(t, len(b), 64)
		require.NotEqual(t, f.r.rank, f.to[i])
		require.True(t, f.to[i] == Broadcast || f.to[i] >= 0 && f.to[i] < 300)
	}
}

// Hundreds of routers hear a complaint in ten days each; together they hear a build that errs.
func TestComplaintsOfAllRoutersAreWeighedAgainstTheDesksCounts(t *testing.T) {
	story := func(blames int) []VoteChoice {
		f, _ := among(t, func(p *Config) { p.Routers, p.Rank, p.Release.Mode = 300, 0, Quorum })
		count := func(build, n int) {
			for _, c := range []*Class{f.quote, f.order, f.payment} {
				f.r.StatsReported(f.now, BuildStats{Build: build, Class: c, Samples: n, MeanLatency: Second / 20, Window: 2 * Second})
			}
		}
		count(1, 400)
		f.trial(2, 1)
		for range 10 {
			f.serve(10, f.quote, fine)
			count(1, 200)
			count(2, 200)
		}
		for range blames {
			f.r.GossipReceived(f.now, 9, packBlame(2, 4))
		}
		f.votes = nil
		f.pass(2 * Second)
		return f.votes
	}
	require.NotContains(t, story(1), Rollback)
	require.Contains(t, story(120), Rollback)
}

func TestOwnComplaintsGoToAllOnce(t *testing.T) {
	f, list := among(t, nil)
	f.pass(Second)
	for range 3 {
		f.r.ComplaintReceived(f.now, list[0].Host, f.quote, Second/2)
	}
	f.pass(10 * Second)
	n := 0
	for i, b := range f.told {
		if build, k, ok := unpackBlame(b); ok {
			require.Equal(t, Broadcast, f.to[i])
			require.Equal(t, 1, build)
			n += k
		}
	}
	require.Equal(t, 3, n)
}

// A way that is poor is left to probes; tasks stay nearby until these are answered.
func TestAPoorWayIsProbedAndNotTried(t *testing.T) {
	f, _ := among(t, nil)
	far := []EndpointUpdate{f.hostAt(30, 1, f.there), f.hostAt(31, 1, f.there), f.hostAt(32, 1, f.there)}
	f.r.EndpointsChanged(f.now, far, true)
	crossed := func(from int) (n int) {
		for _, s := range f.sent[from:] {
			if s.Host.Zone == f.there {
				n++
			}
		}
		return n
	}
	f.serve(60, f.quote, fine)
	require.Positive(t, crossed(0))
	cut := func(s *Attempt) Outcome {
		if s.Host.Zone == f.there {
			return ConnectFailed
		}
		return Succeeded
	}
	f.serve(120, f.quote, cut)
	require.False(t, f.r.together())
	at, probes := len(f.sent), 0
	for range 40 {
		f.probed = nil
		f.serve(10, f.quote, cut)
		for _, h := range f.probed {
			probes++
			require.Equal(t, f.there, h.Zone)
			f.r.HealthChecked(f.now, h, TimedOut, Second/4, nil)
		}
	}
	require.Less(t, crossed(at), 4) // a trickle to hosts that seem sick
	require.Positive(t, probes)
	for range 8 {
		f.r.HealthChecked(f.now, far[0].Host, Succeeded, Second/1000, nil)
	}
	require.True(t, f.r.together())
}

// One category waits everywhere: no host is to blame, and the others are not turned back.
func TestACategoryThatWaitsEverywhereIsAloneInIt(t *testing.T) {
	f, list := among(t, nil)
	for range 6 {
		for _, c := range []*Class{f.quote, f.order, f.payment} {
			f.r.StatsReported(f.now, BuildStats{Build: 1, Class: c, Samples: 60, MeanLatency: Second / 20, Window: 2 * Second})
		}
	}
	usual := f.order.mid
	for range 60 {
		slow, quick := f.take(f.order), f.take(f.quote)
		f.pass(Second / 20)
		for _, s := range quick.Attempts {
			f.end(s, Succeeded, Second/20)
		}
		f.pass(Second / 2)
		for _, s := range slow.Attempts {
			f.end(s, Succeeded, Second*11/20)
		}
	}
	for range 3 {
		f.r.StatsReported(f.now, BuildStats{Build: 1, Class: f.order, Samples: 60, MeanLatency: 2 * Second, Window: 2 * Second})
	}
	require.Equal(t, usual, f.order.mid, "what is usual stays")
	for _, l := range list {
		require.NotEqual(t, sick, l.Host.health)
	}
	for _, task := range f.turned {
		require.Equal(t, f.order, task.Class)
	}
}

// A cold host on trial is due an earlier host's share: two warm ones once got the work of all the cold.
func TestSharesOnTrialAreThoseOfEarlierHosts(t *testing.T) {
	f, list := among(t, func(p *Config) { p.Limits.AllowHedging = false })
	var young []EndpointUpdate
	for id := range uint32(3) {
		l := f.host(40+id, 2)
		l.StartedAt = f.now + 1
		young = append(young, l)
	}
	f.trial(2, 1)
	for i := range young {
		young[i].StartedAt = f.now
	}
	f.r.EndpointsChanged(f.now, young, true)
	at := len(f.sent)
	f.serve(200, f.quote, fine)
	n := map[*Host]int{}
	for _, s := range f.sent[at:] {
		n[s.Host]++
	}
	require.Less(t, n[list[6].Host], 60, "the warm one gets about what one of six earlier ones gets")
	for _, l := range young {
		require.Positive(t, n[l.Host])
	}
}

// Hosts of two kinds: the list's hint moves the shares where no one knows better.
func TestDrawsGoByTheListsSizes(t *testing.T) {
	f, list := among(t, nil)
	for i := range list[:6] {
		list[i].Weight = []float64{1, 3}[i%2]
	}
	f.r.EndpointsChanged(f.now, list, true)
	f.serve(400, f.quote, fine)
	n := [2]int{}
	for _, s := range f.sent {
		n[(s.Host.ID+1)%2]++
	}
	require.Greater(t, n[1], 2*n[0])
}

func TestSettingsChangeBetweenTwoEvents(t *testing.T) {
	f, _ := begin(t, nil)
	f.pass(Second / 100)
	asks := f.asks
	task := f.take(f.payment)
	l, d := f.r.limits, f.r.desk
	l.MaxGossipBytes, l.PushedDiscovery, l.AllowHedging = 256, true, false
	f.r.ConfigChanged(f.now, 300, 4, l, d)
	require.Len(t, f.sent, 1, "nothing is sent anew")
	f.end(task.Attempts[0], Succeeded, Second/20)
	require.True(t, task.Answered())
	f.serve(30, f.quote, fine)
	f.pass(5 * Second)
	require.NotEmpty(t, f.told)
	l.MaxGossipBytes, l.PushedDiscovery = 0, false
	told := len(f.told)
	f.r.ConfigChanged(f.now, 1, 0, l, d)
	require.Equal(t, asks+1, f.asks, "the list is asked for from now on")
	f.pass(5 * Second)
	require.Len(t, f.told, told)
}

// A build that slows old and new alike leaves no gap: slow with copies, quick without, and slow again prove it.
func TestTwoSwellsWithCopiesProveABuildThatSlowsAll(t *testing.T) {
	story := func(means ...Time) (f *fake) {
		f, _ = among(t, func(p *Config) { p.Release.Mode, p.Limits.AllowHedging = Quorum, false })
		count := func(mean Time) {
			for _, b := range []int{1, 2} {
				for _, c := range []*Class{f.quote, f.order, f.payment} {
					f.r.StatsReported(f.now, BuildStats{Build: b, Class: c, Samples: 100, MeanLatency: mean, Window: 2 * Second})
				}
			}
		}
		count(Second / 20)
		f.trial(2, 1)
		for _, m := range means {
			f.pass(2 * Second)
			count(m)
			f.pass(Second / 2)
		}
		return f
	}
	const quick, slow = Second / 20, Second / 10
	f := story(quick, slow)
	require.True(t, f.r.resting())
	require.True(t, f.r.unsure(), "no release meanwhile")
	require.NotContains(t, f.votes, Rollback)
	require.False(t, story(quick, slow, quick).r.resting(), "they go on when it is quick again")
	require.Contains(t, story(quick, slow, quick, slow).votes, Rollback)
	f = story(quick, slow, slow, slow, slow, slow, slow, slow)
	require.False(t, f.r.swell == proven, "slow without copies too: another trouble")
	require.NotContains(t, f.votes, Rollback)
}

// What is given up gets its answer in the event that brings it, with a time to come back where one may be named.
func TestWhatIsGivenUpIsAnsweredAtOnceWithATimeToComeBack(t *testing.T) {
	f, list := among(t, func(p *Config) { p.Limits.MaxRetryAfter = 2 * Second })
	for i := range list {
		list[i].State = Removed
	}
	f.r.EndpointsChanged(f.now, list, true)
	task := f.take(f.quote)
	require.Equal(t, []*Request{task}, f.turned, "before the call returns")
	require.Positive(t, f.stays[0])
	require.LessOrEqual(t, f.stays[0], 2*Second)

	f, _ = among(t, func(p *Config) { p.Limits.MaxAttempts = 1 })
	task = f.take(f.payment)
	f.end(task.Attempts[0], ConnectionLost, Second/20)
	require.Equal(t, []*Request{task}, f.scrapped, "it may have run, and nothing is held back")
}

// Probe answers that are late, doubled or of a host that has gone move no rule's bound.
func TestStrayProbeAnswersBringNoFault(t *testing.T) {
	f, list := among(t, nil)
	gone := list[0]
	gone.State = Removed
	f.r.EndpointsChanged(f.now, []EndpointUpdate{gone}, true)
	for _, fate := range []Outcome{Succeeded, TimedOut, ConnectFailed, Failed} {
		for range 3 {
			f.r.HealthChecked(f.now, gone.Host, fate, 10*Second, nil)
			f.r.HealthChecked(f.now, list[1].Host, fate, 10*Second, &LoadReport{ActiveRequests: -1})
		}
	}
	f.serve(30, f.quote, fine)
	require.Empty(t, f.scrapped)
	for _, s := range f.sent {
		require.NotEqual(t, gone.Host, s.Host)
	}
}
