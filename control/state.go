package control

import (
	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

// Config configures a State. All instances of a group must have the same configuration.
type Config struct {
	Rules           release.Rules
	PromoteShare    float64     // share of member routers whose votes promote a stage; if 0, Rules.PromoteQuorum applies
	RollbackShare   float64     // share of member routers whose votes roll a build back; if 0, Rules.RollbackQuorum applies
	RouterTimeout   policy.Time // a member router whose last contact is longer ago is removed; 0 means never
	MaxEvents       int         // events kept for watchers that reconnect; 0 means the default of 4096, enough for a few minutes of a busy release
	MaxCreationKeys int         // idempotency keys kept; 0 means the default of 1000
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
	pendingDeploy *DeployOrder // order that waits until a step is done; nil if none waits

	routers        map[string]policy.Time // member routers, with the time of their last contact
	controllerURLs map[string]string      // URLs of the controllers' REST interfaces, by controller name

	events    []Event // with consecutive ids
	lastEvent uint64

	plan          *plan.Published    // the plan in force; nil if there is none
	planPublished policy.Time        // when the plan was published
	planValidFor  policy.Time        // how long the plan is valid from then on
	planAcks      map[string]PlanAck // acknowledgements of the plan, by router

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
