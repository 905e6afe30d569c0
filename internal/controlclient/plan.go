package controlclient

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"dapplefront/internal/api"
)

const maxPlanBytes = 16 << 20 // enough for about 500,000 hosts

// fetchPlan fetches a version of the plan for the router's zone.
func (c *Client) fetchPlan(version uint64) (plan api.Plan, err error) {
	ctx, cancel := c.withTimeout()
	defer cancel()
	response, err := c.get(ctx, fmt.Sprintf("/v1/plans/%d/for/%s", version, url.PathEscape(c.zone)))
	if err != nil {
		return plan, err
	}
	defer func() { _ = response.Body.Close() }() // an error here doesn't affect the result
	if response.StatusCode != http.StatusOK {
		return plan, fmt.Errorf("status %s", response.Status)
	}
	return plan, json.NewDecoder(io.LimitReader(response.Body, maxPlanBytes)).Decode(&plan)
}

// AcknowledgePlan notifies the controller in the background that the router follows a plan version or, if a reason is given,
// that it does not. There are no retries, because the next version gets its own acknowledgement.
func (c *Client) AcknowledgePlan(version uint64, reason string) {
	go func() {
		ctx, cancel := c.withTimeout()
		defer cancel()
		body, err := json.Marshal(api.PlanAck{Followed: reason == "", Reason: reason})
		if err != nil {
			c.handler.Failed(err)
			return
		}
		response, err := c.sendJSON(ctx, http.MethodPut, fmt.Sprintf("/v1/plans/%d/routers/%s", version, c.routerPath()), body)
		if err != nil {
			c.handler.Failed(fmt.Errorf("acknowledging plan %d: %w", version, err))
			return
		}
		_ = response.Body.Close() // the response is ignored, whatever its status
	}()
}
