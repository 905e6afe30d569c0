package release

import "dapplefront/policy"

// state is Status.Phase, with policy.Canary split into deploying and analyzing. The values are stored: keep their order.
type state int

const (
	deploying state = iota
	analyzing
	released
	rollingBack
	rolledBack
)

// trigger is the cause of a transition from one state to another.
type trigger int

const (
	hostsReady trigger = iota
	hostsRemoved
	promote
	promoteLast // promotion out of the last stage
	rollBack
	supersede // by the offer of a newer build
)

// transition is one row of the table in the package documentation. The action runs after the change to the new state.
type transition struct {
	from   state
	on     trigger
	to     state
	action func(*Machine)
}

var transitions = []transition{
	{deploying, hostsReady, analyzing, (*Machine).startStageTime},
	{analyzing, promote, deploying, (*Machine).deployNextStage},
	{analyzing, promoteLast, released, (*Machine).completeRelease},
	{deploying, rollBack, rollingBack, (*Machine).withdrawBuild},
	{analyzing, rollBack, rollingBack, (*Machine).withdrawBuild},
	{released, rollBack, rollingBack, (*Machine).restorePreviousBuild},
	{rollingBack, hostsRemoved, rolledBack, (*Machine).notifyRolledBack},
	{deploying, supersede, rolledBack, (*Machine).withdrawBuild},
	{analyzing, supersede, rolledBack, (*Machine).withdrawBuild},
	{rollingBack, supersede, rolledBack, (*Machine).notifyRolledBack},
	{released, supersede, released, (*Machine).noAction},
	{rolledBack, supersede, rolledBack, (*Machine).noAction},
}

// fire performs the transition for the current state and the given trigger, if the table has one.
func (m *Machine) fire(on trigger) {
	for _, t := range transitions {
		if t.from == m.state && t.on == on {
			m.state = t.to
			t.action(m)
			return
		}
	}
}

func (m *Machine) noAction() {}

func (m *Machine) startStageTime() { m.stageStarted = m.now }

func (m *Machine) deployNextStage() {
	m.status.Stage++
	m.deployStage()
}

// deployStage requests the hosts of the current stage and notifies routers of the stage.
func (m *Machine) deployStage() {
	stage := m.rules.Stages[m.status.Stage]
	m.status.ExposureCap, m.status.Since = stage.ExposureCap, m.now
	m.heldTime, m.onHold = 0, false
	m.emit(Deploy{m.status.Build, stage.HostShare})
	m.emit(Notify{m.status})
}

func (m *Machine) completeRelease() {
	m.status.Phase, m.status.ExposureCap, m.status.Since = policy.Released, 1, m.now
	m.emit(Notify{m.status})
	m.emit(Retire{m.previousBuild})
}

// withdrawBuild removes all traffic and all hosts from the newest build.
func (m *Machine) withdrawBuild() {
	m.status.Phase, m.status.ExposureCap, m.status.Since = policy.RollingBack, 0, m.now
	if m.state == rolledBack {
		m.status.Phase = policy.RolledBack
	}
	m.emit(Notify{m.status})
	m.emit(Retire{m.status.Build})
}

// restorePreviousBuild deploys the previous build on all hosts: its own hosts were retired when the newest build was released.
func (m *Machine) restorePreviousBuild() {
	m.emit(Deploy{m.previousBuild, 1})
	m.withdrawBuild()
}

func (m *Machine) notifyRolledBack() {
	m.status.Phase, m.status.Since = policy.RolledBack, m.now
	m.emit(Notify{m.status})
}
