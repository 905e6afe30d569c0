package testbed

import (
	"sync"
	"testing"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"github.com/stretchr/testify/require"

	"dapplefront/internal/eds"
	"dapplefront/internal/endpoint"
	"dapplefront/policy"
)

const (
	eventTimeout = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// watcher is a router's watch of an endpoint list. It keeps the states that the watch has delivered.
type watcher struct {
	*eds.Watch
	mu       sync.Mutex
	states   map[uint32]policy.EndpointState
	failed   int
	rejected int
}

// watch starts a router's watch of a server's list, with the incremental or the state-of-the-world protocol.
func watch(t *testing.T, server *DiscoveryServer, incremental bool) *watcher {
	t.Helper()
	w := &watcher{states: map[uint32]policy.EndpointState{}}
	var err error
	w.Watch, err = eds.New(server.Address(), "r1", server.Resources([]string{"here", "there"}), incremental, endpoint.Handler{
		Updated: func(complete bool, hosts []endpoint.Host) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if complete {
				clear(w.states)
			}
			for _, h := range hosts {
				w.states[h.ID] = h.State
			}
		},
		Rejected: func(error) { w.mu.Lock(); w.rejected++; w.mu.Unlock() },
		Failed:   func(error) { w.mu.Lock(); w.failed++; w.mu.Unlock() }})
	require.NoError(t, err)
	t.Cleanup(w.Close)
	return w
}

// eventually waits for a condition, which is called with w.mu held.
func (w *watcher) eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return condition() }, eventTimeout, pollInterval)
}

func TestDiscoveryServer_SendsUpdatesRecordsRejectionsAndResumes(t *testing.T) {
	for _, protocol := range []struct {
		name        string
		incremental bool
	}{
		{"incremental", true},
		{"state of the world", false},
	} {
		t.Run(protocol.name, func(t *testing.T) {
			server, err := StartDiscovery("127.0.0.1:0", "shop", nil)
			require.NoError(t, err)
			defer server.Stop()
			a := RemoteBackend("127.0.0.1:1", Machine{ID: 1, Zone: "here", Cores: 1, Speed: 1}, 1)
			b := RemoteBackend("127.0.0.1:2", Machine{ID: 2, Zone: "there", Cores: 1, Speed: 1}, 1)
			server.Set(Endpoint{a, policy.Serving}, Endpoint{b, policy.Serving})
			w := watch(t, server, protocol.incremental)
			w.Subscribe()
			w.eventually(t, func() bool { return len(w.states) == 2 })
			server.Set(Endpoint{a, policy.Draining})
			w.eventually(t, func() bool { return w.states[1] == policy.Draining && w.states[2] == policy.Serving })

			server.SetCorruption(func(a *endpointv3.ClusterLoadAssignment) { a.Endpoints[0].Locality = nil })
			w.eventually(t, func() bool { return w.rejected > 0 })
			require.Eventually(t, func() bool { return len(server.Rejected()) > 0 }, eventTimeout, pollInterval)
			require.Contains(t, server.Rejected()[0], "locality.zone is missing")
			w.eventually(t, func() bool { return w.states[1] == policy.Draining }) // the last valid list remains in use
			server.SetCorruption(nil)
			server.Set(Endpoint{a, policy.Removed})
			w.eventually(t, func() bool { state, known := w.states[1]; return !known || state == policy.Removed })

			server.SetDown(true)
			w.eventually(t, func() bool { return w.failed == 1 })
			w.Subscribe()
			w.eventually(t, func() bool { return w.failed == 2 })
			server.Set(Endpoint{b, policy.Draining}) // while no router is connected
			server.SetDown(false)
			w.Subscribe()
			w.eventually(t, func() bool { return w.states[2] == policy.Draining })
		})
	}
}
