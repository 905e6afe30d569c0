package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// loadEstimate is what is known of how much hosts have in flight and what that costs.
type loadEstimate struct {
	reported        []float64       // requests in flight, as hosts last reported
	counted         float64         // requests in flight at a host, by the release controller's last statistics
	concurrencyCost float64         // what each request in flight at a host adds to the latency of the next, as a share
	baselineSamples []attemptSample // last successes at the baseline
}

// balancer holds the plan that is followed and buffers that choices among hosts reuse, so that they allocate nothing.
type balancer struct {
	plan           WeightPlan
	localHosts     []*Host
	remoteHosts    []*Host
	connectedHosts []*Host
	weights        []float64
	planWeights    []float64
}

// WeightPlan is a plan of shares worked out ahead: a hint, which the router's own view goes before.
type WeightPlan struct {
	Weights map[*Host]float64
	Cross   float64 // share of the tasks that start far away
	Until   Time    // it is not followed from then on
}

// PlanOffered tells shares worked out ahead; hosts that they don't name have none.
func (r *Router) PlanOffered(now Time, c WeightPlan) {
	r.now = now
	r.balancer.plan = c
	for _, host := range r.hosts {
		host.planWeight = c.Weights[host]
	}
}

// hostLoad is how many tasks a host seems to have in hand: what it reported, with what was sent since, which
// fades into what hosts hold on average; else this router's own open sends as a share of everyone's. A
// reported rate is no help: it calls all routers at once.
func (r *Router) hostLoad(host *Host) float64 {
	const fades = Second // about what it takes a queue to become another
	own := float64(len(host.inFlight))
	if len(r.load.reported) == 0 && r.statsOutweighOwn() {
		return r.load.counted + own // a router's own few, times their number, would be a host's load now and nothing then
	}
	if len(r.load.reported) == 0 {
		return own * float64(r.routers)
	}
	usual := recentMean(r.load.reported) + own
	if l := host.load; l != nil && l.ActiveRequests >= 0 {
		fresh := math.Exp(-float64(r.now-host.loadAt) / float64(fades))
		return max(own, usual+(l.ActiveRequests+countSince(host.attempts, host.loadAt-1, nil)-usual)*fresh)
	}
	return usual
}

// typicalLoad is what most hosts hold at the most, as they reported or the desk counted, or as own sends say.
func (r *Router) typicalLoad() float64 {
	switch m := r.snapshot(); {
	case len(r.load.reported) > 0:
		return upperQuantile(r.load.reported, 0.5)
	case r.statsOutweighOwn():
		return r.load.counted
	default:
		return float64((m.inFlight[localZone]+m.inFlight[remoteZones])*r.routers) / float64(max(1, m.healthy[localZone]+m.healthy[remoteZones]))
	}
}

// hostSlowdown is how slow a host's last sends were against what is usual, given what it held; sends still out count
// with their age. Few sends prove little: so many usual ones are assumed as doubt says, old ones forgotten.
func (r *Router) hostSlowdown(host *Host, doubt float64, old Time) float64 {
	pace, n := doubt, doubt
	for _, p := range host.samples {
		if r.now-p.at < old {
			pace, n = pace+p.unqueuedSlowdown, n+1
		}
	}
	for _, attempt := range host.inFlight {
		usual := float64(attempt.Request.Class.usualLatency) * (1 + r.load.concurrencyCost*attempt.hostLoad)
		if x := float64(r.now-attempt.sentAt) / usual; x > 2 {
			pace, n = pace+x, n+1
		}
	}
	return pace / n
}

// fitConcurrencyCost fits, by a line through the last finished sends, how much each task that a host holds adds to the
// time of the next: near 1 where hosts work on one task at a time, and little where they have cores to spare.
func (r *Router) fitConcurrencyCost(least int, longest, low, high float64) {
	if len(r.load.baselineSamples) < least {
		return
	}
	held, strains := loadsAndSlowdowns(r.load.baselineSamples, longest)
	if _, spread := stat.MeanStdDev(held, nil); spread > 0 {
		base, more := stat.LinearRegression(held, strains, nil, false)
		r.load.concurrencyCost = min(high, max(low, more/max(0.1, base)))
	}
}

// loadsAndSlowdowns lists what hosts held, and the strain of their answers up to a limit.
func loadsAndSlowdowns(samples []attemptSample, limit float64) (held, strains []float64) {
	for _, s := range samples {
		held, strains = append(held, s.hostLoad), append(strains, min(s.slowdown, limit))
	}
	return held, strains
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
		r.balancer.localHosts = here // so that what it grew to is kept
	}
	busy := func(host *Host) float64 { return r.hostSlowdown(host, doubt, old) * (1 + r.hostLoad(host)) }
	scarce := r.traffic.endedShare(last, func(x trafficEvent) bool { return x.outcome == ConnectFailed }) > barred
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
		if scarce || len(r.load.reported) > 0 && 2*len(known) < len(from) {
			try(more, known)
		}
		return best
	}
	a, b := draw(here), draw(there)
	if a != nil && r.crossesCheaply() {
		return a // the way is poor: what may be lost there costs more than a wait
	}
	price := r.limits.CrossZonePrice * float64(25+r.random.intN(50)) / 100 // in a band, lest all cross at once
	if a != nil && b != nil && r.planCrosses() && r.missProbability(request, remoteZones)-r.missProbability(request, localZone) <= price {
		return b // as planned, as it is not much worse
	}
	if a == nil || b != nil && r.missProbability(request, localZone)-r.missProbability(request, remoteZones) > price {
		return b
	}
	return a
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
	if request.Key != "" && r.release.config.StickyKeys && (r.release.status.Phase == Canary || r.release.status.Phase == Released) {
		sticks = r.release.stickyBuilds[request.Key]
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

// drawHost draws a host by the shares that are due, or the first of a draw by the parts of a plan that holds. The
// other stays drawn so, that a plan that has become wrong is corrected by how busy the two are.
func (r *Router) drawHost(from []*Host, due []float64, first bool) *Host {
	if first && r.now < r.balancer.plan.Until && slices.ContainsFunc(from, func(host *Host) bool { return host.planWeight > 0 }) {
		due = r.hostPlanWeights(from)
	}
	return r.drawWeighted(from, due)
}

// drawWeights are what hosts are due, until it is asked for again: by what they can do, as the list hints at it
// and as they warm. Most routers meet a host too seldom to learn its speed: what peers tell of it counts
// here, where it moves shares, and not between two drawn, or all routers would take the same one at once.
func (r *Router) drawWeights(from []*Host) []float64 {
	const doubt = 4 // usual sends
	r.balancer.weights = r.balancer.weights[:0]
	for _, host := range from {
		w := host.peerHealth(r.now, firstHandWeight, secondHandWeight)
		r.balancer.weights = append(r.balancer.weights, r.capacity(host)/max(1, (doubt+w.slowdown)/(doubt+w.attempts)))
	}
	return r.balancer.weights
}

// hostPlanWeights are those of the plan, until it is asked for again.
func (r *Router) hostPlanWeights(from []*Host) []float64 {
	r.balancer.planWeights = r.balancer.planWeights[:0]
	for _, host := range from {
		r.balancer.planWeights = append(r.balancer.planWeights, host.planWeight)
	}
	return r.balancer.planWeights
}

// drawWeighted draws a host, each as often as its weight says.
func (r *Router) drawWeighted(from []*Host, weights []float64) *Host {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	const grain = 1 << 20 // finer than any share that matters
	at := float64(r.random.intN(grain)) / grain * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return from[i]
		}
	}
	return from[len(from)-1]
}

// planCrosses draws whether a task starts far away, as a plan that holds has it.
func (r *Router) planCrosses() bool {
	return r.now < r.balancer.plan.Until && r.balancer.plan.Cross > 0 && float64(r.random.intN(1<<20)) < r.balancer.plan.Cross*(1<<20)
}

// recentlyConnected are the hosts that have answered since, so that a link to them is up; until it is asked for again.
func (r *Router) recentlyConnected(all []*Host, from Time) []*Host {
	some := r.balancer.connectedHosts[:0]
	for _, host := range all {
		if host.connectedAt > from {
			some = append(some, host)
		}
	}
	r.balancer.connectedHosts = some
	return some
}
