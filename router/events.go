package router

import (
	"dapplefront/plan"
	"dapplefront/policy"
)

// Event is an input that a router handles.
type Event interface{ event() }

// RequestArrived reports a new request. The router gives it exactly one final response, unless its client disconnects
// first.
type RequestArrived struct {
	RequestID    string // must not have been used before
	Class        string
	Tenant       string // a name from Config.Tenants; any other name means no tenant
	Key          string // the same for requests that concern the same object; empty if the request has no key
	Timeout      policy.Time
	ExpectedWork policy.Time // 0 if unknown
	ClientRetry  bool        // whether the client has announced that it retries on its own
	Client       uint64      // number of the client's connection, by which clients share busy hosts; 0 if unknown
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	RequestID string
	Attempt   int // number of the attempt within the request, from 0
	Outcome   policy.Outcome
	Latency   policy.Time
	Done      bool               // whether the request is complete, through this attempt or an earlier one
	Load      *policy.LoadReport // the load report that the host sent with its response, or nil
}

// ResponseStarted reports the first byte of a streamed response.
type ResponseStarted struct {
	RequestID string
	Attempt   int
}

// ClientDisconnected reports that a client disconnected: its request needs no response any more.
type ClientDisconnected struct{ RequestID string }

// EndpointsChanged is the complete endpoint list if Complete is set. Otherwise it has only the hosts that have changed.
type EndpointsChanged struct {
	Complete bool
	Hosts    []Host
}

// EndpointsUnavailable reports a failure of endpoint discovery. The last known list stays in use.
type EndpointsUnavailable struct{}

// ReleaseChanged is a release status from the controllers, either unsolicited or in response to a vote.
type ReleaseChanged struct{ Status policy.ReleaseStatus }

// StatsReported holds the controllers' statistics of a build for one class.
type StatsReported struct {
	Build             int
	Class             string
	Failures, Samples int
	MeanLatency, Age  policy.Time // mean latency of the attempts that succeeded; time since the end of the period
	Window            policy.Time // length of the period that the statistics cover
}

// ComplaintReceived reports that a client found a response of a host to be wrong.
type ComplaintReceived struct {
	Host  uint32
	Class string
	Age   policy.Time // time since the attempt was sent
}

// TimerFired reports that the timer of a SetTimer action has fired.
type TimerFired struct{ Timer int64 }

// HealthChecked is the result of a health check of a host.
type HealthChecked struct {
	Host    uint32
	Outcome policy.Outcome
	Latency policy.Time
	Load    *policy.LoadReport
}

// GossipReceived is a gossip message from the router whose rank is Peer.
type GossipReceived struct {
	Peer int
	Body string
}

// ConfigChanged is a configuration that replaces the current one. If it differs in something that can't change in a
// running router, Handle returns an error and the current configuration stays in use.
type ConfigChanged struct{ Config Config }

// PlanOffered is a version of a weight plan. An AcknowledgePlan action reports whether it is applied or rejected.
type PlanOffered struct{ Offer plan.Offer }

// ShutdownStarted reports that the router shuts down and that its process may be killed once KillAfter has passed. Every
// request gets its final response before.
type ShutdownStarted struct{ KillAfter policy.Time }

func (RequestArrived) event()       {}
func (AttemptEnded) event()         {}
func (ResponseStarted) event()      {}
func (ClientDisconnected) event()   {}
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
func (ShutdownStarted) event()      {}

// Host is one entry of the endpoint list. ID must be the same at all routers, because gossip identifies hosts by it.
type Host struct {
	ID        uint32
	Zone      string
	Cell      int
	State     policy.EndpointState
	Build     int
	Weight    float64
	StartedAt policy.Time // when the host's process started; 0 means long ago
}
