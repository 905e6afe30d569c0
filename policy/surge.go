package policy

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// latencySurge records how the fleet's latency has changed since the canary was offered.
type latencySurge struct {
	state        surgeState
	since        Time // when the state was entered
	lastNormalAt Time // when responses were last not far slower than before the canary was offered, or too few to tell
}

// surgeState detects a canary that slows down all hosts alike, including baseline hosts, so that no gap shows between the
// two builds. Shadow attempts pause while the fleet is slower than before the canary was offered. Routers that judge by the
// release controller's statistics pause at the same time.
//
//	state          event          next           meaning
//	surgeNone      surgeRose      surgePaused    shadow attempts pause
//	surgePaused    surgeSubsided  surgeObserved  shadow attempts resume; the fall in latency may be chance
//	surgePaused    surgeTimedOut  surgeNone      the fleet is slow without shadow attempts too
//	surgeObserved  surgeRose      surgeProven    the fleet is slow twice with shadow attempts and fast without them
//	surgeObserved  surgeTimedOut  surgeNone
//	surgeProven    surgeTimedOut  surgeNone
//
// Any other pair changes nothing.
type surgeState int

const (
	surgeNone surgeState = iota
	surgePaused
	surgeObserved
	surgeProven
)

type surgeEvent int

const (
	surgeRose surgeEvent = iota
	surgeSubsided
	surgeTimedOut
)

// surgeTransition is a row of the table that is documented at surgeState.
type surgeTransition struct {
	state surgeState
	event surgeEvent
	next  surgeState
}

var surgeTransitions = []surgeTransition{
	{surgeNone, surgeRose, surgePaused},
	{surgePaused, surgeSubsided, surgeObserved},
	{surgePaused, surgeTimedOut, surgeNone},
	{surgeObserved, surgeRose, surgeProven},
	{surgeObserved, surgeTimedOut, surgeNone},
	{surgeProven, surgeTimedOut, surgeNone},
}

func (s *latencySurge) transition(event surgeEvent, now Time) {
	for _, row := range surgeTransitions {
		if row.state == s.state && row.event == event {
			s.state, s.since = row.next, now
			return
		}
	}
}

// surgeEvidence updates the surge state with the current latency of the fleet and returns the odds that the canary
// slows down the fleet. If the release controller's statistics are used, all classes must be slow: a class that is slow
// alone has another cause.
func (r *Router) surgeEvidence(baseline *buildWindow) float64 {
	const rose, subsided = 0.4, 0.25           // logarithm of the ratio of the latency to that before the canary
	const stateTimeout = 15 * Second           // within this time queues drain and the release controller's statistics show it
	const window = stateTimeout / 6            // time over which latency is measured
	const minAttempts = 60                     // the latency of fewer attempts varies too much
	const minCanaryShare = 0.15                // share of the attempts; a canary that gets less can't slow down the fleet this much
	const provenByStats, provenByOwn = 400, 20 // odds; slowness that only this router observes may be a fault of the fleet
	slower, n := r.surgeMagnitude(baseline, r.now-window)
	switch {
	case n < minAttempts:
	case slower > rose && r.canaryShare(r.now-window) > minCanaryShare:
		r.surge.transition(surgeRose, r.now)
	case slower < subsided:
		r.surge.transition(surgeSubsided, r.now)
	}
	if r.now-r.surge.since > stateTimeout {
		r.surge.transition(surgeTimedOut, r.now)
	}
	switch {
	case r.surge.state != surgeProven:
		return 1
	case r.judgesByStats():
		return provenByStats
	}
	return provenByOwn
}

// surgeMagnitude returns the logarithm of the factor by which attempts after the given time took longer than attempts
// before the canary, and the number of attempts that this is based on. It uses the least slow class in the release
// controller's statistics, or this router's own attempts at the baseline.
func (r *Router) surgeMagnitude(baseline *buildWindow, after Time) (slower, n float64) {
	if !r.judgesByStats() {
		logs := baseline.logLatencyRatiosSince(after, r.load.concurrencyCost)
		return stat.Mean(logs, nil), float64(len(logs))
	}
	slower = math.Inf(1)
	newest, offeredAt := r.release.status.Build, r.release.offeredAt
	for _, class := range r.classes {
		old, oldAttempts := r.analysis.logLatencyGapToPast(class, baseline.build, baseline.build, offeredAt, after)
		canary, canaryAttempts := r.analysis.logLatencyGapToPast(class, baseline.build, newest, offeredAt, after)
		if canaryAttempts+oldAttempts > 0 { // in the last stage most attempts are at the canary
			slower = min(slower, (old*oldAttempts+canary*canaryAttempts)/(oldAttempts+canaryAttempts))
			n = n + oldAttempts + canaryAttempts
		}
	}
	return slower, n
}

// canaryShare is the share of the attempts after the given time that went to the canary, from the release controller's
// statistics or from this router's own attempts.
func (r *Router) canaryShare(after Time) float64 {
	canary := countSince(r.traffic.canaryAttempts, after, nil)
	all := canary + countSince(r.traffic.baselineAttempts, after, nil)
	if r.judgesByStats() {
		canary, all = 0, 0
		for _, stats := range r.analysis.stats {
			if stats.receivedAt > after {
				if all += float64(stats.Samples); stats.Build == r.release.status.Build {
					canary += float64(stats.Samples)
				}
			}
		}
	}
	return canary / max(1, all)
}

// isUnreadyForRelease reports whether the fleet has slowed down for an unknown reason, or whether the known canary hosts
// are too few or too cold to carry all requests after a release. The more overloaded the fleet is, the warmer they must
// be.
func (r *Router) isUnreadyForRelease() bool {
	const lowestFactor, factorPerSlowdown, highestFactor = 0.4, 0.15, 0.95 // mean capacity factor
	needed := min(highestFactor, lowestFactor+factorPerSlowdown*max(1, r.expectedSlowdown(localZone)))
	canaryHosts := r.countHosts(r.release.runsNewestBuild)
	return r.surge.state == surgePaused || r.surge.state == surgeObserved || 2*canaryHosts < r.countHosts(r.isBaseline) ||
		r.totalCapacityFactor(r.release.runsNewestBuild) < needed*canaryHosts
}
