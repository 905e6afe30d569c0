package release

import (
	"maps"
	"strconv"

	"dapplefront/policy"
)

// Reasons in Reject and VoteResponse. Clients see these texts, so they must not change.
const (
	reasonIrreversible  = "a step that can't be undone has been done"
	reasonOldBuild      = "a build with a higher number has been offered already"
	reasonNotNewest     = "it is not the newest release, or it is going back already"
	reasonOtherStage    = "it is not the present build or stage"
	reasonNotThisChoice = "no such vote under this control"
)

// castVote is a router's most recent vote.
type castVote struct {
	build, stage int
	choice       policy.VoteChoice
	at           policy.Time
}

// Machine manages the releases of one fleet. It is not safe for concurrent use.
type Machine struct {
	rules         Rules
	now           policy.Time // time of the last input; it never decreases
	state         state
	status        Status
	previousBuild int         // the build that serves beside a canary, or served before status.Build
	stageStarted  policy.Time // when all hosts of the stage became ready
	heldTime      policy.Time // with policy.Timed: how long the stage has been on hold
	onHold        bool        // with policy.Timed: hold votes have reached their quorum
	lastHandled   policy.Time // time of the previous input
	irreversible  bool        // the newest build can't be rolled back
	votes         map[string]castVote
	effects       []Effect // of the input that is being handled
}

// New returns a machine whose newest release is the given build, in the state released.
func New(rules Rules, build int) *Machine {
	return &Machine{rules: rules, state: released, previousBuild: build, votes: map[string]castVote{},
		status: Status{Build: build, Phase: policy.Released, ExposureCap: 1, Stage: max(0, len(rules.Stages)-1)}}
}

// Status returns the status of the newest release.
func (m *Machine) Status() Status { return m.status }

// PreviousBuild returns the build that serves beside a canary, or that served before the newest one was released.
func (m *Machine) PreviousBuild() int { return m.previousBuild }

// Votes returns the number of valid votes with the given choice for the newest build. A vote is valid until it expires;
// votes other than rollback votes must also be for the current stage.
func (m *Machine) Votes(choice policy.VoteChoice) (n int) {
	for _, v := range m.votes {
		current := v.choice == choice && v.build == m.status.Build && m.now-v.at <= m.rules.VoteTTL
		if current && (choice == policy.Rollback || v.stage == m.status.Stage) {
			n++
		}
	}
	return n
}

// Handle handles an input at the given time and returns the effects to carry out, in order. If the time is before that of an
// earlier input, the earlier input's time is used instead.
func (m *Machine) Handle(now policy.Time, in Input) []Effect {
	m.now, m.effects = max(now, m.now), nil
	switch in := in.(type) {
	case Offer:
		m.handleOffer(in.Build)
	case HostsReady:
		if in.Build == m.status.Build {
			m.fire(hostsReady)
		}
	case HostsRemoved:
		if in.Build == m.status.Build {
			m.fire(hostsRemoved)
		}
	case RollBack:
		m.handleRollBack(in.Build)
	case Finalize:
		m.irreversible = m.irreversible || in.Build == m.status.Build
	case Vote:
		m.emit(m.handleVote(in))
	}
	m.evaluate()
	m.lastHandled = m.now
	return m.effects
}

// Due reports whether a Tick at the given time would have an effect.
func (m *Machine) Due(now policy.Time) bool {
	copied := *m
	copied.votes = maps.Clone(m.votes)
	return len(copied.Handle(now, Tick{})) > 0
}

// SetQuorum sets how many votes promote a stage and how many roll a build back. The caller adjusts both when routers join or
// leave. The new quorums take effect with the next input.
func (m *Machine) SetQuorum(promote, rollback int) {
	m.rules.PromoteQuorum, m.rules.RollbackQuorum = promote, rollback
}

// ForgetRouter deletes the vote of a router that has left.
func (m *Machine) ForgetRouter(router string) { delete(m.votes, router) }

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) handleOffer(build int) {
	if build <= m.status.Build {
		m.emit(Reject{Reason: reasonOldBuild})
		return
	}
	if m.irreversible && m.state != released {
		m.emit(Reject{Reason: "build " + strconv.Itoa(m.status.Build) + " must be released first: " + reasonIrreversible})
		return
	}
	m.fire(supersede)
	if m.state == released {
		m.previousBuild = m.status.Build
	}
	m.state, m.irreversible, m.status = deploying, false, Status{Build: build, Phase: policy.Canary}
	clear(m.votes)
	m.deployStage()
}

func (m *Machine) handleRollBack(build int) {
	switch {
	case build != m.status.Build || m.state == rollingBack || m.state == rolledBack:
		m.emit(Reject{Reason: reasonNotNewest})
	case m.irreversible:
		m.emit(Reject{Reason: reasonIrreversible})
	default:
		m.fire(rollBack)
	}
}

// handleVote stores a vote if it is accepted. Rollback votes and abstentions apply to the build, other votes to its current
// stage.
func (m *Machine) handleVote(v Vote) VoteResponse {
	open := v.Build == m.status.Build && m.state != rollingBack && m.state != rolledBack
	forBuild := v.Choice == policy.Rollback || v.Choice == policy.Abstain
	timed := m.rules.Mode == policy.Timed
	switch {
	case !open || !forBuild && (v.Stage != m.status.Stage || m.state == released):
		return VoteResponse{Reason: reasonOtherStage}
	case v.Choice == policy.Hold && !timed, v.Choice == policy.Promote && timed:
		return VoteResponse{Reason: reasonNotThisChoice}
	case v.Choice == policy.Rollback && m.irreversible:
		return VoteResponse{Reason: reasonIrreversible}
	}
	m.votes[v.Router] = castVote{v.Build, v.Stage, v.Choice, m.now}
	return VoteResponse{Accepted: true}
}

// evaluate fires the transitions that votes and time cause: a rollback, or the promotion of a stage whose hosts are ready.
func (m *Machine) evaluate() {
	if !m.irreversible && m.Votes(policy.Rollback) >= max(1, m.rules.RollbackQuorum) {
		m.fire(rollBack)
		return
	}
	if m.state != analyzing {
		return
	}
	if m.onHold {
		m.heldTime += m.now - m.lastHandled
	}
	m.onHold = m.rules.Mode == policy.Timed && m.rules.HoldQuorum > 0 && m.Votes(policy.Hold) >= m.rules.HoldQuorum
	if !m.shouldPromote() {
		return
	}
	if m.status.Stage+1 < len(m.rules.Stages) {
		m.fire(promote)
	} else {
		m.fire(promoteLast)
	}
}

// shouldPromote reports whether the current stage, whose hosts are ready, is to be promoted.
func (m *Machine) shouldPromote() bool {
	inStage := m.now - m.stageStarted
	if m.rules.Mode == policy.Timed {
		return !m.onHold && inStage-m.heldTime >= m.rules.StageTime
	}
	return m.Votes(policy.Promote) >= max(1, m.rules.PromoteQuorum) && inStage >= m.rules.MinStageTime
}
