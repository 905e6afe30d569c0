package controlclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dapplefront/internal/api"
)

// All attempts of a report together last slightly longer than controllers need to elect a leader.
const (
	reportAttempts = 6
	reportBackoff  = 400 * time.Millisecond
)

// Report reports in the background how many requests to a build had each outcome; the controller adds the numbers up. It retries
// only if the report can't have been counted yet, and uses another controller if the current one can't be reached.
func (c *Client) Report(build int, outcomes map[string]int) {
	go func() {
		body, err := json.Marshal(api.BuildReport{Requests: outcomes})
		if err == nil {
			err = c.sendReportWithRetries(build, body)
		}
		if err != nil {
			c.handler.Failed(fmt.Errorf("reporting outcomes of build %d: %w", build, err))
		}
	}()
}

func (c *Client) sendReportWithRetries(build int, body []byte) error {
	for range reportAttempts {
		retry, err := c.sendReport(build, body)
		if !retry {
			return err
		}
		time.Sleep(reportBackoff)
	}
	return nil
}

// sendReport sends a report once. retry is true if the report can't have been counted and may be sent again.
func (c *Client) sendReport(build int, body []byte) (retry bool, err error) {
	ctx, cancel := c.withTimeout()
	defer cancel()
	current := c.current.Load()
	response, err := c.sendJSON(ctx, http.MethodPost, fmt.Sprintf("/v1/releases/%d/reports", build), body)
	if isDialError(err) {
		c.current.CompareAndSwap(current, current+1)
		return true, err
	}
	if err != nil {
		return false, err
	}
	_ = response.Body.Close() // only the status matters
	if response.StatusCode >= http.StatusMultipleChoices {
		return response.StatusCode == http.StatusServiceUnavailable, fmt.Errorf("status %s", response.Status)
	}
	return false, nil
}
