package control

import (
	"encoding/json"
	"slices"

	"dapplefront/policy"
)

// Kinds of events. Their values are stored and sent. Each comment names the body of the event.
const (
	EventStatus      = "news"    // the status of the newest release has changed: release.Status
	EventRelease     = "release" // a release object has changed: Release
	EventDeleted     = "deleted" // a release object was deleted: the build
	EventDeploy      = "place"   // hosts are to run a build: DeployOrder
	EventRetire      = "retire"  // hosts are to be drained and stopped: RetireOrder
	EventRouters     = "routers" // the number of member routers has changed: the new number
	EventPlan        = "plan"    // a plan was published: the version
	EventAgentReport = "agent"   // an agent has sent a report: the agent and the report
)

// Event is one change that watchers are notified of.
type Event struct {
	ID     uint64          `json:"id"`            // consecutive, the same on every instance
	Kind   string          `json:"kind"`          // one of the constants above, or the kind from an EmitEvent command
	Router string          `json:"for,omitempty"` // the only router that receives the event; empty means all routers
	At     policy.Time     `json:"at"`
	Body   json.RawMessage `json:"body"`
}

// DeployOrder requests that a share of the hosts run a build. The programs that run hosts receive it as the body of
// EventDeploy.
type DeployOrder struct {
	Build int     `json:"build"`
	Share float64 `json:"share"` // share of the hosts that are to run the build, from 0 to 1
}

// RetireOrder requests that the hosts of a build be drained and then stopped. The programs that run hosts receive it as the
// body of EventRetire.
type RetireOrder struct {
	Build int `json:"build"`
}

// OldestEvent returns the id of the oldest event kept, or the id of the next event if none is kept.
func (s *State) OldestEvent() uint64 {
	if len(s.events) == 0 {
		return s.lastEvent + 1
	}
	return s.events[0].ID
}

// LastEvent returns the id of the newest event.
func (s *State) LastEvent() uint64 { return s.lastEvent }

// EventsSince returns up to limit events after an id: events for all routers and events for the given one. ok is false if
// events after that id have been dropped already, or if no event has that id yet.
func (s *State) EventsSince(id uint64, router string, limit int) (out []Event, ok bool) {
	if id+1 < s.OldestEvent() || id > s.lastEvent {
		return nil, false
	}
	if len(s.events) == 0 {
		return nil, true
	}
	for _, e := range s.events[min(uint64(len(s.events)), id+1-s.OldestEvent()):] {
		if e.Router == "" || e.Router == router {
			if out = append(out, e); len(out) == limit {
				break
			}
		}
	}
	return out, true
}

// emit adds an event for one router, or for all if the router is "". Once there are more than MaxEvents events, it drops the
// oldest ones, down to three quarters of MaxEvents.
func (s *State) emit(kind, router string, body json.RawMessage) {
	s.lastEvent++
	s.events = append(s.events, Event{ID: s.lastEvent, Kind: kind, Router: router, At: s.now, Body: body})
	if len(s.events) > s.config.MaxEvents {
		s.events = slices.Clone(s.events[len(s.events)-s.config.MaxEvents*3/4:])
	}
}

// encode returns the JSON encoding of a value whose type can always be encoded.
func encode(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
