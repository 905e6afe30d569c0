package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

// formatVersion is the version of the format that Save writes. Load upgrades older versions and rejects newer ones.
const formatVersion = 2

// snapshot is the state in its stored form.
type snapshot struct {
	Format         int                    `json:"format"`
	Now            policy.Time            `json:"now"`
	Index          uint64                 `json:"index"`
	Machine        release.Snapshot       `json:"machine"`
	Releases       []*Release             `json:"releases"`
	Creations      []creation             `json:"keys"`
	Routers        map[string]policy.Time `json:"routers"`
	PendingDeploy  *DeployOrder           `json:"held,omitempty"`
	Events         []Event                `json:"events"`
	LastEvent      uint64                 `json:"next"`
	Plan           *plan.Published        `json:"plan,omitempty"`
	PlanPublished  policy.Time            `json:"planAt"`
	PlanValidFor   policy.Time            `json:"planFor"`
	PlanAcks       map[string]PlanAck     `json:"heeds,omitempty"`
	ControllerURLs map[string]string      `json:"members,omitempty"`
	Agents         map[string]*Agent      `json:"agents,omitempty"`
	LastOrder      uint64                 `json:"ordered,omitempty"`
}

// Save returns the complete state encoded for Load.
func (s *State) Save() ([]byte, error) {
	return json.Marshal(snapshot{Format: formatVersion, Now: s.now, Index: s.index, Machine: s.machine.Snapshot(), Releases: s.releases,
		Creations: s.creations, Routers: s.routers, PendingDeploy: s.pendingDeploy, Events: s.events, LastEvent: s.lastEvent, Plan: s.plan,
		PlanPublished: s.planPublished, PlanValidFor: s.planValidFor, PlanAcks: s.planAcks, ControllerURLs: s.controllerURLs, Agents: s.agents,
		LastOrder: s.lastOrder})
}

// Load decodes a state that Save encoded in this or an earlier format. It returns an error if the format is newer or the
// state is invalid.
func Load(config Config, text []byte) (*State, error) {
	var stored snapshot
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, fmt.Errorf("controller state: %w", err)
	}
	if err := stored.upgrade(); err != nil {
		return nil, fmt.Errorf("controller state: %w", err)
	}
	if err := stored.validate(); err != nil {
		return nil, fmt.Errorf("controller state: %w", err)
	}
	machine, err := release.Restore(config.Rules, stored.Machine)
	if err != nil {
		return nil, fmt.Errorf("controller state: %w", err)
	}
	s := newState(config)
	s.machine, s.now, s.index = machine, stored.Now, stored.Index
	s.releases, s.creations, s.pendingDeploy = stored.Releases, stored.Creations, stored.PendingDeploy
	s.events, s.lastEvent = stored.Events, stored.LastEvent
	s.plan, s.planPublished, s.planValidFor = stored.Plan, stored.PlanPublished, stored.PlanValidFor
	s.lastOrder = stored.LastOrder
	maps.Copy(s.routers, stored.Routers)
	maps.Copy(s.planAcks, stored.PlanAcks)
	maps.Copy(s.controllerURLs, stored.ControllerURLs)
	maps.Copy(s.agents, stored.Agents)
	s.machine.SetQuorum(s.quorums())
	return s, nil
}

// upgrade converts an older format to the current one.
func (s *snapshot) upgrade() error {
	switch {
	case s.Format > formatVersion:
		return fmt.Errorf("format %d is newer than this program's %d", s.Format, formatVersion)
	case s.Format < 1:
		return fmt.Errorf("unknown format %d", s.Format)
	case s.Format == 1: // format 1 has no URLs of controllers
		s.ControllerURLs = nil
	}
	s.Format = formatVersion
	return nil
}

// validate returns an error if the snapshot breaks the state's invariants.
func (s *snapshot) validate() error {
	for name, a := range s.Agents {
		if a == nil {
			return fmt.Errorf("agent %s is null", name)
		}
	}
	for i, r := range s.Releases {
		if r == nil || len(r.StepStatuses) != len(r.Steps) || i > 0 && r.Build <= s.Releases[i-1].Build {
			return fmt.Errorf("release at index %d is invalid: it is null, out of order by build, or its steps and step statuses differ in number", i)
		}
	}
	if len(s.Releases) == 0 {
		return errors.New("no releases")
	}
	if newest := s.Releases[len(s.Releases)-1].Build; newest != s.Machine.Status.Build {
		return fmt.Errorf("the newest release is of build %d, not %d", newest, s.Machine.Status.Build)
	}
	return nil
}
