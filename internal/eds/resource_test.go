package eds

import (
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func lbEndpoint(ip string, port uint32, fields map[string]any) *endpointv3.LbEndpoint {
	meta, _ := structpb.NewStruct(fields)
	return &endpointv3.LbEndpoint{Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{Metadata: meta}},
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
			Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: ip,
				PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: port}}}}}}}
}

func TestHostsOf_NamesPositionOfInvalidEndpoint(t *testing.T) {
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

func TestHostOf_SizeOverridesLoadBalancingWeight(t *testing.T) {
	e := lbEndpoint("127.0.0.1", 9, map[string]any{"build": 1, "size": 2500})
	e.LoadBalancingWeight = wrapperspb.UInt32(700)
	h, err := hostOf(e)
	require.NoError(t, err)
	require.InDelta(t, 2.5, h.Weight, 0)
	e = lbEndpoint("127.0.0.1", 9, map[string]any{"build": 1})
	e.LoadBalancingWeight = wrapperspb.UInt32(700)
	h, err = hostOf(e)
	require.NoError(t, err)
	require.InDelta(t, 0.7, h.Weight, 0)
}
