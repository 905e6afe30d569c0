package release

import (
	"fmt"
	"maps"
	"slices"

	"dapplefront/policy"
)

// Snapshot is the complete state of a Machine in its stored form. The JSON names and the values of State never change.
type Snapshot struct {
	State         int            `json:"state"`
	Status        Status         `json:"news"`
	PreviousBuild int            `json:"earlier"`
	Now           policy.Time    `json:"now"`
	StageStarted  policy.Time    `json:"runs"`
	HeldTime      policy.Time    `json:"held"`
	OnHold        bool           `json:"holding"`
	LastHandled   policy.Time    `json:"ticked"`
	Irreversible  bool           `json:"fixed"`
	Votes         []VoteSnapshot `json:"votes"` // sorted by router
}

// VoteSnapshot is one router's most recent vote.
type VoteSnapshot struct {
	Router string            `json:"Router"`
	Build  int               `json:"Build"`
	Stage  int               `json:"Stage"`
	Choice policy.VoteChoice `json:"Voice"`
	At     policy.Time       `json:"At"`
}

// Snapshot returns the machine's state. The same inputs always give the same snapshot.
func (m *Machine) Snapshot() Snapshot {
	s := Snapshot{State: int(m.state), Status: m.status, PreviousBuild: m.previousBuild, Now: m.now, StageStarted: m.stageStarted,
		HeldTime: m.heldTime, OnHold: m.onHold, LastHandled: m.lastHandled, Irreversible: m.irreversible, Votes: []VoteSnapshot{}}
	for _, router := range slices.Sorted(maps.Keys(m.votes)) {
		v := m.votes[router]
		s.Votes = append(s.Votes, VoteSnapshot{router, v.build, v.stage, v.choice, v.at})
	}
	return s
}

// Restore returns a machine that continues from a snapshot under the given rules. It returns an error if the snapshot's state,
// stage or build number is out of range.
func Restore(rules Rules, s Snapshot) (*Machine, error) {
	if s.State < 0 || s.State > int(rolledBack) || s.Status.Stage < 0 || s.Status.Stage > max(0, len(rules.Stages)-1) || s.Status.Build < 1 {
		return nil, fmt.Errorf("release: invalid snapshot: state %d at stage %d of build %d", s.State, s.Status.Stage, s.Status.Build)
	}
	m := &Machine{rules: rules, now: s.Now, state: state(s.State), status: s.Status, previousBuild: s.PreviousBuild, stageStarted: s.StageStarted,
		heldTime: s.HeldTime, onHold: s.OnHold, lastHandled: s.LastHandled, irreversible: s.Irreversible, votes: map[string]castVote{}}
	for _, v := range s.Votes {
		m.votes[v.Router] = castVote{v.Build, v.Stage, v.Choice, v.At}
	}
	return m, nil
}
