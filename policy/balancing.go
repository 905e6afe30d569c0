package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// keptLoadReports is how many of the last load reports give the usual load of a host.
const keptLoadReports = 64

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

// WeightPlan is a plan of weights that was worked out ahead. It is a hint: what the router observes goes before it.
type WeightPlan struct {
	Weights        map[*Host]float64 // within a locality, in one unit
	CrossZoneShare float64           // share of the requests that start in another zone
	Until          Time              // it is not followed from then on
}

// PlanOffered replaces the plan. Hosts that it doesn't name have no weight.
func (r *Router) PlanOffered(now Time, plan WeightPlan) {
	r.now = now
	r.balancer.plan = plan
	for _, host := range r.hosts {
		host.planWeight = plan.Weights[host]
	}
}

func (p *WeightPlan) isActive(now Time) bool { return now < p.Until }

// hostLoad estimates a host's requests in flight: what it reported, with the attempts sent since, which decays to what hosts
// have on average; else this router's own attempts for each router. Request rates that hosts report are not used: they
// would lead all routers to one host at once.
func (r *Router) hostLoad(host *Host) float64 {
	const reportDecay = Second // about what it takes a queue to turn over
	own := float64(len(host.inFlight))
	if len(r.load.reported) == 0 && r.statsOutweighOwn() {
		return r.load.counted + own // a few own attempts times the number of routers would scatter too much
	}
	if len(r.load.reported) == 0 {
		return own * float64(r.routers)
	}
	usual := recentMean(r.load.reported) + own
	if l := host.load; l != nil && l.ActiveRequests >= 0 {
		weight := math.Exp(-float64(r.now-host.loadAt) / float64(reportDecay))
		return max(own, usual+(l.ActiveRequests+countSince(host.attempts, host.loadAt-1, nil)-usual)*weight)
	}
	return usual
}

// typicalLoad is the median of the loads that hosts reported, else the mean that the release controller's statistics or own
// attempts give.
func (r *Router) typicalLoad() float64 {
	switch fleet := r.snapshot(); {
	case len(r.load.reported) > 0:
		return upperQuantile(r.load.reported, 0.5)
	case r.statsOutweighOwn():
		return r.load.counted
	default:
		inFlight := (fleet.inFlight[localZone] + fleet.inFlight[remoteZones]) * r.routers
		return float64(inFlight) / float64(max(1, fleet.healthy[localZone]+fleet.healthy[remoteZones]))
	}
}

// hostSlowdown is how many times longer than usual a host's last attempts took, given its load; attempts in flight count
// with their age once it is unusual. As few attempts prove little, some usual ones are added.
func (r *Router) hostSlowdown(host *Host) float64 {
	const usualAttempts, forgetAfter = 8.0, 10 * Second
	const unusual = 2.0 // times the usual latency
	slowdown, n := usualAttempts, usualAttempts
	for _, sample := range host.samples {
		if r.now-sample.at < forgetAfter {
			slowdown, n = slowdown+sample.unqueuedSlowdown, n+1
		}
	}
	for _, attempt := range host.inFlight {
		usual := float64(attempt.Request.Class.usualLatency) * (1 + r.load.concurrencyCost*attempt.hostLoad)
		if x := float64(r.now-attempt.sentAt) / usual; x > unusual {
			slowdown, n = slowdown+x, n+1
		}
	}
	return slowdown / n
}

// fitConcurrencyCost fits, by a line through the last successes, how much each request in flight at a host adds to the
// latency of the next: near 1 where hosts work on one request at a time, little where they have cores to spare.
func (r *Router) fitConcurrencyCost() {
	const minSamples = 40     // fewer make no line
	const slowdownLimit = 6.0 // one very long attempt says little
	const minCost, maxCost = 0.02, 1.5
	const minUsual = 0.1 // slowdown of an idle host
	if len(r.load.baselineSamples) < minSamples {
		return
	}
	var loads, slowdowns []float64
	for _, sample := range r.load.baselineSamples {
		loads, slowdowns = append(loads, sample.hostLoad), append(slowdowns, min(sample.slowdown, slowdownLimit))
	}
	if _, spread := stat.MeanStdDev(loads, nil); spread > 0 {
		idle, more := stat.LinearRegression(loads, slowdowns, nil, false)
		r.load.concurrencyCost = min(maxCost, max(minCost, more/max(minUsual, idle)))
	}
}

// pickHost draws a host of a kind in each locality and chooses between the two; nil where there is none.
func (r *Router) pickHost(request *Request, fits func(*Host) bool) *Host {
	local, remote := r.splitByLocality(func(host *Host) bool { return fits(host) && r.isEligible(request, host) })
	if r.mergesZones() {
		local, remote = append(local, remote...), nil
		r.balancer.localHosts = local // so that the grown buffer is kept
	}
	scarce := r.connectionsAreScarce()
	localBest := r.drawBest(local, scarce)
	remoteBest := r.drawBest(remote, scarce)
	return r.chooseLocality(request, localBest, remoteBest)
}

// chooseLocality takes the host in another zone only if the latency objective is so much likelier to be met there that it
// is worth half the price of crossing (a miss costs more than its request's value), or if the plan crosses and that is not
// much worse. Either host may be nil.
func (r *Router) chooseLocality(request *Request, local, remote *Host) *Host {
	const lowestPercent, percents = 25, 50 // the price is drawn from a band, lest all routers cross at once
	if local != nil && r.crossesCheaply() {
		return local // the path is degraded: what may be lost there costs more than a wait
	}
	price := r.limits.CrossZonePrice * float64(lowestPercent+r.random.intN(percents)) / 100
	if local != nil && remote != nil && r.planCrosses() &&
		r.missProbability(request, remoteZones)-r.missProbability(request, localZone) <= price {
		return remote
	}
	if local == nil || remote != nil && r.missProbability(request, localZone)-r.missProbability(request, remoteZones) > price {
		return remote
	}
	return local
}

// drawBest draws two hosts by weight and takes the less busy one. Most hosts of a large fleet were last observed long ago,
// so some of those that answered this router lately are drawn too. While connections are scarce only these are.
func (r *Router) drawBest(from []*Host, scarce bool) (best *Host) {
	const lately = Second           // for as long as a load report says much
	const choices, connected = 2, 3 // few, lest one host draws all routers
	recent := r.recentlyConnected(from, r.now-lately)
	if !scarce || len(recent) == 0 {
		best = r.drawLessBusy(from, choices, nil)
	}
	if scarce || len(r.load.reported) > 0 && 2*len(recent) < len(from) {
		best = r.drawLessBusy(recent, connected, best)
	}
	return best
}

// drawLessBusy draws so many hosts and takes the least busy of them and the best so far, which may be nil.
func (r *Router) drawLessBusy(from []*Host, draws int, best *Host) *Host {
	weights := r.drawWeights(from)
	for range min(draws, len(from)) {
		if host := r.drawHost(from, weights, best == nil); best == nil || r.busyness(host) < r.busyness(best) {
			best = host
		}
	}
	return best
}

// busyness is proportional to the latency to be expected at a host.
func (r *Router) busyness(host *Host) float64 { return r.hostSlowdown(host) * (1 + r.hostLoad(host)) }

// connectionsAreScarce reports whether more than a few hosts take no connections, as after failures that the endpoint list has
// not reported, or where connections are limited.
func (r *Router) connectionsAreScarce() bool {
	const lastEnded, failedShare = 20, 0.2
	return r.traffic.endedShare(lastEnded, func(event trafficEvent) bool { return event.outcome == ConnectFailed }) > failedShare
}

// isEligible keeps requests off hosts that they have tried, that warm up beyond their budget or that back off, and those
// with an idempotency key among the hosts that would drop a repeat.
func (r *Router) isEligible(request *Request, host *Host) bool {
	const margin = Second / 20 // of the deduplication window, for the way to the host
	if slices.ContainsFunc(request.Attempts, func(attempt *Attempt) bool { return attempt.Host == host }) ||
		!r.withinWarmUpBudget(host) || host.health == backingOff && r.now < host.backoffUntil {
		return false
	}
	ambiguous, class := request.firstAmbiguous, request.Class
	switch {
	case ambiguous == nil || class.Idempotency == Idempotent:
		return true
	case class.Idempotency == NonIdempotent || r.now-ambiguous.sentAt > class.DedupWindow-margin:
		return false
	}
	sameZone := host.Zone == ambiguous.Host.Zone && (class.DedupScope == ZoneScope || host.Cell == ambiguous.Host.Cell)
	return sameZone || class.DedupScope == FleetScope
}

// pickBaseline picks a host for a request's primary attempt: of the newest baseline build, else of any baseline build, else
// whatever exposure allows. A sticky key stays with the build that answered it, or a later one.
func (r *Router) pickBaseline(request *Request) *Host {
	const newestOnly, anyBaseline, anyExposed = 0, 1, 2
	stickyBuild, fleet, phase := 0, r.snapshot(), r.release.status.Phase
	if request.Key != "" && r.release.config.StickyKeys && (phase == Canary || phase == Released) {
		stickyBuild = r.release.stickyBuilds[request.Key]
	}
	step, newest := newestOnly, fleet.newestBaseline
	if 3*fleet.newestBaselineHosts < fleet.baselineHosts {
		step = anyBaseline // too few known to carry all, as while endpoint discovery is down
	}
	for ; step <= anyExposed; step++ {
		if host := r.pickHost(request, func(host *Host) bool {
			return host.Build >= stickyBuild && (step == anyExposed && r.withinExposure(host.Build, request.Class) ||
				step < anyExposed && r.isBaseline(host) && host.health != ejected && (step == anyBaseline || host.Build == newest))
		}); host != nil {
			return host
		}
	}
	return nil
}

// drawHost draws a host by its weight; the first of a draw by the plan, while one is active. The second is not, so that a
// plan that has become wrong is corrected by how busy the two are.
func (r *Router) drawHost(from []*Host, weights []float64, first bool) *Host {
	if first && r.balancer.plan.isActive(r.now) && slices.ContainsFunc(from, func(host *Host) bool { return host.planWeight > 0 }) {
		weights = r.hostPlanWeights(from)
	}
	return r.drawWeighted(from, weights)
}

// drawWeights are the hosts' capacities, less the slowdown that peers report: most routers meet a host too seldom to
// learn it. Between two hosts drawn that doesn't count, or all routers would take the same one at once. The slice holds until
// the next call.
func (r *Router) drawWeights(from []*Host) []float64 {
	const usualAttempts = 4
	r.balancer.weights = r.balancer.weights[:0]
	for _, host := range from {
		peers := host.peerHealth(r.now)
		r.balancer.weights = append(r.balancer.weights,
			r.capacity(host)/max(1, (usualAttempts+peers.slowdown)/(usualAttempts+peers.attempts)))
	}
	return r.balancer.weights
}

// hostPlanWeights are the hosts' weights by the plan. The slice holds until the next call.
func (r *Router) hostPlanWeights(from []*Host) []float64 {
	r.balancer.planWeights = r.balancer.planWeights[:0]
	for _, host := range from {
		r.balancer.planWeights = append(r.balancer.planWeights, host.planWeight)
	}
	return r.balancer.planWeights
}

// drawGrain is the number of steps that weighted draws are made in, finer than any share that matters.
const drawGrain = 1 << 20

// drawWeighted draws a host, each as often as its weight says.
func (r *Router) drawWeighted(from []*Host, weights []float64) *Host {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	at := float64(r.random.intN(drawGrain)) / drawGrain * sum
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return from[i]
		}
	}
	return from[len(from)-1]
}

// planCrosses draws whether a request starts in another zone, while a plan is active.
func (r *Router) planCrosses() bool {
	plan := &r.balancer.plan
	return plan.isActive(r.now) && plan.CrossZoneShare > 0 && float64(r.random.intN(drawGrain)) < plan.CrossZoneShare*drawGrain
}

// recentlyConnected are the hosts to which a connection was up after a moment. The slice holds until the next call.
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
