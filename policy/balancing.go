package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// keptLoadReports is the number of recent load reports whose mean is the usual load of a host.
const keptLoadReports = 64

// loadEstimate is what is known about the requests in flight at hosts and the latency that they add.
type loadEstimate struct {
	reported        []float64       // requests in flight at a host, from the last load reports of all hosts
	counted         float64         // mean requests in flight at a host, from the release controller's last statistics
	concurrencyCost float64         // fraction by which each request in flight at a host increases the latency of the next one
	baselineSamples []attemptSample // last successes at the baseline
}

// balancer holds the plan in force, and buffers that are reused whenever a host is chosen so that a choice allocates
// nothing.
type balancer struct {
	plan           WeightPlan
	localHosts     []*Host
	remoteHosts    []*Host
	connectedHosts []*Host
	weights        []float64
	planWeights    []float64
}

// WeightPlan is a plan of weights that was computed ahead of time. It is a hint: the router's own observations take
// precedence.
type WeightPlan struct {
	Weights        map[*Host]float64 // weight of each host within its locality; all weights have the same unit
	CrossZoneShare float64           // share of the requests that are sent to another zone first
	Until          Time              // the plan is not followed from this time on
}

// PlanOffered replaces the plan. Hosts that the plan doesn't name have weight 0.
func (r *Router) PlanOffered(now Time, plan WeightPlan) {
	r.now = now
	r.balancer.plan = plan
	for _, host := range r.hosts {
		host.planWeight = plan.Weights[host]
	}
}

func (p *WeightPlan) isActive(now Time) bool { return now < p.Until }

// hostLoad estimates the requests in flight at a host. The estimate is the host's last report plus the attempts sent
// since then; as the report ages, the estimate decays to the mean of all hosts. Without reports, it comes from the
// release controller's statistics, or it is this router's own attempts times the number of routers. Request rates that
// hosts report are not used: they would lead all routers to the same host at once.
func (r *Router) hostLoad(host *Host) float64 {
	const reportDecay = Second // about the time in which a queue turns over
	own := float64(len(host.inFlight))
	if len(r.load.reported) == 0 && r.statsOutweighOwn() {
		return r.load.counted + own // the few attempts of one router times the number of routers would vary too much
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

// typicalLoad is the median of the loads that hosts reported. Without reports, it is the mean from the release
// controller's statistics or from this router's own attempts.
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

// hostSlowdown is how many times longer than usual a host's last attempts took, given its load. An attempt in flight
// counts with its age once that is unusual. Assumed attempts of usual latency are added, so that a few slow attempts
// have little effect.
func (r *Router) hostSlowdown(host *Host) float64 {
	const usualAttempts, forgetAfter = 8.0, 10 * Second
	const unusual = 2.0 // multiple of the usual latency
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

// fitConcurrencyCost fits a line through the last successes to learn how much each request in flight at a host adds to
// the latency of the next one. The result is near 1 where hosts process one request at a time and small where they have
// spare cores.
func (r *Router) fitConcurrencyCost() {
	const minSamples = 40     // fewer samples don't determine a line
	const slowdownLimit = 6.0 // a single very long attempt is little evidence
	const minCost, maxCost = 0.02, 1.5
	const minUsual = 0.1 // lowest slowdown that is assumed for an idle host
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

// pickHost draws an eligible host that matches in each locality and chooses between the two. It returns nil if there is
// none.
func (r *Router) pickHost(request *Request, matches func(*Host) bool) *Host {
	local, remote := r.splitByLocality(func(host *Host) bool { return matches(host) && r.isEligible(request, host) })
	if r.mergesZones() {
		local, remote = append(local, remote...), nil
		r.balancer.localHosts = local // keeps the grown buffer
	}
	scarce := r.connectionsAreScarce()
	localBest := r.drawBest(local, scarce)
	remoteBest := r.drawBest(remote, scarce)
	return r.chooseLocality(request, localBest, remoteBest)
}

// chooseLocality chooses between a local host and a host in another zone; either may be nil. It picks the remote host
// if the latency objective is more likely to be met there by more than a threshold, or if the plan sends the request to
// another zone and a miss is not more likely there by more than the threshold. The threshold is half the cost of
// crossing on average, because a miss costs more than its request's value.
func (r *Router) chooseLocality(request *Request, local, remote *Host) *Host {
	const lowestPercent, percents = 25, 50 // lowest value and number of values of the percentage of the cost, drawn at random so that not all routers cross at once
	if local != nil && r.crossesCheaply() {
		return local // if crossing is cheap, hosts are split by zone only while the path is degraded: attempts lost on it cost more than a wait
	}
	cost := r.limits.CrossZonePrice * float64(lowestPercent+r.random.intN(percents)) / 100
	if local != nil && remote != nil && r.planCrosses() &&
		r.missProbability(request, remoteZones)-r.missProbability(request, localZone) <= cost {
		return remote
	}
	if local == nil || remote != nil && r.missProbability(request, localZone)-r.missProbability(request, remoteZones) > cost {
		return remote
	}
	return local
}

// drawBest draws two hosts by weight and picks the less busy one. Most hosts of a large fleet were last observed long
// ago, so some of the hosts that recently responded to this router are drawn too. While connections are scarce, only
// these are drawn.
func (r *Router) drawBest(from []*Host, scarce bool) (best *Host) {
	const recentSpan = Second       // time for which a load report is informative
	const choices, connected = 2, 3 // few draws, so that one host doesn't attract all routers
	recent := r.recentlyConnected(from, r.now-recentSpan)
	if !scarce || len(recent) == 0 {
		best = r.drawLessBusy(from, choices, nil)
	}
	if scarce || len(r.load.reported) > 0 && 2*len(recent) < len(from) {
		best = r.drawLessBusy(recent, connected, best)
	}
	return best
}

// drawLessBusy draws the given number of hosts and returns the least busy one among them and best. best may be nil.
func (r *Router) drawLessBusy(from []*Host, draws int, best *Host) *Host {
	weights := r.drawWeights(from)
	for range min(draws, len(from)) {
		if host := r.drawHost(from, weights, best == nil); best == nil || r.busyness(host) < r.busyness(best) {
			best = host
		}
	}
	return best
}

// busyness is proportional to the expected latency at a host.
func (r *Router) busyness(host *Host) float64 { return r.hostSlowdown(host) * (1 + r.hostLoad(host)) }

// connectionsAreScarce reports whether more than a few of the last attempts found no connection. This happens if hosts
// have failed and the endpoint list has not reported it yet, or if the number of connections is limited.
func (r *Router) connectionsAreScarce() bool {
	const lastEnded, failedShare = 20, 0.2
	return r.traffic.endedShare(lastEnded, func(event trafficEvent) bool { return event.outcome == ConnectFailed }) > failedShare
}

// isEligible reports whether a request may go to a host. It excludes hosts that the request has tried already, hosts
// beyond their warm-up budget and hosts that are backing off. Once the request may have been executed, a request with
// an idempotency key may go only to hosts that would drop a repeat, and a non-idempotent request may go to no host.
func (r *Router) isEligible(request *Request, host *Host) bool {
	const margin = Second / 20 // deducted from the dedup window for the network delay to the host
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

// pickBaseline picks a host for a request's primary attempt or a retry: of the newest baseline build, otherwise of any
// baseline build, otherwise of any build within its exposure limit. A request with a sticky key goes to the build that
// served that key before, or to a later build.
func (r *Router) pickBaseline(request *Request) *Host {
	const newestOnly, anyBaseline, anyExposed = 0, 1, 2
	stickyBuild, fleet, phase := 0, r.snapshot(), r.release.status.Phase
	if request.Key != "" && r.release.config.StickyKeys && (phase == Canary || phase == Released) {
		stickyBuild = r.release.stickyBuilds[request.Key]
	}
	step, newest := newestOnly, fleet.newestBaseline
	if 3*fleet.newestBaselineHosts < fleet.baselineHosts {
		step = anyBaseline // the known hosts of the newest build can't serve all requests, for example while endpoint discovery is down
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

// drawHost draws a host by weight. While a plan is in force, the first of two draws uses the plan's weights. The second
// does not, so that comparing how busy the two hosts are corrects a plan that has become wrong.
func (r *Router) drawHost(from []*Host, weights []float64, first bool) *Host {
	if first && r.balancer.plan.isActive(r.now) && slices.ContainsFunc(from, func(host *Host) bool { return host.planWeight > 0 }) {
		weights = r.hostPlanWeights(from)
	}
	return r.drawWeighted(from, weights)
}

// drawWeights returns the capacities of the hosts, reduced by the slowdown that peers report: most routers send a host
// too few attempts to observe it themselves. The reduction doesn't count when two drawn hosts are compared, because all
// routers would then choose the same one at once. The slice is valid until the next call.
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

// hostPlanWeights returns the weights of the hosts in the plan. The slice is valid until the next call.
func (r *Router) hostPlanWeights(from []*Host) []float64 {
	r.balancer.planWeights = r.balancer.planWeights[:0]
	for _, host := range from {
		r.balancer.planWeights = append(r.balancer.planWeights, host.planWeight)
	}
	return r.balancer.planWeights
}

// drawResolution is the number of steps in which weighted draws are made. The steps are finer than any share that matters.
const drawResolution = 1 << 20

// drawWeighted draws a host with a probability proportional to its weight.
func (r *Router) drawWeighted(from []*Host, weights []float64) *Host {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	at := float64(r.random.intN(drawResolution)) / drawResolution * sum
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return from[i]
		}
	}
	return from[len(from)-1]
}

// planCrosses decides at random whether the plan in force sends a request to another zone. It returns false if no plan
// is in force.
func (r *Router) planCrosses() bool {
	plan := &r.balancer.plan
	return plan.isActive(r.now) && plan.CrossZoneShare > 0 && float64(r.random.intN(drawResolution)) < plan.CrossZoneShare*drawResolution
}

// recentlyConnected returns the hosts at which an attempt over a connection ended after the given time. The slice is
// valid until the next call.
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
