package agentd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"dapplefront/agent"
	"dapplefront/internal/api"
	"dapplefront/internal/sse"
)

// reportTimeout is the timeout of one request that sends reports.
const reportTimeout = 2 * time.Second

// agentURL returns the base URL of this agent's resources at the controller in use.
func (a *Agent) agentURL() string {
	all := strings.Split(a.config.Controller, ",")
	controller := strings.TrimSpace(all[int(a.controllerIndex.Load())%len(all)])
	return strings.TrimSuffix(controller, "/") + "/v1/agents/" + url.PathEscape(a.config.Name)
}

// useNextController switches to the next controller after a failure.
func (a *Agent) useNextController() { a.controllerIndex.Add(1) }

// followOrders watches the stream of orders until the agent shuts down.
func (a *Agent) followOrders() {
	sse.Follow(a.ctx, a.http, func() string { return a.agentURL() + "/orders" }, a.receiveOrder, func(err error) {
		a.useNextController()
		a.log.Warn("watch of orders failed", "error", err)
	})
}

// receiveOrder validates an order received on the stream and queues it.
func (a *Agent) receiveOrder(event string, data []byte) error {
	if event != "order" {
		return nil
	}
	var o api.Order
	if err := json.Unmarshal(data, &o); err != nil {
		return fmt.Errorf("order: %w", err)
	}
	goal := agent.ParseGoal(o.Goal)
	if goal == 0 || !isDigest(o.Digest) || o.ReplacementDigest != "" && !isDigest(o.ReplacementDigest) {
		return fmt.Errorf("invalid order: %s", data)
	}
	a.submit(agent.Order{
		Number: o.Number, Digest: o.Digest, Build: o.Build, Goal: goal, AllowBelowMinVersion: o.AllowOlder, RollbackTo: o.ReplacementDigest,
		RollbackToBuild: o.ReplacementBuild,
	})
	return nil
}

// isDigest reports whether a text is a SHA-256 digest in lower-case hexadecimal. Digests become parts of paths.
func isDigest(text string) bool {
	return len(text) == 64 && strings.Trim(text, "0123456789abcdef") == ""
}

// postReports sends reports to the controller in use.
func (a *Agent) postReports(batch []api.AgentReport) error {
	body, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(a.ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.agentURL()+"/reports", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.http.Do(request)
	if err != nil {
		a.useNextController()
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		a.useNextController()
		return fmt.Errorf("status %s", response.Status)
	}
	return nil
}
