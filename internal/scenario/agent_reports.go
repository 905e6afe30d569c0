package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"dapplefront/internal/api"
)

// agentReports keeps what agents have reported to the controllers, and gives agents orders.
type agentReports struct {
	controllers *controllerGroup
	onReport    func(agent string, report api.AgentReport) // called for each report, in order

	mu      sync.Mutex
	reports map[string][]api.AgentReport
	changed chan struct{} // closed and replaced with each report
}

func newAgentReports(controllers *controllerGroup, onReport func(string, api.AgentReport)) *agentReports {
	a := &agentReports{controllers: controllers, onReport: onReport, reports: map[string][]api.AgentReport{}, changed: make(chan struct{})}
	controllers.setAgentReports(a)
	return a
}

// handleEvent takes in an agent event of the controllers' watch.
func (a *agentReports) handleEvent(data []byte) error {
	var event struct {
		Agent  string          `json:"agent"`
		Report api.AgentReport `json:"report"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return fmt.Errorf("report of an agent: %w", err)
	}
	a.mu.Lock()
	a.reports[event.Agent] = append(a.reports[event.Agent], event.Report)
	close(a.changed)
	a.changed = make(chan struct{})
	a.mu.Unlock()
	a.onReport(event.Agent, event.Report)
	return nil
}

// sendOrder gives an agent an order; an error is logged.
func (a *agentReports) sendOrder(agent string, order api.Order) {
	a.controllers.call(func(ctx context.Context) error {
		_, err := a.controllers.client.OrderAgent(ctx, agent, order)
		return err
	})
}

// list are an agent's reports so far.
func (a *agentReports) list(agent string) []api.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.reports[agent])
}

// count is the number of an agent's reports so far.
func (a *agentReports) count(agent string) int { return len(a.list(agent)) }

// await waits until an agent reports a build in one of some phases, and returns that phase. It passes over the agent's
// first reports, as many as skip says. It returns an empty phase after the timeout, or when the context ends.
func (a *agentReports) await(ctx context.Context, agent string, skip int, digest string, timeout time.Duration, phases ...string) string {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		a.mu.Lock()
		changed, reports := a.changed, a.reports[agent]
		a.mu.Unlock()
		for _, r := range reports[min(skip, len(reports)):] {
			if r.Digest == digest && slices.Contains(phases, r.To) {
				return r.To
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ""
		}
	}
}
