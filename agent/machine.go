package agent

import (
	"slices"
	"time"
)

// Phase is where a run of a build is.
type Phase string

const (
	Idle       Phase = "idle"
	Fetching   Phase = "fetching"
	Verifying  Phase = "checking"
	Staged     Phase = "staged"   // checked and laid out; it may be started
	Starting   Phase = "starting" // started, or about to be, and not ready yet
	WarmingUp  Phase = "warming"  // ready and listed, cold
	Serving    Phase = "serving"
	Draining   Phase = "draining" // listed as draining; gets nothing new
	Stopping   Phase = "stopping" // told to end
	RolledBack Phase = "taken back"
	Failed     Phase = "failed"
)

// Goal is how far a build may go on this host.
type Goal int

const (
	GoalStage    Goal = iota + 1 // fetch and check it
	GoalServe                    // and start it beside the earlier one
	GoalRelease                  // and let it take the earlier one's place
	GoalRollback                 // take it off, whatever is under way
)

var goalNames = []string{"", "stage", "serve", "release", "take-back"}

func (g Goal) String() string {
	if g < 0 || int(g) >= len(goalNames) {
		return "unknown"
	}
	return goalNames[g]
}

// ParseGoal is the goal of that name; 0 if there is none.
func ParseGoal(name string) Goal { return Goal(max(0, slices.Index(goalNames, name))) }

// Input is something that happens. Those about a run name it by its build's digest; one about a run that is no more is
// let go.
type Input interface{ input() }

type (
	// Order is what the controller wants. An order with a number not above the last one's is ignored.
	Order struct {
		Number          uint64
		Digest          string // of the manifest
		Build           int
		Goal            Goal
		AllowBelowFloor bool   // a build below the floor is meant
		RollbackTo      string // with TakeBack of a released build: the one to run in its place
		RollbackToBuild int    // its number
	}
	// Fetched and Checked end what Fetch and Check asked for.
	Fetched  struct{ Digest string }
	Verified struct{ Digest string }
	// Trouble is a fetch, check or start that failed, or a build not ready in time.
	OperationFailed struct{ Digest, Reason string }
	// Started is a process that runs now.
	Started struct {
		Digest  string
		Process Process
	}
	// Ready is a build that says so and answers its probe.
	Ready struct{ Digest string }
	// Warm is a build that has run for as long as hosts are cold.
	WarmedUp struct{ Digest string }
	// Exited is a process that has ended by itself, or as told.
	Exited struct{ Digest, Reason string }
	// Drained is a build that surely gets nothing new.
	Drained struct{ Digest string }
	// Retry is the end of the pause before a build is started again.
	BackoffElapsed struct{ Digest string }
)

func (Order) input()           {}
func (Fetched) input()         {}
func (Verified) input()        {}
func (OperationFailed) input() {}
func (Started) input()         {}
func (Ready) input()           {}
func (WarmedUp) input()        {}
func (Exited) input()          {}
func (Drained) input()         {}
func (BackoffElapsed) input()  {}

// Effect is something to be done.
type Effect interface{ effect() }

type (
	Fetch struct { // bring the files; Fetched or Trouble follows
		Digest          string
		AllowBelowFloor bool
	}
	Verify struct { // all files against the signed manifest, and lay them out; Checked or Trouble follows
		Digest          string
		AllowBelowFloor bool
	}
	Start           struct{ Digest string } // Started or Trouble, then Ready or Trouble follows
	Watch           struct{ Digest string } // a process that runs already: its readiness and its end
	PublishEndpoint struct {                // tell the register
		Digest string
		State  EndpointState
	}
	AwaitWarmUp struct{ Digest string } // Warm follows once it is
	AwaitDrain  struct{ Digest string } // Drained follows once nothing new can come
	Stop        struct{ Digest string } // tell the process to end, then make it; Exited follows
	Backoff     struct {                // Retry follows
		Digest string
		Delay  time.Duration
	}
	Cancel           struct{ Digest string } // a fetch or check under way
	CollectGarbage   struct{}                // remove builds that State does not name
	ReportTransition struct {                // one transition
		Build    int
		Digest   string
		From, To Phase
		Cause    string
		At       time.Time
	}
)

func (Fetch) effect()            {}
func (Verify) effect()           {}
func (Start) effect()            {}
func (Watch) effect()            {}
func (PublishEndpoint) effect()  {}
func (AwaitWarmUp) effect()      {}
func (AwaitDrain) effect()       {}
func (Stop) effect()             {}
func (Backoff) effect()          {}
func (Cancel) effect()           {}
func (CollectGarbage) effect()   {}
func (ReportTransition) effect() {}

// EndpointState is what the register is to list.
type EndpointState string

const (
	EndpointServing  EndpointState = "serving"
	EndpointDraining EndpointState = "draining"
	EndpointRemoved  EndpointState = "gone"
)

// Process is a running build, told apart from later ones with the same pid by when it started.
type Process struct {
	Pid        int       `json:"pid"`
	StartTicks int64     `json:"since"` // as the system counts
	Port       int       `json:"port"`
	StartedAt  time.Time `json:"up"`
}

// Instance is one build on this host.
type Instance struct {
	Build           int       `json:"build"`
	Digest          string    `json:"digest"`
	Phase           Phase     `json:"phase"`
	Goal            Goal      `json:"goal"`
	AllowBelowFloor bool      `json:"old,omitempty"`
	Verified        bool      `json:"checked,omitempty"` // its files were checked since they were fetched
	Process         Process   `json:"process"`
	Crashes         int       `json:"crashes,omitempty"` // in a row
	Reason          string    `json:"reason,omitempty"`
	Released        bool      `json:"released,omitempty"`
	PhaseSince      time.Time `json:"since"` // of the phase
}

// State is all that a machine knows.
type State struct {
	LastOrder uint64      `json:"order"`             // the last one's number
	Stable    *Instance   `json:"earlier,omitempty"` // the released build
	Candidate *Instance   `json:"newer,omitempty"`   // the one on its way, or on trial
	Retiring  []*Instance `json:"leaving,omitempty"` // on their way out
}

// Limits are the machine's figures.
type Limits struct {
	MaxCrashes      int           // in a row, after which a build is taken back
	CrashBackoff    time.Duration // before a crashed build is started again, twice as long each time
	MaxCrashBackoff time.Duration // of these pauses
	CrashResetAfter time.Duration // a build that has served so long has no crashes to its name
}

// Machine is one host's agent. It is not safe for concurrent use.
type Machine struct {
	State   State
	limits  Limits
	now     time.Time
	effects []Effect
}

type event int

const (
	proceed event = iota // its goal allows the next step
	fetched
	checked
	ready
	warm
	ended // its process
	failed
	leave // it is to go
	drained
	retry
)

// row is one line of the table by which a run moves.
type row struct {
	phase Phase
	event event
	next  Phase
	do    func(*Machine, *Instance)
}

var table = []row{
	{Idle, proceed, Fetching, (*Machine).fetch},
	{Fetching, fetched, Verifying, (*Machine).check},
	{Fetching, failed, Failed, (*Machine).fail},
	{Fetching, leave, RolledBack, (*Machine).cancel},
	{Verifying, checked, Staged, (*Machine).staged},
	{Verifying, failed, Failed, (*Machine).fail},
	{Verifying, leave, RolledBack, (*Machine).cancel},
	{Staged, proceed, Starting, (*Machine).start},
	{Staged, leave, RolledBack, (*Machine).gone},
	{Starting, ready, WarmingUp, (*Machine).list},
	{Starting, ended, Starting, (*Machine).crash},
	{Starting, failed, Starting, (*Machine).crash},
	{Starting, retry, Starting, (*Machine).start},
	{Starting, leave, Stopping, (*Machine).stop},
	{WarmingUp, warm, Serving, (*Machine).serve},
	{WarmingUp, ended, Starting, (*Machine).fall},
	{WarmingUp, leave, Draining, (*Machine).drain},
	{Serving, ended, Starting, (*Machine).fall},
	{Serving, leave, Draining, (*Machine).drain},
	{Draining, drained, Stopping, (*Machine).stop},
	{Draining, ended, RolledBack, (*Machine).goneListed},
	{Stopping, ended, RolledBack, (*Machine).goneListed},
	{Stopping, failed, Stopping, (*Machine).stop}, // what did not come up is still to be made sure of
	{Failed, leave, RolledBack, (*Machine).gone},
}

// New is the machine of a host that runs nothing.
func New(rules Limits) *Machine { return &Machine{limits: rules} }

// Instances are all runs, the released one first.
func (s *State) Instances() (all []*Instance) {
	for _, r := range append([]*Instance{s.Stable, s.Candidate}, s.Retiring...) {
		if r != nil {
			all = append(all, r)
		}
	}
	return all
}

// Instance is the run of a build, if there is one.
func (s *State) Instance(digest string) *Instance {
	for _, r := range s.Instances() {
		if r.Digest == digest {
			return r
		}
	}
	return nil
}

// Handle takes in what happened and returns what is to be done, in order.
func (m *Machine) Handle(now time.Time, in Input) []Effect {
	m.now, m.effects = now, nil
	switch in := in.(type) {
	case Order:
		m.order(in)
	case Fetched:
		m.on(in.Digest, fetched, "")
	case Verified:
		if r := m.State.Instance(in.Digest); r != nil && r.Phase == Verifying {
			r.Verified = true
		}
		m.on(in.Digest, checked, "")
	case OperationFailed:
		m.on(in.Digest, failed, in.Reason)
	case Started:
		if r := m.State.Instance(in.Digest); r != nil {
			r.Process = in.Process
		}
	case Ready:
		m.on(in.Digest, ready, "")
	case WarmedUp:
		m.on(in.Digest, warm, "")
	case Exited:
		m.on(in.Digest, ended, in.Reason)
	case Drained:
		m.on(in.Digest, drained, "")
	case BackoffElapsed:
		m.on(in.Digest, retry, "")
	}
	m.settle()
	return m.effects
}

// order takes an order in, if it is newer than the last.
func (m *Machine) order(o Order) {
	if o.Number <= m.State.LastOrder || o.Goal < GoalStage || o.Goal > GoalRollback || o.Digest == "" {
		return
	}
	m.State.LastOrder = o.Number
	s := &m.State
	if o.Goal == GoalRollback {
		m.takeBack(o)
		return
	}
	if s.Stable != nil && s.Stable.Digest == o.Digest {
		m.dismiss(s.Candidate, "order") // the earlier build is wanted: whatever is on its way goes
		return
	}
	if r := s.Candidate; r != nil && r.Digest == o.Digest {
		if r.Goal = max(r.Goal, o.Goal); r.Phase == Failed && r.Goal == o.Goal { // it is wanted in spite of its failure
			m.step(r, leave, "order")
		} else {
			return
		}
	} else {
		m.dismiss(s.Candidate, "order")
	}
	if s.Instance(o.Digest) != nil {
		return // it is still leaving; the controller orders it again once it has gone
	}
	s.Candidate = &Instance{Build: o.Build, Digest: o.Digest, Phase: Idle, Goal: o.Goal, AllowBelowFloor: o.AllowBelowFloor, PhaseSince: m.now}
}

// takeBack overtakes whatever is under way.
func (m *Machine) takeBack(o Order) {
	s := &m.State
	switch {
	case s.Candidate != nil && s.Candidate.Digest == o.Digest:
		m.dismiss(s.Candidate, "take-back")
	case s.Stable != nil && s.Stable.Digest == o.Digest:
		m.dismiss(s.Stable, "take-back")
		if s.Candidate != nil && s.Candidate.Digest == o.RollbackTo {
			s.Candidate.Goal = GoalRelease // it is on its way here already
		} else if o.RollbackTo != "" {
			m.dismiss(s.Candidate, "take-back")
			if s.Instance(o.RollbackTo) == nil {
				s.Candidate = &Instance{Build: o.RollbackToBuild, Digest: o.RollbackTo, Phase: Idle, Goal: GoalRelease, AllowBelowFloor: true, PhaseSince: m.now}
			}
		}
	}
}

// dismiss lets a run leave. It stays known until it has gone.
func (m *Machine) dismiss(r *Instance, cause string) {
	if r == nil {
		return
	}
	s := &m.State
	if s.Candidate == r {
		s.Candidate = nil
	}
	if s.Stable == r {
		s.Stable = nil
	}
	s.Retiring = append(s.Retiring, r)
	if r.Phase == Idle {
		r.Phase = RolledBack
		return
	}
	m.step(r, leave, cause)
}

func (m *Machine) on(digest string, e event, cause string) {
	if r := m.State.Instance(digest); r != nil {
		m.step(r, e, cause)
	}
}

var causes = map[event]string{proceed: "order", fetched: "all files are there", checked: "signatures and files are right",
	ready: "ready by its word and its probe", warm: "warm", drained: "nothing new can come", retry: "pause over"}

// step reads the table. Only what changes the phase, or fails, is reported.
func (m *Machine) step(r *Instance, e event, cause string) {
	for _, row := range table {
		if row.phase != r.Phase || row.event != e {
			continue
		}
		from := r.Phase
		if cause == "" {
			cause = causes[e]
		}
		r.Phase = row.next
		if e == failed || e == ended {
			r.Reason = cause
		}
		row.do(m, r)
		if from != r.Phase || e == failed || e == ended {
			r.PhaseSince = m.now
			m.do(ReportTransition{r.Build, r.Digest, from, r.Phase, cause, m.now})
		}
		return
	}
}

// settle goes on where goals allow it, hands over, and forgets what has gone.
func (m *Machine) settle() {
	s := &m.State
	if r := s.Candidate; r != nil {
		if r.Phase == Idle || r.Phase == Staged && r.Goal >= GoalServe && r.Verified {
			m.step(r, proceed, "")
		}
		if r.Phase == Failed && r.Goal >= GoalServe { // it takes itself back; it stays known as failed until told otherwise
			m.do(CollectGarbage{})
		}
		if r.Phase == Serving && r.Goal >= GoalRelease {
			m.dismiss(s.Stable, "the newer build is released")
			s.Stable, s.Candidate, r.Released = r, nil, true
		}
	}
	gone := func(r *Instance) bool { return r.Phase == RolledBack }
	if slices.ContainsFunc(s.Retiring, gone) {
		s.Retiring = slices.DeleteFunc(s.Retiring, gone)
		m.do(CollectGarbage{})
	}
}

func (m *Machine) do(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) fetch(r *Instance)      { r.Verified = false; m.do(Fetch{r.Digest, r.AllowBelowFloor}) }
func (m *Machine) check(r *Instance)      { m.do(Verify{r.Digest, r.AllowBelowFloor}) }
func (m *Machine) cancel(r *Instance)     { m.do(Cancel{r.Digest}) }
func (m *Machine) fail(r *Instance)       { m.do(Cancel{r.Digest}) }
func (m *Machine) staged(*Instance)       {}
func (m *Machine) gone(*Instance)         {}
func (m *Machine) goneListed(r *Instance) { m.do(PublishEndpoint{r.Digest, EndpointRemoved}) }
func (m *Machine) list(r *Instance) {
	m.do(PublishEndpoint{r.Digest, EndpointServing})
	m.do(AwaitWarmUp{r.Digest})
}
func (m *Machine) serve(*Instance)  {}
func (m *Machine) stop(r *Instance) { m.do(Stop{r.Digest}) }

func (m *Machine) start(r *Instance) {
	r.Process = Process{}
	m.do(Start{r.Digest})
}

func (m *Machine) drain(r *Instance) {
	m.do(PublishEndpoint{r.Digest, EndpointDraining})
	m.do(AwaitDrain{r.Digest})
}

// again checks a build anew before it is started.
func (m *Machine) again(r *Instance) {
	r.Phase, r.Verified, r.PhaseSince = Verifying, false, m.now
	m.check(r)
}

// fall answers the end of a build that was listed.
func (m *Machine) fall(r *Instance) {
	m.do(PublishEndpoint{r.Digest, EndpointRemoved})
	if m.now.Sub(r.PhaseSince) > m.limits.CrashResetAfter {
		r.Crashes = 0
	}
	m.crash(r)
}

// crash starts a build again after a pause, or gives it up where it crashes too often. One that has been released is
// never given up: nothing else is there to serve.
func (m *Machine) crash(r *Instance) {
	r.Crashes++
	r.Process = Process{}
	if r.Crashes > m.limits.MaxCrashes && !r.Released {
		r.Phase = Failed
		m.do(Stop{r.Digest}) // what it may have left behind
		return
	}
	pause := m.limits.CrashBackoff << min(r.Crashes-1, 16)
	m.do(Backoff{r.Digest, min(pause, m.limits.MaxCrashBackoff)})
}

// Resume is the machine of a state that was saved. alive tells for each run whether its process was found. The effects
// are those that may not have been carried out, or whose outcome was not heard.
func Resume(now time.Time, rules Limits, s State, alive func(Instance) (Process, bool)) (*Machine, []Effect) {
	m := &Machine{State: s, limits: rules, now: now}
	for _, r := range s.Instances() {
		process, lives := alive(*r)
		if lives {
			r.Process = process
		}
		switch r.Phase {
		case Fetching:
			m.fetch(r)
		case Staged: // no one has looked at its files meanwhile
			m.again(r)
		case Verifying:
			m.check(r)
		case Starting:
			if lives {
				m.do(Watch{r.Digest})
			} else {
				m.again(r)
			}
		case WarmingUp, Serving:
			if !lives {
				m.step(r, ended, "it ended while no agent ran")
				continue
			}
			m.do(Watch{r.Digest})
			m.do(PublishEndpoint{r.Digest, EndpointServing})
			if r.Phase == WarmingUp {
				m.do(AwaitWarmUp{r.Digest})
			}
		case Draining:
			if !lives {
				m.step(r, ended, "it ended while no agent ran")
				continue
			}
			m.do(Watch{r.Digest})
			m.drain(r)
		case Stopping:
			m.stop(r) // which says Exited also where nothing runs
		case Failed:
			m.do(Stop{r.Digest})
		}
	}
	m.settle()
	return m, m.effects
}
