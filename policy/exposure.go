package policy

// exposureOf tells whether a build is on trial for this router, and at which stage and cap. One that is not
// announced yet counts as in the first stage.
func (r *Router) exposureOf(build int) (on bool, stage int, share float64) {
	switch {
	case build == r.rolledBackBuild && build < r.releaseStatus.Build: // its hosts may still be listed when the next is offered
		return true, 0, 0
	case !r.releaseKnown || build < r.releaseStatus.Build || build == r.releaseStatus.Build && r.releaseStatus.Phase == Released:
		return false, 0, 1
	case build > r.releaseStatus.Build && len(r.releaseConfig.ExposureCaps) > 0:
		return true, 0, r.releaseConfig.ExposureCaps[0]
	case build > r.releaseStatus.Build || r.releaseStatus.Phase != Canary:
		return true, 0, 0
	}
	return true, r.releaseStatus.Stage, r.releaseStatus.ExposureCap
}

// withinExposure tells whether one more send of the category at a build on trial keeps the rule on exposure. Sends are
// counted over a little more than the window and tasks over a little less. What an earlier life of this
// router sent is unknown after a start, so nothing goes there until one window has passed.
func (r *Router) withinExposure(build int, class *Class) bool {
	const edge = Second / 20 // several ticks of any clock
	on, stage, share := r.exposureOf(build)
	if !on {
		return true
	}
	if share <= 0 || r.now-r.startedAt < r.releaseConfig.ExposureWindow+edge || class.Idempotency != Idempotent && stage < r.releaseConfig.GuardedStages {
		return false
	}
	if !r.releaseConfig.ExposurePerClass {
		class = nil
	}
	tried, taken := countSince(r.canaryAttempts, r.now-r.releaseConfig.ExposureWindow-edge, class), countSince(r.arrivals, r.now-r.releaseConfig.ExposureWindow+edge, class)
	return tried+1 <= r.releaseConfig.ExposureAllowance+share*taken
}
