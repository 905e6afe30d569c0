package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"

	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

// CommandKind is what a command asks for.
type CommandKind string

const (
	CreateRelease   CommandKind = "create"   // a release: Build, Digest, Note, Labels, Steps, Key
	PatchRelease    CommandKind = "patch"    // Note and Labels of Build; IfVersion
	RollBackRelease CommandKind = "withdraw" // Build; IfVersion
	DeleteRelease   CommandKind = "delete"   // Build, which must be over; IfVersion
	CastVote        CommandKind = "vote"     // of Router on Build at Stage: Voice
	HostsReady      CommandKind = "ready"    // the hosts that an order asked for run
	HostsRemoved    CommandKind = "gone"     // the hosts that an order named are gone
	CompleteStep    CommandKind = "step"     // Name of Build is done, by Router
	ReportCounts    CommandKind = "report"   // Counts and Hosts of Build
	Tick            CommandKind = "tick"     // time has passed
	JoinRouter      CommandKind = "join"     // Router is there, or still there
	LeaveRouter     CommandKind = "leave"    // Router has left
	EmitEvent       CommandKind = "tell"     // an event that changes nothing here: Name is its kind, Body its body
	PublishPlan     CommandKind = "publish"  // a plan, for so long
	AckPlan         CommandKind = "heed"     // Router's word on the plan
	OrderAgent      CommandKind = "order"    // the agent Name: Body, whose number is that of the reply's Number
	AgentReport     CommandKind = "heard"    // the agent Name reported Body, a list; each by its number counts once
	SetMember       CommandKind = "member"   // the controller Name answers at Note; an empty Note for one that has gone
)

// Command is one change asked for. At is the controllers' time, which never runs back.
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
	Labels    map[string]*string `json:"labels,omitempty"` // with a patch, a null takes one away
	Steps     []Step             `json:"steps,omitempty"`
	Key       string             `json:"key,omitempty"`
	Hash      string             `json:"hash,omitempty"`      // of the creation that Key stands for
	IfVersion uint64             `json:"ifVersion,omitempty"` // 0 for any
	Counts    map[string]int     `json:"counts,omitempty"`
	Hosts     map[string]int     `json:"hosts,omitempty"`
	Body      json.RawMessage    `json:"body,omitempty"`
	Plan      *plan.Published    `json:"plan,omitempty"`
	ValidFor  policy.Time        `json:"for,omitempty"`
	PlanAck   *PlanAck           `json:"heed,omitempty"`
}

// Code says in which way a command ended.
type Code int

const (
	Applied  Code = iota // carried out
	Repeated             // it was carried out before, and stands
	Invalid              // Field makes no sense
	Unknown              // there is no such thing
	Conflict             // it does not fit how things stand
	Stale                // IfVersion is not the object's version
)

// Reply is what became of a command.
type Reply struct {
	Code    Code
	Field   string
	Reason  string
	Release *Release // as it stands now, where the command was about one
	Number  uint64   // of an order
}

func refuse(code Code, field, format string, values ...any) Reply {
	return Reply{Code: code, Field: field, Reason: fmt.Sprintf(format, values...)}
}

// Apply carries out one command. It never fails half way.
func (s *State) Apply(index uint64, c Command) Reply {
	s.Index = index
	s.Now = max(s.Now, c.At)
	var r Reply
	switch c.Kind {
	case CreateRelease:
		r = s.create(c)
	case PatchRelease:
		r = s.patch(c)
	case RollBackRelease:
		r = s.withdraw(c)
	case DeleteRelease:
		r = s.delete(c)
	case CastVote:
		r = s.vote(c)
	case HostsReady:
		s.hear(release.HostsReady{Build: c.Build})
	case HostsRemoved:
		s.hear(release.HostsRemoved{Build: c.Build})
	case CompleteStep:
		r = s.stepDone(c)
	case ReportCounts:
		r = s.report(c)
	case JoinRouter, LeaveRouter:
		s.member(c)
	case EmitEvent:
		s.emit(c.Name, c.Router, c.Body)
	case PublishPlan:
		r = s.publish(c)
	case AckPlan:
		if s.Plan == nil || c.PlanAck == nil || c.PlanAck.Version != s.Plan.Version {
			return refuse(Conflict, "version", "this plan is not in force")
		}
		s.PlanAcks[c.Router] = *c.PlanAck
	case OrderAgent:
		r = s.orderTo(c)
	case AgentReport:
		r = s.hearOf(c)
	case SetMember:
		if c.Note != nil && *c.Note != "" {
			s.Members[c.Name] = *c.Note
		} else {
			delete(s.Members, c.Name)
		}
	case Tick:
	default:
		return refuse(Invalid, "do", "no command is called %q", c.Kind)
	}
	s.pass()
	if r.Release == nil && r.Code <= Repeated {
		r.Release = s.Get(c.Build)
	}
	return r
}

// pass lets time pass: for the release, for routers that are not heard of, and for steps that stall.
func (s *State) pass() {
	for _, name := range slices.Sorted(maps.Keys(s.Routers)) {
		if s.figures.RouterTimeout > 0 && s.Now-s.Routers[name] > s.figures.RouterTimeout {
			s.leave(name)
		}
	}
	r := s.newest()
	for i := range r.StepStatuses {
		d, w := &r.StepStatuses[i], r.Steps[i].ExpectedTime
		if d.WaitingSince > 0 && d.DoneAt == 0 && !d.Stalled && w > 0 && s.Now-d.WaitingSince > w {
			d.Stalled = true
			s.mark(r, "step "+r.Steps[i].Name+" stalls")
			s.changed(r)
		}
	}
	s.hear(release.Tick{})
}

// hear hands an input to the release and notes its effects.
func (s *State) hear(in release.Input) (answer *release.VoteAnswer, refused string) {
	for _, e := range s.machine.Handle(s.Now, in) {
		r := s.newest()
		switch e := e.(type) {
		case release.VoteAnswer:
			answer = &e
		case release.Reject:
			refused = e.Reason
		case release.Deploy:
			if e.Build == r.Build && s.waits(r) != "" {
				s.Held = &DeployOrder{e.Build, e.Share}
				continue
			}
			s.order("place", DeployOrder{e.Build, e.Share})
		case release.Retire:
			if s.Held != nil && s.Held.Build == e.Build {
				s.Held = nil
			}
			s.order("retire", Retire{e.Build})
		case release.Notify:
			s.news(e.Status)
		}
	}
	return answer, refused
}

func (s *State) order(kind string, body any) {
	s.emit(kind, "", encode(body))
	if p, ok := body.(DeployOrder); ok {
		if i := s.find(p.Build); i >= 0 {
			s.mark(s.Releases[i], fmt.Sprintf("hosts asked for: %.3g%% of the places", 100*p.Share))
		}
	}
}

// news brings the release object to where the machine has it.
func (s *State) news(n release.Status) {
	i := s.find(n.Build)
	if i < 0 {
		return
	}
	r := s.Releases[i]
	r.Phase, r.Stage, r.ExposureCap, r.Since = n.Phase, n.Stage, n.ExposureCap, n.Since
	s.mark(r, fmt.Sprintf("%s, stage %d", phases[n.Phase], n.Stage))
	s.waits(r)
	s.changed(r)
	s.emit("news", "", encode(n))
}

var phases = []string{"on trial", "going back", "released", "withdrawn"}

// waits is the step that holds the release's present stage, "" for none.
func (s *State) waits(r *Release) string {
	r.WaitsFor = ""
	n := s.machine.Status()
	if n.Build != r.Build || n.Phase != policy.Canary {
		return ""
	}
	for i, step := range r.Steps {
		if step.Stage <= n.Stage && r.StepStatuses[i].DoneAt == 0 {
			if r.StepStatuses[i].WaitingSince == 0 {
				r.StepStatuses[i].WaitingSince = max(1, s.Now)
			}
			r.WaitsFor = step.Name
			break // in their order
		}
	}
	return r.WaitsFor
}

func (s *State) mark(r *Release, what string) {
	const most = 200 // lines of a trace; a release has some ten
	if r.History = append(r.History, HistoryEntry{s.Now, what}); len(r.History) > most {
		r.History = slices.Delete(r.History, 1, 2) // the request stays
	}
}

// changed gives an object its next version and tells watchers.
func (s *State) changed(r *Release) {
	r.Version++
	s.emit("release", "", encode(r))
}

func (s *State) emit(kind, router string, body json.RawMessage) {
	s.Next++
	if s.Events = append(s.Events, Event{ID: s.Next, Kind: kind, Router: router, At: s.Now, Body: body}); len(s.Events) > s.figures.MaxEvents {
		s.Events = slices.Clone(s.Events[len(s.Events)-s.figures.MaxEvents*3/4:])
	}
}

func encode(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // types of our own that always encode
	}
	return text
}

// ---- Releases ----

func (s *State) create(c Command) Reply {
	if c.Key != "" {
		for _, k := range s.Keys {
			if k.Key != c.Key {
				continue
			}
			if k.Hash != c.Hash {
				return refuse(Conflict, "Idempotency-Key", "this key stands for another creation, of build %d", k.Build)
			}
			return Reply{Code: Repeated, Release: s.Get(k.Build)}
		}
	}
	if c.Build < 1 {
		return refuse(Invalid, "build", "a number from 1 expected")
	}
	for i, step := range c.Steps {
		at := fmt.Sprintf("steps[%d]", i)
		switch {
		case step.Name == "" || slices.ContainsFunc(c.Steps[:i], func(x Step) bool { return x.Name == step.Name }):
			return refuse(Invalid, at+".name", "a name of its own expected")
		case step.Stage < 0 || step.Stage >= len(s.figures.Rules.Stages):
			return refuse(Invalid, at+".stage", "a stage from 0 to %d expected", len(s.figures.Rules.Stages)-1)
		case i > 0 && step.Stage < c.Steps[i-1].Stage:
			return refuse(Invalid, at+".stage", "steps stand in the order of their stages")
		case step.ExpectedTime < 0:
			return refuse(Invalid, at+".withinMs", "0 or more expected")
		}
	}
	if s.find(c.Build) >= 0 {
		return refuse(Conflict, "build", "there is a release of build %d already", c.Build)
	}
	labels := map[string]string{}
	for k, v := range c.Labels {
		if v != nil {
			labels[k] = *v
		}
	}
	r := &Release{Build: c.Build, Digest: c.Digest, Labels: labels, Steps: c.Steps, StepStatuses: make([]StepStatus, len(c.Steps)), Created: s.Now}
	if c.Note != nil {
		r.Note = *c.Note
	}
	// The machine refuses what doesn't fit before anything has changed.
	if c.Build <= s.machine.Status().Build {
		return refuse(Conflict, "build", "a build with a higher number has been offered already")
	}
	s.Releases = append(s.Releases, r)
	s.mark(r, "requested")
	if _, why := s.hear(release.Offer{Build: c.Build}); why != "" {
		s.Releases = s.Releases[:len(s.Releases)-1]
		return refuse(Conflict, "build", "%s", why)
	}
	for _, x := range s.Releases[:len(s.Releases)-1] { // what it overtook
		if x.Phase == policy.Canary || x.Phase == policy.RollingBack {
			x.Phase, x.ExposureCap, x.Since = policy.RolledBack, 0, s.Now
			s.mark(x, fmt.Sprintf("overtaken by build %d", c.Build))
			s.changed(x)
		}
	}
	if c.Key != "" {
		if s.Keys = append(s.Keys, creation{c.Key, c.Hash, c.Build}); len(s.Keys) > s.figures.MaxCreationKeys {
			s.Keys = slices.Delete(s.Keys, 0, 1)
		}
	}
	return Reply{Release: r.clone()}
}

// object is the release that a command is about, if it may touch it.
func (s *State) object(c Command) (*Release, Reply) {
	i := s.find(c.Build)
	if i < 0 {
		return nil, refuse(Unknown, "build", "there is no release of build %d", c.Build)
	}
	if r := s.Releases[i]; c.IfVersion != 0 && c.IfVersion != r.Version {
		return nil, refuse(Stale, "If-Match", "the release is at version %d, not %d", r.Version, c.IfVersion)
	}
	return s.Releases[i], Reply{}
}

func (s *State) patch(c Command) Reply {
	r, no := s.object(c)
	if r == nil {
		return no
	}
	if c.Note != nil {
		r.Note = *c.Note
	}
	for k, v := range c.Labels {
		if v == nil {
			delete(r.Labels, k)
			continue
		}
		if r.Labels == nil {
			r.Labels = map[string]string{}
		}
		r.Labels[k] = *v
	}
	s.changed(r)
	return Reply{}
}

func (s *State) withdraw(c Command) Reply {
	r, no := s.object(c)
	if r == nil {
		return no
	}
	if r.Phase == policy.RollingBack || r.Phase == policy.RolledBack {
		return Reply{Code: Repeated}
	}
	if _, why := s.hear(release.RollBack{Build: c.Build}); why != "" {
		return refuse(Conflict, "build", "%s", why)
	}
	return Reply{}
}

func (s *State) delete(c Command) Reply {
	r, no := s.object(c)
	if r == nil {
		return no
	}
	if n := s.machine.Status(); r.Build == n.Build || r.Build == s.machine.PreviousBuild() || r.Phase != policy.RolledBack && r.Phase != policy.Released {
		return refuse(Conflict, "build", "build %d serves or is on its way", r.Build)
	}
	s.Releases = slices.Delete(s.Releases, s.find(c.Build), s.find(c.Build)+1)
	s.emit("deleted", "", encode(map[string]int{"build": c.Build}))
	return Reply{Release: r}
}

func (s *State) vote(c Command) Reply {
	if c.Choice < policy.Abstain || c.Choice > policy.Rollback || c.Router == "" {
		return refuse(Invalid, "voice", "on, hold, back or none, of a router, expected")
	}
	if s.find(c.Build) < 0 {
		return refuse(Unknown, "build", "there is no release of build %d", c.Build)
	}
	s.join(c.Router) // who votes is there
	a, _ := s.hear(release.Vote{Router: c.Router, Build: c.Build, Stage: c.Stage, Choice: c.Choice})
	if a == nil || !a.Accepted {
		return refuse(Conflict, "stage", "%s", a.Reason)
	}
	return Reply{}
}

func (s *State) stepDone(c Command) Reply {
	r, no := s.object(c)
	if r == nil {
		return no
	}
	i := slices.IndexFunc(r.Steps, func(x Step) bool { return x.Name == c.Name })
	switch {
	case i < 0:
		return refuse(Unknown, "name", "the release of build %d has no step %s", c.Build, c.Name)
	case r.StepStatuses[i].DoneAt != 0:
		return Reply{Code: Repeated}
	case r.Phase != policy.Canary:
		return refuse(Conflict, "name", "the release is %s", phases[r.Phase])
	case i > 0 && r.StepStatuses[i-1].DoneAt == 0:
		return refuse(Conflict, "name", "step %s comes before it", r.Steps[i-1].Name)
	case r.Steps[i].Stage > r.Stage:
		return refuse(Conflict, "name", "it belongs before stage %d, which has not come", r.Steps[i].Stage)
	}
	r.StepStatuses[i].DoneAt, r.StepStatuses[i].DoneBy, r.StepStatuses[i].Stalled = max(1, s.Now), c.Router, false
	s.mark(r, "step "+c.Name+" done")
	if r.Steps[i].Irreversible {
		s.mark(r, "no way back from here")
		s.hear(release.Finalize{Build: r.Build})
	}
	if s.waits(r) == "" && s.Held != nil && s.Held.Build == r.Build {
		held := *s.Held
		s.Held = nil
		s.order("place", held)
	}
	s.changed(r)
	return Reply{}
}

func (s *State) report(c Command) Reply {
	r, no := s.object(c)
	if r == nil {
		return no
	}
	for _, m := range []map[string]int{c.Counts, c.Hosts} {
		for k, n := range m {
			if n < 0 {
				return refuse(Invalid, k, "0 or more expected")
			}
		}
	}
	if r.Counts == nil {
		r.Counts = map[string]int{}
	}
	for k, n := range c.Counts {
		if r.Counts[k] > math.MaxInt-n {
			n = 0
		}
		r.Counts[k] += n
	}
	if c.Hosts != nil {
		r.Hosts = c.Hosts
	}
	s.changed(r)
	return Reply{}
}

// ---- Routers ----

func (s *State) member(c Command) {
	if c.Kind == JoinRouter && c.Router != "" {
		s.join(c.Router)
	} else if c.Kind == LeaveRouter {
		s.leave(c.Router)
	}
}

func (s *State) join(router string) {
	_, was := s.Routers[router]
	if s.Routers[router] = s.Now; !was {
		s.needs()
		s.emit("routers", "", encode(map[string]int{"count": len(s.Routers)}))
	}
}

func (s *State) leave(router string) {
	if _, was := s.Routers[router]; !was {
		return
	}
	delete(s.Routers, router)
	delete(s.PlanAcks, router)
	s.machine.ForgetRouter(router)
	s.needs()
	s.emit("routers", "", encode(map[string]int{"count": len(s.Routers)}))
}

// needed is how many votes move a stage on and send a build back, by the routers that are members.
func (s *State) needed() (on, back int) {
	on, back = s.figures.Rules.PromoteQuorum, s.figures.Rules.RollbackQuorum
	if f := s.figures.PromoteShare; f > 0 {
		on = max(1, int(math.Ceil(f*float64(len(s.Routers))-1e-9)))
	}
	if f := s.figures.RollbackShare; f > 0 {
		back = max(1, int(math.Ceil(f*float64(len(s.Routers))-1e-9)))
	}
	return on, back
}

func (s *State) needs() { s.machine.SetQuorum(s.needed()) }

// ---- Plans ----

func (s *State) publish(c Command) Reply {
	switch {
	case c.Plan == nil || c.Plan.Version == 0 || c.ValidFor <= 0:
		return refuse(Invalid, "version", "a plan with a version and a time to follow it expected")
	case s.Plan != nil && c.Plan.Version <= s.Plan.Version:
		return refuse(Conflict, "version", "version %d is in force", s.Plan.Version)
	}
	if n := s.machine.Status(); c.Plan.Build == n.Build && n.Phase == policy.Canary {
		for place, w := range c.Plan.For {
			if float64(w.Copies) > n.ExposureCap*1e6+1 {
				return refuse(Conflict, "for."+place+".copies", "%.3g%% of the tasks would go to build %d, %.3g%% are allowed", float64(w.Copies)/1e4, n.Build, 100*n.ExposureCap)
			}
		}
	}
	s.Plan, s.PlanAt, s.PlanFor = c.Plan, s.Now, c.ValidFor
	clear(s.PlanAcks)
	s.emit("plan", "", encode(map[string]uint64{"version": c.Plan.Version}))
	return Reply{}
}

// ---- Agents ----

// orderTo adds an order; an agent that was away hears all that are kept.
func (s *State) orderTo(c Command) Reply {
	const kept = 64 // a build has some four orders at a host
	if c.Name == "" || len(c.Body) == 0 {
		return refuse(Invalid, "goal", "an order to an agent expected")
	}
	a := s.agent(c.Name)
	s.Ordered++
	a.Orders = append(a.Orders, Order{s.Ordered, c.Body})
	if n := len(a.Orders) - kept; n > 0 {
		a.Orders = slices.Clone(a.Orders[n:])
	}
	return Reply{Number: s.Ordered}
}

// hearOf tells watchers of an agent's reports, each once.
func (s *State) hearOf(c Command) Reply {
	var all []json.RawMessage
	if err := json.Unmarshal(c.Body, &all); err != nil || c.Name == "" {
		return refuse(Invalid, "body", "a list of reports expected")
	}
	a := s.agent(c.Name)
	for _, r := range all {
		var n struct {
			Number uint64 `json:"number"`
		}
		if err := json.Unmarshal(r, &n); err != nil || n.Number == 0 {
			return refuse(Invalid, "number", "a number from 1 for each report expected")
		}
		if n.Number <= a.Heard {
			continue
		}
		a.Heard = n.Number
		s.emit("agent", "", encode(map[string]any{"agent": c.Name, "report": r}))
	}
	return Reply{}
}

func (s *State) agent(name string) *Agent {
	if s.Agents[name] == nil {
		s.Agents[name] = &Agent{}
	}
	return s.Agents[name]
}
