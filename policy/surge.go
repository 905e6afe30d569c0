package policy

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// latencySurge is how the whole fleet's latency has moved since the canary was offered.
type latencySurge struct {
	state        surgeState
	since        Time
	lastNormalAt Time // when answers last took about as long as before the canary was offered
}

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

type surgeTransition struct {
	state surgeState
	event surgeEvent
	next  surgeState
}

// surgeTransitions says whether the build on trial slows old and new alike, which leaves no gap between them: copies
// rest while the earlier build is slower than before. Where routers see the desk's counts they rest together.
var surgeTransitions = []surgeTransition{
	{surgeNone, surgeRose, surgePaused},
	{surgePaused, surgeSubsided, surgeObserved}, // copies rest and it is quick again: so far that may be chance
	{surgePaused, surgeTimedOut, surgeNone},     // it is slow without copies too
	{surgeObserved, surgeRose, surgeProven},     // with copies it was slow twice, and without them quick
	{surgeObserved, surgeTimedOut, surgeNone},
	{surgeProven, surgeTimedOut, surgeNone},
}

// transitionSurge reads the table of swells.
func (s *latencySurge) transition(event surgeEvent, now Time) {
	for _, row := range surgeTransitions {
		if row.state == s.state && row.event == event {
			s.state, s.since = row.next, now
			return
		}
	}
}

// surgeEvidence reads the table and weighs it; a category that waits alone is another trouble, so all must be slow.
func (r *Router) surgeEvidence(before *buildWindow) float64 {
	const high, low = 0.4, 0.25  // log of half slower than before the trial; of little more than then
	const rest = 15 * Second     // by then what waits at hosts has gone and the desk has counted it
	const few, small = 60, 0.15  // sends, as these scatter; of the sends: what gets less can't slow a fleet so
	const proof, alone = 400, 20 // odds: enough among the other tests that find nothing, and with another's only
	slow, n := r.surgeMagnitude(before, r.now-rest/6)
	switch {
	case n < few:
	case slow > high && r.canaryShare(r.now-rest/6) > small:
		r.surge.transition(surgeRose, r.now)
	case slow < low:
		r.surge.transition(surgeSubsided, r.now)
	}
	if r.now-r.surge.since > rest {
		r.surge.transition(surgeTimedOut, r.now)
	}
	if r.surge.state == surgeProven { // own sends alone swell by a trouble of the fleet as well
		return map[bool]float64{true: proof, false: alone}[r.judgesByStats()]
	}
	return 1
}

// surgeMagnitude is how much longer than before the trial sends take since from: by the desk's counts of all, in the
// category that is the least so, or by own answers; and how many sends say so.
func (r *Router) surgeMagnitude(before *buildWindow, from Time) (gap, n float64) {
	if !r.judgesByStats() {
		logs := before.logLatencyRatiosSince(from, r.load.concurrencyCost)
		return stat.Mean(logs, nil), float64(len(logs))
	}
	gap = math.Inf(1)
	for _, class := range r.classes {
		g, k := logLatencyGapToPast(r.analysis.stats, class, before.build, before.build, r.release.offeredAt, from, 0)
		h, l := logLatencyGapToPast(r.analysis.stats, class, before.build, r.release.status.Build, r.release.offeredAt, from, 0) // in the end it has most of the sends
		if k+l > 0 {
			gap, n = min(gap, (g*k+h*l)/(k+l)), n+k+l
		}
	}
	return gap, n
}

// canaryShare is the share of the sends since a moment that went on trial, as the desk counted them, or of the
// own.
func (r *Router) canaryShare(from Time) float64 {
	at, all := countSince(r.traffic.canaryAttempts, from, nil), countSince(r.traffic.canaryAttempts, from, nil)+countSince(r.traffic.baselineAttempts, from, nil)
	if r.judgesByStats() {
		at, all = 0, 0
		for _, x := range r.analysis.stats {
			if x.receivedAt > from {
				if all += float64(x.Samples); x.Build == r.release.status.Build {
					at += float64(x.Samples)
				}
			}
		}
	}
	return at / max(1, all)
}

// isUnreadyForRelease tells that the fleet has slowed for no known cause, or that the hosts known are too few to carry all
// after a release, or too cold: the more jammed the fleet, the warmer they must be.
func (r *Router) isUnreadyForRelease() bool {
	need := min(0.95, 0.4+0.15*max(1, r.expectedSlowdown(localZone))) // it binds where answers take twice as long as usual
	return r.surge.state == surgePaused || r.surge.state == surgeObserved || 2*r.countHosts(r.release.runsNewestBuild) < r.countHosts(r.isBaseline) ||
		r.totalCapacityFactor(r.release.runsNewestBuild) < need*r.countHosts(r.release.runsNewestBuild)
}
