package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// What is kept at the least.
const (
	keptBuilds     = 4
	keptComplaints = 240 // of a build
)

// analysisState is what canary and baseline are compared by.
type analysisState struct {
	windows []*buildWindow // own attempts
	stats   []BuildStats   // the release controller's counts of all routers
}

// buildWindow keeps the last samples of one build, in the order of their times.
type buildWindow struct {
	build      int
	samples    []attemptSample
	complaints []attemptSample // on wrong responses
}

// start is when the samples kept of a build begin.
func (w *buildWindow) start() Time {
	if len(w.samples) == 0 {
		return 0
	}
	return w.samples[0].at
}

// since gives the samples from a moment on.
func (w *buildWindow) since(from Time) []attemptSample {
	i, _ := slices.BinarySearchFunc(w.samples, from, func(x attemptSample, at Time) int { return int(x.at - at) })
	return w.samples[i:]
}

// complaintCount counts the complaints as late as the samples kept.
func (w *buildWindow) complaintCount() (n float64) {
	for _, complaint := range w.complaints {
		if len(w.samples) > 0 && complaint.at >= w.samples[0].at {
			n++
		}
	}
	return n
}

// logLatencyRatiosSince gives the logs of the latencies after a moment over the usual ones before the canary.
func (w *buildWindow) logLatencyRatiosSince(from Time, concurrencyCost float64) (logs []float64) {
	for _, sample := range w.since(from + 1) {
		if sample.class.baselineLatency > 0 {
			logs = append(logs, sample.logLatencyRatio(concurrencyCost))
		}
	}
	return logs
}

// window gives a build's window, an empty one for a build that has none.
func (a *analysisState) window(build int) *buildWindow {
	for _, window := range a.windows {
		if window.build == build {
			return window
		}
	}
	a.windows = appendBounded(a.windows, &buildWindow{build: build}, keptBuilds)
	return a.windows[len(a.windows)-1]
}

// baselineWindow is the window of the latest build before a build with more than so many attempts, nil for none; where the
// release controller's statistics outweigh own attempts, by these, as one of hundreds of routers has few of its own.
func (r *Router) baselineWindow(build, attempts int) (latest *buildWindow) {
	if r.statsOutweighOwn() {
		for _, x := range r.analysis.stats {
			if x.Build < build && (latest == nil || x.Build > latest.build) &&
				r.analysis.countedAttempts(x.Build) > float64(attempts) {
				latest = r.analysis.window(x.Build)
			}
		}
	}
	if latest != nil {
		return latest
	}
	for _, window := range r.analysis.windows {
		if window.build < build && len(window.samples) > attempts && (latest == nil || window.build > latest.build) {
			latest = window
		}
	}
	return latest
}

// ComplaintReceived says that a client found a response of a host wrong, to an attempt sent so long ago.
func (r *Router) ComplaintReceived(now Time, host *Host, class *Class, age Time) {
	r.now = now
	if window := r.analysis.window(host.Build); host.StartedAt <= now-age {
		r.gossip.complaints[window.build]++
		r.gossip.unsentComplaints[window.build]++
		window.complaints = appendBounded(window.complaints, attemptSample{at: now, host: host, class: class}, keptComplaints)
	}
}

// evidenceSum is the weighed mean of the tests' odds that the canary is bad; 1 is no evidence.
type evidenceSum struct {
	sum, weights float64
	testOdds     []float64 // of each test, to clear the canary
}

// add takes in one test. Its odds to convict and to clear the canary differ where one leaves out what the other doesn't.
func (e *evidenceSum) add(weight, toConvict, toClear float64) {
	e.sum, e.weights, e.testOdds = e.sum+weight*toConvict, e.weights+weight, append(e.testOdds, toClear)
}

// comparison is what the tests go by: samples of canary and baseline of the same time, so that a fault that begins or ends
// is evidence for neither, and the release controller's reports on them.
type comparison struct {
	canary, baseline               *buildWindow
	canarySamples, baselineSamples []attemptSample
	stats                          buildPair
	gaps                           gapSizes
}

// gapSizes are the gaps that count as harm.
type gapSizes struct {
	smallFailureGap, largeFailureGap float64 // of failure rates over all classes
	classFailureGap                  float64 // of one class
	latencyVariance                  float64 // of log slowdowns between two good sets of hosts, at two times
}

// After a release the baseline's hosts are gone: a small harm is cheaper than rolling back, and an overload that the release
// brings is not the build's.
var (
	canaryGaps   = gapSizes{0.06, 0.15, 0.25, 0.04}
	releasedGaps = gapSizes{0.3, 0.5, 0.5, 0.16}
)

// Failure gaps that count as harm in any phase.
const allFailureGap, allClassFailureGap = 0.6, 0.7

// compareBuilds prepares the tests of the newest build; ok is false while too little is known of an earlier one.
func (r *Router) compareBuilds() (c comparison, ok bool) {
	const minBaselineAttempts = 20
	const releasedWindow = 10 * Second
	c.canary = r.analysis.window(r.release.status.Build)
	if c.baseline = r.baselineWindow(r.release.status.Build, minBaselineAttempts); c.baseline == nil {
		return c, false
	}
	c.gaps = canaryGaps
	c.canarySamples, c.baselineSamples = c.canary.since(c.baseline.start()), c.baseline.since(c.canary.start())
	if r.release.status.Phase == Released { // what was kept of the baseline, against what happens now
		c.gaps = releasedGaps
		c.canarySamples, c.baselineSamples = c.canary.since(r.now-releasedWindow), c.baseline.samples
	}
	c.stats = r.comparableStats(c.canary.build, c.baseline.build)
	return c, true
}

// evidence gives the odds that the newest build is bad: shadow attempts are judged against attempts at the build before it,
// by failures over all and by class, latency, a surge of the fleet's latency and complaints. The mean is what a vote to roll
// back needs; the tests' odds are what a release must not leave open.
func (r *Router) evidence() (mean float64, testOdds []float64) {
	c, ok := r.compareBuilds()
	if !ok {
		return 1, nil
	}
	var sum evidenceSum
	r.testFailures(c, &sum)
	r.testLatency(c, &sum)
	if r.release.status.Phase == Canary {
		odds := r.surgeEvidence(c.baseline)
		sum.add(1, odds, odds)
	}
	r.testSlowRelease(c, &sum)
	r.testComplaints(c, &sum)
	return sum.sum / sum.weights, sum.testOdds
}

// isWarmSample reports whether a sample is of a warm host: one that warms up is slow whatever its build.
func (r *Router) isWarmSample(sample attemptSample) bool { return sample.hostAge > r.limits.WarmUp }

// testFailures tests failure rates over all classes and of each, and sets the classes' failure odds.
func (r *Router) testFailures(c comparison, sum *evidenceSum) {
	r.testClassFailures(c, sum, 1, r.classes, c.gaps.smallFailureGap, c.gaps.largeFailureGap, allFailureGap)
	for i, class := range r.classes {
		weight := 1 / float64(len(r.classes))
		class.failureOdds = r.testClassFailures(c, sum, weight, r.classes[i:i+1], c.gaps.classFailureGap, allClassFailureGap)
		if r.release.config.SampledShare > 0 && !r.judgesByStats() && class.Idempotency != Idempotent {
			odds := r.countedFailureEvidence(class, c.canary.build, c.baseline.build)
			sum.add(weight, odds, odds)
		}
	}
}

// testClassFailures tests the failure rates of some classes together and returns the odds to clear the canary. To convict it
// the worst hosts are left out.
func (r *Router) testClassFailures(c comparison, sum *evidenceSum, weight float64, classes []*Class, gaps ...float64) float64 {
	const worstHosts = 0.25 // share
	odds := func(excluded float64) float64 {
		strata, hosts := r.failureStrata(c, classes, excluded)
		return boundByHosts(failureEvidence(strata, gaps...), hosts)
	}
	toClear := odds(0)
	sum.add(weight, odds(worstHosts), toClear)
	return toClear
}

// failureStrata gives the canary's attempts of some classes, each class compared with itself, as the mix may change, and the
// most hosts that failed in one of them. Timeouts of cold hosts, of impatient clients and after a release don't count.
func (r *Router) failureStrata(c comparison, classes []*Class, excluded float64) (strata []stratum, hosts int) {
	const minRate = 0.01 // that is to be expected of any build
	for _, class := range classes {
		counts := func(sample attemptSample) bool {
			return sample.class == class && (sample.outcome != TimedOut ||
				r.isWarmSample(sample) && !sample.impatient && r.release.status.Phase == Canary)
		}
		classStrata, failing := strataByTime(c.canarySamples, c.baselineSamples, counts, excluded)
		if r.judgesByStats() { // these don't distinguish hosts: own shadow attempts do
			classStrata, failing = c.stats.strataByPeriod(class), failing+1
			// A canary that takes most of the traffic leaves the baseline's hosts idle.
			classStrata = withRateFloor(classStrata, r.failureRateBeforeCanary(c.baseline, class, minRate))
		}
		strata, hosts = append(strata, classStrata...), max(hosts, failing)
	}
	return withRateFloor(strata, minRate), hosts
}

// testLatency tests whether canary hosts are slower: most of them to convict the build, half of them to doubt it.
func (r *Router) testLatency(c comparison, sum *evidenceSum) {
	const most, half = 0.75, 0.5
	counts := func(sample attemptSample) bool { // errors are quick
		return r.isWarmSample(sample) && (sample.outcome == Succeeded || sample.outcome == TimedOut)
	}
	level := logSlowdownByTime(c.baselineSamples, counts)
	canary, baseline := summarizeByHost(c.canarySamples, counts, level), summarizeByHost(c.baselineSamples, counts, level)
	sum.add(1, r.latencyEvidence(c, canary, baseline, most), r.latencyEvidence(c, canary, baseline, half))
}

// latencyEvidence gives the odds that canary hosts are slower than baseline hosts, by the variance among hosts, or by the
// release controller's statistics. share is how many of the hosts must be slower.
func (r *Router) latencyEvidence(c comparison, canary, baseline []hostSummary, share float64) float64 {
	const hostDeviation, attemptVariance = 0.2, 0.8 // of log slowdowns
	const slower = 0.6                              // log of 1.8: a fleet that is half busy feels that
	const logLimit = 6
	const enough, few = 3, 1 // attempts at a host; few where hosts are so many that none gets enough
	slowdowns, variance := hostLogSlowdowns(canary, hostDeviation, attemptVariance, enough, few)
	usual, usualVariance := hostLogSlowdowns(baseline, hostDeviation, attemptVariance, enough, few)
	hosts := len(slowdowns)
	if r.judgesByStats() {
		gap, offeredAt := c.stats.latencyGap(), r.release.offeredAt
		toPast, n := r.analysis.logLatencyGapToPast(nil, c.baseline.build, r.release.status.Build, offeredAt, offeredAt)
		if n > 0 {
			gap.log = min(gap.log, toPast) // a canary that takes most of the traffic leaves the baseline's hosts idle
		}
		slowdowns, usual, hosts = []float64{gap.log}, []float64{0}, gap.canaryHosts
		variance = hostDeviation*hostDeviation/max(1, float64(gap.canaryHosts)) + attemptVariance/max(0.01, gap.canary)
		usualVariance = attemptVariance / max(0.01, gap.baseline)
	}
	if min(len(slowdowns), len(usual)) == 0 {
		return 1
	}
	gap := upperQuantile(slowdowns, share) - upperQuantile(usual, 0.5)
	return boundByHosts(likelihoodRatio(gap, slower, variance+usualVariance+c.gaps.latencyVariance, logLimit), hosts)
}

// testSlowRelease convicts a released build whose responses take far longer than before, for a while that began soon after
// the release; later slowness has another cause.
func (r *Router) testSlowRelease(c comparison, sum *evidenceSum) {
	const window = 3 * Second
	const farSlower = 0.4     // log
	const statsMargin = 0.3   // log that statistics must be beyond
	const ownDeviations = 0.5 // that own samples must be beyond, by the root of their number
	const minSamples = 5
	const lasts, beginsWithin = 8 * Second, 5 * Second
	logs := c.canary.logLatencyRatiosSince(r.now-window, r.load.concurrencyCost)
	n := float64(len(logs))
	slower := stat.Mean(logs, nil) - ownDeviations/math.Sqrt(n)
	if r.statsOutweighOwn() {
		slower, n = r.analysis.logLatencyGapToPast(nil, c.baseline.build, c.canary.build, r.release.offeredAt, r.now-window)
		slower -= statsMargin
	}
	if r.release.status.Phase != Released || n < minSamples || slower < farSlower {
		r.surge.lastNormalAt = r.now
	} else if r.now-r.surge.lastNormalAt > lasts && r.surge.lastNormalAt < r.release.stageStartedAt+beginsWithin {
		sum.add(1, math.Inf(1), 1)
	}
}

// testComplaints tests the rate of complaints on wrong responses.
func (r *Router) testComplaints(c comparison, sum *evidenceSum) {
	const minRate = 0.003 // now and then a client errs
	const smallGap, largeGap = 0.01, 0.04
	if r.release.config.ComplaintShare <= 0 {
		return
	}
	complaints := stratum{failures: c.canary.complaintCount(), attempts: float64(len(c.canary.samples)),
		expectedRate: c.baseline.complaintCount() / float64(len(c.baseline.samples)+1)}
	if r.limits.MaxGossipBytes > 0 && r.judgesByStats() {
		complaints = r.fleetComplaints(c.canary)
		usual := r.fleetComplaints(c.baseline)
		complaints.expectedRate = usual.failures / usual.attempts
	}
	odds := failureEvidence(withRateFloor([]stratum{complaints}, minRate), smallGap, largeGap)
	sum.add(1, odds, odds)
}

// fleetComplaints counts the complaints on a build that all routers received, among the attempts that the release controller
// counted; as its reports come later there are never fewer attempts than complaints.
func (r *Router) fleetComplaints(window *buildWindow) stratum {
	complaints := float64(r.gossip.complaints[window.build])
	attempts := r.analysis.countedAttempts(window.build) / max(0.01, r.release.config.SampledShare)
	return stratum{failures: complaints, attempts: max(1, complaints, attempts)}
}
