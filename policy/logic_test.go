package policy

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryTaskGetsOneAnswerAndNothingAfterIt(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	request := f.arrive(f.quote)
	f.end(request.Attempts[0], Succeeded, Second/20)
	sends := len(f.attempts)
	f.advance(5 * Second)
	require.True(t, request.Answered())
	require.Len(t, f.attempts, sends)
	require.Empty(t, f.rejected)
}

func TestWhatCannotBeSentIsAnsweredAtOnce(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	for i := range list {
		list[i].State = Removed
	}
	f.router.EndpointsChanged(f.now, list, true)
	request := f.arrive(f.payment)
	require.Equal(t, []*Request{request}, f.rejected)
	require.Empty(t, f.attempts)
}

func TestBindingTaskThatMayHaveRunIsNeitherSentAgainNorTurnedBack(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	request := f.arrive(f.payment)
	f.advance(2 * Second) // it lingers, and is not copied either
	require.Len(t, request.Attempts, 1)
	f.end(request.Attempts[0], ConnectionLost, 2*Second)
	require.Equal(t, []*Request{request}, f.failed)
	require.Len(t, request.Attempts, 1)
}

func TestBindingTaskThatNeverRanIsSentAgain(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	request := f.arrive(f.payment)
	f.end(request.Attempts[0], ConnectFailed, Second/40)
	require.Len(t, request.Attempts, 2)
	require.NotSame(t, request.Attempts[0].Host, request.Attempts[1].Host)
}

func TestFingerprintedTaskStaysInItsGroupAndMemory(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.order.DedupScope = ZoneScope
	list[5].Zone = f.remoteZone
	f.router.EndpointsChanged(f.now, list, true)
	for range 20 {
		request := f.arrive(f.order)
		f.end(request.Attempts[0], Failed, Second/40)
		for _, attempt := range request.Attempts[1:] {
			require.Same(t, request.Attempts[0].Host.Zone, attempt.Host.Zone)
		}
		f.advance(Second)
		f.router.ClientGone(f.now, request)
	}
	late := f.arrive(f.order)
	late.Timeout = 9 * Second
	f.advance(4 * Second) // longer than the hosts remember
	n := len(late.Attempts)
	f.end(late.Attempts[0], ConnectionLost, 4*Second)
	require.Len(t, late.Attempts, n)
}

func TestNoSecondSendWhileTheFirstIsOutWhereForbidden(t *testing.T) {
	f, _ := newFakeFleet(t, func(p *Config) { p.Limits.AllowHedging = false })
	f.startCanary(1, 0.5)
	for range 40 {
		request := f.arrive(f.quote)
		require.LessOrEqual(t, len(request.Attempts), 1)
		if attempt := request.Attempts[0]; attempt.build == 2 { // a lone copy, with the time left for its original
			require.Less(t, f.timeouts[attempt], request.Timeout/2)
			f.end(attempt, TimedOut, f.timeouts[attempt])
			require.Len(t, request.Attempts, 2)
			require.Equal(t, 1, request.Attempts[1].build)
		}
		f.advance(Second / 20)
		f.end(request.Attempts[len(request.Attempts)-1], Succeeded, Second/20)
	}
	require.Positive(t, f.attemptsAtBuild(2))
}

func TestNothingNewToADrainingHost(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	list[0].State, list[1].State = Draining, Removed
	f.router.EndpointsChanged(f.now, list, true)
	f.serve(100, f.quote, succeeds)
	for _, attempt := range f.attempts {
		require.Equal(t, Serving, attempt.Host.State)
	}
}

func TestAListThatIsDownIsAskedAgainButNotFlooded(t *testing.T) {
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
func TestAFirstCallThatFailsIsNotRepeatedSoon(t *testing.T) {
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
func TestAFleetSpreadsItsCallsForTheList(t *testing.T) {
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

func TestAColdHostGetsLittleEvenWhenItIsAlmostAlone(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(100, f.quote, succeeds)
	for i := range list[:6] {
		list[i].State = Draining
	}
	fresh := f.host(20, 1)
	fresh.StartedAt = f.now
	f.router.EndpointsChanged(f.now, append(list, fresh), true)
	n := 0
	for range 100 { // a hundred a second, six times what one host had
		if request := f.arrive(f.quote); len(request.Attempts) > 0 && request.Attempts[0].Host == fresh.Host {
			n++
		}
		f.advance(Second / 100)
	}
	require.Positive(t, n)
	require.Less(t, n, 10)
}

func TestManyRoutersTogetherDoNotPushAColdHostOver(t *testing.T) {
	n := 0
	for rank := range 60 { // each serves ten tasks a second of a fleet where that is far over a cold host's due
		f, list := newFakeFleet(t, func(p *Config) { p.Seed, p.Routers, p.Rank = uint64(rank), 60, rank })
		f.serve(80, f.quote, succeeds)
		list[0].StartedAt = f.now
		f.router.EndpointsChanged(f.now, list, true)
		f.attempts = nil
		for range 20 { // two windows of the rule
			f.serve(2, f.quote, succeeds)
		}
		for _, attempt := range f.attempts {
			if attempt.Host == list[0].Host {
				n++
			}
		}
	}
	require.Positive(t, n)
	require.Less(t, n, 2*60*3*2) // of 60 routers' 20 sends a second over 6 hosts: 200, times 0.3 to 0.6, times 3
}

func TestSendsOnTrialKeepTheCapAndTheGuard(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.startCanary(0, 0.1)
	for range 300 {
		f.serve(1, f.quote, succeeds)
		f.serve(1, f.order, succeeds)
		require.LessOrEqual(t, countSince(f.router.traffic.canaryAttempts, f.now-4*Second, nil), 1+0.1*countSince(f.router.traffic.arrivals, f.now-4*Second, nil))
	}
	require.Positive(t, f.attemptsAtBuild(2))
	for _, attempt := range f.attempts {
		require.False(t, attempt.build == 2 && attempt.Request.Class != f.quote)
	}
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Phase: RollingBack})
	n := f.attemptsAtBuild(2)
	f.serve(100, f.quote, succeeds)
	require.Equal(t, n, f.attemptsAtBuild(2))
}

func TestAfterAStartExposureIsUnknownAndAnUnannouncedBuildInItsFirstStage(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	require.Equal(t, exposureLimit{applies: true, stage: 0, share: 0.1}, f.router.release.exposureOf(2))
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 1, ExposureCap: 0.5})
	f.serve(60, f.quote, succeeds) // three seconds, less than the window
	require.Zero(t, f.attemptsAtBuild(2))
}

func TestKeysStayWithTheBuildThatAnsweredThem(t *testing.T) {
	f, _ := newFakeFleet(t, func(p *Config) { p.Release.StickyKeys = true })
	f.startCanary(1, 0.5)
	f.router.release.stickyBuilds["pen"] = 2
	request := &Request{Class: f.quote, Timeout: Second, Key: "pen"}
	f.router.RequestArrived(f.now, request)
	for _, attempt := range request.Attempts {
		require.Equal(t, 2, attempt.build)
	}
}

func TestAGoodBuildIsVotedOnAndABadOneBack(t *testing.T) {
	story := func(bad func(*Attempt) bool) []VoteChoice {
		f, list := newFakeFleet(t, nil)
		for id := range uint32(5) {
			list = append(list, f.host(10+id, 2))
		}
		f.router.EndpointsChanged(f.now, list, true)
		f.startCanary(2, 1)
		for range 100 {
			for _, class := range []*Class{f.quote, f.order, f.payment} {
				f.serve(1, class, func(attempt *Attempt) Outcome {
					if attempt.build == 2 && bad(attempt) {
						return Failed
					}
					return Succeeded
				})
			}
		}
		return f.votes
	}
	require.Contains(t, story(func(*Attempt) bool { return false }), Promote)
	require.NotContains(t, story(func(*Attempt) bool { return false }), Rollback)
	n := 0
	require.Contains(t, story(func(*Attempt) bool { n++; return n%3 == 0 }), Rollback)
	require.NotContains(t, story(func(attempt *Attempt) bool { return attempt.Host.ID == 9 }), Rollback) // one sick host
	require.NotContains(t, story(func(attempt *Attempt) bool { return attempt.Request.Class.Idempotency == NonIdempotent }), Promote)
}

func TestNoWaitBearsADoubtThatStoppedItsCategorysCopies(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.router.EndpointsChanged(f.now, append(list, f.host(10, 2), f.host(11, 2), f.host(12, 2)), true)
	f.startCanary(2, 1)
	for range 300 {
		f.serve(3, f.quote, succeeds)
		f.serve(1, f.order, func(attempt *Attempt) Outcome {
			if attempt.build == 2 {
				return Failed
			}
			return Succeeded
		})
	}
	require.NotContains(t, f.votes, Promote)
}

func TestLastingSlownessIsToldByTheDeskWhereItSeesMore(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.router.analysis.stats = []BuildStats{{Build: 1, Class: f.quote, Samples: 90, MeanLatency: 500, receivedAt: Second},
		{Build: 2, Class: f.quote, Samples: 90, MeanLatency: 1000, receivedAt: 9 * Second}}
	gap, _ := f.router.analysis.logLatencyGapToPast(nil, 1, 2, 2*Second, 8*Second)
	require.InDelta(t, 0.69, gap, 0.01)
}

func TestManyRoutersJudgeByTheDesksCountsAndAFewOfThemVote(t *testing.T) {
	votes := map[VoteChoice]int{}
	story := func(rank, bad int, latency Time) {
		f, list := newFakeFleet(t, func(p *Config) { p.Routers, p.Rank, p.Release.SampledShare = 40, rank, 0.2 })
		f.router.EndpointsChanged(f.now, append(list, f.host(10, 2), f.host(11, 2), f.host(12, 2)), true)
		f.startCanary(2, 1)
		for range 4 { // seconds; this router's own copies all fail, the desk's counts say what the story says
			f.serve(20, f.quote, func(attempt *Attempt) Outcome {
				if attempt.build == 2 && len(attempt.Host.samples) < 3 {
					return Failed
				}
				return Succeeded
			})
			for _, class := range []*Class{f.quote, f.order, f.payment} {
				f.router.StatsReported(f.now, BuildStats{Build: 1, Class: class, Failures: 1, Samples: 60, MeanLatency: Second / 20})
				f.router.StatsReported(f.now, BuildStats{Build: 2, Class: class, Failures: bad, Samples: 60, MeanLatency: latency})
			}
		}
		for _, v := range f.votes {
			votes[v]++
		}
	}
	for rank := range 40 {
		story(rank, 20, Second/20)
	}
	require.Positive(t, votes[Rollback])
	require.Less(t, votes[Rollback], 40)
	clear(votes)
	for rank := range 40 {
		story(rank, 1, Second/20)
	}
	require.Zero(t, votes[Rollback])
}

func TestNoWarmHostOnTrialGetsWhatColdOnesCannotTake(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	for id := range uint32(5) {
		fresh := f.host(10+id, 2)
		fresh.StartedAt = 6*Second + 1
		list = append(list, fresh)
	}
	f.serve(120, f.quote, succeeds)
	f.router.EndpointsChanged(f.now, list, true)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, ExposureCap: 1})
	f.attempts = nil
	f.serve(40, f.quote, succeeds) // two seconds
	n := map[*Host]int{}
	for _, attempt := range f.attempts {
		n[attempt.Host]++
	}
	require.Positive(t, n[list[6].Host])
	require.LessOrEqual(t, n[list[6].Host], 40/6+2) // what an earlier host gets, and a little
}

func TestCopiesMakeNoLineAtAHostOnTrial(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(120, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 1, ExposureCap: 1})
	trial := list[6].Host
	most := 0
	for range 60 { // it pauses while the others answer
		request := f.arrive(f.quote)
		f.advance(Second / 20)
		for _, attempt := range request.Attempts {
			if attempt.Host != trial {
				f.end(attempt, Succeeded, Second/20)
			}
		}
		most = max(most, len(trial.inFlight))
	}
	require.Positive(t, most)
	require.LessOrEqual(t, most, 2)
}

func TestOriginalsThatHadNowhereElseToGoAreNoCopies(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(120, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, ExposureCap: 1})
	for i := range list[:6] { // the earlier hosts leave before the release is told
		list[i].State = Draining
	}
	f.router.EndpointsChanged(f.now, list, true)
	f.votes = nil
	f.serve(60, f.payment, func(*Attempt) Outcome { return TimedOut })
	f.advance(Second)
	require.Positive(t, f.attemptsAtBuild(2))
	require.NotContains(t, f.votes, Rollback)
	copies := 0
	for _, attempt := range f.attempts {
		if attempt.IsShadow() {
			copies++
		}
	}
	require.Greater(t, f.attemptsAtBuild(2), copies)
	require.Len(t, f.router.analysis.window(2).samples, copies)
}

func TestOriginalsAreJudgedByTheTimeThatACopyIsGiven(t *testing.T) {
	f, list := newFakeFleet(t, func(p *Config) { p.Limits.AllowHedging = false })
	f.router.EndpointsChanged(f.now, append(list, f.host(10, 2), f.host(11, 2), f.host(12, 2)), true)
	f.quote.LatencyObjective = Second / 7 // too short for a send to be cut and another made in time
	f.serve(120, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 1, ExposureCap: 1})
	f.votes = nil
	n := map[int]int{}
	for range 800 { // one send in 22 takes long, at either build
		request := f.arrive(f.quote)
		f.advance(Second / 20)
		for i := 0; i < len(request.Attempts); i++ {
			attempt := request.Attempts[i]
			latency := Time(Second / 20)
			if n[attempt.build]++; n[attempt.build]%22 == 0 {
				latency = Second * 8 / 10
			}
			if latency > f.timeouts[attempt] {
				f.end(attempt, TimedOut, f.timeouts[attempt])
			} else {
				f.end(attempt, Succeeded, latency)
			}
		}
	}
	require.Greater(t, f.attemptsAtBuild(2), 10)
	require.NotContains(t, f.votes, Rollback)
}

func TestASwellSeenByOwnSendsAloneConvictsNoBuildAndEnds(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.startCanary(1, 0.5)
	f.router.surge.state, f.router.surge.since = surgeProven, f.now
	w, testOdds := f.router.evidence()
	require.Contains(t, testOdds, 20.0)
	require.Less(t, w, 8.0)
	f.advance(16 * Second)
	require.Equal(t, surgeNone, f.router.surge.state)
}

func TestSendsCutShortCountInTheBudgetOfFurtherOnes(t *testing.T) {
	f, _ := newFakeFleet(t, func(p *Config) { p.Limits.AllowHedging = false })
	f.serve(120, f.quote, succeeds)
	cut := 0
	for range 200 { // all hosts are slower than before
		request := f.arrive(f.quote)
		f.advance(Second / 40)
		if attempt := request.Attempts[0]; f.timeouts[attempt] < request.Timeout {
			cut++
			f.end(attempt, TimedOut, f.timeouts[attempt])
		}
		f.end(request.Attempts[len(request.Attempts)-1], Succeeded, Second/20)
	}
	require.Positive(t, cut)
	require.Less(t, cut, 60) // one for every eight tasks of the last five seconds, and a few
}

func TestATroubleThatBeginsDuringATrialDoesNotSpeakAgainstTheBuild(t *testing.T) {
	var fresh, peers []attemptSample
	for i := range Time(200) { // errors come in the last two of ten seconds, when copies have become many
		late, at := i >= 160, i*Second/20
		x := attemptSample{at: at, host: &Host{}, outcome: Succeeded}
		if peers = append(peers, x); late && i%2 == 0 {
			peers[i].outcome = Failed
		}
		if late {
			fresh = append(fresh, peers[i])
		}
	}
	is := func(attemptSample) bool { return true }
	parts, _ := strataByTime(fresh, peers, is, 0)
	require.Less(t, failureEvidence(withRateFloor(parts, 0.01), 0.06, 0.15, 0.6), 3.0)
}

func TestWhereManyMustAgreeOneFailingHostDoesNotSendABuildBack(t *testing.T) {
	f, list := newFakeFleet(t, func(p *Config) {
		p.Routers, p.Release.Mode, p.Release.PromoteQuorum, p.Release.RollbackQuorum = 60, Quorum, 30, 15
		p.Limits.AllowHedging = false
	})
	f.router.EndpointsChanged(f.now, append(list, f.host(10, 2), f.host(11, 2), f.host(12, 2), f.host(13, 2)), true)
	f.startCanary(2, 1)
	story := func(bad func(*Attempt) bool) {
		f.serve(200, f.quote, func(attempt *Attempt) Outcome {
			if attempt.build == 2 && bad(attempt) {
				return Failed
			}
			return Succeeded
		})
	}
	story(func(attempt *Attempt) bool { return attempt.Host.ID == 9 })
	require.NotContains(t, f.votes, Rollback)
	story(func(*Attempt) bool { return true })
	require.Contains(t, f.votes, Rollback)
	f.attempts = nil
	story(func(*Attempt) bool { return true })
	require.Positive(t, f.attemptsAtBuild(2)) // others may not agree, so the copies go on
}

func TestAHungHostIsNoJamWhereAnswersComeInTime(t *testing.T) {
	f, list := newFakeFleet(t, func(p *Config) { p.Routers = 50 })
	for range 300 {
		request := f.arrive(f.quote)
		f.advance(Second / 10)
		for _, attempt := range request.Attempts {
			if attempt.Host != list[0].Host && attempt.Host != list[1].Host {
				f.end(attempt, Succeeded, Second/20)
			}
		}
	}
	require.Empty(t, f.rejected)
}

func TestAnotherMixOfTasksIsNoFailure(t *testing.T) {
	require.Less(t, failureEvidence([]stratum{{90, 100, 0.9}, {1, 900, 0.01}}, 0.1, 0.3), 1.0)
}

func TestComplaintsHoldABuildThatAnswersWrongly(t *testing.T) {
	f, _ := newFakeFleet(t, func(p *Config) { p.Release.ComplaintShare = 0.3 })
	f.startCanary(2, 1)
	f.serve(40, f.quote, succeeds)
	clear, _ := f.router.evidence()
	for range 3 {
		f.router.ComplaintReceived(f.now, f.attempts[len(f.attempts)-1].Host, f.quote, Second/2)
		for _, host := range f.router.hosts {
			if host.Build == 2 {
				f.router.ComplaintReceived(f.now, host, f.quote, Second/2)
			}
		}
	}
	wrong, _ := f.router.evidence()
	require.Greater(t, wrong, 7*clear)
}

func TestColdTimeoutsDoNotSpeakAgainstABuild(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.startCanary(1, 0.5)
	list[6].StartedAt = f.now
	f.router.EndpointsChanged(f.now, list, true)
	f.serve(60, f.quote, func(attempt *Attempt) Outcome {
		if attempt.build == 2 {
			return TimedOut
		}
		return Succeeded
	})
	w, _ := f.router.evidence()
	require.LessOrEqual(t, w, 1.0)
}

func TestClientsThatGiveUpEarlyDoNotSpeakAgainstABuild(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.router.EndpointsChanged(f.now, append(list, f.host(10, 2), f.host(11, 2), f.host(12, 2)), true)
	f.startCanary(2, 1)
	for range 60 {
		request := &Request{Class: f.quote, Timeout: Second / 4}
		f.router.RequestArrived(f.now, request)
		f.advance(Second / 20)
		for _, attempt := range request.Attempts {
			outcome := Succeeded
			if attempt.build == 2 {
				outcome = TimedOut
			}
			f.end(attempt, outcome, Second/4)
		}
	}
	require.NotContains(t, f.votes, Rollback)
}

func TestAnUnansweredVoteIsCastAgainWithoutAFlood(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.startCanary(0, 0.1)
	f.advance(20 * Second)
	require.Greater(t, len(f.votes), 5)
	require.Less(t, len(f.votes), 20)
	f.router.ReleaseChanged(f.now, ReleaseStatus{VoteResult: VoteAccepted, Build: 2, ExposureCap: 0.1})
	n := len(f.votes)
	f.advance(5 * Second)
	require.Len(t, f.votes, n)
	f.advance(5 * Second) // renewed before it runs out
	require.Greater(t, len(f.votes), n)
}

func TestASickHostGetsATrickleAndComesBack(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	ill := true
	fate := func(attempt *Attempt) Outcome {
		if attempt.Host.ID == 1 && ill {
			return Failed
		}
		return Succeeded
	}
	f.serve(200, f.quote, fate)
	require.Equal(t, ejected, list[0].Host.health)
	f.attempts = nil
	f.serve(100, f.payment, fate)
	for _, attempt := range f.attempts {
		require.NotEqual(t, uint32(1), attempt.Host.ID)
	}
	ill = false
	f.serve(100, f.quote, fate)
	require.Equal(t, healthy, list[0].Host.health)
}

func TestWhenAllHostsFailNoneIsToBlame(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(100, f.quote, func(*Attempt) Outcome { return Failed })
	for _, l := range list[:6] {
		require.Equal(t, healthy, l.Host.health)
	}
}

func TestAJamTurnsBackEarlyAndAnIdleFleetTakesAgain(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.serve(60, f.quote, succeeds)
	for range 400 { // nothing is answered any more
		f.arrive(f.quote)
		f.advance(Second / 100)
	}
	require.NotEmpty(t, f.rejected)
	for _, attempt := range f.attempts {
		if attempt.outcome == Pending {
			f.end(attempt, TimedOut, 3*Second)
		}
	}
	f.advance(Second)
	require.NotEmpty(t, f.arrive(f.quote).Attempts)
}

func TestFurtherSendsKeepABudget(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.serve(80, f.quote, succeeds)
	f.attempts = nil
	f.serve(100, f.quote, func(*Attempt) Outcome { return Failed })
	require.Less(t, len(f.attempts), 130)
}

func TestAHungHostIsLeftBeforeItsSendsRunOutOfTime(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(100, f.quote, succeeds)
	for range 60 {
		n := len(f.attempts)
		for range 24 { // a busy moment: each host gets its share
			f.arrive(f.payment)
		}
		f.advance(Second / 20)
		for _, attempt := range f.attempts[n:] {
			if attempt.Host.ID != 1 {
				f.end(attempt, Succeeded, Second/20)
			}
		}
	}
	require.Equal(t, ejected, list[0].Host.health)
	require.Less(t, len(list[0].Host.inFlight), 60) // of 1440 tasks; an even share would be 240
}

func TestTwoSidesAreWeighedByTheirJamAndThePrice(t *testing.T) {
	f, list := newFakeFleet(t, func(p *Config) { p.Limits.CrossZonePrice = 0.1 })
	for i := range 3 {
		list[i].Zone = f.remoteZone
	}
	f.router.EndpointsChanged(f.now, list, true)
	f.serve(100, f.quote, succeeds)
	for _, attempt := range f.attempts {
		require.Same(t, f.localZone, attempt.Host.Zone) // it is quiet: nothing is worth the price
	}
	var crossed bool
	for range 60 { // the hosts here answer no more, those there do
		request := f.arrive(f.quote)
		f.advance(Second / 50)
		for _, attempt := range request.Attempts {
			if attempt.Host.Zone == f.remoteZone {
				crossed = true
				f.end(attempt, Succeeded, Second/20)
			}
		}
	}
	require.True(t, crossed)
}

func TestABuildThatSlowsEveryHostIsSentBackAfterItsRelease(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.startCanary(2, 1)
	f.serve(60, f.quote, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, Phase: Released, ExposureCap: 1})
	for i := range list[:6] {
		list[i].Build = 2
	}
	f.router.EndpointsChanged(f.now, list, true)
	for range 250 {
		request := f.arrive(f.quote)
		f.advance(Second / 10)
		for _, attempt := range request.Attempts {
			f.end(attempt, Succeeded, Second/8) // more than twice as long as before the trial
		}
	}
	require.Contains(t, f.votes, Rollback)
}

func TestFewKnownHostsOfANewBuildAreNeitherReleasedNorRushed(t *testing.T) {
	f, list := newFakeFleet(t, nil) // one host of build 2, six of build 1, and the list tells no more
	f.startCanary(2, 1)
	for range 60 {
		f.serve(1, f.quote, succeeds)
		f.serve(1, f.order, succeeds)
		f.serve(1, f.payment, succeeds)
	}
	require.NotContains(t, f.votes, Promote)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: 2, Phase: Released, ExposureCap: 1})
	f.attempts = nil
	f.serve(100, f.quote, succeeds)
	require.Less(t, f.attemptsAtBuild(2), 50)
	require.Positive(t, len(list[0].Host.attempts))
}

func TestInALargeFleetHostsThatJustReportedLittleAreDrawnToo(t *testing.T) {
	f, list := newFakeFleet(t, func(p *Config) { p.Routers = 50 })
	for id := range uint32(60) {
		list = append(list, f.host(100+id, 1))
	}
	f.router.EndpointsChanged(f.now, list, true)
	n := 0
	for range 200 { // one host in three holds nothing, the others hold four
		request := f.arrive(f.quote)
		f.advance(Second / 20)
		for _, attempt := range request.Attempts {
			load := &LoadReport{ActiveRequests: 4}
			if attempt.Host.ID%3 == 0 {
				n, load = n+1, &LoadReport{}
			}
			f.router.AttemptEnded(f.now, attempt, Succeeded, Second/20, true, load)
		}
	}
	require.Greater(t, n, 120) // two random ones would give some seventy
}

func TestWhileLinksAreScarceThoseThatWorkAreUsed(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	refused := 0
	fate := func(attempt *Attempt) Outcome {
		if attempt.Host != list[2].Host && attempt.Host != list[3].Host {
			refused++
			return ConnectFailed
		}
		return Succeeded
	}
	f.serve(200, f.payment, fate)
	require.Less(t, refused, 100) // two in three sends at random
}

// While the list is out of reach, what it would have told after a release counts as told all the same.
func TestHostsOfAnEarlierBuildAreLeftWhenTheListIsOutOfReachAfterARelease(t *testing.T) {
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
func TestWithoutAListAfterAReleaseNothingIsBetterThanADrainedHost(t *testing.T) {
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

// What is kept of keys ends with the time in which they could go from one build to the other.
func TestKeysAreKeptNoLongerThanTwoBuildsServe(t *testing.T) {
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

// Where no earlier host is left, a request doesn't go to the build on trial twice.
func TestOneRequestHasOneAttemptOnTrialWhereNoEarlierHostIsLeft(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Phase: Canary, ExposureCap: 0.1})
	for i := range list[:6] {
		list[i].State = Removed
	}
	f.router.EndpointsChanged(f.now, list, true)
	f.advance(5 * Second) // beyond the window after a start
	require.Len(t, f.arrive(f.quote).Attempts, 1, "one is free in a window")
}
