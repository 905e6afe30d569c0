package agent

import (
	"slices"
	"time"
)

// Phase is where a run of a build is.
type Phase string

const (
	Idle      Phase = "idle"
	Fetching  Phase = "fetching"
	Checking  Phase = "checking"
	Staged    Phase = "staged"   // checked and laid out; it may be started
	Starting  Phase = "starting" // started, or about to be, and not ready yet
	Warming   Phase = "warming"  // ready and listed, cold
	Serving   Phase = "serving"
	Draining  Phase = "draining" // listed as draining; gets nothing new
	Stopping  Phase = "stopping" // told to end
	TakenBack Phase = "taken back"
	Failed    Phase = "failed"
)

// Goal is how far a build may go on this host.
type Goal int

const (
	Stage    Goal = iota + 1 // fetch and check it
	Serve                    // and start it beside the earlier one
	Release                  // and let it take the earlier one's place
	TakeBack                 // take it off, whatever is under way
)

var goals = []string{"", "stage", "serve", "release", "take-back"}

func (g Goal) String() string {
	if g < 0 || int(g) >= len(goals) {
		return "unknown"
	}
	return goals[g]
}

// ParseGoal is the goal of that name; 0 if there is none.
func ParseGoal(name string) Goal { return Goal(max(0, slices.Index(goals, name))) }

// Input is something that happens. Those about a run name it by its build's digest; one about a run that is no more is
// let go.
type Input interface{ input() }

type (
	// Order is what the controller wants. An order with a number not above the last one's is ignored.
	Order struct {
		Number uint64
		Digest string // of the manifest
		Build  int
		Goal   Goal
		Old    bool   // a build below the floor is meant
		To     string // with TakeBack of a released build: the one to run in its place
		ToNum  int    // its number
	}
	// Fetched and Checked end what Fetch and Check asked for.
	Fetched struct{ Digest string }
	Checked struct{ Digest string }
	// Trouble is a fetch, check or start that failed, or a build not ready in time.
	Trouble struct{ Digest, Reason string }
	// Started is a process that runs now.
	Started struct {
		Digest  string
		Process Process
	}
	// Ready is a build that says so and answers its probe.
	Ready struct{ Digest string }
	// Warm is a build that has run for as long as hosts are cold.
	Warm struct{ Digest string }
	// Exited is a process that has ended by itself, or as told.
	Exited struct{ Digest, Reason string }
	// Drained is a build that surely gets nothing new.
	Drained struct{ Digest string }
	// Retry is the end of the pause before a build is started again.
	Retry struct{ Digest string }
)

func (Order) input()   {}
func (Fetched) input() {}
func (Checked) input() {}
func (Trouble) input() {}
func (Started) input() {}
func (Ready) input()   {}
func (Warm) input()    {}
func (Exited) input()  {}
func (Drained) input() {}
func (Retry) input()   {}

// Effect is something to be done.
type Effect interface{ effect() }

type (
	Fetch struct { // bring the files; Fetched or Trouble follows
		Digest string
		Old    bool
	}
	Check struct { // all files against the signed manifest, and lay them out; Checked or Trouble follows
		Digest string
		Old    bool
	}
	Start struct{ Digest string } // Started or Trouble, then Ready or Trouble follows
	Watch struct{ Digest string } // a process that runs already: its readiness and its end
	List  struct {                // tell the register
		Digest   string
		Standing Standing
	}
	AskWarm  struct{ Digest string } // Warm follows once it is
	AskDrain struct{ Digest string } // Drained follows once nothing new can come
	Stop     struct{ Digest string } // tell the process to end, then make it; Exited follows
	Pause    struct {                // Retry follows
		Digest string
		For    time.Duration
	}
	Cancel  struct{ Digest string } // a fetch or check under way
	Collect struct{}                // remove builds that State does not name
	Report  struct {                // one transition
		Build    int
		Digest   string
		From, To Phase
		Cause    string
		At       time.Time
	}
)

func (Fetch) effect()    {}
func (Check) effect()    {}
func (Start) effect()    {}
func (Watch) effect()    {}
func (List) effect()     {}
func (AskWarm) effect()  {}
func (AskDrain) effect() {}
func (Stop) effect()     {}
func (Pause) effect()    {}
func (Cancel) effect()   {}
func (Collect) effect()  {}
func (Report) effect()   {}

// Standing is what the register is to list.
type Standing string

const (
	Listed   Standing = "serving"
	Drains   Standing = "draining"
	Unlisted Standing = "gone"
)

// Process is a running build, told apart from later ones with the same pid by when it started.
type Process struct {
	Pid   int       `json:"pid"`
	Since int64     `json:"since"` // as the system counts
	Port  int       `json:"port"`
	Up    time.Time `json:"up"`
}

// Run is one build on this host.
type Run struct {
	Build    int       `json:"build"`
	Digest   string    `json:"digest"`
	Phase    Phase     `json:"phase"`
	Goal     Goal      `json:"goal"`
	Old      bool      `json:"old,omitempty"`
	Checked  bool      `json:"checked,omitempty"` // its files were checked since they were fetched
	Process  Process   `json:"process"`
	Crashes  int       `json:"crashes,omitempty"` // in a row
	Reason   string    `json:"reason,omitempty"`
	Released bool      `json:"released,omitempty"`
	Since    time.Time `json:"since"` // of the phase
}

// State is all that a machine knows.
type State struct {
	Order   uint64 `json:"order"`             // the last one's number
	Earlier *Run   `json:"earlier,omitempty"` // the released build
	Newer   *Run   `json:"newer,omitempty"`   // the one on its way, or on trial
	Leaving []*Run `json:"leaving,omitempty"` // on their way out
}

// Rules are the machine's figures.
type Rules struct {
	Crashes int           // in a row, after which a build is taken back
	Pause   time.Duration // before a crashed build is started again, twice as long each time
	Longest time.Duration // of these pauses
	Steady  time.Duration // a build that has served so long has no crashes to its name
}

// Machine is one host's agent. It is not safe for concurrent use.
type Machine struct {
	State State
	rules Rules
	now   time.Time
	out   []Effect
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
	do    func(*Machine, *Run)
}

var table = []row{
	{Idle, proceed, Fetching, (*Machine).fetch},
	{Fetching, fetched, Checking, (*Machine).check},
	{Fetching, failed, Failed, (*Machine).fail},
	{Fetching, leave, TakenBack, (*Machine).cancel},
	{Checking, checked, Staged, (*Machine).staged},
	{Checking, failed, Failed, (*Machine).fail},
	{Checking, leave, TakenBack, (*Machine).cancel},
	{Staged, proceed, Starting, (*Machine).start},
	{Staged, leave, TakenBack, (*Machine).gone},
	{Starting, ready, Warming, (*Machine).list},
	{Starting, ended, Starting, (*Machine).crash},
	{Starting, failed, Starting, (*Machine).crash},
	{Starting, retry, Starting, (*Machine).start},
	{Starting, leave, Stopping, (*Machine).stop},
	{Warming, warm, Serving, (*Machine).serve},
	{Warming, ended, Starting, (*Machine).fall},
	{Warming, leave, Draining, (*Machine).drain},
	{Serving, ended, Starting, (*Machine).fall},
	{Serving, leave, Draining, (*Machine).drain},
	{Draining, drained, Stopping, (*Machine).stop},
	{Draining, ended, TakenBack, (*Machine).goneListed},
	{Stopping, ended, TakenBack, (*Machine).goneListed},
	{Stopping, failed, Stopping, (*Machine).stop}, // what did not come up is still to be made sure of
	{Failed, leave, TakenBack, (*Machine).gone},
}

// New is the machine of a host that runs nothing.
func New(rules Rules) *Machine { return &Machine{rules: rules} }

// Runs are all runs, the released one first.
func (s *State) Runs() (all []*Run) {
	for _, r := range append([]*Run{s.Earlier, s.Newer}, s.Leaving...) {
		if r != nil {
			all = append(all, r)
		}
	}
	return all
}

// Run is the run of a build, if there is one.
func (s *State) Run(digest string) *Run {
	for _, r := range s.Runs() {
		if r.Digest == digest {
			return r
		}
	}
	return nil
}

// Hear takes in what happened and returns what is to be done, in order.
func (m *Machine) Hear(now time.Time, in Input) []Effect {
	m.now, m.out = now, nil
	switch in := in.(type) {
	case Order:
		m.order(in)
	case Fetched:
		m.on(in.Digest, fetched, "")
	case Checked:
		if r := m.State.Run(in.Digest); r != nil && r.Phase == Checking {
			r.Checked = true
		}
		m.on(in.Digest, checked, "")
	case Trouble:
		m.on(in.Digest, failed, in.Reason)
	case Started:
		if r := m.State.Run(in.Digest); r != nil {
			r.Process = in.Process
		}
	case Ready:
		m.on(in.Digest, ready, "")
	case Warm:
		m.on(in.Digest, warm, "")
	case Exited:
		m.on(in.Digest, ended, in.Reason)
	case Drained:
		m.on(in.Digest, drained, "")
	case Retry:
		m.on(in.Digest, retry, "")
	}
	m.settle()
	return m.out
}

// order takes an order in, if it is newer than the last.
func (m *Machine) order(o Order) {
	if o.Number <= m.State.Order || o.Goal < Stage || o.Goal > TakeBack || o.Digest == "" {
		return
	}
	m.State.Order = o.Number
	s := &m.State
	if o.Goal == TakeBack {
		m.takeBack(o)
		return
	}
	if s.Earlier != nil && s.Earlier.Digest == o.Digest {
		m.dismiss(s.Newer, "order") // the earlier build is wanted: whatever is on its way goes
		return
	}
	if r := s.Newer; r != nil && r.Digest == o.Digest {
		if r.Goal = max(r.Goal, o.Goal); r.Phase == Failed && r.Goal == o.Goal { // it is wanted in spite of its failure
			m.step(r, leave, "order")
		} else {
			return
		}
	} else {
		m.dismiss(s.Newer, "order")
	}
	if s.Run(o.Digest) != nil {
		return // it is still leaving; the controller orders it again once it has gone
	}
	s.Newer = &Run{Build: o.Build, Digest: o.Digest, Phase: Idle, Goal: o.Goal, Old: o.Old, Since: m.now}
}

// takeBack overtakes whatever is under way.
func (m *Machine) takeBack(o Order) {
	s := &m.State
	switch {
	case s.Newer != nil && s.Newer.Digest == o.Digest:
		m.dismiss(s.Newer, "take-back")
	case s.Earlier != nil && s.Earlier.Digest == o.Digest:
		m.dismiss(s.Earlier, "take-back")
		if s.Newer != nil && s.Newer.Digest == o.To {
			s.Newer.Goal = Release // it is on its way here already
		} else if o.To != "" {
			m.dismiss(s.Newer, "take-back")
			if s.Run(o.To) == nil {
				s.Newer = &Run{Build: o.ToNum, Digest: o.To, Phase: Idle, Goal: Release, Old: true, Since: m.now}
			}
		}
	}
}

// dismiss lets a run leave. It stays known until it has gone.
func (m *Machine) dismiss(r *Run, cause string) {
	if r == nil {
		return
	}
	s := &m.State
	if s.Newer == r {
		s.Newer = nil
	}
	if s.Earlier == r {
		s.Earlier = nil
	}
	s.Leaving = append(s.Leaving, r)
	if r.Phase == Idle {
		r.Phase = TakenBack
		return
	}
	m.step(r, leave, cause)
}

func (m *Machine) on(digest string, e event, cause string) {
	if r := m.State.Run(digest); r != nil {
		m.step(r, e, cause)
	}
}

var causes = map[event]string{proceed: "order", fetched: "all files are there", checked: "signatures and files are right",
	ready: "ready by its word and its probe", warm: "warm", drained: "nothing new can come", retry: "pause over"}

// step reads the table. Only what changes the phase, or fails, is reported.
func (m *Machine) step(r *Run, e event, cause string) {
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
			r.Since = m.now
			m.do(Report{r.Build, r.Digest, from, r.Phase, cause, m.now})
		}
		return
	}
}

// settle goes on where goals allow it, hands over, and forgets what has gone.
func (m *Machine) settle() {
	s := &m.State
	if r := s.Newer; r != nil {
		if r.Phase == Idle || r.Phase == Staged && r.Goal >= Serve && r.Checked {
			m.step(r, proceed, "")
		}
		if r.Phase == Failed && r.Goal >= Serve { // it takes itself back; it stays known as failed until told otherwise
			m.do(Collect{})
		}
		if r.Phase == Serving && r.Goal >= Release {
			m.dismiss(s.Earlier, "the newer build is released")
			s.Earlier, s.Newer, r.Released = r, nil, true
		}
	}
	gone := func(r *Run) bool { return r.Phase == TakenBack }
	if slices.ContainsFunc(s.Leaving, gone) {
		s.Leaving = slices.DeleteFunc(s.Leaving, gone)
		m.do(Collect{})
	}
}

func (m *Machine) do(e Effect) { m.out = append(m.out, e) }

func (m *Machine) fetch(r *Run)      { r.Checked = false; m.do(Fetch{r.Digest, r.Old}) }
func (m *Machine) check(r *Run)      { m.do(Check{r.Digest, r.Old}) }
func (m *Machine) cancel(r *Run)     { m.do(Cancel{r.Digest}) }
func (m *Machine) fail(r *Run)       { m.do(Cancel{r.Digest}) }
func (m *Machine) staged(*Run)       {}
func (m *Machine) gone(*Run)         {}
func (m *Machine) goneListed(r *Run) { m.do(List{r.Digest, Unlisted}) }
func (m *Machine) list(r *Run)       { m.do(List{r.Digest, Listed}); m.do(AskWarm{r.Digest}) }
func (m *Machine) serve(*Run)        {}
func (m *Machine) stop(r *Run)       { m.do(Stop{r.Digest}) }

func (m *Machine) start(r *Run) {
	r.Process = Process{}
	m.do(Start{r.Digest})
}

func (m *Machine) drain(r *Run) {
	m.do(List{r.Digest, Drains})
	m.do(AskDrain{r.Digest})
}

// again checks a build anew before it is started.
func (m *Machine) again(r *Run) {
	r.Phase, r.Checked, r.Since = Checking, false, m.now
	m.check(r)
}

// fall answers the end of a build that was listed.
func (m *Machine) fall(r *Run) {
	m.do(List{r.Digest, Unlisted})
	if m.now.Sub(r.Since) > m.rules.Steady {
		r.Crashes = 0
	}
	m.crash(r)
}

// crash starts a build again after a pause, or gives it up where it crashes too often. One that has been released is
// never given up: nothing else is there to serve.
func (m *Machine) crash(r *Run) {
	r.Crashes++
	r.Process = Process{}
	if r.Crashes > m.rules.Crashes && !r.Released {
		r.Phase = Failed
		m.do(Stop{r.Digest}) // what it may have left behind
		return
	}
	pause := m.rules.Pause << min(r.Crashes-1, 16)
	m.do(Pause{r.Digest, min(pause, m.rules.Longest)})
}

// Resume is the machine of a state that was saved. alive tells for each run whether its process was found. The effects
// are those that may not have been carried out, or whose outcome was not heard.
func Resume(now time.Time, rules Rules, s State, alive func(Run) (Process, bool)) (*Machine, []Effect) {
	m := &Machine{State: s, rules: rules, now: now}
	for _, r := range s.Runs() {
		process, lives := alive(*r)
		if lives {
			r.Process = process
		}
		switch r.Phase {
		case Fetching:
			m.fetch(r)
		case Staged: // no one has looked at its files meanwhile
			m.again(r)
		case Checking:
			m.check(r)
		case Starting:
			if lives {
				m.do(Watch{r.Digest})
			} else {
				m.again(r)
			}
		case Warming, Serving:
			if !lives {
				m.step(r, ended, "it ended while no agent ran")
				continue
			}
			m.do(Watch{r.Digest})
			m.do(List{r.Digest, Listed})
			if r.Phase == Warming {
				m.do(AskWarm{r.Digest})
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
	return m, m.out
}
