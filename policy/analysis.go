package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Minimum numbers of build windows and of complaints that are retained.
const (
	keptBuilds     = 4
	keptComplaints = 240 // per build
)

// analysisState holds the data by which canary and baseline are compared.
type analysisState struct {
	windows []*buildWindow // of this router's own attempts, one window for each build
	stats   []BuildStats   // the release controller's statistics over the attempts of all routers
}

// buildWindow holds the most recent samples of one build, ordered by time.
type buildWindow struct {
	build      int
	samples    []attemptSample
	complaints []attemptSample // about wrong responses
}

// start returns the time of the oldest retained sample, or 0 if there is none.
func (w *buildWindow) start() Time {
	if len(w.samples) == 0 {
		return 0
	}
	return w.samples[0].at
}

// since returns the samples at or after a point in time.
func (w *buildWindow) since(from Time) []attemptSample {
	i, _ := slices.BinarySearchFunc(w.samples, from, func(x attemptSample, at Time) int { return int(x.at - at) })
	return w.samples[i:]
}

// complaintCount returns the number of complaints that are not older than the oldest retained sample.
func (w *buildWindow) complaintCount() (n float64) {
	for _, complaint := range w.complaints {
		if len(w.samples) > 0 && complaint.at >= w.samples[0].at {
			n++
		}
	}
	return n
}

// logLatencyRatiosSince returns, for each sample after a point in time, the log of the ratio of its latency to the class's
// usual latency before the canary.
func (w *buildWindow) logLatencyRatiosSince(from Time, concurrencyCost float64) (logs []float64) {
	for _, sample := range w.since(from + 1) {
		if sample.class.baselineLatency > 0 {
			logs = append(logs, sample.logLatencyRatio(concurrencyCost))
		}
	}
	return logs
}

// window returns the window of a build. If the build has none, it adds an empty one.
func (a *analysisState) window(build int) *buildWindow {
	for _, window := range a.windows {
		if window.build == build {
			return window
		}
	}
	a.windows = appendBounded(a.windows, &buildWindow{build: build}, keptBuilds)
	return a.windows[len(a.windows)-1]
}

// baselineWindow returns the window of the latest build before the given one that has more than the given number of
// attempts, or nil if there is none. Where the release controller's statistics outweigh the router's own attempts, it counts
// the attempts in these statistics first, because one of hundreds of routers makes few attempts of its own.
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

// ComplaintReceived records that a client found a response of a host wrong. age is the time since the attempt was sent. A
// complaint about an attempt from before the host's process started is ignored.
func (r *Router) ComplaintReceived(now Time, host *Host, class *Class, age Time) {
	r.now = now
	if window := r.analysis.window(host.Build); host.StartedAt <= now-age {
		r.gossip.complaints[window.build]++
		r.gossip.unsentComplaints[window.build]++
		window.complaints = appendBounded(window.complaints, attemptSample{at: now, host: host, class: class}, keptComplaints)
	}
}

// evidenceSum accumulates the weighted mean of the tests' odds that the canary is bad. Odds of 1 are no evidence.
type evidenceSum struct {
	sum, weights float64
	testOdds     []float64 // of each test, for the decision to promote the canary
}

// add adds the result of one test. meanOdds counts towards the weighted mean, which must be high to roll the canary back;
// testOdds must be low to promote the canary. The two differ where one leaves out data that the other includes.
func (e *evidenceSum) add(weight, meanOdds, testOdds float64) {
	e.sum, e.weights, e.testOdds = e.sum+weight*meanOdds, e.weights+weight, append(e.testOdds, testOdds)
}

// comparison is the input of the tests: the release controller's reports on canary and baseline, samples of both, and
// the gaps that count as harm. Until the release, the samples of both are from the same period, so that a fault that
// begins or ends during the comparison is attributed to neither build.
type comparison struct {
	canary, baseline               *buildWindow
	canarySamples, baselineSamples []attemptSample
	stats                          buildPair
	gaps                           gapSizes
}

// gapSizes are the differences between canary and baseline that count as harm, and the variance of latency to allow
// for.
type gapSizes struct {
	smallFailureGap, largeFailureGap float64 // in the failure rate over all classes
	classFailureGap                  float64 // in the failure rate of one class
	latencyVariance                  float64 // of the log slowdown between two sets of good hosts at two different times
}

// After a release, when the baseline's hosts no longer serve, only larger gaps count: a small harm then costs less than a
// rollback, and an overload that the release itself causes is not the fault of the build.
var (
	canaryGaps   = gapSizes{0.06, 0.15, 0.25, 0.04}
	releasedGaps = gapSizes{0.3, 0.5, 0.5, 0.16}
)

// Differences in the failure rate, over all classes and of one class, that count as harm in every phase.
const allFailureGap, allClassFailureGap = 0.6, 0.7

// compareBuilds prepares the input for testing the newest build. ok is false while no earlier build has enough attempts.
func (r *Router) compareBuilds() (c comparison, ok bool) {
	const minBaselineAttempts = 20
	const releasedWindow = 10 * Second
	c.canary = r.analysis.window(r.release.status.Build)
	if c.baseline = r.baselineWindow(r.release.status.Build, minBaselineAttempts); c.baseline == nil {
		return c, false
	}
	c.gaps = canaryGaps
	c.canarySamples, c.baselineSamples = c.canary.since(c.baseline.start()), c.baseline.since(c.canary.start())
	if r.release.status.Phase == Released { // compares all retained samples of the baseline with the newest samples of the canary
		c.gaps = releasedGaps
		c.canarySamples, c.baselineSamples = c.canary.since(r.now-releasedWindow), c.baseline.samples
	}
	c.stats = r.comparableStats(c.canary.build, c.baseline.build)
	return c, true
}

// evidence returns the odds that the newest build is bad. It compares shadow attempts with attempts at the build before
// it: by failures over all classes and of each class, by latency, by a surge of the fleet's latency and by complaints.
// mean is the weighted mean of the tests' odds, which must be high for a vote to roll back. testOdds are the odds of
// each test, all of which must be low enough for a release.
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

// isWarmSample reports whether the host had completed its warm-up when the attempt was sent. A host that is warming up is
// slow whatever its build.
func (r *Router) isWarmSample(sample attemptSample) bool { return sample.hostAge > r.limits.WarmUp }

// testFailures tests the failure rates over all classes and of each class. It sets the failureOdds of each class.
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

// testClassFailures tests the failure rate over some classes together and returns the odds of the test. For the weighted
// mean it excludes the hosts with the most failures.
func (r *Router) testClassFailures(c comparison, sum *evidenceSum, weight float64, classes []*Class, gaps ...float64) float64 {
	const worstHosts = 0.25 // share of the hosts that is excluded
	odds := func(excluded float64) float64 {
		strata, hosts := r.failureStrata(c, classes, excluded)
		return boundByHosts(failureEvidence(strata, gaps...), hosts)
	}
	testOdds := odds(0)
	sum.add(weight, odds(worstHosts), testOdds)
	return testOdds
}

// failureStrata returns the canary's attempts of some classes as strata, and the number of canary hosts with failures
// in the class that has the most such hosts. Each class is compared with itself, because the mix of classes may change.
// Timeouts don't count if the host was cold, if the client's timeout was shorter than the latency objective, or after a
// release.
func (r *Router) failureStrata(c comparison, classes []*Class, excluded float64) (strata []stratum, hosts int) {
	const minRate = 0.01 // failure rate to be expected of any build
	for _, class := range classes {
		counts := func(sample attemptSample) bool {
			return sample.class == class && (sample.outcome != TimedOut ||
				r.isWarmSample(sample) && !sample.shortTimeout && r.release.status.Phase == Canary)
		}
		classStrata, failing := strataByTime(c.canarySamples, c.baselineSamples, counts, excluded)
		if r.judgesByStats() { // the statistics don't distinguish hosts; the router's own shadow attempts do
			classStrata, failing = c.stats.strataByPeriod(class), failing+1
			// A canary that gets most of the traffic leaves the baseline's hosts idle, so the baseline's failure rate
			// from before the canary is the lower bound of the expected rate.
			classStrata = withRateFloor(classStrata, r.failureRateBeforeCanary(c.baseline, class, minRate))
		}
		strata, hosts = append(strata, classStrata...), max(hosts, failing)
	}
	return withRateFloor(strata, minRate), hosts
}

// testLatency tests whether canary hosts are slower than baseline hosts. A rollback requires most of them to be slower; half
// of them are enough to prevent a promotion.
func (r *Router) testLatency(c comparison, sum *evidenceSum) {
	const most, half = 0.75, 0.5
	counts := func(sample attemptSample) bool { // other errors are left out, because they return quickly
		return r.isWarmSample(sample) && (sample.outcome == Succeeded || sample.outcome == TimedOut)
	}
	level := logSlowdownByTime(c.baselineSamples, counts)
	canary, baseline := summarizeByHost(c.canarySamples, counts, level), summarizeByHost(c.baselineSamples, counts, level)
	sum.add(1, r.latencyEvidence(c, canary, baseline, most), r.latencyEvidence(c, canary, baseline, half))
}

// latencyEvidence returns the odds that canary hosts are slower than baseline hosts, derived from the variance among hosts or
// from the release controller's statistics. share is the share of the canary hosts that must be slower.
func (r *Router) latencyEvidence(c comparison, canary, baseline []hostSummary, share float64) float64 {
	const hostDeviation, attemptVariance = 0.2, 0.8 // of the log slowdown, among hosts and among attempts
	const slower = 0.6                              // log of 1.8, a slowdown that shows in a fleet at half its capacity
	const logLimit = 6
	const enough, few = 3, 1 // minimum numbers of attempts at a host; few applies if no host has enough, as with a large number of hosts
	slowdowns, variance := hostLogSlowdowns(canary, hostDeviation, attemptVariance, enough, few)
	usual, usualVariance := hostLogSlowdowns(baseline, hostDeviation, attemptVariance, enough, few)
	hosts := len(slowdowns)
	if r.judgesByStats() {
		gap, offeredAt := c.stats.latencyGap(), r.release.offeredAt
		toPast, n := r.analysis.logLatencyGapToPast(nil, c.baseline.build, r.release.status.Build, offeredAt, offeredAt)
		if n > 0 { // a canary that gets most of the traffic leaves the baseline's hosts idle, so their past latency counts too
			gap.log = min(gap.log, toPast)
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

// testSlowRelease gives infinite odds against a released build whose responses take far longer than before the canary,
// if the slowness lasts and began soon after the release. Slowness that begins later has another cause.
func (r *Router) testSlowRelease(c comparison, sum *evidenceSum) {
	const window = 3 * Second
	const farSlower = 0.4     // log of the latency ratio
	const statsMargin = 0.3   // added to farSlower for statistics
	const ownDeviations = 0.5 // added to farSlower for own samples, divided by the square root of their number
	const minSamples = 5
	const minDuration, maxDelay = 8 * Second, 5 * Second // how long the slowness must last, and how soon after the release it must begin
	logs := c.canary.logLatencyRatiosSince(r.now-window, r.load.concurrencyCost)
	n := float64(len(logs))
	slower := stat.Mean(logs, nil) - ownDeviations/math.Sqrt(n)
	if r.statsOutweighOwn() {
		slower, n = r.analysis.logLatencyGapToPast(nil, c.baseline.build, c.canary.build, r.release.offeredAt, r.now-window)
		slower -= statsMargin
	}
	if r.release.status.Phase != Released || n < minSamples || slower < farSlower {
		r.surge.lastNormalAt = r.now
	} else if r.now-r.surge.lastNormalAt > minDuration && r.surge.lastNormalAt < r.release.stageStartedAt+maxDelay {
		sum.add(1, math.Inf(1), 1)
	}
}

// testComplaints tests the rate of complaints about wrong responses.
func (r *Router) testComplaints(c comparison, sum *evidenceSum) {
	const minRate = 0.003 // clients occasionally complain by mistake
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

// fleetComplaints returns a stratum whose failures are the complaints about a build that all routers received. Its
// attempts are those at the build, estimated from the release controller's statistics. Because the statistics arrive
// later than complaints, the number of attempts is raised to at least the number of complaints.
func (r *Router) fleetComplaints(window *buildWindow) stratum {
	complaints := float64(r.gossip.complaints[window.build])
	attempts := r.analysis.countedAttempts(window.build) / max(0.01, r.release.config.SampledShare)
	return stratum{failures: complaints, attempts: max(1, complaints, attempts)}
}
