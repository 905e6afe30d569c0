package policy

// exposureLimit limits the attempts at a build.
type exposureLimit struct {
	applies bool    // false for a build that may get any request
	stage   int     // stage of the release
	share   float64 // cap on the attempts, as a share of the requests
}

// exposureOf is the exposure limit of a build. A build that the release controller has not announced yet counts as being
// in its first stage. A build that was rolled back gets no attempts, even after the next build is offered, because its
// hosts may still be listed.
func (s *releaseState) exposureOf(build int) exposureLimit {
	switch {
	case build == s.rolledBackBuild && build < s.status.Build:
		return exposureLimit{applies: true}
	case !s.known || build < s.status.Build || build == s.status.Build && s.status.Phase == Released:
		return exposureLimit{share: 1}
	case build > s.status.Build && len(s.config.ExposureCaps) > 0:
		return exposureLimit{applies: true, share: s.config.ExposureCaps[0]}
	case build > s.status.Build || s.status.Phase != Canary:
		return exposureLimit{applies: true}
	}
	return exposureLimit{applies: true, stage: s.status.Stage, share: s.status.ExposureCap}
}

// forbids reports whether the limit allows no attempt of a class at all.
func (l exposureLimit) forbids(class *Class, guardedStages int) bool {
	isGuarded := class.Idempotency != Idempotent && l.stage < guardedStages
	return l.applies && (l.share <= 0 || isGuarded)
}

// withinExposure reports whether one more attempt of the class at a build stays within the build's limit. Attempts are
// counted over slightly more than the window and requests over slightly less. After a start, the router doesn't know
// what an earlier process of this router sent, so it sends no attempt to a limited build until one window has passed.
func (r *Router) withinExposure(build int, class *Class) bool {
	const margin = Second / 20 // several ticks of any clock
	config, limit := &r.release.config, r.release.exposureOf(build)
	if !limit.applies {
		return true
	}
	if limit.forbids(class, config.GuardedStages) || r.now-r.startedAt < config.ExposureWindow+margin {
		return false
	}
	if !config.ExposurePerClass {
		class = nil
	}
	attempts := countSince(r.traffic.canaryAttempts, r.now-config.ExposureWindow-margin, class)
	requests := countSince(r.traffic.arrivals, r.now-config.ExposureWindow+margin, class)
	return attempts+1 <= config.ExposureAllowance+limit.share*requests
}
