package control

import (
	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

// Config configures a State. All instances of a group must have the same configuration.
type Config struct {
	Rules           release.Rules
	PromoteShare    float64     // share of member routers whose votes promote a stage; 0 uses Rules.PromoteQuorum
	RollbackShare   float64     // share of member routers whose votes roll a build back; 0 uses Rules.RollbackQuorum
	RouterTimeout   policy.Time // a router without contact for longer is removed; 0 for never
	MaxEvents       int         // events kept for watchers that reconnect; 0 means 4096, enough for a few minutes of a busy release
	MaxCreationKeys int         // idempotency keys kept; 0 means 1000
}

const (
	defaultMaxEvents       = 4096
	defaultMaxCreationKeys = 1000
)

// creation records a CreateRelease command that was accepted with an idempotency key.
type creation struct {
	Key   string `json:"Key"`
	Hash  string `json:"Hash"`
	Build int    `json:"Build"`
}

// State is the state of one controller instance. It is not safe for concurrent use.
type State struct {
	config  Config
	machine *release.Machine
	now     policy.Time // time of the latest command
	index   uint64      // log index of the last command

	releases      []*Release // sorted by build; never empty
	creations     []creation
	pendingDeploy *DeployOrder // waits until a step is done; nil for none

	routers        map[string]policy.Time // member routers, with the time of their last contact
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

// New returns the initial state of a group in which the given build already serves.
func New(config Config, build int) *State {
	s := newState(config)
	s.machine = release.New(config.Rules, build)
	status := s.machine.Status()
	s.releases = []*Release{{Build: build, Version: 1, Phase: status.Phase, Stage: status.Stage, ExposureCap: status.ExposureCap}}
	return s
}

// newState returns a state without releases and without a release machine.
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

// Version returns the log index of the last command that was applied.
func (s *State) Version() uint64 { return s.index }

// Status returns the status of the newest release.
func (s *State) Status() release.Status { return s.machine.Status() }

// PreviousBuild returns the build that serves beside a canary, or that served before the newest one was released.
func (s *State) PreviousBuild() int { return s.machine.PreviousBuild() }

// Clock returns the latest time of all commands that were applied.
func (s *State) Clock() policy.Time { return s.now }
