package agent

import "time"

// exitedWhileDown is the cause of an exit that no agent saw.
const exitedWhileDown = "it ended while no agent ran"

// Resume returns the machine of a saved state. findProcess returns an instance's process where it still runs. The
// effects are those that may not have been carried out, or whose outcome was not handled.
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

// resume continues one instance in its phase.
func (m *Machine) resume(i *Instance, alive bool) {
	switch i.Phase {
	case Fetching:
		m.fetch(i)
	case Staged: // its files may have changed in the meantime
		m.verifyAgain(i)
	case Verifying:
		m.verify(i)
	case Starting:
		if alive {
			m.emit(Watch{i.Digest})
		} else {
			m.verifyAgain(i)
		}
	case WarmingUp, Serving:
		if !alive {
			m.step(i, exited, exitedWhileDown)
			return
		}
		m.emit(Watch{i.Digest})
		m.emit(PublishEndpoint{i.Digest, EndpointServing})
		if i.Phase == WarmingUp {
			m.emit(AwaitWarmUp{i.Digest})
		}
	case Draining:
		if !alive {
			m.step(i, exited, exitedWhileDown)
			return
		}
		m.emit(Watch{i.Digest})
		m.drain(i)
	case Stopping, Failed:
		m.stop(i) // Exited follows also where nothing runs
	}
}

// verifyAgain returns to the verification of a build before it is started.
func (m *Machine) verifyAgain(i *Instance) {
	i.Phase, i.Verified, i.PhaseSince = Verifying, false, m.now
	m.verify(i)
}
