package controller

import (
	"net/http"
	"strconv"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/plan"
	"dapplefront/policy"
)

func (s *Server) publishPlan(w http.ResponseWriter, r *http.Request) error {
	version, err := pathPlanVersion(r)
	if err != nil {
		return err
	}
	var request api.Published
	if err := decodeBody(w, r, &request); err != nil {
		return err
	}
	published := &plan.Published{Version: version, Build: request.Build, Stage: request.Stage, ByZone: request.For}
	c := control.Command{Kind: control.PublishPlan, Plan: published, ValidFor: fromMs(request.ValidForMs)}
	return s.propose(w, c, http.StatusNoContent, nil)
}

// getPlan returns the part of the plan in force that applies to the routers of one zone.
func (s *Server) getPlan(w http.ResponseWriter, r *http.Request) error {
	var active *plan.Published
	var validFor policy.Time
	s.node.Read(func(st *control.State, now policy.Time) { active, validFor = st.ActivePlan(now) })
	if active == nil || strconv.FormatUint(active.Version, 10) != r.PathValue("version") {
		return notFound("version", "this version is not in force")
	}
	weights, ok := active.ByZone[r.PathValue("location")]
	if !ok {
		return notFound("location", "the plan has nothing for this location")
	}
	writeJSON(w, http.StatusOK, api.Plan{Version: active.Version, Build: active.Build, ValidForMs: toMs(validFor), Weights: weights})
	return nil
}

func (s *Server) ackPlan(w http.ResponseWriter, r *http.Request) error {
	version, err := pathPlanVersion(r)
	if err != nil {
		return err
	}
	var ack api.PlanAck
	if err := decodeBody(w, r, &ack); err != nil {
		return err
	}
	router := r.PathValue("router")
	if !ack.Followed {
		if ack.Reason == "" {
			return invalid("reason", "a plan is turned down for a reason")
		}
		s.log.Warn("a plan is turned down", "version", version, "router", router, "reason", ack.Reason)
	}
	c := control.Command{Kind: control.AckPlan, Router: router, PlanAck: &control.PlanAck{Version: version, Reason: ack.Reason}}
	return s.propose(w, c, http.StatusNoContent, nil)
}
