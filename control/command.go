package control

import (
	"encoding/json"
	"maps"
	"slices"

	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

// CommandKind is the operation that a command requests. Its values are stored in the replicated log.
type CommandKind string

// The kinds of commands. Each comment lists the fields of Command that the kind reads in addition to At.
const (
	CreateRelease   CommandKind = "create"   // Build, Digest, Note, Labels, Steps, Key, Hash
	PatchRelease    CommandKind = "patch"    // Build, Note, Labels, IfVersion
	RollBackRelease CommandKind = "withdraw" // Build, IfVersion
	DeleteRelease   CommandKind = "delete"   // Build, IfVersion: the release must be released or rolled back, and neither the newest nor the previous one
	CompleteStep    CommandKind = "step"     // Build, Name, Router, IfVersion: Router reports that step Name is done
	ReportCounts    CommandKind = "report"   // Build, Counts, Hosts, IfVersion
	HostsReady      CommandKind = "ready"    // Build: the hosts that a DeployOrder requested are running
	HostsRemoved    CommandKind = "gone"     // Build: the hosts of a RetireOrder have been removed
	CastVote        CommandKind = "vote"     // Router, Build, Stage, Choice
	JoinRouter      CommandKind = "join"     // Router: the router becomes a member or renews its membership
	LeaveRouter     CommandKind = "leave"    // Router
	SetController   CommandKind = "member"   // Name, Note: controller Name has the URL in Note; without Note, its URL is removed
	PublishPlan     CommandKind = "publish"  // Plan, ValidFor
	AckPlan         CommandKind = "heed"     // Router, PlanAck
	OrderAgent      CommandKind = "order"    // Name, Body: an order to agent Name; the reply has the order's number
	AgentReport     CommandKind = "heard"    // Name, Body: a list of numbered reports of agent Name, each of which counts once
	EmitEvent       CommandKind = "tell"     // Name, Router, Body: emits an event of kind Name to Router (empty means all); changes no other state
	Tick            CommandKind = "tick"     // no fields: time has passed
)

// Command is one requested change, as the replicated log stores it. At is the time on the leader that proposed the command. If
// it is before that of an earlier command, the earlier command's time is used instead.
type Command struct {
	At        policy.Time        `json:"at"`
	Kind      CommandKind        `json:"do"`
	Build     int                `json:"build,omitempty"`
	Stage     int                `json:"stage,omitempty"`
	Choice    policy.VoteChoice  `json:"voice,omitempty"`
	Router    string             `json:"router,omitempty"`
	Name      string             `json:"name,omitempty"`
	Digest    string             `json:"digest,omitempty"`
	Note      *string            `json:"note,omitempty"`
	Labels    map[string]*string `json:"labels,omitempty"` // with PatchRelease, null removes a label
	Steps     []Step             `json:"steps,omitempty"`
	Key       string             `json:"key,omitempty"`       // idempotency key
	Hash      string             `json:"hash,omitempty"`      // hash of the creation request that Key identifies
	IfVersion uint64             `json:"ifVersion,omitempty"` // expected version of the release; 0 accepts any
	Counts    map[string]int     `json:"counts,omitempty"`
	Hosts     map[string]int     `json:"hosts,omitempty"`
	Body      json.RawMessage    `json:"body,omitempty"`
	Plan      *plan.Published    `json:"plan,omitempty"`
	ValidFor  policy.Time        `json:"for,omitempty"`
	PlanAck   *PlanAck           `json:"heed,omitempty"`
}

// Reply is the result of a command that was accepted.
type Reply struct {
	Repeated    bool     // the command repeats an earlier one and changed nothing
	Release     *Release // the release that the command changed or concerns, in its current state; may be nil
	OrderNumber uint64   // number of the new order, for OrderAgent
}

// handlers maps each kind of command to its handler. A handler that returns an error has changed nothing, with two
// exceptions: castVote renews the router's membership even if the release machine rejects the vote, and in agentReport the
// reports before the invalid one take effect.
var handlers = map[CommandKind]func(*State, Command) (Reply, *Error){
	CreateRelease:   (*State).createRelease,
	PatchRelease:    (*State).patchRelease,
	RollBackRelease: (*State).rollBackRelease,
	DeleteRelease:   (*State).deleteRelease,
	CompleteStep:    (*State).completeStep,
	ReportCounts:    (*State).reportCounts,
	HostsReady:      (*State).hostsReady,
	HostsRemoved:    (*State).hostsRemoved,
	CastVote:        (*State).castVote,
	JoinRouter:      (*State).joinRouter,
	LeaveRouter:     (*State).leaveRouter,
	SetController:   (*State).setController,
	PublishPlan:     (*State).publishPlan,
	AckPlan:         (*State).ackPlan,
	OrderAgent:      (*State).orderAgent,
	AgentReport:     (*State).agentReport,
	EmitEvent:       (*State).emitEvent,
	Tick:            (*State).tick,
}

// Apply applies the command at the given log index. The error is nil or an *Error.
func (s *State) Apply(index uint64, c Command) (Reply, error) {
	s.index = index
	s.now = max(s.now, c.At)
	handle, known := handlers[c.Kind]
	if !known {
		return Reply{}, reject(ErrInvalid, "do", "no command is called %q", c.Kind).withCommand(c)
	}
	reply, rejected := handle(s, c)
	if rejected != nil && c.Kind == AckPlan {
		// A rejected AckPlan does not apply the changes that are due with time; the next command does. Earlier versions did the
		// same, and their logs must replay to the same state.
		return Reply{}, rejected.withCommand(c)
	}
	s.advanceTime()
	if rejected != nil {
		return Reply{}, rejected.withCommand(c)
	}
	if reply.Release == nil {
		reply.Release = s.Get(c.Build)
	}
	return reply, nil
}

func (s *State) emitEvent(c Command) (Reply, *Error) {
	s.emit(c.Name, c.Router, c.Body)
	return Reply{}, nil
}

func (s *State) tick(Command) (Reply, *Error) { return Reply{}, nil }

// advanceTime applies the changes that are due with time: it removes routers that have timed out, marks stalled steps, and
// advances the release.
func (s *State) advanceTime() {
	for _, router := range slices.Sorted(maps.Keys(s.routers)) {
		if s.expired(router, s.now) {
			s.removeRouter(router)
		}
	}
	s.markStalledSteps()
	s.handleInput(release.Tick{})
}

// Due reports whether a Tick command at the given time would change the state.
func (s *State) Due(now policy.Time) bool {
	if s.machine.Due(max(now, s.now)) {
		return true
	}
	for router := range s.routers {
		if s.expired(router, now) && router != "" {
			return true
		}
	}
	r := s.newest()
	for i := range r.Steps {
		if r.newlyStalled(i, now) {
			return true
		}
	}
	return false
}
