package router

import (
	"dapplefront/plan"
	"dapplefront/policy"
)

// Event is something that a router handles.
type Event interface{ event() }

// RequestArrived is a request that has arrived; the router owes it one final response.
type RequestArrived struct {
	RequestID    string // never used before
	Class        string
	Tenant       string // a name from Config.Tenants; others count as none
	Key          string // requests that concern the same thing share it; empty for none
	Timeout      policy.Time
	ExpectedWork policy.Time // 0 where it is not known
	ClientRetry  bool        // the client says that it retries
}

// AttemptEnded is the end of an attempt of a request.
type AttemptEnded struct {
	RequestID string
	Attempt   int // counted from 0
	Outcome   policy.Outcome
	Latency   policy.Time
	Done      bool               // the request is over, by this attempt or already before it
	Load      *policy.LoadReport // what the host reported with it, nil for nothing
}

// ResponseStarted is the first byte of a streamed response.
type ResponseStarted struct {
	RequestID string
	Attempt   int
}

// ClientGone is a client that has gone; no response is due to it any more.
type ClientGone struct{ RequestID string }

// EndpointsChanged is an endpoint list: all of it (Complete), or what has changed.
type EndpointsChanged struct {
	Complete bool
	Hosts    []Host
}

// EndpointsUnavailable is a failure of endpoint discovery; the list that is known still applies.
type EndpointsUnavailable struct{}

// ReleaseChanged is a release status of the controllers, unsolicited or in answer to a vote.
type ReleaseChanged struct{ Status policy.ReleaseStatus }

// StatsReported is what the controllers counted for a build and a class.
type StatsReported struct {
	Build             int
	Class             string
	Failures, Samples int
	MeanLatency, Age  policy.Time
	Window            policy.Time // the span that was counted
}

// ComplaintReceived is a client that found a response wrong.
type ComplaintReceived struct {
	Host  uint32
	Class string
	Age   policy.Time // since the attempt was sent
}

// TimerFired is a timer that a SetTimer action asked for.
type TimerFired struct{ Timer int64 }

// HealthChecked is the result of a health check of a host.
type HealthChecked struct {
	Host    uint32
	Outcome policy.Outcome
	Latency policy.Time
	Load    *policy.LoadReport
}

// GossipReceived is a message from another router, by its rank.
type GossipReceived struct {
	Peer int
	Body string
}

// ConfigChanged is a configuration that replaces the present one. One that a running router can't take is an error and
// changes nothing.
type ConfigChanged struct{ Config Config }

// PlanOffered is a version of a weight plan. An AcknowledgePlan action tells whether it is followed.
type PlanOffered struct{ Offer plan.Offer }

func (RequestArrived) event()       {}
func (AttemptEnded) event()         {}
func (ResponseStarted) event()      {}
func (ClientGone) event()           {}
func (EndpointsChanged) event()     {}
func (EndpointsUnavailable) event() {}
func (ReleaseChanged) event()       {}
func (StatsReported) event()        {}
func (ComplaintReceived) event()    {}
func (TimerFired) event()           {}
func (HealthChecked) event()        {}
func (GossipReceived) event()       {}
func (ConfigChanged) event()        {}
func (PlanOffered) event()          {}

// Host is one entry of the endpoint list. ID must be the same at all routers, as they take turns by it.
type Host struct {
	ID        uint32
	Zone      string
	Cell      int
	State     policy.EndpointState
	Build     int
	Weight    float64
	StartedAt policy.Time // when its process started; 0 is long ago
}
