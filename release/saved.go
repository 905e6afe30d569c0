package release

import (
	"fmt"
	"maps"
	"slices"

	"dapplefront/policy"
)

// Saved is all that a Machine knows, in a form that can be kept.
type Saved struct {
	State   int         `json:"state"`
	Status  Status      `json:"news"`
	Earlier int         `json:"earlier"`
	Now     policy.Time `json:"now"`
	Runs    policy.Time `json:"runs"`
	Held    policy.Time `json:"held"`
	Holding bool        `json:"holding"`
	Ticked  policy.Time `json:"ticked"`
	Fixed   bool        `json:"fixed"`
	Votes   []SavedVote `json:"votes"`
}

// SavedVote is one router's standing vote.
type SavedVote struct {
	Router string            `json:"Router"`
	Build  int               `json:"Build"`
	Stage  int               `json:"Stage"`
	Voice  policy.VoteChoice `json:"Voice"`
	At     policy.Time       `json:"At"`
}

// Save is the machine's state, the same for the same inputs.
func (m *Machine) Save() Saved {
	s := Saved{State: int(m.state), Status: m.news, Earlier: m.earlier, Now: m.now, Runs: m.runs, Held: m.held, Holding: m.holding,
		Ticked: m.ticked, Fixed: m.fixed, Votes: []SavedVote{}}
	for _, r := range slices.Sorted(maps.Keys(m.votes)) {
		v := m.votes[r]
		s.Votes = append(s.Votes, SavedVote{r, v.build, v.stage, v.voice, v.at})
	}
	return s
}

// Restore makes a machine that goes on where Save was called. A state that no machine can be in is an error.
func Restore(rules Rules, s Saved) (*Machine, error) {
	if s.State < 0 || s.State > int(withdrawn) || s.Status.Stage < 0 || s.Status.Stage > max(0, len(rules.Stages)-1) || s.Status.Build < 1 {
		return nil, fmt.Errorf("a release in state %d at stage %d of build %d can't be", s.State, s.Status.Stage, s.Status.Build)
	}
	m := &Machine{rules: rules, now: s.Now, state: state(s.State), news: s.Status, earlier: s.Earlier, runs: s.Runs, held: s.Held,
		holding: s.Holding, ticked: s.Ticked, fixed: s.Fixed, votes: map[string]vote{}}
	for _, v := range s.Votes {
		m.votes[v.Router] = vote{v.Build, v.Stage, v.Voice, v.At}
	}
	return m, nil
}

// Due tells whether time alone would move the machine at a moment.
func (m *Machine) Due(now policy.Time) bool {
	c := *m
	c.votes = maps.Clone(m.votes)
	return len(c.Handle(now, Tick{})) > 0
}

// SetQuorum changes how many votes move a stage on and send a build back, as routers come and go.
func (m *Machine) SetQuorum(toMoveOn, toAbort int) {
	m.rules.PromoteQuorum, m.rules.RollbackQuorum = toMoveOn, toAbort
}

// ForgetRouter forgets the vote of a router that has left.
func (m *Machine) ForgetRouter(router string) { delete(m.votes, router) }
