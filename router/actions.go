package router

import "dapplefront/policy"

// ActionKind is what an action asks for.
type ActionKind int

// Kinds of actions, each with the fields of Action that it uses.
const (
	SendAttempt     ActionKind = iota // send RequestID to Host as attempt number Attempt, with the timeout Duration
	Reject                            // the final response: it has not run and trying again is harmless, best after Duration
	Fail                              // the final response: it may have run or not
	SetTimer                          // a TimerFired event with the number Timer after Duration
	WatchEndpoints                    // watch the endpoint list, or resume after a failure
	CastVote                          // vote Choice on Build at Stage
	Log                               // log Text
	SendGossip                        // send Body to the router of rank Peer, or to all for policy.Broadcast
	CheckHealth                       // check the health of Host
	AcknowledgePlan                   // the plan's version PlanVersion is followed, or rejected for the reason Text
)

// Action is what a router wants done; which fields count depends on Kind.
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
	IsShadow    bool // a SendAttempt beside another one, or alone, for judging the canary build
}

// effects collects what the policy asks for as actions (policy.Effects).
type effects Router

func (e *effects) add(a Action) { e.actions = append(e.actions, a) }

func (e *effects) Send(a *policy.Attempt, timeout policy.Time) {
	id := e.requestIDs[a.Request]
	r := e.requests[id]
	r.attemptDone = append(r.attemptDone, false)
	r.attempts++
	if h := e.hosts[a.Host.ID]; h != nil {
		h.attempts++
	}
	e.add(Action{Kind: SendAttempt, RequestID: id, Attempt: len(r.attemptDone) - 1, Host: a.Host.ID, Duration: timeout, IsShadow: a.IsShadow()})
}

func (e *effects) Reject(r *policy.Request, retryAfter policy.Time) {
	e.add(Action{Kind: Reject, RequestID: e.requestIDs[r], Duration: retryAfter})
}

func (e *effects) Fail(r *policy.Request) { e.add(Action{Kind: Fail, RequestID: e.requestIDs[r]}) }

func (e *effects) SetTimer(in policy.Time, t *policy.Timer) {
	e.lastTimer++
	e.timers[e.lastTimer] = t
	e.add(Action{Kind: SetTimer, Timer: e.lastTimer, Duration: in})
}

func (e *effects) WatchEndpoints() { e.add(Action{Kind: WatchEndpoints}) }

func (e *effects) Vote(build, stage int, choice policy.VoteChoice) {
	e.add(Action{Kind: CastVote, Build: build, Stage: stage, Choice: choice})
}

func (e *effects) Log(text string) { e.add(Action{Kind: Log, Text: text}) }

func (e *effects) Gossip(peer int, body []byte) {
	e.add(Action{Kind: SendGossip, Peer: peer, Body: string(body)})
}

func (e *effects) CheckHealth(h *policy.Host) { e.add(Action{Kind: CheckHealth, Host: h.ID}) }
