package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/endpoint"
	"dapplefront/policy"
)

func TestWatch_TreatsNameWithAnotherBuildAsAnotherHost(t *testing.T) {
	d := newFakeDiscovery(t)
	known := EndpointList{Revision: 40, Complete: true, Endpoints: []Endpoint{{ID: "a", Address: "127.0.0.1:1", Phase: "up", Build: 1}}}
	w, first, h := openTestWatch(t, d, known)
	require.Len(t, first, 1)
	old := first[0].ID
	w.Subscribe()
	d.lines <- listJSON(41, false, endpointJSON("a", "draining", 1))
	got := <-h.updates
	require.Equal(t, old, got[0].ID)
	require.Equal(t, policy.Draining, got[0].State)
	require.Equal(t, policy.Time(70), got[0].StartedAt)
	before := time.Now()
	time.Sleep(2 * time.Millisecond)
	d.lines <- listJSON(42, false, endpointJSON("a", "up", 2))
	got = <-h.updates
	require.Len(t, got, 2, "the old host must be removed when the new one appears")
	require.Equal(t, old, got[0].ID)
	require.Equal(t, policy.Removed, got[0].State)
	require.NotEqual(t, old, got[1].ID)
	n, ok := w.HostID("a", before)
	require.True(t, ok)
	require.Equal(t, old, n, "a complaint must refer to the host that had the name then")
	n, _ = w.HostID("a", time.Now())
	require.Equal(t, got[1].ID, n)
	_, ok = w.HostID("b", time.Now())
	require.False(t, ok)
	d.lines <- listJSON(43, false, endpointJSON("a", "removed", 2))
	d.lines <- listJSON(44, false, endpointJSON("a", "up", 2))
	require.Equal(t, policy.Removed, (<-h.updates)[0].State)
	require.Equal(t, got[1].ID, (<-h.updates)[0].ID, "a name with the same build must be the same host, restarted")
	require.Equal(t, "/v1/endpoints?watch=1&from=40", d.requests[0])
}

// Guards against memory growth while a router runs for a long time and names are added and removed: a removed name is
// deleted once no complaint can refer to it any more.
func TestHostTable_DeletesRemovedNames(t *testing.T) {
	w, _ := Open("127.0.0.1:1", EndpointList{Revision: 1, Complete: true}, endpoint.Handler{})
	t.Cleanup(w.Close)
	endpoint := func(n int, phase string) Endpoint {
		return Endpoint{ID: fmt.Sprint("h", n), Address: "127.0.0.1:1", Phase: phase, Build: 1}
	}
	for n := range 1000 {
		w.apply(EndpointList{Revision: int64(2 * n), Endpoints: []Endpoint{endpoint(n, "up")}})
		w.apply(EndpointList{Revision: int64(2*n + 1), Endpoints: []Endpoint{endpoint(n, "removed")}})
	}
	w.apply(EndpointList{Revision: 3000, Complete: true, Endpoints: []Endpoint{endpoint(5000, "up")}})
	w.apply(EndpointList{Revision: 3001, Complete: true, Endpoints: []Endpoint{endpoint(6000, "up")}}) // a complete list that omits a name
	_, known := w.HostID("h999", time.Now())
	require.True(t, known, "complaints may still refer to the name")
	longAgo := time.Now().Add(-time.Hour) // as if it were an hour later
	w.hosts.lastSweep = longAgo
	for _, x := range w.hosts.names {
		x.removedAt = longAgo
	}
	w.apply(EndpointList{Revision: 3002, Endpoints: []Endpoint{endpoint(6000, "up")}})
	require.Len(t, w.hosts.names, 1)
	require.Len(t, w.hosts.idOwners, 1)
	n, known := w.HostID("h6000", time.Now())
	require.True(t, known)
	require.Equal(t, "h6000 1", w.hosts.idOwners[n])
}
