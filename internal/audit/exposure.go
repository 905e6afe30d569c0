package audit

import (
	"math"
	"time"

	"dapplefront/policy"
)

// exposureTolerance is for rounding of the allowed number of attempts.
const exposureTolerance = 0.5

// judgeExposure judges an attempt at a canary build against what was announced to the router and what it got.
func (ev *evaluation) judgeExposure(r *routerState, e *event) {
	// A router that was told nothing can't know what is a canary; what it sent then may arrive a little after its first news.
	if len(r.releases) == 0 || e.at <= r.releases[0].at+ev.limits.TransitTime {
		return
	}
	build := e.host.Build
	latest := r.releases[len(r.releases)-1]
	if build < latest.Build || build == latest.Build && latest.Released {
		return // it may have been a canary a moment ago for the router, which is no looser
	}
	canary, stage, exposureCap := ev.loosestExposure(r, build, e.at)
	if !canary {
		return
	}
	limits := ev.limits
	ev.verdicts[RuleExposure].Checked++
	r.canaryAttempts = append(r.canaryAttempts, arrival{e.at, e.class, build})
	if limits.Classes[e.class].Idempotency != policy.Idempotent && stage < limits.GuardedStages {
		ev.report(RuleExposure, e.at-limits.DrainGrace, e.at, "router %s sent a %s task to build %d in guarded stage %d",
			e.router, e.class, build, stage)
		return
	}
	from := max(r.startedAt, e.at-limits.ExposureWindow+limits.TransitTime) // arrivals may be bunched in transit
	attempts := ev.count(r.canaryAttempts, from, e.class, build)
	requests := ev.count(r.requests, e.at-limits.ExposureWindow-limits.TransitTime, e.class, 0)
	if allowed := limits.ExposureAllowance + exposureCap*requests; attempts > allowed+exposureTolerance {
		ev.report(RuleExposure, from, e.at, "router %s sent %.0f tasks to build %d in %v, %.1f allowed (cap %.1f%%, %.0f taken)",
			e.router, attempts, build, limits.ExposureWindow, allowed, 100*exposureCap, requests)
	}
}

// loosestExposure is the loosest of what a router may still go by for a build: what was announced last, and what was in
// force within the grace period before.
func (ev *evaluation) loosestExposure(r *routerState, build int, at time.Duration) (canary bool, stage int, exposureCap float64) {
	const noStage = math.MaxInt
	stage = noStage
	for i := len(r.releases) - 1; i >= 0; i-- {
		release := r.releases[i]
		isCanary, itsStage, itsCap := release.exposureOf(build, ev.limits.FirstStageCap)
		canary = canary || isCanary
		if !isCanary {
			exposureCap, stage = 1, noStage-1
		}
		exposureCap = max(exposureCap, itsCap)
		if isCanary && (stage == noStage || itsStage > stage) {
			stage = itsStage
		}
		if release.at < at-ev.limits.DrainGrace-ev.limits.TransitTime {
			break
		}
	}
	return canary, stage, exposureCap
}

// count is how many arrivals came after a time: of a build, unless that is 0, and of a class where the cap is per class.
func (ev *evaluation) count(arrivals []arrival, from time.Duration, class string, build int) (n float64) {
	for i := len(arrivals) - 1; i >= 0 && arrivals[i].at > from; i-- {
		a := arrivals[i]
		if (build == 0 || a.build == build) && (!ev.limits.ExposurePerClass || a.class == class) {
			n++
		}
	}
	return n
}
