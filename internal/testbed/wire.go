package testbed

// Headers of requests and responses, by the names that they have on the wire.
const (
	headerRequestID      = "Stand-Task" // the attempt, as the audit knows it
	headerFailsAlways    = "Stand-Bad"  // 1: the request fails on every backend
	headerClass          = "Dapplefront-Category"
	headerRouter         = "Dapplefront-Router"
	headerIdempotencyKey = "Idempotency-Key"

	// From a client to a router.
	headerTimeout     = "Dapplefront-Patience"
	headerClientRetry = "Dapplefront-Again" // 1: the client has tried before

	// From a router to a client.
	headerOutcome    = "Dapplefront-Outcome"
	headerBackend    = "Dapplefront-Host"
	headerRetryAfter = "Dapplefront-Retry-After-Ms"

	// Between a router and a backend.
	headerStartTimeout = "Dapplefront-Within" // a duration
	headerNotStarted   = "Dapplefront-Unseen" // 1: the backend has not begun the request
)

// Values of headerOutcome.
const (
	outcomeSucceeded = "finished"
	outcomeRejected  = "turned-back"
	outcomeFailed    = "scrapped"
)

// Bodies of responses.
const (
	bodyFailed   = "failed"
	bodyRejected = "not looked at"
	bodyRight    = "right" // followed by a space and the attempt's id
	bodyWrong    = "wrong" // as bodyRight, but the answer counts as wrong
)
