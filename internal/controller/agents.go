package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/policy"
)

// goals are what an agent can be asked for.
var goals = []string{"stage", "serve", "release", "take-back"}

// orderTo gives an agent an order; the reply has its number.
func (s *Server) orderTo(w http.ResponseWriter, r *http.Request) {
	var o api.Order
	if !decode(w, r, &o) {
		return
	}
	switch {
	case !slices.Contains(goals, o.Goal):
		problem(w, http.StatusBadRequest, "goal", fmt.Sprintf("one of %v expected", goals))
		return
	case o.Digest == "" || o.Build < 1:
		problem(w, http.StatusBadRequest, "digest", "a build and the digest of its manifest expected")
		return
	case o.Number != 0:
		problem(w, http.StatusBadRequest, "number", "the controller numbers orders")
		return
	}
	body, _ := json.Marshal(o)
	s.change(w, r, control.Command{Kind: control.OrderAgent, Name: r.PathValue("name"), Body: body}, http.StatusCreated,
		func(c control.Reply) any { o.Number = c.OrderNumber; return o })
}

// hearOf takes an agent's reports; those sent again count once.
func (s *Server) hearOf(w http.ResponseWriter, r *http.Request) {
	var all []api.AgentReport
	if !decode(w, r, &all) {
		return
	}
	for i, x := range all {
		if x.Number == 0 {
			problem(w, http.StatusBadRequest, fmt.Sprintf("[%d].number", i), "a number from 1 expected")
			return
		}
	}
	body, _ := json.Marshal(all)
	s.change(w, r, control.Command{Kind: control.AgentReport, Name: r.PathValue("name"), Body: body}, http.StatusNoContent, nil)
}

// orders streams an agent's orders after Last-Event-ID; their numbers are the ids, the same at every instance.
func (s *Server) orders(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.Header.Get("Last-Event-ID"), 10, 64)
	if err != nil && r.Header.Get("Last-Event-ID") != "" {
		problem(w, http.StatusBadRequest, "Last-Event-ID", "the number of an order expected")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	rc := http.NewResponseController(w)
	mark := time.NewTicker(s.config.BookmarkInterval)
	defer mark.Stop()
	for first := true; ; first = false {
		changed := s.node.Changed()
		var some []control.Order
		s.node.Read(func(st *control.State, _ policy.Time) { some = slices.Clone(st.Orders(r.PathValue("name"), after)) })
		if _, still := s.config.fault(); still {
			some = nil
		}
		_ = rc.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
		for _, x := range some {
			var o api.Order
			if err := json.Unmarshal(x.Body, &o); err != nil {
				s.log.Error("an order that makes no sense is kept", "agent", r.PathValue("name"), "number", x.Number, "error", err)
				continue
			}
			o.Number, after = x.Number, x.Number
			if _, err := fmt.Fprintf(w, "id: %d\nevent: order\ndata: %s\n\n", x.Number, encode(o)); err != nil {
				return
			}
		}
		if (first || len(some) > 0) && rc.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-mark.C: // so that a link that is dead is noticed by both sides
			if _, err := fmt.Fprint(w, ": still here\n\n"); err != nil || rc.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		case <-s.stop:
			return
		}
	}
}
