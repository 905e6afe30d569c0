package policy

import (
	"math"
	"slices"
)

// Attempts at the canary are compared with those at the baseline of the same time.
const (
	slotLength    = 2 * Second // that counts as one time
	priorAttempts = 5.0        // what all other times weigh beside one, in attempts
)

// stratum is the attempts of one class and time: how many failed, and the failure rate to be expected of them.
type stratum struct{ failures, attempts, expectedRate float64 }

func (s *stratum) add(sample attemptSample) {
	if s.attempts++; sample.outcome != Succeeded {
		s.failures++
	}
}

// failureRate is the failure rate, as if some attempts more had failed at the rate of a prior.
func (s stratum) failureRate(prior stratum) float64 {
	return (s.failures + priorAttempts*prior.failures/prior.attempts) / (s.attempts + priorAttempts)
}

// withRateFloor raises expected rates below a floor to it.
func withRateFloor(strata []stratum, floor float64) []stratum {
	for i := range strata {
		strata[i].expectedRate = max(floor, strata[i].expectedRate)
	}
	return strata
}

// strataByTime parts the canary's samples of a kind by the time when they were sent, with the baseline's failure rate of
// that time as the expected one. The worst hosts of each side are left out, to a share. hosts is how many of the remaining
// canary hosts failed at all.
func strataByTime(canary, baseline []attemptSample, is func(attemptSample) bool, excluded float64) (strata []stratum, hosts int) {
	noLevel := func(attemptSample) float64 { return 0 }
	canaryHosts, hosts := excludeWorstHosts(summarizeByHost(canary, is, noLevel), excluded)
	baselineHosts, _ := excludeWorstHosts(summarizeByHost(baseline, is, noLevel), excluded)
	bySlot, all := map[Time]stratum{}, stratum{failures: 0.5, attempts: 1}
	for _, sample := range baseline {
		if is(sample) && baselineHosts[sample.host] {
			slot := bySlot[sample.timeSlot()]
			slot.add(sample)
			all.add(sample)
			bySlot[sample.timeSlot()] = slot
		}
	}
	index := map[Time]int{}
	for _, sample := range canary {
		if !is(sample) || !canaryHosts[sample.host] {
			continue
		}
		slot := sample.timeSlot()
		if _, ok := index[slot]; !ok {
			index[slot], strata = len(strata), append(strata, stratum{expectedRate: bySlot[slot].failureRate(all)})
		}
		strata[index[slot]].add(sample)
	}
	return strata, hosts
}

// strataByPeriod does the same with the release controller's reports on a class, period by period.
func (p buildPair) strataByPeriod(class *Class) (strata []stratum) {
	failures, attempts, _ := sumStats(p.baseline, class)
	all := stratum{failures: 0.5 + failures, attempts: 1 + attempts}
	of := func(x BuildStats) stratum {
		return stratum{failures: float64(x.Failures), attempts: float64(x.Samples)}
	}
	for _, x := range p.canary {
		if x.Class == class {
			period := of(x)
			period.expectedRate = of(samePeriod(x, p.baseline)).failureRate(all)
			strata = append(strata, period)
		}
	}
	return strata
}

// failureEvidence gives the odds that attempts fail more than expected: the mean likelihood ratio over some sizes of the
// gap. Were they as expected it would pass x with a chance of at most 1/x, however often it is looked at, and a mean of such
// odds keeps that bound: so many looks and tests raise no false alarm.
func failureEvidence(strata []stratum, gaps ...float64) (mean float64) {
	const logLimit = 50
	for _, gap := range gaps {
		sum := 0.0
		for _, x := range strata {
			p := x.expectedRate + gap*(1-x.expectedRate)
			sum += x.failures*math.Log(p/x.expectedRate) + (x.attempts-x.failures)*math.Log((1-p)/(1-x.expectedRate))
		}
		mean += math.Exp(min(logLimit, sum)) / float64(len(gaps))
	}
	return mean
}

// likelihoodRatio is that of a true gap of a size against none, for a gap measured with some variance. Its log is bounded,
// as the model may be wrong.
func likelihoodRatio(measured, size, variance, logLimit float64) float64 {
	return math.Exp(max(-logLimit, min(logLimit, (measured*size-size*size/2)/variance)))
}

// boundByHosts bounds odds by the number of hosts that they are evidence from: each may multiply them by four at the most.
func boundByHosts(odds float64, hosts int) float64 {
	return min(odds, math.Pow(4, float64(max(1, hosts))))
}

// hostSummary is what one host's samples say of its build.
type hostSummary struct {
	host                            *Host
	attempts, failures, logSlowdown float64 // logSlowdown is the sum of the attempts'
}

// summarizeByHost adds up samples of a kind by host, the hosts with most failures last. Logs of slowdowns are relative to a
// level.
func summarizeByHost(
	samples []attemptSample, is func(attemptSample) bool, level func(attemptSample) float64,
) (hosts []hostSummary) {
	for _, sample := range samples {
		if !is(sample) {
			continue
		}
		i := slices.IndexFunc(hosts, func(x hostSummary) bool { return x.host == sample.host })
		if i < 0 {
			i, hosts = len(hosts), append(hosts, hostSummary{host: sample.host})
		}
		hosts[i].attempts, hosts[i].logSlowdown = hosts[i].attempts+1, hosts[i].logSlowdown+sample.logSlowdown()-level(sample)
		if sample.outcome != Succeeded {
			hosts[i].failures++
		}
	}
	slices.SortStableFunc(hosts, func(a, b hostSummary) int { return int(a.failures - b.failures) })
	return hosts
}

// excludeWorstHosts gives all hosts but a share of them, those with most failures, and how many of the rest failed at all.
// One failure is no sign that a host differs from the others.
func excludeWorstHosts(hosts []hostSummary, excluded float64) (rest map[*Host]bool, failing int) {
	const strayFailures = 1
	rest = map[*Host]bool{}
	worst := int(math.Ceil(excluded * float64(len(hosts))))
	for i, x := range hosts {
		rest[x.host] = i == 0 || i < len(hosts)-worst || x.failures <= strayFailures
		if rest[x.host] && x.failures > 0 {
			failing++
		}
	}
	return rest, failing
}

// logSlowdownByTime gives the mean log slowdown of samples of a kind at the time of a sample, as if some more were as all
// others.
func logSlowdownByTime(samples []attemptSample, is func(attemptSample) bool) func(attemptSample) float64 {
	type sum struct{ logs, n float64 }
	bySlot, all := map[Time]sum{}, sum{0, 0.01}
	for _, sample := range samples {
		if is(sample) {
			slot := bySlot[sample.timeSlot()]
			bySlot[sample.timeSlot()] = sum{slot.logs + sample.logSlowdown(), slot.n + 1}
			all = sum{all.logs + sample.logSlowdown(), all.n + 1}
		}
	}
	return func(sample attemptSample) float64 {
		slot := bySlot[sample.timeSlot()]
		return (slot.logs + priorAttempts*all.logs/all.n) / (slot.n + priorAttempts)
	}
}

// hostLogSlowdowns gives the hosts' mean log slowdowns and the variance of their mean, for hosts whose own ones have a
// standard deviation and attempts that have a variance. Hosts with the first of so many attempts count; where there is none,
// those with the next.
func hostLogSlowdowns(
	hosts []hostSummary, hostDeviation, attemptVariance float64, minAttempts ...float64,
) (logs []float64, variance float64) {
	for len(logs) == 0 && len(minAttempts) > 0 {
		for _, x := range hosts {
			if x.attempts >= minAttempts[0] {
				logs, variance = append(logs, x.logSlowdown/x.attempts), variance+hostDeviation*hostDeviation+attemptVariance/x.attempts
			}
		}
		minAttempts = minAttempts[1:]
	}
	return logs, variance / max(1, float64(len(logs)*len(logs)))
}
