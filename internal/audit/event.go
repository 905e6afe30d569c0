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
	clientDisconnected
	attemptArrived
	attemptRejected
	effectApplied
	endpointsAcknowledged
	releaseAnnounced
	routerStarting
	routerStopping
	routerPaused
)

// event is one observation. The kind determines which fields are used.
type event struct {
	at            time.Duration
	observerDelay time.Duration // time from the event until its observer saw it
	kind          eventKind
	requestID     string // unique for each request that a client sends; a retry has its own
	operationID   string // shared by a request and its retries by the client
	router        string
	class         string
	outcome       string
	timeout       time.Duration // the client's timeout; for routerPaused the length of the pause
	host          *Host
	work          float64 // seconds
	release       ReleaseStatus
	states        map[uint32]policy.EndpointState
}

// RemoteEvent is an event that a backend in another process observed. At is on that process's clock.
type RemoteEvent struct {
	Kind      string // a key of remoteKinds
	At        time.Time
	RequestID string
	Router    string
	Class     string
	Work      float64 // seconds
}

var remoteKinds = map[string]eventKind{"arrived": attemptArrived, "unseen": attemptRejected, "ran": effectApplied}
