package audit

import (
	"time"

	"dapplefront/policy"
)

// Class holds the properties of a class of requests on which the rules depend.
type Class struct {
	Idempotency policy.Idempotency
	DedupScope  policy.DedupScope
	DedupWindow time.Duration // how long backends of one scope recognize an idempotency key
}

// Limits are the parameters of the rules, and the delays that the audit tolerates.
type Limits struct {
	Classes            map[string]Class // by name
	AnswerSlack        time.Duration    // how long after the client's timeout a response may arrive
	DrainGrace         time.Duration    // how long a router may still send attempts to a draining backend
	ColdOverloadFactor float64          // largest load of a backend in warm-up, as a multiple of its capacity
	ColdOverloadWindow time.Duration    // window over which the load is averaged
	ExposureWindow     time.Duration    // window in which a router's requests and attempts at a canary are counted
	ExposureAllowance  float64          // attempts at a canary allowed within the window in addition to the capped share
	ExposurePerClass   bool             // the cap applies to each class separately
	GuardedStages      int              // number of stages, from the first on, in which a canary gets only idempotent requests
	FirstStageCap      float64          // exposure cap of builds that have not been announced yet
	TransitTime        time.Duration    // how long a message may take from one socket to another
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
