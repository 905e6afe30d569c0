package control

import (
	"encoding/json"
	"slices"
)

// maxAgentOrders is the number of orders kept for each agent; the oldest are dropped first. When an agent reconnects, it receives
// the ones that it missed. A host gets about four orders per build.
const maxAgentOrders = 64

// Agent holds the orders to the agent of one host and the number of its last report.
type Agent struct {
	Orders     []Order `json:"orders"`
	LastReport uint64  `json:"heard"` // number of the last report that was accepted
}

// Order is one order to an agent. Number is unique across the orders to all agents.
type Order struct {
	Number uint64          `json:"number"`
	Body   json.RawMessage `json:"body"`
}

// Orders returns those of the kept orders to an agent that have a number above the given one.
func (s *State) Orders(agent string, after uint64) (out []Order) {
	a := s.agents[agent]
	if a == nil {
		return nil
	}
	for _, o := range a.Orders {
		if o.Number > after {
			out = append(out, o)
		}
	}
	return out
}

func (s *State) orderAgent(c Command) (Reply, *Error) {
	if c.Name == "" || len(c.Body) == 0 {
		return Reply{}, reject(ErrInvalid, "goal", "an order to an agent expected")
	}
	a := s.agent(c.Name)
	s.lastOrder++
	a.Orders = append(a.Orders, Order{s.lastOrder, c.Body})
	if excess := len(a.Orders) - maxAgentOrders; excess > 0 {
		a.Orders = slices.Clone(a.Orders[excess:])
	}
	return Reply{OrderNumber: s.lastOrder}, nil
}

// agentReport notifies watchers of each of an agent's reports once. If a report has no number, the command is rejected, but
// the reports before it have taken effect.
func (s *State) agentReport(c Command) (Reply, *Error) {
	var reports []json.RawMessage
	if err := json.Unmarshal(c.Body, &reports); err != nil || c.Name == "" {
		return Reply{}, reject(ErrInvalid, "body", "a list of reports expected")
	}
	a := s.agent(c.Name)
	for _, report := range reports {
		var numbered struct {
			Number uint64 `json:"number"`
		}
		if err := json.Unmarshal(report, &numbered); err != nil || numbered.Number == 0 {
			return Reply{}, reject(ErrInvalid, "number", "a number from 1 for each report expected")
		}
		if numbered.Number <= a.LastReport {
			continue
		}
		a.LastReport = numbered.Number
		s.emit(EventAgentReport, "", encode(map[string]any{"agent": c.Name, "report": report}))
	}
	return Reply{}, nil
}

func (s *State) agent(name string) *Agent {
	if s.agents[name] == nil {
		s.agents[name] = &Agent{}
	}
	return s.agents[name]
}
