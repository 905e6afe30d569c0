package release

import "dapplefront/policy"

// state is Status.Phase with the two parts of policy.Canary told apart. The values are stored; keep their order.
type state int

const (
	deploying state = iota
	analyzing
	released
	rollingBack
	rolledBack
)

// trigger is what moves a release from one state to another.
type trigger int

const (
	hostsReady trigger = iota
	hostsRemoved
	promote
	promoteLast // out of the last stage
	rollBack
	supersede // by an offer of a newer build
)

// transition is one line of the table in the package's documentation. The action runs in the new state.
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
	{released, supersede, released, (*Machine).nothing},
	{rolledBack, supersede, rolledBack, (*Machine).nothing},
}

// fire takes the transition that the table has for the present state and a trigger, if there is one.
func (m *Machine) fire(on trigger) {
	for _, t := range transitions {
		if t.from == m.state && t.on == on {
			m.state = t.to
			t.action(m)
			return
		}
	}
}

func (m *Machine) nothing() {}

func (m *Machine) startStageTime() { m.stageStarted = m.now }

func (m *Machine) deployNextStage() {
	m.status.Stage++
	m.deployStage()
}

// deployStage asks for the present stage's hosts and notifies routers of it.
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

// withdrawBuild takes all traffic and all hosts from the newest build.
func (m *Machine) withdrawBuild() {
	m.status.Phase, m.status.ExposureCap, m.status.Since = policy.RollingBack, 0, m.now
	if m.state == rolledBack {
		m.status.Phase = policy.RolledBack
	}
	m.emit(Notify{m.status})
	m.emit(Retire{m.status.Build})
}

// restorePreviousBuild gives all hosts to the previous build, whose own were retired at the release.
func (m *Machine) restorePreviousBuild() {
	m.emit(Deploy{m.previousBuild, 1})
	m.withdrawBuild()
}

func (m *Machine) notifyRolledBack() {
	m.status.Phase, m.status.Since = policy.RolledBack, m.now
	m.emit(Notify{m.status})
}
