package agentd

import (
	"net"
	"strconv"
	"time"

	"dapplefront/agent"
	"dapplefront/internal/api"
)

const (
	maxReports       = 1000 // limit on the number of reports in the outbox; beyond it, the oldest are dropped
	reportRetryDelay = 200 * time.Millisecond
	shownDigestChars = 12 // length of a digest in log messages
)

// addReports adds the reports among effects to the outbox, so that they are saved with the state.
func (a *Agent) addReports(effects []agent.Effect) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range effects {
		var r api.AgentReport
		switch e := e.(type) {
		case agent.PublishEndpoint:
			r = a.endpointReport(e)
		case agent.ReportTransition:
			a.log.Info("build changed phase", "build", e.Build, "digest", e.Digest[:min(shownDigestChars, len(e.Digest))],
				"from", e.From, "to", e.To, "cause", e.Cause)
			r = api.AgentReport{
				Build: e.Build, Digest: e.Digest, From: string(e.From), To: string(e.To), Cause: e.Cause, AtMs: e.At.UnixMilli(),
			}
		default:
			continue
		}
		a.lastReport++
		r.Number = a.lastReport
		if a.outbox = append(a.outbox, r); len(a.outbox) > maxReports {
			a.outbox = a.outbox[1:]
		}
	}
}

// endpointReport returns the report on an instance's endpoint. The caller holds a.mu.
func (a *Agent) endpointReport(e agent.PublishEndpoint) api.AgentReport {
	r := api.AgentReport{Digest: e.Digest, EndpointState: string(e.State), AtMs: time.Now().UnixMilli()}
	if i := a.machine.State.Instance(e.Digest); i != nil {
		r.Build, r.StartedAtMs = i.Build, i.Process.StartedAt.UnixMilli()
		r.Address = net.JoinHostPort("127.0.0.1", strconv.Itoa(i.Process.Port))
	}
	return r
}

func (a *Agent) notifyOutbox() {
	select {
	case a.outboxChanged <- struct{}{}:
	default:
	}
}

// sendReports sends the reports in the outbox, in order, until the agent shuts down. It retries each batch until a
// controller accepts it.
func (a *Agent) sendReports() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.outboxChanged:
		}
		for a.ctx.Err() == nil {
			batch := a.pendingReports()
			if len(batch) == 0 {
				break
			}
			if err := a.postReports(batch); err != nil {
				a.log.Warn("reports not accepted", "error", err)
				sleep(a.ctx, reportRetryDelay)
				continue
			}
			a.removeReports(batch[len(batch)-1].Number)
		}
	}
}

func (a *Agent) pendingReports() []api.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]api.AgentReport(nil), a.outbox...)
}

// removeReports removes the reports that a controller has accepted. last is the number of the latest of them.
func (a *Agent) removeReports(last uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.outbox) > 0 && a.outbox[0].Number <= last {
		a.outbox = a.outbox[1:]
	}
}
