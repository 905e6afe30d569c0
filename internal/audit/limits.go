package audit

import (
	"time"

	"dapplefront/policy"
)

// Class is what the rules need to know of a class of requests.
type Class struct {
	Idempotency policy.Idempotency
	DedupScope  policy.DedupScope
	DedupWindow time.Duration // how long backends of one scope recognize an idempotency key
}

// Limits are the rules' parameters, and the time that is allowed between sockets.
type Limits struct {
	Classes            map[string]Class // by name
	AnswerSlack        time.Duration    // an answer may come so long after the client's timeout
	DrainGrace         time.Duration
	ColdOverloadFactor float64 // times the capacity that a backend bears while it warms up
	ColdOverloadWindow time.Duration
	ExposureWindow     time.Duration
	ExposureAllowance  float64 // attempts at a canary within the window beside the capped share
	ExposurePerClass   bool    // the cap holds for each class alone
	GuardedStages      int     // first stages that take idempotent requests only
	FirstStageCap      float64 // exposure cap of builds that were not announced yet
	TransitTime        time.Duration
}

// Host is a backend at an address. Times are of the recorder's clock.
type Host struct {
	ID        uint32
	Build     int
	Zone      string
	Cell      int
	StartedAt time.Duration                  // 0 for long ago
	WarmUp    time.Duration                  // it is cold for so long after StartedAt
	Capacity  func(at time.Duration) float64 // seconds of work a second; nil for a backend that is never cold
}

// ReleaseStatus is what a controller announced to a router.
type ReleaseStatus struct {
	Build, Stage int
	Released     bool
	ExposureCap  float64 // share of the router's requests, from 0 to 1
}

// exposureOf is what a router to which r was announced goes by for a build.
func (r ReleaseStatus) exposureOf(build int, firstStageCap float64) (canary bool, stage int, exposureCap float64) {
	switch {
	case build < r.Build || build == r.Build && r.Released:
		return false, 0, 1
	case build > r.Build:
		return true, 0, firstStageCap
	}
	return true, r.Stage, r.ExposureCap
}
