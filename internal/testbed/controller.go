package testbed

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"dapplefront/internal/api"
)

// Controller is a stand-in for the release controller's side of agents: it hands out orders and hears reports.
type Controller struct {
	server *http.Server
	listen net.Listener
	stop   chan struct{}
	// OnReport is called for each report, once and in order; it may be nil.
	OnReport func(agent string, r api.AgentReport)

	mu         sync.Mutex
	orders     map[string][]api.Order
	reports    map[string][]api.AgentReport
	lastReport map[string]uint64
	number     uint64
	changed    chan struct{}
	down       bool
}

// StartController starts one.
func StartController(address string) (*Controller, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	c := &Controller{listen: l, stop: make(chan struct{}), orders: map[string][]api.Order{},
		reports: map[string][]api.AgentReport{}, lastReport: map[string]uint64{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/agents/{name}/orders", c.watch)
	mux.HandleFunc("POST /v1/agents/{name}/reports", c.receiveReports)
	c.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// URL is where it is.
func (c *Controller) URL() string { return "http://" + c.listen.Addr().String() }

// Stop ends it.
func (c *Controller) Stop() {
	close(c.stop)
	_ = c.server.Close()
}

// SetDown cuts agents off, or lets them in again.
func (c *Controller) SetDown(down bool) {
	c.mu.Lock()
	c.down = down
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
}

// Order gives an agent an order; its number is the next one, unless it has one.
func (c *Controller) Order(agent string, o api.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Number == 0 {
		c.number++
		o.Number = c.number
	}
	c.orders[agent] = append(c.orders[agent], o)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Reports are an agent's reports so far.
func (c *Controller) Reports(agent string) []api.AgentReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]api.AgentReport(nil), c.reports[agent]...)
}

// Await waits until an agent has reported a build in a phase, or for too long.
func (c *Controller) Await(agent, digest, phase string, within time.Duration) bool {
	return c.AwaitAfter(agent, 0, digest, within, phase) != ""
}

// ReportCount is how many reports an agent has made, for AwaitAfter.
func (c *Controller) ReportCount(agent string) int { return len(c.Reports(agent)) }

// AwaitAfter waits until an agent has reported a build in one of some phases, after its first reports up to a mark, and
// returns that phase; empty if that takes too long.
func (c *Controller) AwaitAfter(agent string, mark int, digest string, within time.Duration, phases ...string) string {
	for end := time.Now().Add(within); ; {
		c.mu.Lock()
		changed := c.changed
		all := c.reports[agent]
		c.mu.Unlock()
		for _, r := range all[min(mark, len(all)):] {
			if r.Digest == digest && slices.Contains(phases, r.To) {
				return r.To
			}
		}
		select {
		case <-changed:
		case <-c.stop:
			return ""
		case <-time.After(time.Until(end)):
			return ""
		}
	}
}

// watch hands out the orders after Last-Event-ID; all of them to an agent that has none.
func (c *Controller) watch(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	flusher, ok := w.(http.Flusher)
	if !ok {
		problem(w, 500, "no streaming")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		c.mu.Lock()
		all, changed, down := c.orders[r.PathValue("name")], c.changed, c.down
		c.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		for ; from < len(all); from++ {
			body, _ := json.Marshal(all[from])
			if _, err := fmt.Fprintf(w, "id: %d\nevent: order\ndata: %s\n\n", from+1, body); err != nil {
				return
			}
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-c.stop:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (c *Controller) receiveReports(w http.ResponseWriter, r *http.Request) {
	var all []api.AgentReport
	if err := json.NewDecoder(io.LimitReader(r.Body, 4<<20)).Decode(&all); err != nil {
		problem(w, 400, "a list of reports expected: "+err.Error())
		return
	}
	name := r.PathValue("name")
	c.mu.Lock()
	if c.down {
		c.mu.Unlock()
		problem(w, 503, "out of reach")
		return
	}
	var fresh []api.AgentReport
	for _, x := range all { // one that is sent again counts once
		if x.Number > c.lastReport[name] {
			c.lastReport[name] = x.Number
			fresh = append(fresh, x)
		}
	}
	c.reports[name] = append(c.reports[name], fresh...)
	heard := c.OnReport
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	for _, x := range fresh {
		if heard != nil {
			heard(name, x)
		}
	}
	w.WriteHeader(204)
}

// problem answers in the form of RFC 9457.
func problem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"title": http.StatusText(status), "status": status, "detail": detail})
}
