package policy

import "math"

// keptStats is the minimum number of the release controller's reports that are retained.
const keptStats = 240

// BuildStats is the release controller's report on one build and class over a period.
type BuildStats struct {
	Build             int
	Class             *Class
	Failures, Samples int
	MeanLatency       Time // mean latency of the attempts that succeeded
	Age               Time // time since the end of the period
	Window            Time // length of the period

	receivedAt Time
	hosts      int     // number of hosts that ran the build when the report arrived
	warmShare  float64 // share of these hosts that were warm when the period began
	warmUpBias float64 // log of the largest factor by which warm-up increases their latency
}

func (s *BuildStats) successes() float64 { return float64(s.Samples - s.Failures) }

// StatsReported processes a report of the release controller.
func (r *Router) StatsReported(now Time, stats BuildStats) {
	r.now, stats.receivedAt = now, now
	r.describeHosts(&stats)
	if len(r.analysis.stats) == 0 || r.analysis.stats[len(r.analysis.stats)-1].receivedAt != now {
		r.load.counted = 0 // the sum over the reports that arrive at the same time
	}
	if r.release.config.SampledShare > 0 && stats.Window > 0 { // requests in flight at each host: their rate times their latency
		serving := r.countHosts(func(host *Host) bool { return host.State == Serving })
		r.load.counted += float64(stats.Samples) / r.release.config.SampledShare / float64(stats.Window) *
			float64(stats.MeanLatency) / max(1, serving)
	}
	r.analysis.stats = appendBounded(r.analysis.stats, stats, keptStats)
	if r.statsOutweighOwn() && !r.release.exposureOf(stats.Build).applies {
		r.learnUsualLatencyFromStats(stats.Class)
	}
}

// describeHosts adds to a report how many hosts run its build and how warm they were during its period.
func (r *Router) describeHosts(stats *BuildStats) {
	capacity := 0.0
	for _, host := range r.hosts {
		if host.Build == stats.Build && host.State == Serving {
			stats.hosts++
			capacity += r.capacityFactorAt(host, r.now-stats.Age-stats.Window/2)
			if r.now-stats.Age-stats.Window-host.StartedAt > r.limits.WarmUp {
				stats.warmShare++
			}
		}
	}
	stats.warmShare /= max(1, float64(stats.hosts))
	stats.warmUpBias = math.Log(max(1, float64(stats.hosts)) / max(r.limits.ColdCapacity, capacity))
}

// statsOutweighOwn reports whether the release controller counts far more attempts than this router makes. Its statistics are
// then used, although they arrive late and don't distinguish hosts.
func (r *Router) statsOutweighOwn() bool {
	const ownAttempts = 2 // the controller must count more than this many times the attempts of one router
	return r.release.config.SampledShare*float64(r.routers) > ownAttempts
}

// judgesByStats reports whether the canary is judged by the release controller's statistics. After a release, only the
// router's own attempts distinguish errors from an overload.
func (r *Router) judgesByStats() bool {
	return r.statsOutweighOwn() && r.release.status.Phase == Canary
}

func filterStats(all []BuildStats, matches func(BuildStats) bool) (some []BuildStats) {
	for _, stats := range all {
		if matches(stats) {
			some = append(some, stats)
		}
	}
	return some
}

// sumStats sums up the reports on a class. hosts is the number of hosts in the last report.
func sumStats(all []BuildStats, class *Class) (failures, attempts float64, hosts int) {
	for _, stats := range all {
		if stats.Class == class {
			failures, attempts, hosts = failures+float64(stats.Failures), attempts+float64(stats.Samples), stats.hosts
		}
	}
	return failures, attempts, hosts
}

// samePeriod returns the report among others that is on the same class and period as stats, or an empty report if there
// is none.
func samePeriod(stats BuildStats, others []BuildStats) BuildStats {
	for _, other := range others {
		if other.Class == stats.Class && other.receivedAt == stats.receivedAt {
			return other
		}
	}
	return BuildStats{}
}

// countedAttempts returns the number of attempts at a build that the release controller counted.
func (a *analysisState) countedAttempts(build int) (n float64) {
	for _, stats := range a.stats {
		if stats.Build == build {
			n += float64(stats.Samples)
		}
	}
	return n
}

// comparableStats returns the reports on canary and baseline over the same time. Reports on the canary for periods when none
// of its hosts was warm are excluded, because they would show the effect of the warm-up.
func (r *Router) comparableStats(canary, baseline int) (stats buildPair) {
	stats.canary = filterStats(r.analysis.stats, func(x BuildStats) bool { return x.Build == canary && x.warmShare > 0 })
	stats.baseline = filterStats(r.analysis.stats, func(x BuildStats) bool {
		return x.Build == baseline && len(stats.canary) > 0 && x.receivedAt >= stats.canary[0].receivedAt
	})
	return stats
}

// buildPair holds the reports on canary and baseline.
type buildPair struct{ canary, baseline []BuildStats }

// latencyGap is the log of the factor by which the canary's successful attempts took longer than the baseline's, compared
// within each class and period, minus the part that the warm-up explains.
type latencyGap struct {
	log              float64
	canary, baseline float64 // numbers of successful attempts
	canaryHosts      int
}

func (p buildPair) latencyGap() (gap latencyGap) {
	for _, x := range p.canary {
		y, successes := samePeriod(x, p.baseline), x.successes()
		if gap.canaryHosts = x.hosts; successes > 0 && x.MeanLatency > 0 && y.MeanLatency > 0 {
			gap.log += successes * (math.Log(float64(x.MeanLatency)/float64(y.MeanLatency)) - x.warmUpBias + y.warmUpBias)
			gap.canary, gap.baseline = gap.canary+successes, gap.baseline+y.successes()
		}
	}
	gap.log /= max(1, gap.canary)
	return gap
}

// logLatencyGapToPast returns the log of the factor by which successful attempts at one build took longer than those at
// an earlier build. It compares the reports on build that were received after the given time with the reports on
// pastBuild that were received up to pastUntil. n is the number of successful attempts at build that the result is
// based on. If class is not nil, only the reports on that class are used.
func (a *analysisState) logLatencyGapToPast(class *Class, pastBuild, build int, pastUntil, after Time) (gap, n float64) {
	for _, x := range a.stats {
		if x.Build != build || x.MeanLatency <= 0 || x.receivedAt <= after || class != nil && x.Class != class {
			continue
		}
		latency, sum := 0.0, 0.0
		for _, y := range a.stats {
			if y.Build == pastBuild && y.MeanLatency > 0 && y.receivedAt <= pastUntil && y.Class == x.Class {
				latency, sum = latency+y.successes()*float64(y.MeanLatency), sum+y.successes()
			}
		}
		if sum > 0 && latency > 0 {
			gap, n = gap+x.successes()*(math.Log(float64(x.MeanLatency)*sum/latency)-x.warmUpBias), n+x.successes()
		}
	}
	return gap / max(1, n), n
}

// failureRateBeforeCanary returns a class's failure rate at the baseline before the canary was offered, when the
// baseline served all requests. It is estimated as if some more attempts had failed at the usual rate.
func (r *Router) failureRateBeforeCanary(baseline *buildWindow, class *Class, usualRate float64) float64 {
	failures, attempts, _ := sumStats(filterStats(r.analysis.stats, func(x BuildStats) bool {
		return x.Build == baseline.build && x.receivedAt <= r.release.offeredAt
	}), class)
	return stratum{failures: failures, attempts: attempts}.failureRate(stratum{failures: 0.5, attempts: 0.5 / usualRate})
}

// countedFailureEvidence returns the odds that the canary fails a class more often than the baseline. It is for a
// router that has few attempts of its own for classes that are not idempotent. It uses the reports from times when
// enough hosts ran the canary. Because reports don't distinguish hosts, only gaps count that are far larger than the
// gap that one failing host would cause.
func (r *Router) countedFailureEvidence(class *Class, canary, baseline int) float64 {
	const minHosts, minRate = 4, 0.1
	const smallGap, largeGap = 0.25, 0.6
	enoughHosts := func(x BuildStats) bool { return x.Build == canary && x.hosts >= minHosts }
	failures, attempts, hosts := sumStats(filterStats(r.analysis.stats, enoughHosts), class)
	past, pastAttempts, _ := sumStats(filterStats(r.analysis.stats, func(x BuildStats) bool { return x.Build == baseline }), class)
	expected := max(minRate, (past+0.5)/(pastAttempts+1))
	return boundByHosts(failureEvidence([]stratum{{failures, attempts, expected}}, smallGap, largeGap), hosts)
}
