package record

import (
	"dapplefront/policy"
	"dapplefront/router"
)

// Fields of the message Taken, which stores a router.RequestArrived.
const (
	requestID           = 1
	requestClass        = 2
	requestTenant       = 3 // hashed
	requestKey          = 4 // hashed
	requestTimeout      = 5
	requestExpectedWork = 6
	requestClientRetry  = 7
	requestClient       = 8
)

func appendRequestArrived(b *encoder, e router.RequestArrived, hash hashFunc) {
	b.text(requestID, e.RequestID)
	b.text(requestClass, e.Class)
	b.text(requestTenant, hash(e.Tenant))
	b.text(requestKey, hash(e.Key))
	b.int(requestTimeout, int64(e.Timeout))
	b.int(requestExpectedWork, int64(e.ExpectedWork))
	b.bool(requestClientRetry, e.ClientRetry)
	b.uint(requestClient, e.Client)
}

func decodeRequestArrived(message []byte) (router.Event, error) {
	var e router.RequestArrived
	err := eachField(message, func(f field) error {
		switch f.number {
		case requestID:
			e.RequestID = f.text()
		case requestClass:
			e.Class = f.text()
		case requestTenant:
			e.Tenant = f.text()
		case requestKey:
			e.Key = f.text()
		case requestTimeout:
			e.Timeout = f.time()
		case requestExpectedWork:
			e.ExpectedWork = f.time()
		case requestClientRetry:
			e.ClientRetry = f.bool()
		case requestClient:
			e.Client = f.value
		}
		return nil
	})
	return e, err
}

// Fields of the message Ended, which stores a router.AttemptEnded.
const (
	endedRequestID = 1
	endedAttempt   = 2
	endedOutcome   = 3
	endedLatency   = 4
	endedDone      = 5
	endedLoad      = 6
)

func appendAttemptEnded(b *encoder, e router.AttemptEnded) {
	b.text(endedRequestID, e.RequestID)
	b.int(endedAttempt, int64(e.Attempt))
	b.int(endedOutcome, int64(e.Outcome))
	b.int(endedLatency, int64(e.Latency))
	b.bool(endedDone, e.Done)
	appendLoad(b, endedLoad, e.Load)
}

func decodeAttemptEnded(message []byte) (router.Event, error) {
	var e router.AttemptEnded
	err := eachField(message, func(f field) (err error) {
		switch f.number {
		case endedRequestID:
			e.RequestID = f.text()
		case endedAttempt:
			e.Attempt = f.int()
		case endedOutcome:
			e.Outcome = policy.Outcome(f.int())
		case endedLatency:
			e.Latency = f.time()
		case endedDone:
			e.Done = f.bool()
		case endedLoad:
			e.Load, err = decodeLoad(f.bytes)
		}
		return err
	})
	return e, err
}

// Fields of the message Began, which stores a router.ResponseStarted.
const (
	startedRequestID = 1
	startedAttempt   = 2
)

func appendResponseStarted(b *encoder, e router.ResponseStarted) {
	b.text(startedRequestID, e.RequestID)
	b.int(startedAttempt, int64(e.Attempt))
}

func decodeResponseStarted(message []byte) (router.Event, error) {
	var e router.ResponseStarted
	err := eachField(message, func(f field) error {
		switch f.number {
		case startedRequestID:
			e.RequestID = f.text()
		case startedAttempt:
			e.Attempt = f.int()
		}
		return nil
	})
	return e, err
}

// Field of the message Left, which stores a router.ClientDisconnected.
const clientDisconnectedRequestID = 1

func appendClientDisconnected(b *encoder, e router.ClientDisconnected) {
	b.text(clientDisconnectedRequestID, e.RequestID)
}

func decodeClientDisconnected(message []byte) (router.Event, error) {
	var e router.ClientDisconnected
	err := eachField(message, func(f field) error {
		if f.number == clientDisconnectedRequestID {
			e.RequestID = f.text()
		}
		return nil
	})
	return e, err
}
