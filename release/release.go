// Package release moves a release through its stages: a state machine without sockets, clock or storage. Tell a
// Machine what happens, with the time, and carry out the effects that it returns, in order:
//
//	m := release.New(rules, 1)             // build 1 serves
//	effects := m.Hear(now, release.Offer{Build: 2})
//	effects = m.Hear(now, release.Ready{Build: 2})
//	effects = m.Hear(now, release.Vote{Router: "r1", Build: 2, Stage: 0, Voice: logic.On})
//	effects = m.Hear(now, release.Tick{})  // now and then: least times and votes run out
//
// A stage moves on once so many votes stand for it and its least time has passed, counted from when all its hosts
// run; the last stage's move releases the build. Votes back take a build off in any stage, and also after its release
// until the next is offered. Under a clock stages move on by themselves unless enough votes hold them.
package release

import (
	"strconv"

	"dapplefront/policy"
)

// Stage is one step of a release.
type Stage struct {
	HostShare   float64 // of the fleet's places that get the build
	ExposureCap float64 // of each router's tasks that may go there
}

// Rules are what the machine goes by.
type Rules struct {
	Mode           policy.PromotionMode
	Stages         []Stage
	MinStageTime   policy.Time // of a stage
	StageTime      policy.Time // of a stage, under logic.Clock
	VoteTTL        policy.Time
	PromoteQuorum  int // votes
	RollbackQuorum int
	HoldQuorum     int // under logic.Clock
}

// Input is something that happens.
type Input interface{ input() }

type (
	Offer        struct{ Build int } // a newer build is to be released
	HostsReady   struct{ Build int } // all hosts that Place asked for run
	HostsRemoved struct{ Build int } // all hosts that Retire named have gone
	RollBack     struct{ Build int } // someone takes the build back
	Finalize     struct{ Build int } // from now on the build can't go back: something was done that can't be undone
	Tick         struct{}            // time has passed
	Vote         struct {            // a router's word, in place of its earlier one
		Router       string
		Build, Stage int
		Choice       policy.VoteChoice
	}
)

func (Offer) input()        {}
func (HostsReady) input()   {}
func (HostsRemoved) input() {}
func (RollBack) input()     {}
func (Finalize) input()     {}
func (Tick) input()         {}
func (Vote) input()         {}

// Effect is something to be done.
type Effect interface{ effect() }

type (
	Deploy struct { // see that a share of the places runs the build, beside what runs
		Build int
		Share float64
	}
	Retire     struct{ Build int } // drain the build's hosts, then end them
	Notify     struct{ Status }    // to all routers
	VoteAnswer struct {            // to the vote just heard
		Accepted bool
		Reason   string // where it did not count
	}
	Reject struct{ Reason string } // to the offer or withdrawal just heard
)

func (Deploy) effect()     {}
func (Retire) effect()     {}
func (Notify) effect()     {}
func (VoteAnswer) effect() {}
func (Reject) effect()     {}

// Status is where the newest release stands. It is stored and sent under these names.
type Status struct {
	Build       int          `json:"Build"`
	Stage       int          `json:"Stage"`
	Phase       policy.Phase `json:"Phase"`
	ExposureCap float64      `json:"Cap"`
	Since       policy.Time  `json:"Since"`
}

// state is the phase, with its trial's two parts told apart.
type state int

const (
	starting state = iota // the stage's hosts start
	running               // they run, and the stage's time counts
	released
	goingBack
	withdrawn
)

type input int

const (
	ready input = iota
	movesOn
	sendsBack // by votes or by a withdrawal
	gone
	overtaken // a newer build is offered
)

// row is one line of the table by which a release moves.
type row struct {
	state state
	input input
	next  state
	do    func(*Machine)
}

var table = []row{
	{starting, ready, running, (*Machine).run},
	{running, movesOn, starting, (*Machine).widen}, // or released, in the last stage
	{starting, sendsBack, goingBack, (*Machine).takeOff},
	{running, sendsBack, goingBack, (*Machine).takeOff},
	{released, sendsBack, goingBack, (*Machine).restore},
	{goingBack, gone, withdrawn, (*Machine).tell},
	{starting, overtaken, withdrawn, (*Machine).takeOff},
	{running, overtaken, withdrawn, (*Machine).takeOff},
	{goingBack, overtaken, withdrawn, (*Machine).tell},
	{released, overtaken, released, (*Machine).rest},
	{withdrawn, overtaken, withdrawn, (*Machine).rest},
}

type vote struct {
	build, stage int
	voice        policy.VoteChoice
	at           policy.Time
}

// Machine is one fleet's releases. It is not safe for concurrent use.
type Machine struct {
	rules   Rules
	now     policy.Time
	state   state
	news    Status
	earlier int // the build that serves while news.Build is on trial, or served before it
	runs    policy.Time
	held    policy.Time // under a clock: how long the stage was on hold
	holding bool
	ticked  policy.Time
	fixed   bool // the newest build can't go back
	votes   map[string]vote
	out     []Effect
}

// New starts with a build that serves and is released.
func New(rules Rules, build int) *Machine {
	return &Machine{rules: rules, state: released, earlier: build, votes: map[string]vote{},
		news: Status{Build: build, Phase: policy.Released, ExposureCap: 1, Stage: max(0, len(rules.Stages)-1)}}
}

// Status is where the newest release stands now.
func (m *Machine) Status() Status { return m.news }

// PreviousBuild is the build that serves beside or before the newest one.
func (m *Machine) PreviousBuild() int { return m.earlier }

// Votes is how many votes of a voice stand now for the newest build; those to go on count for its present stage only.
func (m *Machine) Votes(voice policy.VoteChoice) (n int) {
	for _, v := range m.votes {
		fits := v.voice == voice && v.build == m.news.Build && m.now-v.at <= m.rules.VoteTTL
		if fits && (voice == policy.Rollback || v.stage == m.news.Stage) {
			n++
		}
	}
	return n
}

// Handle takes in what happened and returns what is to be done.
func (m *Machine) Handle(now policy.Time, in Input) []Effect {
	m.now, m.out = max(now, m.now), nil
	switch in := in.(type) {
	case Offer:
		m.offer(in.Build)
	case HostsReady:
		if in.Build == m.news.Build {
			m.step(ready)
		}
	case HostsRemoved:
		if in.Build == m.news.Build {
			m.step(gone)
		}
	case RollBack:
		if in.Build != m.news.Build || m.state == goingBack || m.state == withdrawn {
			m.do(Reject{Reason: "it is not the newest release, or it is going back already"})
		} else if m.fixed {
			m.do(Reject{Reason: noWayBack})
		} else {
			m.step(sendsBack)
		}
	case Finalize:
		m.fixed = m.fixed || in.Build == m.news.Build
	case Vote:
		m.vote(in)
	}
	m.weigh()
	m.ticked = m.now
	return m.out
}

const noWayBack = "a step that can't be undone has been done"

func (m *Machine) do(e Effect) { m.out = append(m.out, e) }

// step reads the table.
func (m *Machine) step(in input) {
	for _, r := range table {
		if r.state == m.state && r.input == in {
			m.state = r.next
			r.do(m)
			return
		}
	}
}

func (m *Machine) offer(build int) {
	if build <= m.news.Build {
		m.do(Reject{Reason: "a build with a higher number has been offered already"})
		return
	}
	if m.fixed && m.state != released {
		m.do(Reject{Reason: "build " + strconv.Itoa(m.news.Build) + " must be released first: " + noWayBack})
		return
	}
	if m.step(overtaken); m.state == released {
		m.earlier = m.news.Build
	}
	m.state, m.fixed, m.news = starting, false, Status{Build: build, Phase: policy.Canary}
	clear(m.votes)
	m.place()
}

func (m *Machine) vote(v Vote) {
	mine := v.Build == m.news.Build && m.state != goingBack && m.state != withdrawn
	back := v.Choice == policy.Rollback || v.Choice == policy.Abstain
	switch {
	case !mine || !back && (v.Stage != m.news.Stage || m.state == released):
		m.do(VoteAnswer{Reason: "it is not the present build or stage"})
		return
	case v.Choice == policy.Hold && m.rules.Mode != policy.Timed, v.Choice == policy.Promote && m.rules.Mode == policy.Timed:
		m.do(VoteAnswer{Reason: "no such vote under this control"})
		return
	}
	if v.Choice == policy.Rollback && m.fixed {
		m.do(VoteAnswer{Reason: noWayBack})
		return
	}
	m.votes[v.Router] = vote{v.Build, v.Stage, v.Choice, m.now}
	m.do(VoteAnswer{Accepted: true})
}

// weigh sees whether votes or time move the release.
func (m *Machine) weigh() {
	if !m.fixed && m.Votes(policy.Rollback) >= max(1, m.rules.RollbackQuorum) {
		m.step(sendsBack)
		return
	}
	if m.state != running {
		return
	}
	ran := m.now - m.runs
	if m.holding {
		m.held += m.now - m.ticked
	}
	m.holding = m.rules.Mode == policy.Timed && m.rules.HoldQuorum > 0 && m.Votes(policy.Hold) >= m.rules.HoldQuorum
	switch {
	case m.rules.Mode != policy.Timed:
		if m.Votes(policy.Promote) >= max(1, m.rules.PromoteQuorum) && ran >= m.rules.MinStageTime {
			m.step(movesOn)
		}
	case !m.holding && ran-m.held >= m.rules.StageTime:
		m.step(movesOn)
	}
}

// place asks for the present stage's hosts and tells of it.
func (m *Machine) place() {
	s := m.rules.Stages[m.news.Stage]
	m.news.ExposureCap, m.news.Since, m.held, m.holding = s.ExposureCap, m.now, 0, false
	m.do(Deploy{m.news.Build, s.HostShare})
	m.do(Notify{m.news})
}

func (m *Machine) run()  { m.runs = m.now }
func (m *Machine) rest() {}

func (m *Machine) tell() {
	m.news.Since = m.now
	if m.state == withdrawn {
		m.news.Phase = policy.RolledBack
	}
	m.do(Notify{m.news})
}

// widen goes on to the next stage, or releases the build after the last one.
func (m *Machine) widen() {
	if m.news.Stage+1 < len(m.rules.Stages) {
		m.news.Stage++
		m.place()
		return
	}
	m.state, m.news.Phase, m.news.ExposureCap, m.news.Since = released, policy.Released, 1, m.now
	m.do(Notify{m.news})
	m.do(Retire{m.earlier})
}

// takeOff takes a build on trial back.
func (m *Machine) takeOff() {
	m.news.Phase, m.news.ExposureCap, m.news.Since = policy.RollingBack, 0, m.now
	if m.state == withdrawn {
		m.news.Phase = policy.RolledBack
	}
	m.do(Notify{m.news})
	m.do(Retire{m.news.Build})
}

// restore takes a released build back: the earlier one gets all places again.
func (m *Machine) restore() {
	m.do(Deploy{m.earlier, 1})
	m.takeOff()
}
