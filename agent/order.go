package agent

// order applies an order whose number is above the last one's. Orders that make no sense are ignored.
func (m *Machine) order(o Order) {
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
		m.retire(s.Candidate, "order") // the stable build is wanted: no candidate is
		return
	}
	if c := s.Candidate; c != nil && c.Digest == o.Digest {
		if c.Goal = max(c.Goal, o.Goal); c.Phase != Failed || c.Goal != o.Goal {
			return
		}
		m.step(c, retire, "order") // it is ordered in spite of its failure
	} else {
		m.retire(s.Candidate, "order")
	}
	if s.Instance(o.Digest) != nil {
		return // it is still retiring; the controller orders it again once it is removed
	}
	s.Candidate = &Instance{
		Build: o.Build, Digest: o.Digest, Phase: Idle, Goal: o.Goal, AllowBelowMinVersion: o.AllowBelowMinVersion, PhaseSince: m.now,
	}
}

// rollBack retires a candidate, or the stable build in favour of the one that the order names.
func (m *Machine) rollBack(o Order) {
	const cause = "take-back"
	s := &m.State
	switch {
	case s.Candidate != nil && s.Candidate.Digest == o.Digest:
		m.retire(s.Candidate, cause)
	case s.Stable != nil && s.Stable.Digest == o.Digest:
		m.retire(s.Stable, cause)
		if s.Candidate != nil && s.Candidate.Digest == o.RollbackTo {
			s.Candidate.Goal = GoalRelease // it is on its way already
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
