package control

import (
	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

// Config is what a controller works by. All instances of a group must have the same.
type Config struct {
	Rules           release.Rules
	PromoteShare    float64     // share of member routers whose votes promote a stage; 0 for Rules.PromoteQuorum
	RollbackShare   float64     // share of member routers whose votes roll a build back; 0 for Rules.RollbackQuorum
	RouterTimeout   policy.Time // a router not heard of for longer leaves; 0 for never
	MaxEvents       int         // kept for watchers that come back; 0 for 4096, some minutes of a busy release
	MaxCreationKeys int         // idempotency keys kept; 0 for 1000
}

const (
	defaultMaxEvents       = 4096
	defaultMaxCreationKeys = 1000
)

// creation is a CreateRelease command that was accepted under an idempotency key.
type creation struct {
	Key   string `json:"Key"`
	Hash  string `json:"Hash"`
	Build int    `json:"Build"`
}

// State is one controller's state. It is not safe for concurrent use.
type State struct {
	config  Config
	machine *release.Machine
	now     policy.Time // of the latest command
	index   uint64      // in the log, of the last command

	releases      []*Release // by build; never empty
	creations     []creation
	pendingDeploy *DeployOrder // held back by a step

	routers        map[string]policy.Time // member routers, with when they were heard of last
	controllerURLs map[string]string      // by the controller's name

	events    []Event // with consecutive ids
	lastEvent uint64

	plan          *plan.Published // in force; nil for none
	planPublished policy.Time
	planValidFor  policy.Time
	planAcks      map[string]PlanAck // by router

	agents    map[string]*Agent
	lastOrder uint64 // number of the last order to any agent
}

// New returns the state of a group that begins with a build that serves.
func New(config Config, build int) *State {
	s := newState(config)
	s.machine = release.New(config.Rules, build)
	status := s.machine.Status()
	s.releases = []*Release{{Build: build, Version: 1, Phase: status.Phase, Stage: status.Stage, ExposureCap: status.ExposureCap}}
	return s
}

// newState returns a state without release and machine.
func newState(config Config) *State {
	if config.MaxEvents == 0 {
		config.MaxEvents = defaultMaxEvents
	}
	if config.MaxCreationKeys == 0 {
		config.MaxCreationKeys = defaultMaxCreationKeys
	}
	return &State{config: config, routers: map[string]policy.Time{}, planAcks: map[string]PlanAck{}, controllerURLs: map[string]string{},
		agents: map[string]*Agent{}}
}

// Version is the log index of the last command that was applied.
func (s *State) Version() uint64 { return s.index }

// Status is where the newest release stands.
func (s *State) Status() release.Status { return s.machine.Status() }

// PreviousBuild is the build that serves beside a canary, or that served before the newest one was released.
func (s *State) PreviousBuild() int { return s.machine.PreviousBuild() }

// Clock is the latest time that a command had.
func (s *State) Clock() policy.Time { return s.now }
