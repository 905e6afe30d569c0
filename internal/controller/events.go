package controller

import (
	"encoding/json"
	"net/http"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/policy"
	"dapplefront/release"
)

// emitCounts forwards the statistics of a build and class to all watchers.
func (s *Server) emitCounts(w http.ResponseWriter, r *http.Request) error {
	var counts api.Counts
	if err := decodeBody(w, r, &counts); err != nil {
		return err
	}
	if counts.Build < 1 || counts.Failures < 0 || counts.Samples < counts.Failures || counts.MeanMs < 0 || counts.AgeMs < 0 || counts.Class == "" {
		return invalid("samples", "counts that make sense expected")
	}
	body, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	return s.propose(w, control.Command{Kind: control.EmitEvent, Name: api.EventCounts, Body: body}, http.StatusAccepted, nil)
}

// emitComplaint forwards a client's complaint to its router.
func (s *Server) emitComplaint(w http.ResponseWriter, r *http.Request) error {
	var complaint api.Complaint
	if err := decodeBody(w, r, &complaint); err != nil {
		return err
	}
	if complaint.Router == "" || complaint.AgeMs < 0 {
		return invalid("router", "a router, a host, a category and an age expected")
	}
	body, err := json.Marshal(complaint)
	if err != nil {
		return err
	}
	c := control.Command{Kind: control.EmitEvent, Name: api.EventComplaint, Router: complaint.Router, Body: body}
	return s.propose(w, c, http.StatusAccepted, nil)
}

// routerEvents are the kinds of events that are sent to routers.
var routerEvents = map[string]bool{api.EventReleaseStatus: true, api.EventCounts: true, api.EventComplaint: true, api.EventPlan: true}

// watchEvent is one event in the form that a watch sends.
type watchEvent struct {
	id   uint64
	kind string
	body []byte
}

// toWatchEvent converts an event to the form that a watch sends, with ages as of now. A body that can't be decoded is sent
// unchanged.
func (s *Server) toWatchEvent(e control.Event, router string, now policy.Time) watchEvent {
	body := []byte(e.Body)
	age := max(0, toMs(now-e.At))
	switch e.Kind {
	case control.EventStatus:
		var status release.Status
		if json.Unmarshal(e.Body, &status) == nil {
			body = s.statusBody(e.ID, status, router, now)
		}
	case control.EventRelease:
		var r control.Release
		if json.Unmarshal(e.Body, &r) == nil {
			body = encode(releaseObject(&r, now, nil))
		}
	case api.EventCounts:
		var counts api.Counts
		if json.Unmarshal(e.Body, &counts) == nil {
			counts.AgeMs += age
			body = encode(counts)
		}
	case api.EventComplaint:
		var complaint api.Complaint
		if json.Unmarshal(e.Body, &complaint) == nil {
			complaint.AgeMs += age
			body = encode(complaint)
		}
	}
	return watchEvent{e.ID, e.Kind, body}
}

func (s *Server) statusBody(id uint64, status release.Status, router string, now policy.Time) []byte {
	shown := api.Release{Build: status.Build, Stage: status.Stage, Phase: api.Phases[status.Phase], ExposureCap: status.ExposureCap,
		AgeMs: max(0, toMs(now-status.Since)), Version: int64(id)}
	if router != "" && s.config.OnStatusSent != nil {
		s.config.OnStatusSent(router, shown)
	}
	return encode(shown)
}

// encode returns the JSON encoding of a value whose type can always be encoded.
func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
