package control

import (
	"encoding/json"
	"slices"
)

// maxAgentOrders is how many orders are kept for an agent that is away; a build has some four orders at a host.
const maxAgentOrders = 64

// Agent is the orders to the agent of a host and the last of its reports.
type Agent struct {
	Orders     []Order `json:"orders"`
	LastReport uint64  `json:"heard"` // by number
}

// Order is one order to an agent, with its number among the orders to all agents.
type Order struct {
	Number uint64          `json:"number"`
	Body   json.RawMessage `json:"body"`
}

// Orders are those to an agent with numbers above after, as far as they are kept.
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

// agentReport notifies watchers of an agent's reports, of each once. Those before one without a number count.
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
