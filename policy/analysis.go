package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// analysisState is what canary and baseline are compared by.
type analysisState struct {
	windows []*buildWindow // own attempts
	stats   []BuildStats   // the release controller's counts of all routers
}

// buildWindow keeps the last samples of one build.
type buildWindow struct {
	build      int
	samples    []attemptSample
	complaints []attemptSample
}

// start is when the samples kept of a build begin.
func (b *buildWindow) start() Time {
	if len(b.samples) == 0 {
		return 0
	}
	return b.samples[0].at
}

// since are the samples from a moment on.
func (b *buildWindow) since(from Time) []attemptSample {
	i, _ := slices.BinarySearchFunc(b.samples, from, func(x attemptSample, at Time) int { return int(x.at - at) })
	return b.samples[i:]
}

// complaintCount are those about sends as late as the samples kept.
func (b *buildWindow) complaintCount() (n float64) {
	for _, x := range b.complaints {
		if len(b.samples) > 0 && x.at >= b.samples[0].at {
			n++
		}
	}
	return n
}

// logLatencyRatiosSince is the log of how slow the earlier build's answers since from are against the time before the
// trial, and their number.
func (b *buildWindow) logLatencyRatiosSince(from Time, crowd float64) (logs []float64) {
	for _, x := range b.since(from + 1) {
		if x.class.baselineLatency > 0 {
			logs = append(logs, x.logLatencyRatio(crowd))
		}
	}
	return logs
}

// window is what is kept of a build.
func (a *analysisState) window(build int) *buildWindow {
	for _, b := range a.windows {
		if b.build == build {
			return b
		}
	}
	a.windows = appendBounded(a.windows, &buildWindow{build: build}, 4)
	return a.windows[len(a.windows)-1]
}

// baselineWindow is the latest earlier build that some sends are known of, if any; where the desk's counts are judged, by
// these: a router of hundreds has a few sends of its own.
func (r *Router) baselineWindow(build, sends int) (last *buildWindow) {
	if r.statsOutweighOwn() {
		for _, x := range r.analysis.stats {
			if x.Build < build && (last == nil || x.Build > last.build) && r.analysis.countedAttempts(x.Build) > float64(sends) {
				last = r.analysis.window(x.Build)
			}
		}
	}
	if last != nil {
		return last
	}
	for _, b := range r.analysis.windows {
		if b.build < build && len(b.samples) > sends && (last == nil || b.build > last.build) {
			last = b
		}
	}
	return last
}

// ComplaintReceived takes in that a client found an answer wrong.
func (r *Router) ComplaintReceived(now Time, host *Host, class *Class, age Time) {
	r.now = now
	if b := r.analysis.window(host.Build); host.StartedAt <= now-age {
		r.gossip.complaints[b.build]++
		r.gossip.unsentComplaints[b.build]++
		b.complaints = appendBounded(b.complaints, attemptSample{at: now, host: host, class: class}, 240)
	}
}

// complaintStratum is how many answers of a build all routers heard complaints of, among the sends that the desk
// counted; these come later, so there are never fewer.
func (r *Router) complaintStratum(b *buildWindow) stratum {
	bad := float64(r.gossip.complaints[b.build])
	return stratum{failures: bad, attempts: max(1, bad, r.analysis.countedAttempts(b.build)/max(0.01, r.release.config.SampledShare))}
}

// evidence is the evidence that the newest build is bad, in odds; 1 is none. Copies are judged against the
// sends at the build before it: failures over all and by category, the desk's counts, slowness, complaints.
// The mean is what a vote back needs; what may still be wrong, test by test, is what a release needs to know.
func (r *Router) evidence() (mean float64, testOdds []float64) {
	const floor, worst, stray = 0.01, 0.25, 1                  // least usual failures; hosts left out
	const while, kin = 2 * Second, 5.0                         // one time; originals that the rest weigh
	const twice, lasting, begins = 0.4, 8 * Second, 5 * Second // log of it; so long, so soon after a release
	now, before := r.analysis.window(r.release.status.Build), r.baselineWindow(r.release.status.Build, 20)
	if before == nil {
		return 1, nil
	}
	// Copies and originals of the same time are compared, or a trouble that begins or ends speaks for a build.
	fresh, peers := now.since(before.start()), before.since(now.start())
	if r.release.status.Phase == Released { // what was kept of the earlier build, against what happens now
		fresh, peers = now.since(r.now-10*Second), before.samples
	}
	// A cold host is slow whatever its build; time-outs of hasty clients or in a release's jam say nothing.
	warm := func(s attemptSample) bool { return s.hostAge > r.limits.WarmUp }
	fair := func(s attemptSample) bool {
		return s.outcome != TimedOut || warm(s) && !s.impatient && r.release.status.Phase == Canary
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
	if r.release.status.Phase == Released { // the earlier machines are gone: a small harm is cheaper than going back
		small, large, whole, apart = 0.3, 0.5, 0.5, 0.16 // and a jam after the release is not the build's
	}
	test(1, r.classes, small, large, 0.6)
	for _, class := range r.classes {
		class.failureOdds = test(1/float64(len(r.classes)), []*Class{class}, whole, 0.7)
		if r.release.config.SampledShare > 0 && !r.judgesByStats() && class.Idempotency != Idempotent { // not told by host: far beyond one sick one
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
	if r.release.status.Phase == Canary {
		o := r.surgeEvidence(before)
		add(1, o, o)
	}
	logs := now.logLatencyRatiosSince(r.now-3*Second, r.load.concurrencyCost)
	n := float64(len(logs)) // few of them scatter
	slow := stat.Mean(logs, nil) - 0.5/math.Sqrt(n)
	if r.statsOutweighOwn() { // a router's own figures are against a third more than the middle
		slow, n = logLatencyGapToPast(r.analysis.stats, nil, before.build, now.build, r.release.offeredAt, r.now-3*Second, 0.3)
	}
	if r.release.status.Phase != Released || n < 5 || slow < twice {
		r.surge.lastNormalAt = r.now
	} else if r.now-r.surge.lastNormalAt > lasting && r.surge.lastNormalAt < r.release.stageStartedAt+begins { // later, it is another trouble
		add(1, math.Inf(1), 1)
	}
	if r.release.config.ComplaintShare > 0 {
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
		if calm, m := logLatencyGapToPast(r.analysis.stats, nil, was, r.release.status.Build, r.release.offeredAt, r.release.offeredAt, 0); m > 0 {
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

// hostSummary is what one host's samples say of its build.
type hostSummary struct {
	host                            *Host
	attempts, failures, logSlowdown float64 // slow sums up logs of paces
}

// summarizeByHost sums up samples by host, the ones with most bad last; how slow they were is told from a level.
func summarizeByHost(all []attemptSample, of func(attemptSample) bool, level func(attemptSample) float64) (sums []hostSummary) {
	for _, s := range all {
		if !of(s) {
			continue
		}
		i := slices.IndexFunc(sums, func(x hostSummary) bool { return x.host == s.host })
		if i < 0 {
			i, sums = len(sums), append(sums, hostSummary{host: s.host})
		}
		sums[i].attempts, sums[i].logSlowdown = sums[i].attempts+1, sums[i].logSlowdown+s.logSlowdown()-level(s)
		if s.outcome != Succeeded {
			sums[i].failures++
		}
	}
	slices.SortStableFunc(sums, func(a, b hostSummary) int { return int(a.failures - b.failures) })
	return sums
}

// stratum is how many tries of a kind went bad, and the share of them that usually does.
type stratum struct{ failures, attempts, expectedRate float64 }

func (p *stratum) add(s attemptSample) {
	if p.attempts++; s.outcome != Succeeded {
		p.failures++
	}
}

// failureRate is how many went bad, leaning on all others as if these were kin.
func (p stratum) failureRate(all stratum, priorWeight float64) float64 {
	return (p.failures + priorWeight*all.failures/all.attempts) / (p.attempts + priorWeight)
}

// withRateFloor has no part whose usual share is below a floor.
func withRateFloor(parts []stratum, floor float64) []stratum {
	for i := range parts {
		parts[i].expectedRate = max(floor, parts[i].expectedRate)
	}
	return parts
}

// failureEvidence weighs bad against n tries, part by part, as signs that a build fails more than the usual share: the
// mean likelihood ratio over a few sizes of the gap. Were the build good it would pass x with a chance of at
// most 1/x, however often it is looked at, and a mean of such odds keeps that bound; so many looks and tests
// raise no alarm.
func failureEvidence(parts []stratum, gaps ...float64) (mean float64) {
	for _, g := range gaps {
		sum := 0.0
		for _, x := range parts {
			p := x.expectedRate + g*(1-x.expectedRate)
			sum += x.failures*math.Log(p/x.expectedRate) + (x.attempts-x.failures)*math.Log((1-p)/(1-x.expectedRate))
		}
		mean += math.Exp(min(50, sum)) / float64(len(gaps))
	}
	return mean
}

// likelihoodRatio is the likelihood ratio of a gap that is as large as more against none, for a gap measured with some
// variance; its log is at most as stated, for the model itself may be wrong.
func likelihoodRatio(gap, more, variance, most float64) float64 {
	return math.Exp(max(-most, min(most, (gap*more-more*more/2)/variance)))
}

// boundByHosts bounds the odds by the number of hosts that speak for them: each may at most quadruple them.
func boundByHosts(o float64, hosts int) float64 { return min(o, math.Pow(4, float64(max(1, hosts)))) }

// excludeWorstHosts are all hosts but a share of them, those with most failures, and how many of these have any. So few
// failures of a host as are stray are no sign that it differs from the rest.
func excludeWorstHosts(sums []hostSummary, but, stray float64) (some map[*Host]bool, failing int) {
	some = map[*Host]bool{}
	left := int(math.Ceil(but * float64(len(sums))))
	for i, x := range sums {
		if some[x.host] = i == 0 || i < len(sums)-left || x.failures <= stray; some[x.host] && x.failures > 0 {
			failing++
		}
	}
	return some, failing
}

// strataByTime parts sends of a kind by the time when they were made, each with the share of the originals of that
// time that went bad; kin is how many of these all the others weigh as much as. Hosts are spared as told.
func strataByTime(fresh, peers []attemptSample, is func(attemptSample) bool, but, stray float64, slotLength Time, priorWeight float64) (
	parts []stratum, hosts int) {
	flat := func(attemptSample) float64 { return 0 }
	some, hosts := excludeWorstHosts(summarizeByHost(fresh, is, flat), but, stray)
	same, _ := excludeWorstHosts(summarizeByHost(peers, is, flat), but, stray)
	was, all := map[Time]stratum{}, stratum{0.5, 1, 0}
	for _, s := range peers {
		if is(s) && same[s.host] {
			w := was[s.timeSlot(slotLength)]
			w.add(s)
			all.add(s)
			was[s.timeSlot(slotLength)] = w
		}
	}
	where := map[Time]int{}
	for _, s := range fresh {
		if !is(s) || !some[s.host] {
			continue
		}
		t := s.timeSlot(slotLength)
		if _, ok := where[t]; !ok {
			where[t], parts = len(parts), append(parts, stratum{expectedRate: was[t].failureRate(all, priorWeight)})
		}
		parts[where[t]].add(s)
	}
	return parts, hosts
}

// strataByPeriod does the same with the desk's counts, period by period.
func strataByPeriod(now, before []BuildStats, class *Class, priorWeight float64) (parts []stratum) {
	bad, n, _ := sumStats(before, class)
	all := stratum{0.5 + bad, 1 + n, 0}
	of := func(x BuildStats) stratum {
		return stratum{failures: float64(x.Failures), attempts: float64(x.Samples)}
	}
	for _, x := range now {
		if x.Class == class {
			p := of(x)
			p.expectedRate = of(samePeriod(x, before)).failureRate(all, priorWeight)
			parts = append(parts, p)
		}
	}
	return parts
}

// logSlowdownByTime tells how slow, as a log, sends of a kind were on average at the time of a sample, likewise.
func logSlowdownByTime(all []attemptSample, is func(attemptSample) bool, slotLength Time, priorWeight float64) func(attemptSample) float64 {
	type sum struct{ slow, n float64 }
	of, whole := map[Time]sum{}, sum{0, 0.01}
	for _, s := range all {
		if is(s) {
			t := of[s.timeSlot(slotLength)]
			of[s.timeSlot(slotLength)] = sum{t.slow + s.logSlowdown(), t.n + 1}
			whole = sum{whole.slow + s.logSlowdown(), whole.n + 1}
		}
	}
	return func(s attemptSample) float64 {
		t := of[s.timeSlot(slotLength)]
		return (t.slow + priorWeight*whole.slow/whole.n) / (t.n + priorWeight)
	}
}

// hostLogSlowdowns are the logs of how slow hosts are, and the variance of their mean when hosts differ by so much among
// themselves and sends scatter by so much. Only hosts with the first of so many sends count, else the next.
func hostLogSlowdowns(hosts []hostSummary, differ, scatter float64, least ...float64) (logs []float64, variance float64) {
	for len(logs) == 0 && len(least) > 0 {
		for _, x := range hosts {
			if x.attempts >= least[0] {
				logs, variance = append(logs, x.logSlowdown/x.attempts), variance+differ*differ+scatter/x.attempts
			}
		}
		least = least[1:]
	}
	return logs, variance / max(1, float64(len(logs)*len(logs)))
}
