package policy

// exposureOf tells whether a build is on trial for this router, and at which stage and cap. One that is not
// announced yet counts as in the first stage.
func (s *releaseState) exposureOf(build int) (on bool, stage int, share float64) {
	switch {
	case build == s.rolledBackBuild && build < s.status.Build: // its hosts may still be listed when the next is offered
		return true, 0, 0
	case !s.known || build < s.status.Build || build == s.status.Build && s.status.Phase == Released:
		return false, 0, 1
	case build > s.status.Build && len(s.config.ExposureCaps) > 0:
		return true, 0, s.config.ExposureCaps[0]
	case build > s.status.Build || s.status.Phase != Canary:
		return true, 0, 0
	}
	return true, s.status.Stage, s.status.ExposureCap
}

// withinExposure tells whether one more send of the category at a build on trial keeps the rule on exposure. Sends are
// counted over a little more than the window and tasks over a little less. What an earlier life of this
// router sent is unknown after a start, so nothing goes there until one window has passed.
func (r *Router) withinExposure(build int, class *Class) bool {
	const edge = Second / 20 // several ticks of any clock
	on, stage, share := r.release.exposureOf(build)
	if !on {
		return true
	}
	if share <= 0 || r.now-r.startedAt < r.release.config.ExposureWindow+edge || class.Idempotency != Idempotent && stage < r.release.config.GuardedStages {
		return false
	}
	if !r.release.config.ExposurePerClass {
		class = nil
	}
	tried, taken := countSince(r.traffic.canaryAttempts, r.now-r.release.config.ExposureWindow-edge, class), countSince(r.traffic.arrivals, r.now-r.release.config.ExposureWindow+edge, class)
	return tried+1 <= r.release.config.ExposureAllowance+share*taken
}
