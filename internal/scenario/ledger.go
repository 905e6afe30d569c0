package scenario

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"dapplefront/internal/api"
)

// ledger is what agents have reported, as the controllers' watch tells it, and the way to give them orders.
type ledger struct {
	desk  *controllers
	heard func(agent string, r api.AgentReport) // called for each report, in order

	mu      sync.Mutex
	reports map[string][]api.AgentReport
	changed chan struct{}
}

func newLedger(d *controllers, heard func(string, api.AgentReport)) *ledger {
	l := &ledger{desk: d, heard: heard, reports: map[string][]api.AgentReport{}, changed: make(chan struct{})}
	d.mu.Lock()
	d.ledger = l
	d.mu.Unlock()
	return l
}

// hear takes in an event of the watch.
func (l *ledger) hear(data []byte) error {
	var e struct {
		Agent  string          `json:"agent"`
		Report api.AgentReport `json:"report"`
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	l.mu.Lock()
	l.reports[e.Agent] = append(l.reports[e.Agent], e.Report)
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	l.heard(e.Agent, e.Report)
	return nil
}

// order gives an agent an order.
func (l *ledger) order(agent string, o api.Order) {
	l.desk.ask(func(ctx context.Context) error {
		_, err := l.desk.client.OrderAgent(ctx, agent, o)
		return err
	})
}

// of are an agent's reports so far; mark is their number, for await.
func (l *ledger) of(agent string) []api.AgentReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.reports[agent])
}

func (l *ledger) mark(agent string) int { return len(l.of(agent)) }

// await waits until an agent has reported a build in one of some phases, after its first reports up to a mark, and
// returns that phase; empty if that takes too long.
func (l *ledger) await(agent string, mark int, digest string, within time.Duration, phases ...string) string {
	for end := time.Now().Add(within); ; {
		l.mu.Lock()
		changed, all := l.changed, l.reports[agent]
		l.mu.Unlock()
		for _, r := range all[min(mark, len(all)):] {
			if r.Digest == digest && slices.Contains(phases, r.To) {
				return r.To
			}
		}
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
			return ""
		}
	}
}
