package policy

import (
	"math"
)

// BuildStats is what the release desk counted for one build and category over a period.
type BuildStats struct {
	Build             int
	Class             *Class
	Failures, Samples int
	MeanLatency       Time
	Age               Time

	Window Time // the span that was counted

	receivedAt Time
	hosts      int     // that ran the build when the count came
	warmShare  float64 // share of them that were warm when its span began
	warmUpBias float64 // log of how much longer they take for the cold, at the most
}

// StatsReported takes in what the desk counted, with how many hosts ran the build and how many were warm by then.
func (r *Router) StatsReported(now Time, c BuildStats) {
	cold := 0.0
	r.now, c.receivedAt = now, now
	for _, host := range r.hosts {
		if host.Build == c.Build && host.State == Serving {
			c.hosts++
			cold += r.capacityFactorAt(host, now-c.Age-c.Window/2)
			if now-c.Age-c.Window-host.StartedAt > r.limits.WarmUp {
				c.warmShare++
			}
		}
	}
	c.warmShare /= max(1, float64(c.hosts))
	c.warmUpBias = math.Log(max(1, float64(c.hosts)) / max(r.limits.ColdCapacity, cold))
	if len(r.analysis.stats) == 0 || r.analysis.stats[len(r.analysis.stats)-1].receivedAt != now {
		r.load.counted = 0 // what hosts hold: how much comes by how long it takes
	}
	if r.release.config.SampledShare > 0 && c.Window > 0 {
		serve := r.countHosts(func(host *Host) bool { return host.State == Serving })
		r.load.counted += float64(c.Samples) / r.release.config.SampledShare / float64(c.Window) * float64(c.MeanLatency) / max(1, serve)
	}
	r.analysis.stats = appendBounded(r.analysis.stats, c, 240)
	if on, _, _ := r.release.exposureOf(c.Build); r.statsOutweighOwn() && !on {
		r.learnUsualLatencyFromStats(c.Class)
	}
}

// statsOutweighOwn tells whether the desk counts far more of all sends than a router sees: then its counts, though
// late and not by host, are judged; but after a release only own sends tell errors from a jam.
func (r *Router) statsOutweighOwn() bool { return r.release.config.SampledShare*float64(r.routers) > 2 }

func (r *Router) judgesByStats() bool {
	return r.statsOutweighOwn() && r.release.status.Phase == Canary
}

// filterStats are the counts of a kind.
func filterStats(all []BuildStats, of func(BuildStats) bool) (some []BuildStats) {
	for _, x := range all {
		if of(x) {
			some = append(some, x)
		}
	}
	return some
}

// sumStats adds up what the desk counted of a category.
func sumStats(all []BuildStats, class *Class) (bad, n float64, hosts int) {
	for _, x := range all {
		if x.Class == class {
			bad, n, hosts = bad+float64(x.Failures), n+float64(x.Samples), x.hosts
		}
	}
	return bad, n, hosts
}

// samePeriod is the count of the same category and period at the other build.
func samePeriod(x BuildStats, others []BuildStats) BuildStats {
	for _, y := range others {
		if y.Class == x.Class && y.receivedAt == x.receivedAt {
			return y
		}
	}
	return BuildStats{}
}

// countedAttempts is how many sends at a build the desk counted.
func (a *analysisState) countedAttempts(build int) (n float64) {
	for _, x := range a.stats {
		if x.Build == build {
			n += float64(x.Samples)
		}
	}
	return n
}

// comparableStats are the desk's counts to be judged, of the build and of the one before it, over the same time.
// Those of a time when no host of the build was warm speak of the cold.
func (r *Router) comparableStats(now, before int) (of [2][]BuildStats) {
	of[0] = filterStats(r.analysis.stats, func(x BuildStats) bool { return x.Build == now && x.warmShare > 0 })
	of[1] = filterStats(r.analysis.stats, func(x BuildStats) bool {
		return x.Build == before && len(of[0]) > 0 && x.receivedAt >= of[0][0].receivedAt
	})
	return of
}

// logLatencyGap is the log of how much longer the sends of one set of counts took than those of another, by
// category and period, with the sends behind each side and the hosts of the first.
func logLatencyGap(now, before []BuildStats) (gap, n, of float64, hosts int) {
	for _, x := range now {
		y, good := samePeriod(x, before), float64(x.Samples-x.Failures)
		if hosts = x.hosts; good > 0 && x.MeanLatency > 0 && y.MeanLatency > 0 {
			gap += good * (math.Log(float64(x.MeanLatency)/float64(y.MeanLatency)) - x.warmUpBias + y.warmUpBias)
			n, of = n+good, of+float64(y.Samples-y.Failures)
		}
	}
	return gap / max(1, n), n, of, hosts
}

// logLatencyGapToPast is the log of how much longer the sends at a build take now than those at another before the newest
// was offered, less so much, as the desk counted them, and the number of the former; a category narrows it.
func logLatencyGapToPast(all []BuildStats, class *Class, was, is int, offered, now Time, less float64) (gap, n float64) {
	for _, x := range all {
		if x.Build != is || x.MeanLatency <= 0 || x.receivedAt <= now || class != nil && x.Class != class {
			continue
		}
		took, sum := 0.0, 0.0
		for _, y := range all {
			if y.Build == was && y.MeanLatency > 0 && y.receivedAt <= offered && y.Class == x.Class {
				good := float64(y.Samples - y.Failures)
				took, sum = took+good*float64(y.MeanLatency), sum+good
			}
		}
		if good := float64(x.Samples - x.Failures); sum > 0 && took > 0 {
			gap, n = gap+good*(math.Log(float64(x.MeanLatency)*sum/took)-x.warmUpBias), n+good
		}
	}
	return gap/max(1, n) - less, n
}

// pretrialFailureRate is what share of a category the desk counted to go wrong at a build before the trial, when all
// load was its own; as if leaning on so many sends of a usual share.
func (r *Router) pretrialFailureRate(before *buildWindow, class *Class, usual, priorWeight float64) float64 {
	bad, n, _ := sumStats(filterStats(r.analysis.stats, func(x BuildStats) bool {
		return x.Build == before.build && x.receivedAt <= r.release.offeredAt
	}), class)
	return stratum{failures: bad, attempts: n}.failureRate(stratum{0.5, 0.5 / usual, 0}, priorWeight)
}

// countedFailureEvidence weighs what the desk counted of a category while so many hosts or more ran the build: by how much
// more than a least share and the usual one it failed.
func (r *Router) countedFailureEvidence(class *Class, now, before, few int, floor float64, gaps ...float64) float64 {
	wide := func(x BuildStats) bool { return x.Build == now && x.hosts >= few }
	bad, n, hosts := sumStats(filterStats(r.analysis.stats, wide), class)
	was, of, _ := sumStats(filterStats(r.analysis.stats, func(x BuildStats) bool { return x.Build == before }), class)
	return boundByHosts(failureEvidence([]stratum{{bad, n, max(floor, (was+0.5)/(of+1))}}, gaps...), hosts)
}
