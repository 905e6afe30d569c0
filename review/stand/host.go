package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Attempt is a request that a host got.
type Attempt struct {
	ID      string // Request-Id
	Class   string
	Host    string
	Arrived time.Time // its last byte
	Ended   time.Time // answered, or given up by the router; zero while it is out
}

// perSecond is the rate of requests that load reports name. Routers do not use it.
const perSecond = 20

// Host is a sound host: it answers each request with 200 and a body of its own after the time that work returns.
type Host struct {
	Member Member

	record *Record
	server *http.Server
	work   func(class string) time.Duration

	inFlight atomic.Int64

	mu       sync.Mutex
	attempts []*Attempt
	draining bool
}

// NewHost starts a host. reports says whether its answers have a load report, with the fields of fernline-shop-later.
func NewHost(record *Record, id, zone string, reports bool, work func(class string) time.Duration) (*Host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{record: record, work: work, Member: Member{ID: id, HostPort: listener.Addr().String(), Locality: zone,
		Flavor: "std", Phase: "up", Size: 1, Build: 1}}
	h.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, reports) }),
		ReadHeaderTimeout: time.Minute}
	go func() { _ = h.server.Serve(listener) }()
	return h, nil
}

// Close ends the host.
func (h *Host) Close() { _ = h.server.Close() }

// Drain begins the host's drain: it completes what it has and turns away what is new.
func (h *Host) Drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.record.Line("%s begins to drain", h.Member.ID)
}

// Attempts returns the requests that the host got so far.
func (h *Host) Attempts() []Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Attempt, 0, len(h.attempts))
	for _, a := range h.attempts {
		all = append(all, *a)
	}
	return all
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request, reports bool) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return // broken off before its last byte: it does not count
	}
	a := &Attempt{ID: r.Header.Get("Request-Id"), Class: r.Header.Get("Request-Class"), Host: h.Member.ID, Arrived: time.Now()}
	h.mu.Lock()
	h.attempts = append(h.attempts, a)
	draining := h.draining
	h.mu.Unlock()
	if draining {
		h.record.Line("%s drains and turns away %s %s", a.Host, a.ID, a.Class)
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.record.Line("%s runs %s %s, told %s ms", a.Host, a.ID, a.Class, r.Header.Get("Request-Timeout-Ms"))
	h.inFlight.Add(1)
	ended := "ended"
	select {
	case <-time.After(h.work(a.Class)):
	case <-r.Context().Done():
		ended = "given up by the router"
	}
	h.inFlight.Add(-1)
	h.mu.Lock()
	a.Ended = time.Now()
	h.mu.Unlock()
	h.record.Line("%s %s: %s", a.Host, a.ID, ended)
	if reports {
		w.Header().Set("Server-Load", fmt.Sprintf("waiting=0,rps=%d,active=%d", perSecond, h.inFlight.Load()))
	}
	_, _ = fmt.Fprintf(w, "answer to %s", a.ID)
}
