package policy

import "math"

// keptStats is how many of the release controller's reports are kept at the least.
const keptStats = 240

// BuildStats is what the release controller counted for one build and class over a period.
type BuildStats struct {
	Build             int
	Class             *Class
	Failures, Samples int
	MeanLatency       Time // of the successes
	Age               Time // since the end of the period
	Window            Time // length of the period

	receivedAt Time
	hosts      int     // that ran the build when the report came
	warmShare  float64 // share of them that were warm when the period began
	warmUpBias float64 // log of how many times longer they take as they warm up, at the most
}

func (s *BuildStats) successes() float64 { return float64(s.Samples - s.Failures) }

// StatsReported takes a report of the release controller.
func (r *Router) StatsReported(now Time, stats BuildStats) {
	r.now, stats.receivedAt = now, now
	r.describeHosts(&stats)
	if len(r.analysis.stats) == 0 || r.analysis.stats[len(r.analysis.stats)-1].receivedAt != now {
		r.load.counted = 0 // made anew of the reports of one moment
	}
	if r.release.config.SampledShare > 0 && stats.Window > 0 { // requests in flight: their rate by their latency
		serving := r.countHosts(func(host *Host) bool { return host.State == Serving })
		r.load.counted += float64(stats.Samples) / r.release.config.SampledShare / float64(stats.Window) *
			float64(stats.MeanLatency) / max(1, serving)
	}
	r.analysis.stats = appendBounded(r.analysis.stats, stats, keptStats)
	if r.statsOutweighOwn() && !r.release.exposureOf(stats.Build).applies {
		r.learnUsualLatencyFromStats(stats.Class)
	}
}

// describeHosts notes how many hosts run the build of a report, and how warm they were in its period.
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

// statsOutweighOwn reports whether the release controller counts far more attempts than this router makes: then its
// statistics are judged, though they come late and don't distinguish hosts.
func (r *Router) statsOutweighOwn() bool {
	const ownAttempts = 2 // as many as so many routers make
	return r.release.config.SampledShare*float64(r.routers) > ownAttempts
}

// judgesByStats reports whether the canary is judged by them. After a release only own attempts separate errors from an overload.
func (r *Router) judgesByStats() bool {
	return r.statsOutweighOwn() && r.release.status.Phase == Canary
}

func filterStats(all []BuildStats, is func(BuildStats) bool) (some []BuildStats) {
	for _, stats := range all {
		if is(stats) {
			some = append(some, stats)
		}
	}
	return some
}

// sumStats adds up the reports on a class; hosts are those of the last one.
func sumStats(all []BuildStats, class *Class) (failures, attempts float64, hosts int) {
	for _, stats := range all {
		if stats.Class == class {
			failures, attempts, hosts = failures+float64(stats.Failures), attempts+float64(stats.Samples), stats.hosts
		}
	}
	return failures, attempts, hosts
}

// samePeriod is the report of the same class and period among others; one without samples where there is none.
func samePeriod(stats BuildStats, others []BuildStats) BuildStats {
	for _, other := range others {
		if other.Class == stats.Class && other.receivedAt == stats.receivedAt {
			return other
		}
	}
	return BuildStats{}
}

// countedAttempts is how many attempts at a build the release controller counted.
func (a *analysisState) countedAttempts(build int) (n float64) {
	for _, stats := range a.stats {
		if stats.Build == build {
			n += float64(stats.Samples)
		}
	}
	return n
}

// comparableStats are the reports on canary and baseline over the same time. Those of a time when no canary host was warm
// would show the warm-up.
func (r *Router) comparableStats(canary, baseline int) (stats buildPair) {
	stats.canary = filterStats(r.analysis.stats, func(x BuildStats) bool { return x.Build == canary && x.warmShare > 0 })
	stats.baseline = filterStats(r.analysis.stats, func(x BuildStats) bool {
		return x.Build == baseline && len(stats.canary) > 0 && x.receivedAt >= stats.canary[0].receivedAt
	})
	return stats
}

// buildPair is the reports on canary and baseline.
type buildPair struct{ canary, baseline []BuildStats }

// latencyGap is the log of how many times longer the canary's successes took than the baseline's, class by class and period
// by period, less what the warm-up explains.
type latencyGap struct {
	log              float64
	canary, baseline float64 // successes
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

// logLatencyGapToPast is the log of how many times longer successes at a build take after a moment than those at a past
// build took until another, and how many successes say so. A class other than nil narrows it.
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

// failureRateBeforeCanary is a class's failure rate at the baseline before the canary was offered, when the baseline had
// all load, as if some attempts more had failed at a usual rate.
func (r *Router) failureRateBeforeCanary(baseline *buildWindow, class *Class, usualRate float64) float64 {
	failures, attempts, _ := sumStats(filterStats(r.analysis.stats, func(x BuildStats) bool {
		return x.Build == baseline.build && x.receivedAt <= r.release.offeredAt
	}), class)
	return stratum{failures: failures, attempts: attempts}.failureRate(stratum{failures: 0.5, attempts: 0.5 / usualRate})
}

// countedFailureEvidence weighs the reports on a class while enough hosts ran the canary: by how much more than the
// baseline it fails. It is for a router with few own attempts at classes that are not idempotent: as reports don't
// distinguish hosts, only gaps far beyond one failing host count.
func (r *Router) countedFailureEvidence(class *Class, canary, baseline int) float64 {
	const minHosts, minRate = 4, 0.1
	const smallGap, largeGap = 0.25, 0.6
	enoughHosts := func(x BuildStats) bool { return x.Build == canary && x.hosts >= minHosts }
	failures, attempts, hosts := sumStats(filterStats(r.analysis.stats, enoughHosts), class)
	past, pastAttempts, _ := sumStats(filterStats(r.analysis.stats, func(x BuildStats) bool { return x.Build == baseline }), class)
	expected := max(minRate, (past+0.5)/(pastAttempts+1))
	return boundByHosts(failureEvidence([]stratum{{failures, attempts, expected}}, smallGap, largeGap), hosts)
}
