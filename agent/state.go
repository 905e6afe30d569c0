package agent

import (
	"slices"
	"time"
)

// Phase is the state of an instance in its lifecycle. The strings are stored and reported, so they must not change.
type Phase string

// The phases, in the order in which a build passes through them. Failed may follow Fetching, Verifying, Starting,
// WarmingUp and Serving.
const (
	Idle      Phase = "idle" // an order names the build; nothing has been done for it yet
	Fetching  Phase = "fetching"
	Verifying Phase = "checking"
	Staged    Phase = "staged"   // verified and installed, can be started
	Starting  Phase = "starting" // started or waiting to be started, not ready yet
	WarmingUp Phase = "warming"  // ready and published as an endpoint, with reduced capacity
	Serving   Phase = "serving"
	Draining  Phase = "draining" // published as draining, to receive no new requests
	Stopping  Phase = "stopping" // the process is being stopped
	Removed   Phase = "taken back"
	Failed    Phase = "failed"
)

// Goal is how far an order wants a build to progress on this host. The values are stored, so they must not change.
type Goal int

// The goals; each includes those before it, except GoalRollback.
const (
	GoalStage    Goal = iota + 1 // fetch and verify the build
	GoalServe                    // start the build beside the stable build
	GoalRelease                  // replace the stable build by this build
	GoalRollback                 // remove the build in whichever phase it is
)

// goalNames are the names of goals in orders, indexed by Goal.
var goalNames = []string{"", "stage", "serve", "release", "take-back"}

// String returns the name of the goal in orders.
func (g Goal) String() string {
	if g < 0 || int(g) >= len(goalNames) {
		return "unknown"
	}
	return goalNames[g]
}

// ParseGoal returns the goal of a name, or 0 if the name is unknown.
func ParseGoal(name string) Goal { return Goal(max(0, slices.Index(goalNames, name))) }

// EndpointState is the state with which endpoint discovery lists an instance. The strings are reported to the
// controller.
type EndpointState string

// The states of an endpoint.
const (
	EndpointServing  EndpointState = "serving"
	EndpointDraining EndpointState = "draining"
	EndpointRemoved  EndpointState = "gone"
)

// Process identifies the process of a build. The start time distinguishes it from a later process with the same PID.
type Process struct {
	Pid        int       `json:"pid"`
	StartTicks int64     `json:"since"` // start time, in clock ticks since the system booted
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
	Verified             bool      `json:"checked,omitempty"` // the files were verified after they were last fetched
	Process              Process   `json:"process"`
	Crashes              int       `json:"crashes,omitempty"` // number of consecutive crashes
	Reason               string    `json:"reason,omitempty"`  // of the last failure or exit
	Released             bool      `json:"released,omitempty"`
	PhaseSince           time.Time `json:"since"`
}

// State is the whole state of a Machine.
type State struct {
	LastOrder uint64      `json:"order"`             // number of the last order
	Stable    *Instance   `json:"earlier,omitempty"` // the released build
	Candidate *Instance   `json:"newer,omitempty"`   // the build that is to replace Stable
	Retiring  []*Instance `json:"leaving,omitempty"` // builds that are being removed from the host
}

// Instances returns all instances: the stable build first, then the candidate, then those being removed.
func (s *State) Instances() (all []*Instance) {
	for _, i := range append([]*Instance{s.Stable, s.Candidate}, s.Retiring...) {
		if i != nil {
			all = append(all, i)
		}
	}
	return all
}

// Instance returns the instance of the build with a digest, or nil if there is none.
func (s *State) Instance(digest string) *Instance {
	for _, i := range s.Instances() {
		if i.Digest == digest {
			return i
		}
	}
	return nil
}
