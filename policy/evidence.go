package policy

import (
	"math"
	"slices"
)

// Attempts at the canary are compared with attempts at the baseline in the same time slot.
const (
	slotLength    = 2 * Second
	priorAttempts = 5.0 // weight of the mean over all slots in the estimate for one slot, in attempts
)

// stratum holds the number of attempts of one class and time slot, the number of failures among them, and the expected
// failure rate.
type stratum struct{ failures, attempts, expectedRate float64 }

func (s *stratum) add(sample attemptSample) {
	if s.attempts++; sample.outcome != Succeeded {
		s.failures++
	}
}

// failureRate returns the failure rate, estimated as if priorAttempts more attempts had failed at the rate of the prior.
func (s stratum) failureRate(prior stratum) float64 {
	return (s.failures + priorAttempts*prior.failures/prior.attempts) / (s.attempts + priorAttempts)
}

// withRateFloor raises expected rates that are below a floor to the floor.
func withRateFloor(strata []stratum, floor float64) []stratum {
	for i := range strata {
		strata[i].expectedRate = max(floor, strata[i].expectedRate)
	}
	return strata
}

// strataByTime groups the matching samples of the canary by the slot in which they were sent. The expected failure rate
// of a slot is the baseline's failure rate in that slot. excluded is the share of the hosts that is left out for each
// build: those with the most failures. hosts is the number of remaining canary hosts with at least one failure.
func strataByTime(
	canary, baseline []attemptSample, matches func(attemptSample) bool, excluded float64,
) (strata []stratum, hosts int) {
	noLevel := func(attemptSample) float64 { return 0 }
	canaryHosts, hosts := excludeWorstHosts(summarizeByHost(canary, matches, noLevel), excluded)
	baselineHosts, _ := excludeWorstHosts(summarizeByHost(baseline, matches, noLevel), excluded)
	bySlot, all := map[Time]stratum{}, stratum{failures: 0.5, attempts: 1}
	for _, sample := range baseline {
		if matches(sample) && baselineHosts[sample.host] {
			slot := bySlot[sample.timeSlot()]
			slot.add(sample)
			all.add(sample)
			bySlot[sample.timeSlot()] = slot
		}
	}
	index := map[Time]int{}
	for _, sample := range canary {
		if !matches(sample) || !canaryHosts[sample.host] {
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

// strataByPeriod groups the release controller's reports on a class as strataByTime groups samples, with one stratum
// for each report period.
func (p buildPair) strataByPeriod(class *Class) (strata []stratum) {
	failures, attempts, _ := sumStats(p.baseline, class)
	all := stratum{failures: 0.5 + failures, attempts: 1 + attempts}
	toStratum := func(x BuildStats) stratum {
		return stratum{failures: float64(x.Failures), attempts: float64(x.Samples)}
	}
	for _, x := range p.canary {
		if x.Class == class {
			period := toStratum(x)
			period.expectedRate = toStratum(samePeriod(x, p.baseline)).failureRate(all)
			strata = append(strata, period)
		}
	}
	return strata
}

// failureEvidence returns the odds that attempts fail more often than expected: the mean of the likelihood ratios for
// the given sizes of the gap. If attempts fail as expected, the probability that the ratio ever exceeds x is at most
// 1/x, however often it is computed. A mean of such odds keeps this bound, so that repeated checks and several tests
// cause no false alarms.
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

// likelihoodRatio returns the likelihood ratio of a true gap of a given size against no gap, for a gap that was measured with
// a given variance. Its log is limited, because the model may be wrong.
func likelihoodRatio(measured, size, variance, logLimit float64) float64 {
	return math.Exp(max(-logLimit, min(logLimit, (measured*size-size*size/2)/variance)))
}

// boundByHosts limits odds by the number of hosts that the evidence is from: each host contributes a factor of at most four.
func boundByHosts(odds float64, hosts int) float64 {
	return min(odds, math.Pow(4, float64(max(1, hosts))))
}

// hostSummary sums up the samples of one host.
type hostSummary struct {
	host                            *Host
	attempts, failures, logSlowdown float64 // logSlowdown is the sum over the attempts
}

// summarizeByHost sums up the matching samples by host, with the hosts with the most failures last. Log slowdowns are
// relative to the level at each sample.
func summarizeByHost(
	samples []attemptSample, matches func(attemptSample) bool, level func(attemptSample) float64,
) (hosts []hostSummary) {
	for _, sample := range samples {
		if !matches(sample) {
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

// excludeWorstHosts excludes the hosts with the most failures; excluded is their share of all hosts. rest is true for the
// remaining hosts, and failing is the number of those with at least one failure. A host with a single failure is never
// excluded, because one failure does not show that the host differs from the others.
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

// logSlowdownByTime returns a function that gives the mean log slowdown of the matching samples in the time slot of a sample,
// estimated as if priorAttempts more samples of the slot had the mean of all slots.
func logSlowdownByTime(samples []attemptSample, matches func(attemptSample) bool) func(attemptSample) float64 {
	type sum struct{ logs, n float64 }
	bySlot, all := map[Time]sum{}, sum{0, 0.01}
	for _, sample := range samples {
		if matches(sample) {
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

// hostLogSlowdowns returns the mean log slowdown of each host and the variance of the mean over the hosts.
// hostDeviation is the standard deviation among hosts, attemptVariance the variance among the attempts at a host. Only
// hosts with at least minAttempts[0] attempts count; if there are none, those with at least minAttempts[1], and so on.
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
