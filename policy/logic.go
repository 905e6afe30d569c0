// All decisions, tables and tuned values of dapplefront. Make a Router with NewRouter, then tell it what
// happens (Listed, Take, Ended, Left, Due, Told, Counted, Complained, Heard), each with the clock; it answers
// through its Hands before the call returns. The interface, nouns and all, is in types.go; docs/design.md
// says why.
package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// NewRouter starts a router that knows nothing but its place.
func NewRouter(now Time, p Config, hands Effects) *Router {
	r := &Router{effects: hands, seed: p.Seed, now: now, startedAt: now, routers: max(1, p.Routers), rank: p.Rank,
		zone: p.Zone, classes: p.Classes, limits: p.Limits, releaseConfig: p.Release, stickyBuilds: map[string]int{},
		complaints: map[int]int{}, unsentComplaints: map[int]int{}, concurrencyCost: 0.3} // a fleet neither idle nor full, until known
	for _, class := range r.classes {
		class.usualLatency = max(1, class.LatencyObjective/5) // until something is known
	}
	if hands.SetTimer(reviewInterval, &Timer{}); !p.Limits.PushedDiscovery { // many that start at once don't ask as one
		hands.SetTimer(Time(r.randomN(int(min(2*Second, Time(r.routers-1)*Second/10))+1)), &Timer{polls: true})
	}
	return r
}

// TimerFired rings an alarm: of a send that takes long, of the list, or of the regular look at the build on trial.
func (r *Router) TimerFired(now Time, a *Timer) {
	r.now = now
	switch {
	case a.polls:
		r.lastPollAt = now
		r.effects.WatchEndpoints()
	case a.attempt == nil:
		r.fitConcurrencyCost(40, 6, 0.02, 1.5) // few sends make no line, and one very long task says little
		r.reviewHealth()
		r.sendGossip()
		r.checkRemotePath()
		r.updateVote()
		r.effects.SetTimer(reviewInterval, a)
	case a.attempt.outcome == Pending && !a.attempt.responseStarted:
		r.handleRequestEvent(a.attempt.Request, attemptSlow)
	}
}

// ---- The host list ----

// EndpointsChanged takes in changes to the host list; ok is false when a call for it failed, or a watch that stood. The
// latter is asked for anew soon, inside the time after which what it misses counts as told; a call far slower
// and spread out, as a service with more callers than it can take answers none in time.
func (r *Router) EndpointsChanged(now Time, changes []EndpointUpdate, ok bool) {
	r.now = now
	if !ok {
		r.failedPolls = max(r.failedPolls, map[bool]int{true: 1}[now-r.lastPollAt < 3*Second]) // a call ends by then, a watch goes on
		wait := min(3*Second/8<<min(2*r.failedPolls, 6), max(r.limits.PollInterval, Second)*2/5)
		r.failedPolls++
		r.effects.SetTimer(wait+Time(r.randomN(int(wait)+1)), &Timer{polls: true})
		return
	}
	r.failedPolls = 0
	for _, l := range changes {
		r.applyEndpoint(l)
	}
}

// ---- Builds, exposure and cold hosts ----

// withinExposure tells whether one more send of the category at a build on trial keeps the rule on exposure. Sends are
// counted over a little more than the window and tasks over a little less. What an earlier life of this
// router sent is unknown after a start, so nothing goes there until one window has passed.
func (r *Router) withinExposure(build int, class *Class) bool {
	const edge = Second / 20 // several ticks of any clock
	on, stage, share := r.exposureOf(build)
	if !on {
		return true
	}
	if share <= 0 || r.now-r.startedAt < r.releaseConfig.ExposureWindow+edge || class.Idempotency != Idempotent && stage < r.releaseConfig.GuardedStages {
		return false
	}
	if !r.releaseConfig.ExposurePerClass {
		class = nil
	}
	tried, taken := countSince(r.canaryAttempts, r.now-r.releaseConfig.ExposureWindow-edge, class), countSince(r.arrivals, r.now-r.releaseConfig.ExposureWindow+edge, class)
	return tried+1 <= r.releaseConfig.ExposureAllowance+share*taken
}

// withinWarmUpBudget keeps a cold host from being pushed over by all routers together: each sends its part of what the
// rule allows, by what hosts get now. Where that is below one send, tasks go by chance, so often that all
// routers' sums keep to it however uneven they are: turns by rank left the work of one router in a hundred.
func (r *Router) withinWarmUpBudget(host *Host) bool {
	const part = 0.5            // of the budget; the rest is for uneven routers, heavy tasks and bursts
	const flowOver = 4 * Second // long enough to even out bursts
	if r.isWarm(host) {
		return true
	}
	budget := part * r.limits.ColdOverloadFactor * r.capacityFactor(host) * float64(r.limits.ColdOverloadWindow) * r.baselineAttemptRate(flowOver)
	if countSince(host.attempts, r.now-r.limits.ColdOverloadWindow, nil)+1 > max(1, budget) {
		return false
	}
	due := countSince(r.arrivals, r.now-flowOver, nil) * float64(r.limits.ColdOverloadWindow) / float64(flowOver) *
		r.capacity(host) / max(r.capacity(host), r.baselineCapacity()) // on trial too, where shares are those of earlier hosts
	return due <= budget || float64(r.randomN(1000)) < 1000*budget/due
}

// ---- Choosing a host ----

// hostLoad is how many tasks a host seems to have in hand: what it reported, with what was sent since, which
// fades into what hosts hold on average; else this router's own open sends as a share of everyone's. A
// reported rate is no help: it calls all routers at once.
func (r *Router) hostLoad(host *Host) float64 {
	const fades = Second // about what it takes a queue to become another
	own := float64(len(host.inFlight))
	if len(r.reportedLoads) == 0 && r.statsOutweighOwn() {
		return r.countedLoad + own // a router's own few, times their number, would be a host's load now and nothing then
	}
	if len(r.reportedLoads) == 0 {
		return own * float64(r.routers)
	}
	usual := recentMean(r.reportedLoads) + own
	if l := host.load; l != nil && l.ActiveRequests >= 0 {
		fresh := math.Exp(-float64(r.now-host.loadAt) / float64(fades))
		return max(own, usual+(l.ActiveRequests+countSince(host.attempts, host.loadAt-1, nil)-usual)*fresh)
	}
	return usual
}

// pickHost draws two hosts at random among those nearby and two among the rest, and takes the less busy one; a
// far one only if the promised time is so much likelier to be kept there that it is worth half the price: a
// miss costs windows, classes and tails beyond its earnings. Most of a large fleet was heard of long ago, so
// some that reported just now, to this router alone, are drawn too. While many hosts take no connections, as
// after deaths that no list tells or where these are scarce, only links that work are used.
func (r *Router) pickHost(request *Request, fits func(*Host) bool) (best *Host) {
	const doubt, old = 8, 10 * Second // few sends prove little, and hosts change
	const lately, more = Second, 3    // as long as a report says much; few, lest one host draws all
	const barred, last = 0.2, 20      // of the last sends: more than a few hosts refuse
	here, there := r.splitByLocality(func(host *Host) bool { return fits(host) && r.isEligible(request, host) })
	if r.mergesZones() {
		here, there = append(here, there...), nil
		r.localHosts = here // so that what it grew to is kept
	}
	busy := func(host *Host) float64 { return r.hostSlowdown(host, doubt, old) * (1 + r.hostLoad(host)) }
	scarce := r.endedShare(last, func(x trafficEvent) bool { return x.outcome == ConnectFailed }) > barred
	draw := func(from []*Host) (best *Host) {
		known := r.recentlyConnected(from, r.now-lately)
		try := func(n int, from []*Host) {
			w := r.drawWeights(from)
			for range min(n, len(from)) {
				if host := r.drawHost(from, w, best == nil); best == nil || busy(host) < busy(best) {
					best = host
				}
			}
		}
		if !scarce || len(known) == 0 {
			try(2, from)
		}
		if scarce || len(r.reportedLoads) > 0 && 2*len(known) < len(from) {
			try(more, known)
		}
		return best
	}
	a, b := draw(here), draw(there)
	if a != nil && r.crossesCheaply() {
		return a // the way is poor: what may be lost there costs more than a wait
	}
	price := r.limits.CrossZonePrice * float64(25+r.randomN(50)) / 100 // in a band, lest all cross at once
	if a != nil && b != nil && r.planCrosses() && r.missProbability(request, remoteZones)-r.missProbability(request, localZone) <= price {
		return b // as planned, as it is not much worse
	}
	if a == nil || b != nil && r.missProbability(request, localZone)-r.missProbability(request, remoteZones) > price {
		return b
	}
	return a
}

// crossesCheaply tells that crossing costs less than an uneven split of traffic or hosts over locations does,
// which a router with little traffic can't see.
func (r *Router) crossesCheaply() bool {
	const cheap = 0.015 // points of service: near sends alone lost five times that
	return r.limits.CrossZonePrice <= cheap
}

// mergesZones tells that hosts are drawn wherever they stand. Not while the way there is poor: of the last sends
// there far more failed or dragged than of those nearby.
func (r *Router) mergesZones() bool {
	const few, gap = 1.5, 0.3
	if !r.crossesCheaply() {
		return false
	}
	there, here := r.remotePathStats(), r.paths[localZone].decayedTo(r.now)
	poor := there.failures >= few && there.failures/there.attempts >= here.failures/max(1, here.attempts)+gap
	// What fades is no good news: where probes tell, the way stays shut until something came through.
	r.remoteDegraded = poor || r.remoteDegraded && r.limits.HealthChecks && there.attempts-there.failures < few/2
	return !r.remoteDegraded
}

// drawHost draws a host by the shares that are due, or the first of a draw by the parts of a plan that holds. The
// other stays drawn so, that a plan that has become wrong is corrected by how busy the two are.
func (r *Router) drawHost(from []*Host, due []float64, first bool) *Host {
	if first && r.now < r.plan.Until && slices.ContainsFunc(from, func(host *Host) bool { return host.planWeight > 0 }) {
		due = r.hostPlanWeights(from)
	}
	return r.drawWeighted(from, due)
}

// drawWeights are what hosts are due, until it is asked for again: by what they can do, as the list hints at it
// and as they warm. Most routers meet a host too seldom to learn its speed: what peers tell of it counts
// here, where it moves shares, and not between two drawn, or all routers would take the same one at once.
func (r *Router) drawWeights(from []*Host) []float64 {
	const doubt = 4 // usual sends
	r.weights = r.weights[:0]
	for _, host := range from {
		w := host.peerHealth(r.now, firstHandWeight, secondHandWeight)
		r.weights = append(r.weights, r.capacity(host)/max(1, (doubt+w.slowdown)/(doubt+w.attempts)))
	}
	return r.weights
}

// planCrosses draws whether a task starts far away, as a plan that holds has it.
func (r *Router) planCrosses() bool {
	return r.now < r.plan.Until && r.plan.Cross > 0 && float64(r.randomN(1<<20)) < r.plan.Cross*(1<<20)
}

// isEligible keeps repeats among the hosts that drop them, and off hosts that the task has already tried.
func (r *Router) isEligible(request *Request, host *Host) bool {
	const edge = Second / 20 // of a group's memory: the way to the host counts too
	if slices.ContainsFunc(request.Attempts, func(attempt *Attempt) bool { return attempt.Host == host }) || !r.withinWarmUpBudget(host) ||
		host.health == backingOff && r.now < host.backoffUntil {
		return false
	}
	x, class := request.firstAmbiguous, request.Class
	switch {
	case x == nil || class.Idempotency == Idempotent:
		return true
	case class.Idempotency == NonIdempotent || r.now-x.sentAt > class.DedupWindow-edge:
		return false
	}
	here := host.Zone == x.Host.Zone && (class.DedupScope == ZoneScope || host.Cell == x.Host.Cell)
	return here || class.DedupScope == FleetScope
}

// pickBaseline picks a host for the ordinary way: of the newest build that is not on trial, else of an older one,
// else whatever the rule on exposure allows. Keys stay with the build that answered them where that is told.
func (r *Router) pickBaseline(request *Request) *Host {
	sticks, m := 0, r.snapshot()
	if request.Key != "" && r.releaseConfig.StickyKeys && (r.releaseStatus.Phase == Canary || r.releaseStatus.Phase == Released) {
		sticks = r.stickyBuilds[request.Key]
	}
	level, newest := 0, m.newestBaseline
	if 3*m.newestBaselineHosts < m.baselineHosts {
		level = 1 // too few to carry all, as when a list that is down has not told of the rest
	}
	for ; level < 3; level++ {
		if host := r.pickHost(request, func(host *Host) bool {
			return host.Build >= sticks && (level == 2 && r.withinExposure(host.Build, request.Class) ||
				level < 2 && r.isBaseline(host) && host.health != ejected && (level == 1 || host.Build == newest))
		}); host != nil {
			return host
		}
	}
	return nil
}

// pickEjected picks a sick host whose turn for a trickle has come; only repeatable tasks go there. Where peers
// tell what they meet, the trickle is that of all routers, or hundreds of them would keep a sick host busy.
func (r *Router) pickEjected(request *Request) *Host {
	const wait, all = Second, 4.0 // slow enough to cost little, fast enough to find a recovery; of all, in it
	few := all * float64(r.snapshot().ejected) / float64(r.routers)
	if r.snapshot().ejected == 0 || r.limits.MaxGossipBytes > 0 &&
		float64(r.randomN(1000)) >= 1000*few/max(1, countSince(r.arrivals, r.now-wait, nil)) {
		r.draws++ // as pick does for whatever it finds
		return nil
	}
	return r.pickHost(request, func(host *Host) bool {
		return host.health == ejected && request.Class.Idempotency == Idempotent && r.isBaseline(host) &&
			len(host.inFlight) == 0 && countSince(host.attempts, r.now-wait, nil) == 0
	})
}

// pickCanary picks a host for a copy, or nil where one is not allowed or not wanted. A host on trial is given
// what one of the earlier build gets, by what it can do: one that fails under load must do so before the
// release, and what a good build serves early is worth its delay. Categories with an effect follow after
// the first stages, a few until they have been judged, and then all whose likely harm costs less than the
// delay of the rest.
func (r *Router) pickCanary(request *Request) *Host {
	const taste = 0.25                          // of what earlier hosts get, effects not yet judged
	const cleared, guilty, fails = 0.1, 10, 0.3 // odds; what a bad build fails of a category, more or less
	const lately, least, all = 2 * Second, 2, 8 // a while, copies in it of each router at the least, and of all
	n, class := r.releaseStatus, request.Class
	alone := r.vote.choice == Rollback && r.releaseConfig.RollbackQuorum <= 1 // others may not agree, and more copies change a mind
	if !r.releaseKnown || n.Phase != Canary || alone || r.shadowsPaused() || !r.withinExposure(n.Build, class) {
		return nil
	}
	both := r.mergesZones()
	by := func(host *Host) bool { return both || r.localityOf(host) == localZone }
	here := func(host *Host) bool { return r.runsNewestBuild(host) && by(host) }
	on := here
	if well := func(host *Host) bool { return here(host) && host.health != ejected }; r.statsOutweighOwn() && r.countHosts(well) > 0 {
		on = well // the desk tells no host from a build: a sick one's failures would be the build's
	}
	// Where others cross, those nearby alone say little of what a host gets.
	peer := func(host *Host) bool { return r.isBaseline(host) && (by(host) || r.crossesCheaply()) }
	each := countSince(r.arrivals, r.now-lately, nil) / max(1, r.totalCapacity(peer))
	due := max(min(least, all/float64(r.routers)), each*r.totalCapacity(on))
	if class.Idempotency != Idempotent && r.releaseConfig.HarmPrice*fails*class.failureOdds >= r.releaseConfig.DelayPrice {
		if class.failureOdds < cleared || class.failureOdds > guilty || float64(r.randomN(1000)) >= 1000*taste {
			return nil
		}
	}
	if due >= least {
		due -= countSince(r.canaryAttempts, r.now-lately, nil) + 1
	} else { // less than a router can count: by chance, lest all of them send at once
		due = due/max(1, countSince(r.arrivals, r.now-lately, nil)) - float64(r.randomN(1000))/1000
	}
	if due < 0 || class.Idempotency != Idempotent && n.Stage == 0 {
		return nil
	}
	most := r.typicalLoad() + 1                        // tasks: a line that copies make is no build's fault
	return r.pickHost(request, func(host *Host) bool { // a sick one is judged too, but not at the cost of an effect
		return on(host) && (host.health != ejected || class.Idempotency == Idempotent) && r.hostLoad(host) <= most &&
			countSince(host.attempts, r.now-lately, nil) < max(1, each*r.capacity(host)) // not what others are too cold for
	})
}

// ---- Tasks ----

// requestTransitions says what follows for a task. One that can go nowhere is settled at once.
var requestTransitions = []requestTransition{
	{notExecuted, requestArrived, notExecuted, (*Router).dispatch},
	{notExecuted, attemptNotExecuted, notExecuted, (*Router).continueAfterFailure},
	{notExecuted, attemptMayHaveExecuted, mayHaveExecuted, (*Router).continueAfterFailure},
	{notExecuted, attemptSlow, notExecuted, (*Router).hedge},
	{notExecuted, requestEnded, finished, (*Router).ignoreEvent},
	{mayHaveExecuted, attemptNotExecuted, mayHaveExecuted, (*Router).continueAfterFailure},
	{mayHaveExecuted, attemptMayHaveExecuted, mayHaveExecuted, (*Router).continueAfterFailure},
	{mayHaveExecuted, attemptSlow, mayHaveExecuted, (*Router).hedge},
	{mayHaveExecuted, requestEnded, finished, (*Router).ignoreEvent},
}

// dispatch sends a new task on its ordinary way: to the earlier build, with a copy or a lone copy on trial.
func (r *Router) dispatch(request *Request) {
	host := r.pickCanary(request)
	if host != nil && request.Class.Idempotency == Idempotent && r.limits.AllowHedging {
		if first := r.pickBaseline(request); first != nil && r.isBaseline(first) { // else both would go to the build on trial
			r.send(request, first, primaryAttempt)
		}
		r.send(request, host, shadowAttempt)
		return
	}
	if host == nil {
		host = r.pickEjected(request)
	}
	if host != nil {
		r.send(request, host, shadowFirstAttempt)
		return
	}
	if host = r.pickBaseline(request); host == nil || r.shedsLoad(request, host) {
		r.giveUp(request)
		return
	}
	r.send(request, host, primaryAttempt)
}

// expectedSlowdown is how often longer than usual the hosts nearby or the rest take to answer: what is out at those that
// work, by the rate at which work was answered. As what is out drains it falls, and hosts are never left
// idle. One of many routers has little out, by chance more or less: it takes the mean of the time in which
// so many tasks are answered, and counts answers over longer. Nor can it see a host hang: where some answer
// nothing, while what others answer comes in time, there is no jam.
func (r *Router) expectedSlowdown(side int) float64 {
	const few, blink = 10, Second                          // answers to take the mean over, at the longest
	const luck, lag = 0.5, 3.0                             // spreads over its due; times as slow as answers are
	const short, long, enough = 2 * Second, 8 * Second, 20 // to count answers over
	work, span, strain := r.recentWork(side, short, long, enough/4, enough)
	rest := max(0, 1-4/float64(r.routers)) // each of up to four sees enough of all sends at each moment
	out, hosts := r.meanInFlight(side, Time(rest*float64(min(blink, few*r.meanCompletionInterval(few)))))
	if out -= luck * math.Sqrt(out*rest); out*float64(r.routers) <= hosts {
		return 0
	}
	if rest == 0 {
		strain = math.Inf(1)
	}
	return min(out*float64(span)/work, lag*strain)
}

// shedsLoad turns a task back early when the hosts around the one chosen would answer it too late. The less a
// task earns for its time, the sooner, and sooner yet beyond its customer's share.
func (r *Router) shedsLoad(request *Request, host *Host) bool {
	const high, low, beyond = 1.0, 0.8, 0.5 // of the promised time: the tail is longer than the mean
	const last, firm, least = 30, 1.0, 0.4  // of the last answers: as many as come late, the sooner
	const begin, end = 0.4, 0.8             // of the limit: what all know alike not all must do at once
	limit, better := high, 0
	for _, class := range r.classes {
		if class.PriorityWeight*float64(request.Class.usualLatency) > request.Class.PriorityWeight*float64(class.usualLatency) {
			better++
		}
	}
	if 2*better >= len(r.classes) {
		limit = low
	}
	if c := request.Tenant; c != nil && countSince(c.arrivals, r.now-2*Second, nil) > 2.4*c.QuotaPerSecond/float64(r.routers) {
		limit *= beyond
	}
	limit *= max(least, 1-firm*r.lateShare(request.Class, last))
	limit *= float64(min(request.Class.LatencyObjective, request.Timeout))
	if r.limits.MaxGossipBytes == 0 {
		return r.expectedSlowdown(r.localityOf(host))*float64(request.Class.usualLatency) > limit
	}
	took := r.expectedClassSlowdown(request.Class) * float64(request.Class.usualLatency)
	return float64(r.randomN(1000)) < 1000*(took/limit-begin)/(end-begin)
}

// expectedClassSlowdown is the jam of one category, as this router and its peers see it together: one alone of hundreds
// holds a send or none, and a category that waits by itself at all hosts is no jam of the others.
func (r *Router) expectedClassSlowdown(class *Class) float64 {
	const few, luck, lag = 10, 0.5, 3.0 // usual answers to lean on; as in a jam seen alone
	out, hosts := 0.0, float64(r.snapshot().healthy[localZone]+r.snapshot().healthy[remoteZones])
	r.countInFlight()
	for _, other := range r.classes {
		out += float64(other.inFlight) + other.peerStats.decayedTo(r.now).inFlight
	}
	if out*float64(r.routers)/(1+r.activePeers*decayFactor(r.now-r.lastGossipAt)) <= hosts {
		return 0
	}
	own, told, lean := class.ownStats.decayedTo(r.now), class.peerStats.decayedTo(r.now), few*float64(class.usualLatency)
	work, took := own.usualLatency+told.usualLatency+lean, own.latency+told.latency+lean
	out = float64(class.inFlight) + told.inFlight
	out = max(0, out-luck*math.Sqrt(out))
	return min((out*float64(decayTime)+lean)/work, lag*took/work)
}

func (r *Router) send(request *Request, host *Host, role attemptRole) {
	attempt := r.startAttempt(request, host, role)
	within, slowest := request.arrivedAt+request.Timeout-r.now, request.Class.LatencyObjective/2
	if len(request.Class.latencies) >= 40 { // fewer show no tail
		slowest = upperQuantile(request.Class.latencies, 0.05)
	}
	lingersAt := max(slowest*3/2, request.Class.usualLatency*2) // beyond 19 in 20, with some slack
	attempt.shadowTimeout = min(within, Time(float64(max(lingersAt, request.Class.LatencyObjective/3))/r.capacityFactor(host)))
	switch {
	case !request.Class.repeatsSafely():
	case r.limits.AllowHedging && role != shadowAttempt:
		r.effects.SetTimer(lingersAt, &Timer{attempt: attempt})
	case r.limits.AllowHedging || len(request.Attempts) >= r.limits.MaxAttempts:
	case role == shadowFirstAttempt: // it leaves its original the time to answer; a cold host is slow
		within = attempt.shadowTimeout
	case request.arrivedAt+request.Class.LatencyObjective-r.now-request.Class.usualLatency > lingersAt && r.retryBudgetAllows(request.Class):
		within = min(within, lingersAt)
	}
	r.effects.Send(attempt, within)
}

// retryBudgetAllows tells whether the budget has room for a further send, so that a slow fleet is not given more work.
// The few beyond the share are for a fleet of few routers: each of hundreds would add them.
func (r *Router) retryBudgetAllows(class *Class) bool {
	const over, few, oneIn = 5 * Second, 4, 8 // one for every eight tasks taken lately, and a few
	const alone = 4.0                         // routers that each may have them
	const full = 3                            // times longer than usual: for want of hosts, not by bad luck
	owed := few*min(1, alone/float64(r.routers)) + countSince(r.arrivals, r.now-over, nil)/oneIn
	return r.leastExpectedSlowdown(class) < full && countSince(r.retries, r.now-over, nil) < owed
}

// retry sends a task once more where that is allowed, affordable and can still be in time. What follows a lone
// copy, or a send that this router cut short, no budget holds back: it was asked when that one was sent.
func (r *Router) retry(request *Request) bool {
	left := request.arrivedAt + request.Timeout - r.now
	last := request.Attempts[len(request.Attempts)-1]
	first := last.role == shadowFirstAttempt || last.outcome == TimedOut && !r.limits.AllowHedging // this router cut it short
	if len(request.Attempts) >= r.limits.MaxAttempts || left <= request.Class.usualLatency/2 || !first && !r.retryBudgetAllows(request.Class) {
		return false
	}
	host := r.pickBaseline(request)
	if host == nil {
		return false
	}
	if last.role != shadowFirstAttempt {
		r.retries = appendBounded(r.retries, trafficEvent{at: r.now, class: request.Class}, 2048)
	}
	r.send(request, host, retryAttempt)
	return true
}

// continueAfterFailure answers a failed send: with a further one, with waiting for one still out, or with the final answer.
func (r *Router) continueAfterFailure(request *Request) {
	out := func(attempt *Attempt) bool { return attempt.outcome == Pending }
	main := func(attempt *Attempt) bool { return attempt.outcome == Pending && attempt.role != shadowAttempt }
	if !slices.ContainsFunc(request.Attempts, main) && !r.retry(request) && !slices.ContainsFunc(request.Attempts, out) {
		r.giveUp(request)
	}
}

// hedge sends a second copy of a task that takes unusually long.
func (r *Router) hedge(request *Request) {
	if request.firstAmbiguous == nil {
		request.firstAmbiguous = request.Attempts[0] // still out, it may have run
	}
	r.retry(request)
}

func (r *Router) ignoreEvent(*Request) {} // the answer is given; copies still out are only evidence

// giveUp gives the final answer, at once: turned back where trying again is known to be harmless.
func (r *Router) giveUp(request *Request) {
	request.state = finished
	if request.firstAmbiguous != nil && !request.Class.repeatsSafely() {
		r.effects.Fail(request)
		return
	}
	r.effects.Reject(request, min(r.limits.MaxRetryAfter, Second/2)) // a short jam is over by then
}

// AttemptEnded says how a send ended, how long it took, whether its task is over, and what the host reported.
func (r *Router) AttemptEnded(now Time, attempt *Attempt, outcome Outcome, latency Time, done bool, load *LoadReport) {
	request := attempt.Request
	r.now = now
	r.finishAttempt(attempt, outcome, load)
	r.recordOutcome(attempt, latency)
	event := attemptMayHaveExecuted
	switch {
	case done || outcome == Succeeded:
		event = requestEnded
	case outcome == Rejected || outcome == ConnectFailed || outcome == NotSent:
		event = attemptNotExecuted
	case request.firstAmbiguous == nil || attempt.sentAt < request.firstAmbiguous.sentAt:
		request.firstAmbiguous = attempt
	}
	both := r.releaseStatus.Phase == Canary || r.snapshot().newestBaselineHosts < r.snapshot().baselineHosts // builds a key could go between
	if outcome == Succeeded && r.releaseConfig.StickyKeys && request.Key != "" && attempt.build >= r.releaseStatus.Build && both {
		r.stickyBuilds[request.Key] = attempt.build
	}
	r.handleRequestEvent(request, event)
}

// ---- Health ----

// healthTransitions says how a host's health moves; a sick host only gets the trickle of probation.
var healthTransitions = []healthTransition{
	{healthy, hostFailing, ejected, 0},
	{healthy, hostRefused, backingOff, Second / 5}, // full or unreachable: others first for a moment
	{backingOff, hostRefused, backingOff, Second},
	{backingOff, hostFailing, ejected, 0},
	{backingOff, hostRecovered, healthy, 0},
	{ejected, hostRecovered, healthy, 0},
}

// recordOutcome keeps what a send showed, of its host, its category and its build, and reviews the host's health.
func (r *Router) recordOutcome(attempt *Attempt, latency Time) {
	host, class := attempt.Host, attempt.Request.Class
	if attempt.outcome == NotSent || attempt.outcome == Canceled || attempt.hostStartedAt != host.StartedAt || attempt.build != host.Build {
		return
	}
	x := r.newSample(attempt, latency)
	r.learnUsualLatency(class, attempt, x)
	if host.samples = append(host.samples, x); len(host.samples) > 8 { // enough to tell a slow host, few to forget one
		host.samples = host.samples[1:]
	}
	event := hostUnchanged
	switch {
	case attempt.outcome == Rejected || attempt.outcome == ConnectFailed:
		event = hostRefused
	case host.health == ejected: // two good answers in a row, whatever came before
		if n := len(host.samples); x.ok() && n > 1 && host.samples[n-2].ok() {
			event = hostRecovered
		}
	case r.isFailing(host):
		event = hostFailing
	case x.ok():
		event = hostRecovered
	}
	if on, _, _ := r.exposureOf(attempt.build); event != hostRefused && (attempt.IsShadow() || !on) { // who had nowhere else is no copy
		if !attempt.IsShadow() && !r.limits.AllowHedging && class.repeatsSafely() && latency > attempt.shadowTimeout { // a copy would have been cut
			x.outcome = TimedOut
		}
		b := r.window(attempt.build)
		b.samples = appendBounded(b.samples, x, 1500) // a trial's worth, or some ten seconds of a busy router's sends
	}
	r.transitionHealth(host, event)
}

const stuckFactor = 4 // usual times of a host that holds as much, after which a send seems stuck

// reviewHealth looks at all hosts. One that takes tasks and answers none before these run out of time is sick; when
// half the fleet or more does so none is to blame. A sick one is tried again once what spoke against it has
// faded, where peers watch it too: the trickle of one router in hundreds would not find it well for minutes.
// While the list is out of reach, hosts of builds before one long released count as told to drain.
func (r *Router) reviewHealth() {
	const few, trace = 3, 0.3 // sends; of a bad send
	const told = 6 * Second   // as the platform has it: what a list would have told counts by then
	hung := func(host *Host) bool { return host.health == healthy && host.stuckAttempts(r.now, stuckFactor) >= few }
	blame := 2*r.countHosts(hung) < r.countHosts(func(host *Host) bool { return host.health == healthy })
	lost := r.failedPolls > 0 && r.now-r.releasedAt > told // where no later host is known there is none to send to
	for _, host := range r.hosts {
		switch {
		case lost && host.Build < r.releasedBuild && host.State == Serving:
			host.State, host.leftAt, r.fleet.valid = Draining, r.now, false
		case blame && hung(host):
			r.transitionHealth(host, hostFailing)
		case host.health == ejected && r.limits.MaxGossipBytes > 0 &&
			host.healthByHops[0].decayedTo(r.now).failures+host.peerHealth(r.now, firstHandWeight, secondHandWeight).failures < trace:
			r.transitionHealth(host, hostRecovered)
		}
	}
}

// ok tells whether a send ended as one at a host that works.
func (x attemptSample) ok() bool { return x.outcome == Succeeded && x.slowdown < 3 }

// isFailing compares a host's last sends with its peers of the same build: it must fail or drag far more than
// they do, so that neither a bad build nor a slow fleet empties the list.
func (r *Router) isFailing(host *Host) bool {
	const gap, drag, least = 0.35, 3.0, 6 // about three of the last eight; three times as slow as its peers
	share, strain := r.faultScore(host, least)
	if share <= gap && strain <= drag { // whatever its peers do
		return false
	}
	shares, strains := r.peerFaultScores(host, least)
	return len(shares) > 1 && (share > gap+2*upperQuantile(shares, 0.5) || strain > drag*max(1, upperQuantile(strains, 0.5)))
}

// ---- Peers ----

const firstHandWeight, secondHandWeight = 0.5, 0.5 // of an own send, a peer's word weighs: its links are its own

// sendGossip tells a peer drawn by chance, nearby where any is known, what was met lately and what peers told of
// theirs: passed on once, so that no word comes back as new. Where hundreds meet a host once in ten seconds
// each, only so they know it before it has failed them all. Complaints are rare and go to all.
func (r *Router) sendGossip() {
	const oneIn, kin, many = 5, 3, 16 // looks; of those nearby but one in so many; words, the worst first
	const least = 0.3                 // of a send: older is forgotten
	if r.limits.MaxGossipBytes == 0 || r.routers < 2 || r.randomN(oneIn) > 0 {
		return
	}
	for _, blame := range r.unsentComplaintMessages() {
		r.effects.Gossip(Broadcast, blame)
	}
	d := r.summarize(least)
	d.keepWorst(many)
	peer := (r.rank + 1 + r.randomN(r.routers-1)) % r.routers
	if len(r.localPeers) > 0 && r.randomN(kin) > 0 {
		peer = r.localPeers[r.randomN(len(r.localPeers))]
	}
	r.effects.Gossip(peer, d.encode(r.limits.MaxGossipBytes))
}

// GossipReceived takes in a peer's word. It names no host that the own list has not and moves no bound of a rule; what
// can't be read is dropped whole. Of a way only those know who stand at the same end.
func (r *Router) GossipReceived(now Time, peer int, body []byte) {
	const known = 16 // fellows
	r.now = now
	if build, n, ok := decodeComplaints(body); ok {
		r.complaints[build] += n
		return
	}
	d, ok := r.decodeSummary(body)
	if !ok || peer == r.rank {
		return
	}
	if r.mergeClassStats(d); d.nearbyHost == nil || r.localityOf(d.nearbyHost) != localZone {
		return
	}
	if !slices.Contains(r.localPeers, peer) {
		r.localPeers = appendBounded(r.localPeers, peer, known)
	}
	r.mergeLocalReport(d)
	for _, w := range d.hosts {
		if w.host.health == healthy && r.isFailing(w.host) {
			r.transitionHealth(w.host, hostFailing)
		}
	}
}

// checkRemotePath probes a host far away now and then while the way there is poor, so that no task need try whether
// it still is; what comes of it is told like a send.
func (r *Router) checkRemotePath() {
	const oneIn = 20 // looks: with what those nearby tell, enough to keep the way shut and to find it open
	if !r.limits.HealthChecks || !r.crossesCheaply() || r.mergesZones() || r.randomN(oneIn) > 0 {
		return
	}
	if _, there := r.splitByLocality(func(*Host) bool { return true }); len(there) > 0 { // sick ones too
		r.effects.CheckHealth(there[r.randomN(len(there))])
	}
}

// ---- Evidence ----

// boundByHosts bounds the odds by the number of hosts that speak for them: each may at most quadruple them.
func boundByHosts(o float64, hosts int) float64 { return min(o, math.Pow(4, float64(max(1, hosts)))) }

// latencyEvidence weighs whether a build's hosts are slower than the ones before, host by host, as they differ. apart is
// the variance between two good sets, at two times; share is how many must be that slow. Or the desk speaks.
func (r *Router) latencyEvidence(now, before []hostSummary, counts [2][]BuildStats, was int, apart, share float64) float64 {
	const differ, scatter = 0.2, 0.8                         // variance: the one's square, and the other by sends
	const more = 0.6                                         // log of 1.8: a fleet that is half full feels that
	fresh, a := hostLogSlowdowns(now, differ, scatter, 3, 1) // or 1, with so many hosts that none is met three times
	usual, b := hostLogSlowdowns(before, differ, scatter, 3, 1)
	hosts := len(fresh)
	if r.judgesByStats() {
		gap, n, of, on := logLatencyGap(counts[0], counts[1])
		if calm, m := logLatencyGapToPast(r.stats, nil, was, r.releaseStatus.Build, r.offeredAt, r.offeredAt, 0); m > 0 {
			gap = min(gap, calm) // a trial that takes most of the traffic leaves the earlier hosts idle
		}
		fresh, usual, hosts = []float64{gap}, []float64{0}, on
		a, b = differ*differ/max(1, float64(on))+scatter/max(0.01, n), scatter/max(0.01, of)
	}
	if min(len(fresh), len(usual)) == 0 {
		return 1
	}
	gap := upperQuantile(fresh, share) - upperQuantile(usual, 0.5)
	return boundByHosts(likelihoodRatio(gap, more, a+b+apart, 6), hosts)
}

// shadowsPaused tells whether copies rest, as the fleet has slowed during the trial.
func (r *Router) shadowsPaused() bool { return r.surge == surgePaused || r.surge == surgeProven }

// isUnreadyForRelease tells that the fleet has slowed for no known cause, or that the hosts known are too few to carry all
// after a release, or too cold: the more jammed the fleet, the warmer they must be.
func (r *Router) isUnreadyForRelease() bool {
	need := min(0.95, 0.4+0.15*max(1, r.expectedSlowdown(localZone))) // it binds where answers take twice as long as usual
	return r.surge == surgePaused || r.surge == surgeObserved || 2*r.countHosts(r.runsNewestBuild) < r.countHosts(r.isBaseline) ||
		r.totalCapacityFactor(r.runsNewestBuild) < need*r.countHosts(r.runsNewestBuild)
}

// surgeTransitions says whether the build on trial slows old and new alike, which leaves no gap between them: copies
// rest while the earlier build is slower than before. Where routers see the desk's counts they rest together.
var surgeTransitions = []surgeTransition{
	{surgeNone, surgeRose, surgePaused},
	{surgePaused, surgeSubsided, surgeObserved}, // copies rest and it is quick again: so far that may be chance
	{surgePaused, surgeTimedOut, surgeNone},     // it is slow without copies too
	{surgeObserved, surgeRose, surgeProven},     // with copies it was slow twice, and without them quick
	{surgeObserved, surgeTimedOut, surgeNone},
	{surgeProven, surgeTimedOut, surgeNone},
}

// surgeEvidence reads the table and weighs it; a category that waits alone is another trouble, so all must be slow.
func (r *Router) surgeEvidence(before *buildWindow) float64 {
	const high, low = 0.4, 0.25  // log of half slower than before the trial; of little more than then
	const rest = 15 * Second     // by then what waits at hosts has gone and the desk has counted it
	const few, small = 60, 0.15  // sends, as these scatter; of the sends: what gets less can't slow a fleet so
	const proof, alone = 400, 20 // odds: enough among the other tests that find nothing, and with another's only
	slow, n := r.surgeMagnitude(before, r.now-rest/6)
	switch {
	case n < few:
	case slow > high && r.canaryShare(r.now-rest/6) > small:
		r.transitionSurge(surgeRose)
	case slow < low:
		r.transitionSurge(surgeSubsided)
	}
	if r.now-r.surgeSince > rest {
		r.transitionSurge(surgeTimedOut)
	}
	if r.surge == surgeProven { // own sends alone swell by a trouble of the fleet as well
		return map[bool]float64{true: proof, false: alone}[r.judgesByStats()]
	}
	return 1
}

// statsOutweighOwn tells whether the desk counts far more of all sends than a router sees: then its counts, though
// late and not by host, are judged; but after a release only own sends tell errors from a jam.
func (r *Router) statsOutweighOwn() bool { return r.releaseConfig.SampledShare*float64(r.routers) > 2 }
func (r *Router) judgesByStats() bool    { return r.statsOutweighOwn() && r.releaseStatus.Phase == Canary }

// evidence is the evidence that the newest build is bad, in odds; 1 is none. Copies are judged against the
// sends at the build before it: failures over all and by category, the desk's counts, slowness, complaints.
// The mean is what a vote back needs; what may still be wrong, test by test, is what a release needs to know.
func (r *Router) evidence() (mean float64, testOdds []float64) {
	const floor, worst, stray = 0.01, 0.25, 1                  // least usual failures; hosts left out
	const while, kin = 2 * Second, 5.0                         // one time; originals that the rest weigh
	const twice, lasting, begins = 0.4, 8 * Second, 5 * Second // log of it; so long, so soon after a release
	now, before := r.window(r.releaseStatus.Build), r.baselineWindow(r.releaseStatus.Build, 20)
	if before == nil {
		return 1, nil
	}
	// Copies and originals of the same time are compared, or a trouble that begins or ends speaks for a build.
	fresh, peers := now.since(before.start()), before.since(now.start())
	if r.releaseStatus.Phase == Released { // what was kept of the earlier build, against what happens now
		fresh, peers = now.since(r.now-10*Second), before.samples
	}
	// A cold host is slow whatever its build; time-outs of hasty clients or in a release's jam say nothing.
	warm := func(s attemptSample) bool { return s.hostAge > r.limits.WarmUp }
	fair := func(s attemptSample) bool {
		return s.outcome != TimedOut || warm(s) && !s.impatient && r.releaseStatus.Phase == Canary
	}
	counts := r.comparableStats(now.build, before.build)
	sum, shares := 0.0, 0.0
	add := func(share, guilt, doubt float64) {
		sum, shares, testOdds = sum+share*guilt, shares+share, append(testOdds, doubt)
	}
	test := func(share float64, classes []*Class, gaps ...float64) (doubt float64) {
		weigh := func(but float64) float64 {
			var parts []stratum
			most := 0
			for _, class := range classes { // each against its own originals: the mix may change
				is := func(s attemptSample) bool { return s.class == class && fair(s) }
				some, hosts := strataByTime(fresh, peers, is, but, stray, while, kin)
				if r.judgesByStats() { // which does not tell hosts apart: this router's own copies do
					some, hosts = strataByPeriod(counts[0], counts[1], class, kin), hosts+1
					some = withRateFloor(some, r.pretrialFailureRate(before, class, floor, kin)) // a trial leaves earlier hosts idle
				}
				parts, most = append(parts, some...), max(most, hosts)
			}
			return boundByHosts(failureEvidence(withRateFloor(parts, floor), gaps...), most)
		}
		doubt = weigh(0)
		add(share, weigh(worst), doubt)
		return doubt
	}
	small, large, whole, apart := 0.06, 0.15, 0.25, 0.04
	if r.releaseStatus.Phase == Released { // the earlier machines are gone: a small harm is cheaper than going back
		small, large, whole, apart = 0.3, 0.5, 0.5, 0.16 // and a jam after the release is not the build's
	}
	test(1, r.classes, small, large, 0.6)
	for _, class := range r.classes {
		class.failureOdds = test(1/float64(len(r.classes)), []*Class{class}, whole, 0.7)
		if r.releaseConfig.SampledShare > 0 && !r.judgesByStats() && class.Idempotency != Idempotent { // not told by host: far beyond one sick one
			o := r.countedFailureEvidence(class, now.build, before.build, 4, 0.1, 0.25, 0.6)
			add(1/float64(len(r.classes)), o, o)
		}
	}
	done := func(s attemptSample) bool { // errors are quick
		return warm(s) && (s.outcome == Succeeded || s.outcome == TimedOut)
	}
	level := logSlowdownByTime(peers, done, while, kin)
	all, usual := summarizeByHost(fresh, done, level), summarizeByHost(peers, done, level)
	slower := func(share float64) float64 { return r.latencyEvidence(all, usual, counts, before.build, apart, share) }
	add(1, slower(0.75), slower(0.5)) // most hosts to convict, half to doubt
	if r.releaseStatus.Phase == Canary {
		o := r.surgeEvidence(before)
		add(1, o, o)
	}
	logs := now.logLatencyRatiosSince(r.now-3*Second, r.concurrencyCost)
	n := float64(len(logs)) // few of them scatter
	slow := stat.Mean(logs, nil) - 0.5/math.Sqrt(n)
	if r.statsOutweighOwn() { // a router's own figures are against a third more than the middle
		slow, n = logLatencyGapToPast(r.stats, nil, before.build, now.build, r.offeredAt, r.now-3*Second, 0.3)
	}
	if r.releaseStatus.Phase != Released || n < 5 || slow < twice {
		r.lastUnslowedAt = r.now
	} else if r.now-r.lastUnslowedAt > lasting && r.lastUnslowedAt < r.stageStartedAt+begins { // later, it is another trouble
		add(1, math.Inf(1), 1)
	}
	if r.releaseConfig.ComplaintShare > 0 {
		x := stratum{now.complaintCount(), float64(len(now.samples)), before.complaintCount() / float64(len(before.samples)+1)}
		if r.limits.MaxGossipBytes > 0 && r.judgesByStats() { // of all routers, against all sends
			y := r.complaintStratum(before)
			x = r.complaintStratum(now)
			x.expectedRate = y.failures / y.attempts
		}
		o := failureEvidence(withRateFloor([]stratum{x}, 0.003), 0.01, 0.04) // now and then a client errs
		add(1, o, o)
	}
	return sum / shares, testOdds
}

// ---- Votes ----

const reviewInterval = Second / 5 // a fraction of the shortest stage

var voteTransitions = []voteTransition{
	{voteIdle, voteWanted, votePending, true},
	{voteStanding, voteWanted, votePending, true},
	{votePending, voteTimedOut, voteIdle, false},
	{votePending, voteCounted, voteStanding, false},
	{votePending, voteDropped, voteIdle, false},
}

// evidenceShare is what part of the proof each of so many routers owes whose votes must agree, on their own evidence.
func evidenceShare(votes int) float64 { return 1 / math.Sqrt(float64(max(1, votes-1))) }

// verdict turns the weight of the evidence into a vote. A move that exposes little needs no proof, as sends
// at the build stay few; the release does, and as waiting has its price, the demand falls as time goes on.
func (r *Router) verdict() (choice VoteChoice, w float64, testOdds []float64) {
	const alarm, loud, several = 8.0, 30.0, 2.5 // one good build in so many goes back by chance; one host's odds
	const doubt, sure = 4.0, 0.3                // on in a stage unless in doubt; release when fairly sure
	const softer, bear, most = 0.02, 0.5, 8.0   // a second's wait of that, of the worst; while copies go on
	if !r.releaseKnown || r.releaseStatus.Build == 0 || r.releaseStatus.Phase == RollingBack || r.releaseStatus.Phase == RolledBack {
		return Abstain, w, testOdds
	}
	w, testOdds = r.evidence()
	limit, worst := doubt, math.Inf(1)
	final := r.releaseStatus.Stage+1 >= len(r.releaseConfig.ExposureCaps)
	if final {
		waited := float64(max(0, r.now-r.stageStartedAt-r.releaseConfig.MinStageTime)) / float64(Second)
		part := evidenceShare(r.releaseConfig.PromoteQuorum)
		limit, worst = min(1, math.Pow(sure, part)+softer*waited), min(most, 1+bear*waited)/part
	}
	limitBack := alarm
	if r.judgesByStats() || r.releaseStatus.Phase == Released { // the desk tells no host from a build; a release is dear to undo
		limitBack = loud
	}
	switch {
	case w > max(several, math.Pow(limitBack, evidenceShare(r.releaseConfig.RollbackQuorum))):
		return Rollback, w, testOdds
	case r.releaseStatus.Phase == Canary && r.releaseConfig.Mode == Timed && w > doubt:
		return Hold, w, testOdds
	case r.releaseStatus.Phase == Released || r.releaseConfig.Mode == Timed || len(testOdds) == 0 || final && r.isUnreadyForRelease():
	case w < limit && slices.Max(testOdds) <= worst:
		return Promote, w, testOdds
	}
	return Abstain, w, testOdds
}

// mayVote tells whether it is this router's turn to vote. Where one vote decides, a few at a time do, by rank
// and a shared clock: were all to look, the one with the oddest luck would decide, and the desk be flooded.
func (r *Router) mayVote() bool {
	const few, stretch = 3, 4 * Second // a vote that is lost is no harm, nor is a router that is down
	turn := r.rank + r.routers - int(r.now/stretch)*few%r.routers
	return r.releaseConfig.Mode != AnyRouter || r.routers <= few || turn%r.routers < few
}

func (r *Router) updateVote() {
	choice, w, testOdds := r.verdict()
	if r.vote.state == votePending && r.now-r.vote.castAt > r.releaseConfig.VoteTimeout+Second/2 {
		r.transitionVote(voteTimedOut, 0, 0, nil)
	}
	if !r.mayVote() && (r.vote.state != voteStanding || r.vote.choice != Promote || choice == Promote) {
		return // but what stands is taken back at any time: it would move the build on, whoever's turn it is
	}
	const pause = Second // before a vote that did not count is cast again: the desk is not flooded
	if choice != r.vote.choice && (choice != Abstain || r.vote.state == voteStanding) || choice != Abstain &&
		(r.vote.state == voteIdle && r.now-r.vote.castAt > pause || r.now-r.vote.castAt > r.releaseConfig.VoteTTL*7/10) {
		r.transitionVote(voteWanted, choice, w, testOdds)
	}
}
