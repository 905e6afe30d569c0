package agent

// applyOrder applies an order whose number is above that of the last order. Invalid orders are ignored.
func (m *Machine) applyOrder(o Order) {
	if o.Number <= m.State.LastOrder || o.Goal < GoalStage || o.Goal > GoalRollback || o.Digest == "" {
		return
	}
	m.State.LastOrder = o.Number
	if o.Goal == GoalRollback {
		m.rollBack(o)
		return
	}
	s := &m.State
	if s.Stable != nil && s.Stable.Digest == o.Digest {
		m.retire(s.Candidate, "order") // the order names the stable build, so no candidate is needed
		return
	}
	if c := s.Candidate; c != nil && c.Digest == o.Digest {
		if c.Goal = max(c.Goal, o.Goal); c.Phase != Failed || c.Goal != o.Goal {
			return
		}
		m.step(c, retire, "order") // the order retries the failed build
	} else {
		m.retire(s.Candidate, "order")
	}
	if s.Instance(o.Digest) != nil {
		return // the instance is still retiring; the controller orders the build again once it is removed
	}
	s.Candidate = &Instance{
		Build: o.Build, Digest: o.Digest, Phase: Idle, Goal: o.Goal, AllowBelowMinVersion: o.AllowBelowMinVersion, PhaseSince: m.now,
	}
}

// rollBack retires the build that the order rolls back. If this is the stable build and the order names a replacement,
// the replacement becomes the candidate.
func (m *Machine) rollBack(o Order) {
	const cause = "take-back"
	s := &m.State
	switch {
	case s.Candidate != nil && s.Candidate.Digest == o.Digest:
		m.retire(s.Candidate, cause)
	case s.Stable != nil && s.Stable.Digest == o.Digest:
		m.retire(s.Stable, cause)
		if s.Candidate != nil && s.Candidate.Digest == o.RollbackTo {
			s.Candidate.Goal = GoalRelease // the replacement is already the candidate
			return
		}
		if o.RollbackTo == "" {
			return
		}
		m.retire(s.Candidate, cause)
		if s.Instance(o.RollbackTo) == nil {
			s.Candidate = &Instance{
				Build: o.RollbackToBuild, Digest: o.RollbackTo, Phase: Idle, Goal: GoalRelease, AllowBelowMinVersion: true,
				PhaseSince: m.now,
			}
		}
	}
}
