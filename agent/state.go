package agent

import (
	"slices"
	"time"
)

// Phase is how far an instance has got. Its strings are stored and reported and never change.
type Phase string

// The phases, in the order in which a build passes through them; Failed may follow all up to Starting.
const (
	Idle      Phase = "idle" // ordered
	Fetching  Phase = "fetching"
	Verifying Phase = "checking"
	Staged    Phase = "staged"   // verified and installed; it may be started
	Starting  Phase = "starting" // started, or about to be, and not ready yet
	WarmingUp Phase = "warming"  // ready and published as an endpoint, with reduced capacity
	Serving   Phase = "serving"
	Draining  Phase = "draining" // published as draining; it gets no new requests
	Stopping  Phase = "stopping" // its process is being stopped
	Removed   Phase = "taken back"
	Failed    Phase = "failed"
)

// Goal is how far a build may go on this host. Its values are stored.
type Goal int

// The goals; each includes those before it, except GoalRollback.
const (
	GoalStage    Goal = iota + 1 // fetch and verify it
	GoalServe                    // start it beside the stable build
	GoalRelease                  // replace the stable build by it
	GoalRollback                 // remove it, whatever is under way
)

// goalNames are the names of goals in orders, by their values.
var goalNames = []string{"", "stage", "serve", "release", "take-back"}

// String returns the name that orders use.
func (g Goal) String() string {
	if g < 0 || int(g) >= len(goalNames) {
		return "unknown"
	}
	return goalNames[g]
}

// ParseGoal returns the goal of that name; 0 if there is none.
func ParseGoal(name string) Goal { return Goal(max(0, slices.Index(goalNames, name))) }

// EndpointState is the state in which endpoint discovery is to list an instance. Its strings are reported.
type EndpointState string

// The states of an endpoint.
const (
	EndpointServing  EndpointState = "serving"
	EndpointDraining EndpointState = "draining"
	EndpointRemoved  EndpointState = "gone"
)

// Process is a build's process. Its start time tells it from a later process with the same pid.
type Process struct {
	Pid        int       `json:"pid"`
	StartTicks int64     `json:"since"` // clock ticks since the system's boot
	Port       int       `json:"port"`
	StartedAt  time.Time `json:"up"`
}

// Instance is one build on this host.
type Instance struct {
	Build                int       `json:"build"`
	Digest               string    `json:"digest"` // of the manifest
	Phase                Phase     `json:"phase"`
	Goal                 Goal      `json:"goal"`
	AllowBelowMinVersion bool      `json:"old,omitempty"`
	Verified             bool      `json:"checked,omitempty"` // its files were verified since they were fetched
	Process              Process   `json:"process"`
	Crashes              int       `json:"crashes,omitempty"` // consecutive
	Reason               string    `json:"reason,omitempty"`  // of the last failure or exit
	Released             bool      `json:"released,omitempty"`
	PhaseSince           time.Time `json:"since"`
}

// State is all that a machine remembers.
type State struct {
	LastOrder uint64      `json:"order"`             // its number
	Stable    *Instance   `json:"earlier,omitempty"` // the released build
	Candidate *Instance   `json:"newer,omitempty"`   // the build that is to replace it
	Retiring  []*Instance `json:"leaving,omitempty"` // builds that are leaving the host
}

// Instances returns all instances, the stable one first.
func (s *State) Instances() (all []*Instance) {
	for _, i := range append([]*Instance{s.Stable, s.Candidate}, s.Retiring...) {
		if i != nil {
			all = append(all, i)
		}
	}
	return all
}

// Instance returns the instance of a build; nil if there is none.
func (s *State) Instance(digest string) *Instance {
	for _, i := range s.Instances() {
		if i.Digest == digest {
			return i
		}
	}
	return nil
}
