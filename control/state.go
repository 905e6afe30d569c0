package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

// Config are what a controller goes by. All instances have the same.
type Config struct {
	Rules           release.Rules
	PromoteShare    float64     // of the routers that are members, whose votes move a stage on; 0 for Rules.ToMoveOn
	RollbackShare   float64     // and send a build back; 0 for Rules.ToAbort
	RouterTimeout   policy.Time // a router not heard of for so long is no member any more; 0 for never
	MaxEvents       int         // kept for watchers that come back
	MaxCreationKeys int         // of creations kept
}

// Step is something that must be done before a stage: a change of schema or data.
type Step struct {
	Name         string      `json:"name"`
	Stage        int         `json:"stage"`            // it holds this stage, from 0
	Irreversible bool        `json:"final,omitempty"`  // it can't be undone: no way back past it
	ExpectedTime policy.Time `json:"within,omitempty"` // usual time; one that takes longer is told as stalled; 0 for none
}

// StepStatus is how a step stands.
type StepStatus struct {
	WaitingSince policy.Time `json:"waiting,omitempty"` // since when its stage waits for it; 0 for not yet
	DoneAt       policy.Time `json:"at,omitempty"`      // when it was reported done; 0 for not yet
	DoneBy       string      `json:"by,omitempty"`
	Stalled      bool        `json:"stalled,omitempty"`
}

// HistoryEntry is one line of a release's trace.
type HistoryEntry struct {
	At   policy.Time `json:"at"`
	Text string      `json:"what"`
}

// Release is a release object: what was asked for, and how it stands.
type Release struct {
	Build   int               `json:"build"`
	Digest  string            `json:"digest,omitempty"`
	Note    string            `json:"note,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
	Steps   []Step            `json:"steps,omitempty"`
	Version uint64            `json:"version"` // of the object; it grows with every change
	Created policy.Time       `json:"created"`

	Phase        policy.Phase   `json:"phase"`
	Stage        int            `json:"stage"`
	ExposureCap  float64        `json:"cap"`
	Since        policy.Time    `json:"since"`
	WaitsFor     string         `json:"waits,omitempty"` // for a step, before the present stage's hosts start
	StepStatuses []StepStatus   `json:"done,omitempty"`
	Counts       map[string]int `json:"counts,omitempty"` // tasks finished, turned back and scrapped, as reported
	Hosts        map[string]int `json:"hosts,omitempty"`  // by state, as reported
	History      []HistoryEntry `json:"trace,omitempty"`
}

// Event is one change that watchers are told of.
type Event struct {
	ID     uint64          `json:"id"`
	Kind   string          `json:"kind"`          // news, release, deleted, place, retire, counts, complaint, plan, routers
	Router string          `json:"for,omitempty"` // one router only
	At     policy.Time     `json:"at"`
	Body   json.RawMessage `json:"body"`
}

// Place and Retire are the bodies of orders to whoever runs hosts.
type (
	DeployOrder struct {
		Build int     `json:"build"`
		Share float64 `json:"share"`
	}
	Retire struct {
		Build int `json:"build"`
	}
)

// saved is the state in a form that can be kept.
type saved struct {
	Format   int                    `json:"format"`
	Now      policy.Time            `json:"now"`
	Index    uint64                 `json:"index"`
	Machine  release.Snapshot          `json:"machine"`
	Releases []*Release             `json:"releases"`
	Keys     []creation             `json:"keys"`
	Routers  map[string]policy.Time `json:"routers"`
	Held     *DeployOrder           `json:"held,omitempty"`
	Events   []Event                `json:"events"`
	Next     uint64                 `json:"next"`
	Plan     *plan.Published        `json:"plan,omitempty"`
	PlanAt   policy.Time            `json:"planAt"`
	PlanFor  policy.Time            `json:"planFor"`
	PlanAcks map[string]PlanAck     `json:"heeds,omitempty"`
	Members  map[string]string      `json:"members,omitempty"`
	Agents   map[string]*Agent      `json:"agents,omitempty"`
	Ordered  uint64                 `json:"ordered,omitempty"` // the number of the last order to any agent
}

// Agent is what was asked of a host's agent, and which of its reports was heard last.
type Agent struct {
	Orders []Order `json:"orders"`
	Heard  uint64  `json:"heard"`
}

// Order is one of an agent's, with its number among all orders.
type Order struct {
	Number uint64          `json:"number"`
	Body   json.RawMessage `json:"body"`
}

// PlanAck is a router's word on the plan in force.
type PlanAck struct {
	Version uint64 `json:"version"`
	Reason  string `json:"reason,omitempty"`
}

type creation struct {
	Key   string `json:"Key"`
	Hash  string `json:"Hash"`
	Build int    `json:"Build"`
}

// format is the version of what Save writes. Older ones are upgraded by upgrade; newer ones are refused.
const format = 2

// State is one controller's state. It is not safe for concurrent use.
type State struct {
	figures Config
	machine *release.Machine
	saved
}

// New starts with a build that serves.
func New(f Config, build int) *State {
	if f.MaxEvents == 0 {
		f.MaxEvents = 4096 // some minutes of a busy release
	}
	if f.MaxCreationKeys == 0 {
		f.MaxCreationKeys = 1000
	}
	s := &State{figures: f, machine: release.New(f.Rules, build), saved: saved{Format: format, Routers: map[string]policy.Time{},
		PlanAcks: map[string]PlanAck{}, Members: map[string]string{}, Agents: map[string]*Agent{}}}
	n := s.machine.Status()
	s.Releases = []*Release{{Build: build, Version: 1, Phase: n.Phase, Stage: n.Stage, ExposureCap: n.ExposureCap}}
	return s
}

// Save is the state as bytes.
func (s *State) Save() ([]byte, error) {
	s.Machine = s.machine.Snapshot()
	return json.Marshal(s.saved)
}

// Load reads what Save wrote. One of a newer format, or one that can't be, is an error that says so.
func Load(f Config, text []byte) (*State, error) {
	s := New(f, 1)
	var got saved
	if err := json.Unmarshal(text, &got); err != nil {
		return nil, fmt.Errorf("a controller's state: %w", err)
	}
	if err := upgrade(&got); err != nil {
		return nil, err
	}
	if got.Routers == nil {
		got.Routers = map[string]policy.Time{}
	}
	if got.PlanAcks == nil {
		got.PlanAcks = map[string]PlanAck{}
	}
	if got.Members == nil {
		got.Members = map[string]string{}
	}
	if got.Agents == nil {
		got.Agents = map[string]*Agent{}
	}
	for name, a := range got.Agents {
		if a == nil {
			return nil, fmt.Errorf("a controller's state in which agent %s is nothing", name)
		}
	}
	for i, r := range got.Releases {
		if r == nil || len(r.StepStatuses) != len(r.Steps) || i > 0 && r.Build <= got.Releases[i-1].Build {
			return nil, fmt.Errorf("a controller's state whose release %d can't be", i)
		}
	}
	var err error
	if s.machine, err = release.Restore(f.Rules, got.Machine); err != nil {
		return nil, err
	}
	if len(got.Releases) == 0 || got.Releases[len(got.Releases)-1].Build != got.Machine.Status.Build {
		return nil, fmt.Errorf("a controller's state without the release of build %d", got.Machine.Status.Build)
	}
	s.saved = got
	s.needs()
	return s, nil
}

// upgrade brings an older format to the present one.
func upgrade(s *saved) error {
	switch {
	case s.Format > format:
		return fmt.Errorf("a controller's state of format %d, which is newer than this program's %d", s.Format, format)
	case s.Format < 1:
		return fmt.Errorf("a controller's state of format %d, which never was", s.Format)
	case s.Format == 1: // knew no members' addresses
		s.Members = map[string]string{}
	}
	s.Format = format
	return nil
}

// ---- Reading ----

// Version is the number of the last command that was applied.
func (s *State) Version() uint64 { return s.Index }

// Status is where the newest release stands.
func (s *State) Status() release.Status { return s.machine.Status() }

// PreviousBuild is the build that serves beside or before the newest one.
func (s *State) PreviousBuild() int { return s.machine.PreviousBuild() }

// Clock is the latest time that a command had.
func (s *State) Clock() policy.Time { return s.Now }

// Due tells whether time alone would change something at a moment.
func (s *State) Due(now policy.Time) bool {
	if s.machine.Due(max(now, s.Now)) {
		return true
	}
	for r, at := range s.Routers {
		if s.figures.RouterTimeout > 0 && now-at > s.figures.RouterTimeout && r != "" {
			return true
		}
	}
	r := s.newest()
	for i, d := range r.StepStatuses {
		if w := r.Steps[i].ExpectedTime; d.WaitingSince > 0 && d.DoneAt == 0 && !d.Stalled && w > 0 && now-d.WaitingSince > w {
			return true
		}
	}
	return false
}

// Get is a copy of the release of a build, nil for none.
func (s *State) Get(build int) *Release {
	if i := s.find(build); i >= 0 {
		return s.Releases[i].clone()
	}
	return nil
}

// List is copies of the releases that have all the labels and the phase (nil for any), with builds above after, at
// most limit of them.
func (s *State) List(labels map[string]string, phase *policy.Phase, after, limit int) (out []*Release) {
next:
	for _, r := range s.Releases {
		if r.Build <= after || phase != nil && r.Phase != *phase {
			continue
		}
		for k, v := range labels {
			if r.Labels[k] != v {
				continue next
			}
		}
		if out = append(out, r.clone()); len(out) == limit {
			break
		}
	}
	return out
}

// Votes is how many votes of a voice stand for the newest build, and how many are needed of those to go on and back.
func (s *State) Votes(voice policy.VoteChoice) (n, on, back int) {
	on, back = s.needed()
	return s.machine.Votes(voice), on, back
}

// OldestEvent is the id of the oldest event kept, and Last that of the newest.
func (s *State) OldestEvent() uint64 {
	if len(s.Events) == 0 {
		return s.Next + 1
	}
	return s.Events[0].ID
}

// LastEvent is the id of the newest event.
func (s *State) LastEvent() uint64 { return s.Next }

// EventsSince is up to limit events after an id that a watcher should see: those for all and those for its router. ok is
// false where events after that id have been dropped already, or where the id has never been.
func (s *State) EventsSince(id uint64, router string, limit int) (out []Event, ok bool) {
	if id+1 < s.OldestEvent() || id > s.Next {
		return nil, false
	}
	if len(s.Events) == 0 {
		return nil, true
	}
	for _, e := range s.Events[min(uint64(len(s.Events)), id+1-s.OldestEvent()):] {
		if e.Router == "" || e.Router == router {
			if out = append(out, e); len(out) == limit {
				break
			}
		}
	}
	return out, true
}

// Orders are those of an agent with numbers above after.
func (s *State) Orders(agent string, after uint64) (out []Order) {
	a := s.Agents[agent]
	if a == nil {
		return nil
	}
	for _, o := range a.Orders {
		if o.Number > after {
			out = append(out, o)
		}
	}
	return out
}

// ActivePlan is the plan in force and how long it may still be followed at a moment; nil for none.
func (s *State) ActivePlan(now policy.Time) (*plan.Published, policy.Time) {
	return s.Plan, s.PlanAt + s.PlanFor - now
}

func (s *State) newest() *Release { return s.Releases[len(s.Releases)-1] }

func (s *State) find(build int) int {
	i, ok := slices.BinarySearchFunc(s.Releases, build, func(r *Release, b int) int { return r.Build - b })
	if !ok {
		return -1
	}
	return i
}

func (r *Release) clone() *Release {
	c := *r
	c.Labels, c.Counts, c.Hosts = maps.Clone(r.Labels), maps.Clone(r.Counts), maps.Clone(r.Hosts)
	c.Steps, c.StepStatuses, c.History = slices.Clone(r.Steps), slices.Clone(r.StepStatuses), slices.Clone(r.History)
	return &c
}

// ETag is the object's version as HTTP has it.
func (r *Release) ETag() string { return `"` + strconv.FormatUint(r.Version, 10) + `"` }
