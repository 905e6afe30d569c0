package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"dapplefront/internal/api"
)

const maxReportBytes = 4 << 20

// Controller is the part of a release controller that serves agents: it streams orders and receives reports.
type Controller struct {
	server   *httpServer
	listener net.Listener
	stopped  chan struct{} // closed by Stop
	// OnReport is called once for each report, in order. It may be nil.
	OnReport func(agent string, r api.AgentReport)

	mu               sync.Mutex
	orders           map[string][]api.Order       // by agent
	reports          map[string][]api.AgentReport // by agent, without duplicates
	lastReportNumber map[string]uint64            // by agent
	lastOrderNumber  uint64
	changed          chan struct{} // closed and replaced on each change
	down             bool
}

// StartController starts a controller that has no orders yet.
func StartController(address string) (*Controller, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	c := &Controller{
		listener: listener, stopped: make(chan struct{}), orders: map[string][]api.Order{},
		reports: map[string][]api.AgentReport{}, lastReportNumber: map[string]uint64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/agents/{name}/orders", c.streamOrders)
	mux.HandleFunc("POST /v1/agents/{name}/reports", c.receiveReports)
	c.server = startHTTPServer(listener, mux)
	return c, nil
}

// URL returns the base URL, without a trailing slash.
func (c *Controller) URL() string { return "http://" + c.listener.Addr().String() }

// Stop closes the server and all its connections. It must be called only once.
func (c *Controller) Stop() {
	close(c.stopped)
	c.server.stop()
}

// SetDown simulates an outage: while down is set, streams are aborted and reports are refused.
func (c *Controller) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	c.notifyChange()
}

// Order adds an order for an agent. An order whose number is 0 gets the next number.
func (c *Controller) Order(agent string, o api.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Number == 0 {
		c.lastOrderNumber++
		o.Number = c.lastOrderNumber
	}
	c.orders[agent] = append(c.orders[agent], o)
	c.notifyChange()
}

// notifyChange wakes all goroutines that wait for a change. The caller holds c.mu.
func (c *Controller) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Reports returns an agent's reports so far.
func (c *Controller) Reports(agent string) []api.AgentReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]api.AgentReport(nil), c.reports[agent]...)
}

// Await waits until an agent has reported that a build is in a phase. It returns false after the timeout or when the
// controller is stopped.
func (c *Controller) Await(agent, digest, phase string, timeout time.Duration) bool {
	return c.AwaitAfter(agent, 0, digest, timeout, phase) != ""
}

// ReportCount returns the number of reports from an agent so far, for use with AwaitAfter.
func (c *Controller) ReportCount(agent string) int { return len(c.Reports(agent)) }

// AwaitAfter waits until an agent has reported that a build is in one of the given phases, and returns that phase. It
// ignores the agent's earliest reports; skip is their number. It returns an empty string after the timeout or when the
// controller is stopped.
func (c *Controller) AwaitAfter(agent string, skip int, digest string, timeout time.Duration, phases ...string) string {
	for end := time.Now().Add(timeout); ; {
		c.mu.Lock()
		changed := c.changed
		reports := c.reports[agent]
		c.mu.Unlock()
		for _, report := range reports[min(skip, len(reports)):] {
			if report.Digest == digest && slices.Contains(phases, report.To) {
				return report.To
			}
		}
		select {
		case <-changed:
		case <-c.stopped:
			return ""
		case <-time.After(time.Until(end)):
			return ""
		}
	}
}

// streamOrders sends an agent the orders after its Last-Event-ID, or all orders if the request has none, and then each new
// order.
func (c *Controller) streamOrders(w http.ResponseWriter, r *http.Request) {
	sent, _ := strconv.Atoi(r.Header.Get("Last-Event-ID")) // 0 if the header is absent
	flusher, ok := w.(http.Flusher)
	if !ok {
		writeProblem(w, http.StatusInternalServerError, "no streaming")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		c.mu.Lock()
		orders, changed, down := c.orders[r.PathValue("name")], c.changed, c.down
		c.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		for ; sent < len(orders); sent++ {
			body, err := json.Marshal(orders[sent])
			if err != nil {
				panic(err) // can't happen: a type of this project
			}
			if _, err := fmt.Fprintf(w, "id: %d\nevent: order\ndata: %s\n\n", sent+1, body); err != nil {
				return // the agent has disconnected
			}
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-c.stopped:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// receiveReports receives reports from an agent. A report that is sent again is ignored.
func (c *Controller) receiveReports(w http.ResponseWriter, r *http.Request) {
	var sent []api.AgentReport
	if err := json.NewDecoder(io.LimitReader(r.Body, maxReportBytes)).Decode(&sent); err != nil {
		writeProblem(w, http.StatusBadRequest, "a list of reports expected: "+err.Error())
		return
	}
	agent := r.PathValue("name")
	reports, onReport, ok := c.addReports(agent, sent)
	if !ok {
		writeProblem(w, http.StatusServiceUnavailable, "out of reach")
		return
	}
	if onReport != nil {
		for _, report := range reports {
			onReport(agent, report)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// addReports adds the reports that are new, and returns them with the current OnReport. ok is false while the controller is
// down.
func (c *Controller) addReports(agent string, sent []api.AgentReport) (
	added []api.AgentReport, onReport func(string, api.AgentReport), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, nil, false
	}
	for _, report := range sent {
		if report.Number > c.lastReportNumber[agent] {
			c.lastReportNumber[agent] = report.Number
			added = append(added, report)
		}
	}
	c.reports[agent] = append(c.reports[agent], added...)
	c.notifyChange()
	return added, c.OnReport, true
}

// problem is a problem document (RFC 9457).
type problem struct {
	Detail string `json:"detail"`
	Status int    `json:"status"`
	Title  string `json:"title"`
}

func writeProblem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	// An error means that the agent has disconnected.
	_ = json.NewEncoder(w).Encode(problem{Detail: detail, Status: status, Title: http.StatusText(status)})
}
