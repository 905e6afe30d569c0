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

// Limits are the parameters of the rules, and the time that is allowed between sockets.
type Limits struct {
	Classes            map[string]Class // by name
	AnswerSlack        time.Duration    // how long after the client's timeout a response may arrive
	DrainGrace         time.Duration
	ColdOverloadFactor float64 // load that a backend in warm-up can take, as a multiple of its capacity
	ColdOverloadWindow time.Duration
	ExposureWindow     time.Duration
	ExposureAllowance  float64       // attempts at a canary allowed within the window in addition to the capped share
	ExposurePerClass   bool          // the cap applies to each class separately
	GuardedStages      int           // number of first stages that accept only idempotent requests
	FirstStageCap      float64       // exposure cap of builds that have not been announced yet
	TransitTime        time.Duration // time that is allowed from one socket to another
}

// Host is a backend at an address. Times are on the recorder's clock.
type Host struct {
	ID        uint32
	Build     int
	Zone      string
	Cell      int
	StartedAt time.Duration                  // 0 if it started long before the run
	WarmUp    time.Duration                  // length of the warm-up after StartedAt
	Capacity  func(at time.Duration) float64 // seconds of work per second; nil for a backend without a warm-up
}

// ReleaseStatus is what a controller announced to a router.
type ReleaseStatus struct {
	Build, Stage int
	Released     bool
	ExposureCap  float64 // share of the router's requests, from 0 to 1
}

// exposureOf returns the exposure limits that a router applies to a build after r was announced to it.
func (r ReleaseStatus) exposureOf(build int, firstStageCap float64) (canary bool, stage int, exposureCap float64) {
	switch {
	case build < r.Build || build == r.Build && r.Released:
		return false, 0, 1
	case build > r.Build:
		return true, 0, firstStageCap
	}
	return true, r.Stage, r.ExposureCap
}
