package control

import (
	"encoding/json"
	"slices"

	"dapplefront/policy"
)

// Kinds of events. They are stored and sent.
const (
	EventStatus      = "news"    // the newest release's status has changed: release.Status
	EventRelease     = "release" // a release object has changed: Release
	EventDeleted     = "deleted" // a release object was deleted: its build
	EventDeploy      = "place"   // DeployOrder
	EventRetire      = "retire"  // RetireOrder
	EventRouters     = "routers" // the number of member routers has changed: count
	EventPlan        = "plan"    // a plan was published: its version
	EventAgentReport = "agent"   // an agent and its report
)

// Event is one change that watchers are notified of.
type Event struct {
	ID     uint64          `json:"id"`            // consecutive, the same on every instance
	Kind   string          `json:"kind"`          // of the constants above, or of an EmitEvent command
	Router string          `json:"for,omitempty"` // for this router only
	At     policy.Time     `json:"at"`
	Body   json.RawMessage `json:"body"`
}

// DeployOrder asks whoever runs hosts for a build on a share of them. It is the body of EventDeploy.
type DeployOrder struct {
	Build int     `json:"build"`
	Share float64 `json:"share"` // from 0 to 1
}

// RetireOrder asks whoever runs hosts to drain and then end those of a build. It is the body of EventRetire.
type RetireOrder struct {
	Build int `json:"build"`
}

// OldestEvent is the id of the oldest event kept; that of the next event where none is.
func (s *State) OldestEvent() uint64 {
	if len(s.events) == 0 {
		return s.lastEvent + 1
	}
	return s.events[0].ID
}

// LastEvent is the id of the newest event.
func (s *State) LastEvent() uint64 { return s.lastEvent }

// EventsSince returns up to limit events after an id: those for all routers and those for the given one. ok is false where
// events after that id have been dropped already, or where the id has not been reached yet.
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

// emit adds an event; router is "" for all. Once there are more than MaxEvents, a quarter is dropped at once.
func (s *State) emit(kind, router string, body json.RawMessage) {
	s.lastEvent++
	s.events = append(s.events, Event{ID: s.lastEvent, Kind: kind, Router: router, At: s.now, Body: body})
	if len(s.events) > s.config.MaxEvents {
		s.events = slices.Clone(s.events[len(s.events)-s.config.MaxEvents*3/4:])
	}
}

// encode is the JSON of types that always have one.
func encode(v any) json.RawMessage {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
