package audit

import (
	"time"

	"dapplefront/policy"
)

type eventKind int

const (
	requestSent eventKind = iota
	responseReceived
	connectionLost
	connectFailed
	clientLeft
	attemptArrived
	attemptRejected
	effectRan
	endpointsAcknowledged
	releaseAnnounced
	routerStarting
	routerStopping
	routerPaused
)

// event is one observation. Which fields count depends on its kind.
type event struct {
	at          time.Duration
	noticed     time.Duration // how much later than at the observer itself noticed the event
	kind        eventKind
	requestID   string // of one request of a client
	operationID string // shared by a request and its retries by the client
	router      string
	class       string
	outcome     string
	timeout     time.Duration // of the client; of a pause, its length
	host        *Host
	work        float64 // seconds
	release     ReleaseStatus
	states      map[uint32]policy.EndpointState
}

// RemoteEvent is what a backend in another process saw, with its clock.
type RemoteEvent struct {
	Kind      string // arrived, unseen or ran
	At        time.Time
	RequestID string
	Router    string
	Class     string
	Work      float64 // seconds
}

var remoteKinds = map[string]eventKind{"arrived": attemptArrived, "unseen": attemptRejected, "ran": effectRan}
