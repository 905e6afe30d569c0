package eds

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/endpoint"
	"dapplefront/policy"
	"dapplefront/router"
)

func hostAt(id uint32, address string) endpoint.Host {
	return endpoint.Host{Host: router.Host{ID: id, Zone: "here", Build: 1, Weight: 1}, Address: address}
}

func TestEndpointList_AppliesUpdateCompletelyOrNotAtAll(t *testing.T) {
	l := newEndpointList()
	changes, err := l.put(map[string]resource{"a": {"1", []endpoint.Host{hostAt(1, "x:1"), hostAt(2, "x:2")}}, "b": {"1", []endpoint.Host{hostAt(3, "x:3")}}}, nil)
	require.NoError(t, err)
	require.Len(t, changes, 3)
	_, err = l.put(map[string]resource{"a": {"2", nil}, "b": {"2", []endpoint.Host{hostAt(4, "x:4"), hostAt(4, "x:5")}}}, nil)
	require.ErrorContains(t, err, "host 4 stands twice")
	_, err = l.put(map[string]resource{"b": {"2", []endpoint.Host{hostAt(4, "x:1")}}}, nil)
	require.ErrorContains(t, err, "x:1 is the address of two hosts")
	require.Len(t, l.all(), 3, "a rejected update must not change the list")
	changes, err = l.put(map[string]resource{"a": {"3", []endpoint.Host{hostAt(1, "x:1"), hostAt(5, "x:2")}}}, []string{"b"})
	require.NoError(t, err)
	states := map[uint32]policy.EndpointState{}
	for _, h := range changes {
		states[h.ID] = h.State
	}
	require.Equal(t, map[uint32]policy.EndpointState{2: policy.Removed, 3: policy.Removed, 5: policy.Serving}, states)
}
