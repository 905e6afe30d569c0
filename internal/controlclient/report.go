package controlclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"dapplefront/internal/api"
)

// Retries of a report last a little longer than controllers take to elect a leader.
const (
	reportAttempts = 6
	reportBackoff  = 400 * time.Millisecond
)

// Report adds the outcomes of requests at a build, in the background. It is retried, at another controller where the
// present one can't be reached, as long as it surely was not counted; one that may have been counted is not.
func (c *Client) Report(build int, outcomes map[string]int) {
	go func() {
		body, err := json.Marshal(api.BuildReport{Requests: outcomes})
		if err == nil {
			err = c.sendReportWithRetries(build, body)
		}
		if err != nil {
			c.handler.Failed(fmt.Errorf("the report on build %d: %w", build, err))
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

// sendReport sends a report once; retry says that it surely was not counted and may be sent again.
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
	_ = response.Body.Close() // its status says all
	if response.StatusCode >= http.StatusMultipleChoices {
		return response.StatusCode == http.StatusServiceUnavailable, fmt.Errorf("status %s", response.Status)
	}
	return false, nil
}
