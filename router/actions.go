package router

import "dapplefront/policy"

// ActionKind is the kind of an action.
type ActionKind int

// Kinds of actions. Each comment names the fields of Action that the kind uses.
const (
	SendAttempt     ActionKind = iota // send RequestID to Host as attempt number Attempt, with the timeout Duration
	Reject                            // give RequestID its final response: it is rejected, and a retry is safe, preferably after Duration
	Fail                              // give RequestID its final response: it failed and may have been executed
	SetTimer                          // deliver a TimerFired event with the number Timer after Duration
	WatchEndpoints                    // watch the endpoint list, or resume the watch after a failure
	CastVote                          // cast the vote Choice on Build at Stage
	Log                               // log Text
	SendGossip                        // send Body to the router with rank Peer, or to all routers if Peer is policy.Broadcast
	CheckHealth                       // run a health check of Host
	AcknowledgePlan                   // report that the plan version PlanVersion is applied or, if Text is not empty, rejected for the reason Text
	CancelUnsent                      // end the attempts of RequestID of which no byte has been sent; report each by an AttemptEnded event
)

// Action is something that the embedding program must carry out for a router. Kind determines which fields are used.
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
	IsShadow    bool // whether a SendAttempt is a shadow attempt, which tests the canary or an ejected host alongside the primary attempt or before it
}

// effects implements policy.Effects: it collects the effects that the policy requests as actions.
type effects Router

func (e *effects) add(a Action) { e.actions = append(e.actions, a) }

func (e *effects) Send(a *policy.Attempt, timeout policy.Time) {
	id := e.requestIDs[a.Request]
	r := e.requests[id]
	r.attemptDone = append(r.attemptDone, false)
	r.attemptsInFlight++
	if h := e.hosts[a.Host.ID]; h != nil {
		h.attemptsInFlight++
	}
	e.add(Action{Kind: SendAttempt, RequestID: id, Attempt: len(r.attemptDone) - 1, Host: a.Host.ID, Duration: timeout, IsShadow: a.IsShadow()})
}

func (e *effects) Reject(r *policy.Request, retryAfter policy.Time) {
	e.add(Action{Kind: Reject, RequestID: e.requestIDs[r], Duration: retryAfter})
}

func (e *effects) Fail(r *policy.Request) { e.add(Action{Kind: Fail, RequestID: e.requestIDs[r]}) }

func (e *effects) SetTimer(delay policy.Time, t *policy.Timer) {
	e.lastTimer++
	e.timers[e.lastTimer] = t
	e.add(Action{Kind: SetTimer, Timer: e.lastTimer, Duration: delay})
}

func (e *effects) WatchEndpoints() { e.add(Action{Kind: WatchEndpoints}) }

func (e *effects) Vote(build, stage int, choice policy.VoteChoice) {
	e.add(Action{Kind: CastVote, Build: build, Stage: stage, Choice: choice})
}

func (e *effects) Log(text string) { e.add(Action{Kind: Log, Text: text}) }

func (e *effects) Gossip(peer int, body []byte) {
	e.add(Action{Kind: SendGossip, Peer: peer, Body: string(body)})
}

func (e *effects) CancelUnsent(r *policy.Request) {
	e.add(Action{Kind: CancelUnsent, RequestID: e.requestIDs[r]})
}

func (e *effects) CheckHealth(h *policy.Host) { e.add(Action{Kind: CheckHealth, Host: h.ID}) }
