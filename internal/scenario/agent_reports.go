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

// agentReports stores the reports that agents have sent to the controllers, and sends orders to agents.
type agentReports struct {
	controllers *controllerGroup
	onReport    func(agent string, report api.AgentReport) // called for each report, in order

	mu      sync.Mutex
	reports map[string][]api.AgentReport // by agent
	changed chan struct{}                // closed and replaced with each report
}

func newAgentReports(controllers *controllerGroup, onReport func(string, api.AgentReport)) *agentReports {
	a := &agentReports{controllers: controllers, onReport: onReport, reports: map[string][]api.AgentReport{}, changed: make(chan struct{})}
	controllers.setAgentReports(a)
	return a
}

// handleEvent stores the report in an agent event of the controllers' watch, and calls onReport.
func (a *agentReports) handleEvent(data []byte) error {
	var event struct {
		Agent  string          `json:"agent"`
		Report api.AgentReport `json:"report"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return fmt.Errorf("decode an agent's report: %w", err)
	}
	a.mu.Lock()
	a.reports[event.Agent] = append(a.reports[event.Agent], event.Report)
	close(a.changed)
	a.changed = make(chan struct{})
	a.mu.Unlock()
	a.onReport(event.Agent, event.Report)
	return nil
}

// sendOrder sends an agent an order through the controllers. If that fails, it logs the error.
func (a *agentReports) sendOrder(agent string, order api.Order) {
	a.controllers.request(func(ctx context.Context) error {
		_, err := a.controllers.client.OrderAgent(ctx, agent, order)
		return err
	})
}

// list returns an agent's reports so far.
func (a *agentReports) list(agent string) []api.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.reports[agent])
}

// count returns the number of an agent's reports so far.
func (a *agentReports) count(agent string) int { return len(a.list(agent)) }

// await waits until an agent reports that a build is in one of the given phases, and returns that phase. It ignores the
// agent's earliest reports; skip is their number. It returns an empty phase after the timeout or when the context ends.
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
