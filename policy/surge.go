package policy

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// latencySurge is how the fleet's latency has moved since the canary was offered.
type latencySurge struct {
	state        surgeState
	since        Time
	lastNormalAt Time // when responses last took about as long as before the canary was offered
}

// surgeState finds a canary that slows all hosts alike, baseline ones too, which leaves no gap between the two: shadow
// attempts pause while the fleet is slower than before the canary was offered. Routers that judge by the release
// controller's statistics pause together.
//
//	state          event          next           for
//	surgeNone      surgeRose      surgePaused    shadow attempts pause
//	surgePaused    surgeSubsided  surgeObserved  they go on; that it subsided may be chance
//	surgePaused    surgeTimedOut  surgeNone      the fleet is slow without them too
//	surgeObserved  surgeRose      surgeProven    slow twice with them, fast without them
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

// surgeTransition is a row of the table at surgeState.
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

// surgeEvidence takes the present latency of the fleet into the surge's state and gives the odds that the canary slows the
// fleet. All classes must be slow: one that waits by itself has another cause.
func (r *Router) surgeEvidence(baseline *buildWindow) float64 {
	const rose, subsided = 0.4, 0.25           // log of the latency over that before the canary
	const stateTimeout = 15 * Second           // by then queues have drained and the release controller has counted that
	const window = stateTimeout / 6            // that latency is measured over
	const minAttempts = 60                     // fewer scatter
	const minCanaryShare = 0.15                // of the attempts: a canary that gets less can't slow a fleet so
	const provenByStats, provenByOwn = 400, 20 // odds; an own observation may be a fault of the fleet
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

// surgeMagnitude is the log of how many times longer attempts after a moment take than before the canary, and how many say
// so: of the least slow class by the release controller's statistics, or of own attempts at the baseline.
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
		if canaryAttempts+oldAttempts > 0 { // in the last stage most are the canary's
			slower = min(slower, (old*oldAttempts+canary*canaryAttempts)/(oldAttempts+canaryAttempts))
			n = n + oldAttempts + canaryAttempts
		}
	}
	return slower, n
}

// canaryShare is the share of the attempts after a moment that went to the canary, by the release controller's statistics
// or by own attempts.
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

// isUnreadyForRelease reports whether the fleet has slowed for no known cause, or the canary hosts known are too few to
// carry all requests after a release, or too cold: the more overloaded the fleet, the warmer they must be.
func (r *Router) isUnreadyForRelease() bool {
	const lowestFactor, factorPerSlowdown, highestFactor = 0.4, 0.15, 0.95 // mean capacity factor
	needed := min(highestFactor, lowestFactor+factorPerSlowdown*max(1, r.expectedSlowdown(localZone)))
	canaryHosts := r.countHosts(r.release.runsNewestBuild)
	return r.surge.state == surgePaused || r.surge.state == surgeObserved || 2*canaryHosts < r.countHosts(r.isBaseline) ||
		r.totalCapacityFactor(r.release.runsNewestBuild) < needed*canaryHosts
}
