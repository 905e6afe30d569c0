package agent

import "time"

// exitedWhileDown is the cause of an exit that happened while no agent was running.
const exitedWhileDown = "it ended while no agent ran"

// Resume returns the state machine for a saved state, and the effects that may not have been executed, or whose
// outcomes may not have been handled. findProcess returns the process of an instance and whether it is still running.
func Resume(now time.Time, limits Limits, s State, findProcess func(Instance) (Process, bool)) (*Machine, []Effect) {
	m := &Machine{State: s, limits: limits, now: now}
	for _, i := range s.Instances() {
		process, alive := findProcess(*i)
		if alive {
			i.Process = process
		}
		m.resume(i, alive)
	}
	m.reconcile()
	return m, m.effects
}

// resume emits the effects that continue an instance from its saved phase.
func (m *Machine) resume(i *Instance, alive bool) {
	switch i.Phase {
	case Fetching:
		m.fetch(i)
	case Staged: // the files may have changed while no agent was running
		m.verifyAgain(i)
	case Verifying:
		m.verify(i)
	case Starting:
		if alive {
			m.emit(Adopt{i.Digest})
		} else {
			m.verifyAgain(i)
		}
	case WarmingUp, Serving:
		if !alive {
			m.step(i, exited, exitedWhileDown)
			return
		}
		m.emit(Adopt{i.Digest})
		m.emit(PublishEndpoint{i.Digest, EndpointServing})
		if i.Phase == WarmingUp {
			m.emit(AwaitWarmUp{i.Digest})
		}
	case Draining:
		if !alive {
			m.step(i, exited, exitedWhileDown)
			return
		}
		m.emit(Adopt{i.Digest})
		m.drain(i)
	case Stopping, Failed:
		m.stop(i) // Exited follows even if no process is running
	}
}

// verifyAgain returns an instance to the Verifying phase, so that its build is verified again before it is started.
func (m *Machine) verifyAgain(i *Instance) {
	i.Phase, i.Verified, i.PhaseSince = Verifying, false, m.now
	m.verify(i)
}
