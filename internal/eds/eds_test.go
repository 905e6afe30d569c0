package eds

import (
	"os"
	"path/filepath"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"dapplefront/policy"
	"dapplefront/router"
)

func lbEndpoint(ip string, port uint32, fields map[string]any) *endpointv3.LbEndpoint {
	meta, _ := structpb.NewStruct(fields)
	return &endpointv3.LbEndpoint{Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{Metadata: meta}},
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
			Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: ip,
				PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: port}}}}}}}
}

func TestAnEndpointThatMakesNoSenseIsNamed(t *testing.T) {
	for want, e := range map[string]*endpointv3.LbEndpoint{
		"socket_address":   lbEndpoint("here", 1, map[string]any{"build": 1}),
		"an IP address":    lbEndpoint("127.0.0.1", 0, map[string]any{"build": 1}),
		"build is missing": lbEndpoint("127.0.0.1", 1, nil),
		"build: a whole":   lbEndpoint("127.0.0.1", 1, map[string]any{"build": 1.5}),
		"up: a whole":      lbEndpoint("127.0.0.1", 1, map[string]any{"build": 1, "up": "soon"}),
		"id: a whole":      lbEndpoint("127.0.0.1", 1, map[string]any{"build": 1, "id": -1}),
	} {
		a := &endpointv3.ClusterLoadAssignment{ClusterName: "shop/here", Endpoints: []*endpointv3.LocalityLbEndpoints{
			{Locality: &corev3.Locality{Zone: "here"}, LbEndpoints: []*endpointv3.LbEndpoint{lbEndpoint("127.0.0.1", 9,
				map[string]any{"build": 1}), e}}}}
		_, err := hostsOf(a)
		require.ErrorContains(t, err, "shop/here: endpoints[0].lb_endpoints[1]")
		require.ErrorContains(t, err, want)
	}
	_, err := hostsOf(&endpointv3.ClusterLoadAssignment{Endpoints: []*endpointv3.LocalityLbEndpoints{{}}})
	require.ErrorContains(t, err, "locality.zone is missing")
}

func hostAt(id uint32, address string) Host {
	return Host{Host: router.Host{ID: id, Zone: "here", Build: 1, Weight: 1}, Address: address}
}

func TestAListIsTakenInWholeOrNotAtAll(t *testing.T) {
	l := newEndpointList()
	changes, err := l.put(map[string]resource{"a": {"1", []Host{hostAt(1, "x:1"), hostAt(2, "x:2")}}, "b": {"1", []Host{hostAt(3, "x:3")}}}, nil)
	require.NoError(t, err)
	require.Len(t, changes, 3)
	_, err = l.put(map[string]resource{"a": {"2", nil}, "b": {"2", []Host{hostAt(4, "x:4"), hostAt(4, "x:5")}}}, nil)
	require.ErrorContains(t, err, "host 4 stands twice")
	_, err = l.put(map[string]resource{"b": {"2", []Host{hostAt(4, "x:1")}}}, nil)
	require.ErrorContains(t, err, "x:1 is the address of two hosts")
	require.Len(t, l.all(), 3, "the last good list stays")
	changes, err = l.put(map[string]resource{"a": {"3", []Host{hostAt(1, "x:1"), hostAt(5, "x:2")}}}, []string{"b"})
	require.NoError(t, err)
	gone := map[uint32]policy.EndpointState{}
	for _, h := range changes {
		gone[h.ID] = h.State
	}
	require.Equal(t, map[uint32]policy.EndpointState{2: policy.Removed, 3: policy.Removed, 5: policy.Serving}, gone)
}

func TestTheLastListIsKeptWholeOrNotRead(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	hosts, err := LoadCache(file)
	require.NoError(t, err)
	require.Empty(t, hosts)
	require.NoError(t, SaveCache(file, []Host{hostAt(1, "x:1")}))
	hosts, err = LoadCache(file)
	require.NoError(t, err)
	require.Equal(t, []Host{hostAt(1, "x:1")}, hosts)
	text, _ := os.ReadFile(file)
	require.NoError(t, os.WriteFile(file, text[:len(text)/2], 0o600))
	_, err = LoadCache(file)
	require.ErrorContains(t, err, file)
	require.NoError(t, os.WriteFile(file, []byte(`{"format":2}`), 0o600))
	_, err = LoadCache(file)
	require.ErrorContains(t, err, "format 1 expected")
}

func TestAPlansWeightStandsBesideWhatTheHostCanDo(t *testing.T) {
	e := lbEndpoint("127.0.0.1", 9, map[string]any{"build": 1, "size": 2500})
	e.LoadBalancingWeight = wrapperspb.UInt32(700)
	h, err := hostOf(e)
	require.NoError(t, err)
	require.Equal(t, 2.5, h.Weight)
	e = lbEndpoint("127.0.0.1", 9, map[string]any{"build": 1})
	e.LoadBalancingWeight = wrapperspb.UInt32(700)
	h, err = hostOf(e)
	require.NoError(t, err)
	require.Equal(t, 0.7, h.Weight)
}
