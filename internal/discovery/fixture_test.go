package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"dapplefront/internal/endpoint"
)

// fakeDiscovery is a discovery service whose watches send what a test writes to lines. The line "end" aborts a watch.
type fakeDiscovery struct {
	*httptest.Server
	mu       sync.Mutex
	requests []string
	lines    chan string
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{lines: make(chan string, 20)}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.requests = append(d.requests, r.URL.String())
		d.mu.Unlock()
		w.WriteHeader(http.StatusOK)
		for {
			select {
			case line := <-d.lines:
				if line == "end" {
					panic(http.ErrAbortHandler)
				}
				_, _ = fmt.Fprint(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func (d *fakeDiscovery) address() string { return d.Listener.Addr().String() }

// events receives the calls of a watch's handler.
type events struct {
	updates    chan []endpoint.Host
	keepAlives chan bool // updates without changes
	failed     chan error
	rejected   chan error
}

func openTestWatch(t *testing.T, d *fakeDiscovery, known EndpointList) (*Watch, []endpoint.Host, *events) {
	t.Helper()
	h := &events{make(chan []endpoint.Host, 20), make(chan bool, 20), make(chan error, 20), make(chan error, 20)}
	w, first := Open(d.address(), known, endpoint.Handler{Updated: func(complete bool, hosts []endpoint.Host) {
		if !complete && len(hosts) == 0 {
			h.keepAlives <- true
			return
		}
		h.updates <- hosts
	},
		Rejected: func(err error) { h.rejected <- err }, Failed: func(err error) { h.failed <- err }})
	t.Cleanup(w.Close)
	return w, first, h
}

func endpointJSON(id, phase string, build int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9000","locality":"here","cell":1,"phase":%q,"size":1.5,"up_since_ms":7,"revision_no":%d}`,
		id, phase, build)
}

func listJSON(revision int, complete bool, endpoints ...string) string {
	text := ""
	for i, e := range endpoints {
		if i > 0 {
			text += ","
		}
		text += e
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`+"\n", revision, complete, text)
}
