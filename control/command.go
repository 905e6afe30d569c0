package control

import (
	"encoding/json"
	"maps"
	"slices"

	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

// CommandKind is what a command asks for. Its values are stored in the replicated log.
type CommandKind string

// The kinds of commands, with the fields of Command that each one reads beside At.
const (
	CreateRelease   CommandKind = "create"   // Build, Digest, Note, Labels, Steps, Key, Hash
	PatchRelease    CommandKind = "patch"    // Build, Note, Labels, IfVersion
	RollBackRelease CommandKind = "withdraw" // Build, IfVersion
	DeleteRelease   CommandKind = "delete"   // Build, IfVersion: of a release that is over
	CompleteStep    CommandKind = "step"     // Build, Name: the step is done, as Router reports
	ReportCounts    CommandKind = "report"   // Build, Counts, Hosts
	HostsReady      CommandKind = "ready"    // Build: the hosts that a DeployOrder asked for run
	HostsRemoved    CommandKind = "gone"     // Build: the hosts that a RetireOrder named are gone
	CastVote        CommandKind = "vote"     // Router, Build, Stage, Choice
	JoinRouter      CommandKind = "join"     // Router is a member, or still is
	LeaveRouter     CommandKind = "leave"    // Router
	SetController   CommandKind = "member"   // controller Name is reached at the URL in Note; no Note removes it
	PublishPlan     CommandKind = "publish"  // Plan, ValidFor
	AckPlan         CommandKind = "heed"     // Router, PlanAck
	OrderAgent      CommandKind = "order"    // agent Name, Body; the reply has the order's number
	AgentReport     CommandKind = "heard"    // agent Name, Body: a list of numbered reports, each of which counts once
	EmitEvent       CommandKind = "tell"     // Name is the event's kind, Body its body; changes nothing else
	Tick            CommandKind = "tick"     // time has passed
)

// Command is one change asked for, as the replicated log stores it. At is the controllers' time; one before that of an
// earlier command counts as that one.
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
	Hash      string             `json:"hash,omitempty"`      // of the creation that Key stands for
	IfVersion uint64             `json:"ifVersion,omitempty"` // of the release; 0 for any
	Counts    map[string]int     `json:"counts,omitempty"`
	Hosts     map[string]int     `json:"hosts,omitempty"`
	Body      json.RawMessage    `json:"body,omitempty"`
	Plan      *plan.Published    `json:"plan,omitempty"`
	ValidFor  policy.Time        `json:"for,omitempty"`
	PlanAck   *PlanAck           `json:"heed,omitempty"`
}

// Reply is the result of a command that was accepted.
type Reply struct {
	Repeated    bool     // it had been carried out before, and that stands
	Release     *Release // as it stands now, where the command was about one
	OrderNumber uint64   // of OrderAgent
}

// handlers has the one function for each kind of command. A handler that returns an error has changed nothing, but for
// castVote, which keeps the router a member, and agentReport, which keeps the reports before the faulty one.
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

// Apply carries out the command at an index of the log. The error is nil or an *Error.
func (s *State) Apply(index uint64, c Command) (Reply, error) {
	s.index = index
	s.now = max(s.now, c.At)
	handle, known := handlers[c.Kind]
	if !known {
		return Reply{}, reject(ErrInvalid, "do", "no command is called %q", c.Kind).in(c)
	}
	reply, rejected := handle(s, c)
	if rejected != nil && c.Kind == AckPlan {
		// Logs of earlier versions are replayed: there, what time brings waits for the next command.
		return Reply{}, rejected.in(c)
	}
	s.advanceTime()
	if rejected != nil {
		return Reply{}, rejected.in(c)
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

// advanceTime does what the time that passed brings: routers that were not heard of leave, steps stall, and the release
// moves on.
func (s *State) advanceTime() {
	for _, router := range slices.Sorted(maps.Keys(s.routers)) {
		if s.expired(router, s.now) {
			s.removeRouter(router)
		}
	}
	s.markStalledSteps()
	s.handleInput(release.Tick{})
}

// Due tells whether time alone would change something at a moment.
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
		if r.stalls(i, now) {
			return true
		}
	}
	return false
}
