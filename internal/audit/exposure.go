package audit

import (
	"math"
	"time"

	"dapplefront/policy"
)

// exposureTolerance is added to the allowed number of attempts to absorb rounding.
const exposureTolerance = 0.5

// judgeExposure checks an attempt at a canary build against the release status announced to the router and the number of
// requests that the router received.
func (ev *evaluation) judgeExposure(r *routerState, e *event) {
	// Before its first announcement a router can't know which build is a canary. Attempts that it sent until then may arrive
	// up to the transit time after the announcement.
	if len(r.releases) == 0 || e.at <= r.releases[0].at+ev.limits.TransitTime {
		return
	}
	build := e.host.Build
	latest := r.releases[len(r.releases)-1]
	if build < latest.Build || build == latest.Build && latest.Released {
		return // no canary by the latest status; an earlier one, which the router may still apply, is no looser
	}
	canary, stage, exposureCap := ev.loosestExposure(r, build, e.at)
	if !canary {
		return
	}
	limits := ev.limits
	ev.verdicts[RuleExposure].Checked++
	r.canaryAttempts = append(r.canaryAttempts, arrival{e.at, e.class, build})
	if limits.Classes[e.class].Idempotency != policy.Idempotent && stage < limits.GuardedStages {
		ev.report(RuleExposure, e.at-limits.DrainGrace, e.at, "router %s sent a %s request to build %d in guarded stage %d",
			e.router, e.class, build, stage)
		return
	}
	from := max(r.startedAt, e.at-limits.ExposureWindow+limits.TransitTime) // shortened, because attempts may arrive closer together than they were sent
	attempts := ev.count(r.canaryAttempts, from, e.class, build)
	requests := ev.count(r.requests, e.at-limits.ExposureWindow-limits.TransitTime, e.class, 0)
	if allowed := limits.ExposureAllowance + exposureCap*requests; attempts > allowed+exposureTolerance {
		ev.report(RuleExposure, from, e.at, "router %s sent %.0f attempts to build %d within %v; %.1f are allowed (cap %.1f%% of %.0f requests)",
			e.router, attempts, build, limits.ExposureWindow, allowed, 100*exposureCap, requests)
	}
}

// loosestExposure returns the loosest exposure limits that a router may still apply to a build. It considers the status
// announced last and every status that was in force within the grace period before the given time.
func (ev *evaluation) loosestExposure(r *routerState, build int, at time.Duration) (canary bool, stage int, exposureCap float64) {
	const noStage = math.MaxInt
	stage = noStage
	for i := len(r.releases) - 1; i >= 0; i-- {
		release := r.releases[i]
		isCanary, releaseStage, releaseCap := release.exposureOf(build, ev.limits.FirstStageCap)
		canary = canary || isCanary
		if !isCanary {
			exposureCap, stage = 1, noStage-1
		}
		exposureCap = max(exposureCap, releaseCap)
		if isCanary && (stage == noStage || releaseStage > stage) {
			stage = releaseStage
		}
		if release.at < at-ev.limits.DrainGrace-ev.limits.TransitTime {
			break
		}
	}
	return canary, stage, exposureCap
}

// count returns the number of arrivals later than from. It counts only those of a build, unless build is 0, and only those of
// a class if the exposure cap applies per class.
func (ev *evaluation) count(arrivals []arrival, from time.Duration, class string, build int) (n float64) {
	for i := len(arrivals) - 1; i >= 0 && arrivals[i].at > from; i-- {
		a := arrivals[i]
		if (build == 0 || a.build == build) && (!ev.limits.ExposurePerClass || a.class == class) {
			n++
		}
	}
	return n
}
