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

// agentGoals are the goals that an order to an agent can have.
var agentGoals = []string{"stage", "serve", "release", "take-back"}

// orderAgent stores an order for an agent; the response has the order's number.
func (s *Server) orderAgent(w http.ResponseWriter, r *http.Request) error {
	var order api.Order
	if err := decodeBody(w, r, &order); err != nil {
		return err
	}
	switch {
	case !slices.Contains(agentGoals, order.Goal):
		return invalid("goal", "one of %v expected", agentGoals)
	case order.Digest == "" || order.Build < 1:
		return invalid("digest", "a build and the digest of its manifest expected")
	case order.Number != 0:
		return invalid("number", "the controller numbers orders")
	}
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	c := control.Command{Kind: control.OrderAgent, Name: r.PathValue("name"), Body: body}
	return s.propose(w, c, http.StatusCreated, func(reply control.Reply) any {
		order.Number = reply.OrderNumber
		return order
	})
}

// agentReports accepts an agent's reports. A report that is sent again counts once.
func (s *Server) agentReports(w http.ResponseWriter, r *http.Request) error {
	var reports []api.AgentReport
	if err := decodeBody(w, r, &reports); err != nil {
		return err
	}
	for i, report := range reports {
		if report.Number == 0 {
			return invalid(fmt.Sprintf("[%d].number", i), "a number from 1 expected")
		}
	}
	body, err := json.Marshal(reports)
	if err != nil {
		return err
	}
	c := control.Command{Kind: control.AgentReport, Name: r.PathValue("name"), Body: body}
	return s.propose(w, c, http.StatusNoContent, nil)
}

// watchAgentOrders streams an agent's orders as server-sent events, from the first one after Last-Event-ID. The event ids are
// the order numbers, which are the same on every instance.
func (s *Server) watchAgentOrders(w http.ResponseWriter, r *http.Request) error {
	last := r.Header.Get("Last-Event-ID")
	after, err := strconv.ParseUint(last, 10, 64)
	if err != nil && last != "" {
		return invalid("Last-Event-ID", "the number of an order expected")
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	stream := orderStream{server: s, agent: r.PathValue("name"), w: w, rc: http.NewResponseController(w), after: after}
	keepAlive := time.NewTicker(s.config.BookmarkInterval)
	defer keepAlive.Stop()
	for {
		changed := s.node.Changed()
		if err := stream.sendNew(); err != nil {
			return errResponseWritten
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			if err := stream.sendKeepAlive(); err != nil {
				return errResponseWritten
			}
		case <-r.Context().Done():
			return errResponseWritten
		case <-s.ctx.Done():
			return errResponseWritten
		}
	}
}

// orderStream sends the orders for one agent to it.
type orderStream struct {
	server      *Server
	agent       string
	w           http.ResponseWriter
	rc          *http.ResponseController
	after       uint64 // number of the last order sent
	headersSent bool   // the response headers have been sent
}

// sendNew sends the orders that were added since the last call. The first call sends the response headers in any case.
func (o *orderStream) sendNew() error {
	s := o.server
	var orders []control.Order
	s.node.Read(func(st *control.State, _ policy.Time) { orders = slices.Clone(st.Orders(o.agent, o.after)) })
	if _, hangs := s.config.injectedFault(); hangs {
		orders = nil
	}
	_ = o.rc.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout)) // if setting the deadline fails, writes may block for longer
	for _, stored := range orders {
		var order api.Order
		if err := json.Unmarshal(stored.Body, &order); err != nil {
			s.log.Error("cannot decode stored order", "agent", o.agent, "number", stored.Number, "error", err)
			continue
		}
		order.Number, o.after = stored.Number, stored.Number
		if _, err := fmt.Fprintf(o.w, "id: %d\nevent: order\ndata: %s\n\n", stored.Number, encode(order)); err != nil {
			return err
		}
	}
	if o.headersSent && len(orders) == 0 {
		return nil
	}
	o.headersSent = true
	return o.rc.Flush()
}

// sendKeepAlive sends a comment line, which a client ignores, so that both sides detect a broken connection.
func (o *orderStream) sendKeepAlive() error {
	if _, err := fmt.Fprint(o.w, ": still here\n\n"); err != nil {
		return err
	}
	return o.rc.Flush()
}
