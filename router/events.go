package router

import (
	"dapplefront/plan"
	"dapplefront/policy"
)

// Event is something that a router hears of.
type Event interface{ event() }

type (
	// Taken is a task that has arrived; the router owes it one final answer. Task is an id never used before.
	RequestArrived struct {
		RequestID    string
		Class        string
		Tenant       string // a name from Place.Customers; others count as none
		Key          string // tasks that concern the same thing; empty for none
		Timeout      policy.Time
		ExpectedWork policy.Time // expected work; 0 where not told
		ClientRetry  bool        // the client says that it tries again
	}
	// Ended is the end of send number Send of a task, counted from 0. Done tells that the task is over, by this
	// or already before it.
	AttemptEnded struct {
		RequestID string
		Attempt   int
		Outcome   policy.Outcome
		Latency   policy.Time
		Done      bool
		Load      *policy.LoadReport // what the host reported with it, nil for nothing
	}
	// Began is the first byte of a streamed answer.
	ResponseStarted struct {
		RequestID string
		Attempt   int
	}
	// Left is a client that has gone; nothing is owed to it any more.
	ClientGone struct{ RequestID string }
	// Listed is what the host list told: all of it (Whole) or what has changed.
	EndpointsChanged struct {
		Complete bool
		Hosts    []Host
	}
	// Unlisted is a watch or call of the host list that failed; the list held still applies.
	EndpointsUnavailable struct{}
	// Told is the release desk's news, or its answer to a vote.
	ReleaseChanged struct{ Status policy.ReleaseStatus }
	// Counted is what the desk counted for a build and a category.
	StatsReported struct {
		Build             int
		Class             string
		Failures, Samples int
		MeanLatency, Age  policy.Time
		Window            policy.Time // the span that was counted
	}
	// Complained is a client that found an answer wrong.
	ComplaintReceived struct {
		Host  uint32
		Class string
		Age   policy.Time // since the send went out
	}
	// Due is an alarm that an Alarm action asked for.
	TimerFired struct{ Timer int64 }
	// Probed is what a probe of a host found.
	HealthChecked struct {
		Host    uint32
		Outcome policy.Outcome
		Latency policy.Time
		Load    *policy.LoadReport
	}
	// Heard is a message from another router, by its rank.
	GossipReceived struct {
		Peer int
		Body string
	}
	// Settled is other settings for a running router, whole. What can't change in one is an error and changes nothing.
	ConfigChanged struct{ Config Config }
	// Planned is a version of shares worked out ahead. A Heed action tells whether it is followed.
	PlanOffered struct{ Offer plan.Offered }
)

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

// Host is one line of the host list. ID must be the same at all routers, as they take turns by it.
type Host struct {
	ID        uint32
	Zone      string
	Cell      int
	State     policy.EndpointState
	Build     int
	Weight    float64
	StartedAt policy.Time // when its process started; 0 is long ago
}

// ActionKind is what an action asks for.
type ActionKind int

const (
	SendAttempt     ActionKind = iota // send Task to Host as its send number Send, and wait for Span
	Reject                            // the final answer: trying again is harmless, best after Span
	Fail                              // the final answer: nothing is promised
	SetTimer                          // a Due event with the number Alarm after Span
	WatchEndpoints                    // ask for the host list and its changes
	CastVote                          // Voice on Build at Stage
	Log                               // Text, for the log
	SendGossip                        // send Body to the router of rank Peer, or to all for logic.Everyone
	CheckHealth                       // probe Host
	AcknowledgePlan                   // the plan of this Number is followed, or turned down for the reason in Text
)

// Action is what a router wants done; which fields count depends on Do.
type Action struct {
	Kind        ActionKind
	RequestID   string
	Attempt     int
	Host        uint32
	Duration    policy.Time
	Timer       int64
	Build       int
	Stage       int
	Choice      policy.VoteChoice
	Text        string
	PlanVersion uint64
	Peer        int
	Body        string
	IsShadow    bool // a Send beside another one, or alone, for judging the build on trial
}

// Config is all that a router is told when it starts.
type Config struct {
	Seed    uint64
	Routers int // all that serve the fleet
	Rank    int // this one's number among them, from 0
	Zone    string
	Classes []Class
	Tenants []Tenant
	Limits  policy.Limits
	Release policy.ReleaseConfig
}

// Class is a kind of task.
type Class struct {
	Name             string
	Idempotency      policy.Idempotency
	DedupScope       policy.DedupScope
	DedupWindow      policy.Time // how long a group of hosts drops repeats
	LatencyObjective policy.Time
	PriorityWeight   float64
	LateValueShare   float64 // share of the earnings left after the promised time
}

// Tenant is whoever pays for tasks.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // tasks a second, over all routers, that earn in full
}
