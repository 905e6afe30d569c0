package agent

import (
	"slices"
	"time"
)

// Limits bound how often and how soon a crashed build is restarted.
type Limits struct {
	MaxCrashes      int           `json:"maxCrashes"`      // allowed consecutive crashes of an unreleased build; one more makes it fail
	CrashBackoff    time.Duration `json:"crashBackoff"`    // delay of the first restart; it doubles with each further restart
	MaxCrashBackoff time.Duration `json:"maxCrashBackoff"` // upper bound of the delay
	CrashResetAfter time.Duration `json:"crashResetAfter"` // time in WarmingUp or Serving after which a crash counts as the first one again
}

// Machine is the state machine of one host's agent. It is not safe for concurrent use.
type Machine struct {
	State   State
	limits  Limits
	now     time.Time // time of the current input
	effects []Effect  // effects of the current input
}

// New returns the state machine of a host without builds.
func New(limits Limits) *Machine { return &Machine{limits: limits} }

// Handle applies an input to the state and returns the effects to execute, in order.
func (m *Machine) Handle(now time.Time, in Input) []Effect {
	m.now, m.effects = now, nil
	switch in := in.(type) {
	case Order:
		m.applyOrder(in)
	case Fetched:
		m.apply(in.Digest, fetched, "")
	case Verified:
		if i := m.State.Instance(in.Digest); i != nil && i.Phase == Verifying {
			i.Verified = true
		}
		m.apply(in.Digest, verified, "")
	case OperationFailed:
		m.apply(in.Digest, failed, in.Reason)
	case Started:
		if i := m.State.Instance(in.Digest); i != nil {
			i.Process = in.Process
		}
	case Ready:
		m.apply(in.Digest, ready, "")
	case WarmedUp:
		m.apply(in.Digest, warmedUp, "")
	case Exited:
		m.apply(in.Digest, exited, in.Reason)
	case Drained:
		m.apply(in.Digest, drained, "")
	case BackoffElapsed:
		m.apply(in.Digest, retry, "")
	}
	m.reconcile()
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// apply applies an event to the instance of a build, if there is one.
func (m *Machine) apply(digest string, e event, cause string) {
	if i := m.State.Instance(digest); i != nil {
		m.step(i, e, cause)
	}
}

// reconcile takes the steps that the candidate's goal allows, makes a released candidate the stable build once it
// serves, and drops instances that are removed.
func (m *Machine) reconcile() {
	s := &m.State
	if c := s.Candidate; c != nil {
		if c.Phase == Idle || c.Phase == Staged && c.Goal >= GoalServe && c.Verified {
			m.step(c, proceed, "")
		}
		if c.Phase == Failed && c.Goal >= GoalServe { // the failed candidate stays in State until the next order
			m.emit(CollectGarbage{})
		}
		if c.Phase == Serving && c.Goal >= GoalRelease {
			m.retire(s.Stable, "the newer build is released")
			s.Stable, s.Candidate, c.Released = c, nil, true
		}
	}
	removed := func(i *Instance) bool { return i.Phase == Removed }
	if slices.ContainsFunc(s.Retiring, removed) {
		s.Retiring = slices.DeleteFunc(s.Retiring, removed)
		m.emit(CollectGarbage{})
	}
}

// retire starts the removal of an instance from the host. The instance stays in the state until it is removed. It does
// nothing if i is nil.
func (m *Machine) retire(i *Instance, cause string) {
	if i == nil {
		return
	}
	s := &m.State
	if s.Candidate == i {
		s.Candidate = nil
	}
	if s.Stable == i {
		s.Stable = nil
	}
	s.Retiring = append(s.Retiring, i)
	if i.Phase == Idle {
		i.Phase = Removed
		return
	}
	m.step(i, retire, cause)
}
