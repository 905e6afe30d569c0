package testbed

import (
	"sync"
	"testing"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"github.com/stretchr/testify/require"

	"dapplefront/internal/eds"
	"dapplefront/policy"
)

// watcher is a router's watch of a register, with what it was told.
type watcher struct {
	*eds.Watch
	mu       sync.Mutex
	hosts    map[uint32]policy.EndpointState
	whole    int
	failed   int
	rejected int
}

func follow(t *testing.T, r *DiscoveryServer, changes bool) *watcher {
	f := &watcher{hosts: map[uint32]policy.EndpointState{}}
	var err error
	f.Watch, err = eds.New(r.Address(), "r1", r.Resources([]string{"here", "there"}), changes, eds.Handler{
		Updated: func(whole bool, hosts []eds.Host) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if whole {
				f.whole++
				clear(f.hosts)
			}
			for _, h := range hosts {
				f.hosts[h.ID] = h.State
			}
		},
		Rejected: func(error) { f.mu.Lock(); f.rejected++; f.mu.Unlock() },
		Failed:   func(error) { f.mu.Lock(); f.failed++; f.mu.Unlock() }})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func (f *watcher) eventually(t *testing.T, is func() bool) {
	t.Helper()
	require.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return is() }, 10*time.Second, 5*time.Millisecond)
}

func TestTheListIsFollowedTurnedDownAndResumed(t *testing.T) {
	for _, changes := range []bool{true, false} {
		r, err := StartDiscovery("127.0.0.1:0", "shop", nil)
		require.NoError(t, err)
		defer r.Stop()
		a := RemoteBackend("127.0.0.1:1", Machine{ID: 1, Zone: "here", Cores: 1, Speed: 1}, 1)
		b := RemoteBackend("127.0.0.1:2", Machine{ID: 2, Zone: "there", Cores: 1, Speed: 1}, 1)
		r.Set(Endpoint{a, policy.Serving}, Endpoint{b, policy.Serving})
		f := follow(t, r, changes)
		f.Ask()
		f.eventually(t, func() bool { return len(f.hosts) == 2 })
		r.Set(Endpoint{a, policy.Draining})
		f.eventually(t, func() bool { return f.hosts[1] == policy.Draining && f.hosts[2] == policy.Serving })

		r.SetCorruption(func(a *endpointv3.ClusterLoadAssignment) { a.Endpoints[0].Locality = nil })
		f.eventually(t, func() bool { return f.rejected > 0 })
		require.Eventually(t, func() bool { return len(r.Rejected()) > 0 }, 10*time.Second, 5*time.Millisecond)
		require.Contains(t, r.Rejected()[0], "locality.zone is missing")
		f.eventually(t, func() bool { return f.hosts[1] == policy.Draining }) // the last good list stays
		r.SetCorruption(nil)
		r.Set(Endpoint{a, policy.Removed})
		f.eventually(t, func() bool { s, known := f.hosts[1]; return !known || s == policy.Removed })

		r.SetDown(true)
		f.eventually(t, func() bool { return f.failed == 1 })
		f.Ask()
		f.eventually(t, func() bool { return f.failed == 2 })
		r.Set(Endpoint{b, policy.Draining}) // while no one can see it
		r.SetDown(false)
		f.Ask()
		f.eventually(t, func() bool { return f.hosts[2] == policy.Draining })
	}
}
