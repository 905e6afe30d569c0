package testbed

// Headers of requests and responses, with their names on the wire.
const (
	headerRequestID      = "Stand-Task" // id of the client's attempt, which the audit uses as request id
	headerFailsAlways    = "Stand-Bad"  // 1: the request fails on every backend
	headerClass          = "Dapplefront-Category"
	headerRouter         = "Dapplefront-Router"
	headerIdempotencyKey = "Idempotency-Key"

	// From a client to a router.
	headerTimeout     = "Dapplefront-Patience"
	headerClientRetry = "Dapplefront-Again" // 1: the request is a retry by the client

	// From a router to a client.
	headerOutcome    = "Dapplefront-Outcome"
	headerBackend    = "Dapplefront-Host"
	headerRetryAfter = "Dapplefront-Retry-After-Ms"

	// Between a router and a backend.
	headerStartTimeout = "Dapplefront-Within" // the time within which the backend must start work, as a duration
	headerNotStarted   = "Dapplefront-Unseen" // 1: the backend has not started the request
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
	bodyWrong    = "wrong" // followed by a space and the attempt's id; clients count the response as wrong
)
