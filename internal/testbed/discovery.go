package testbed

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"strconv"
	"sync"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"dapplefront/internal/audit"
	"dapplefront/internal/eds"
	"dapplefront/plan"
	"dapplefront/policy"
)

const (
	weightPerCapacity = 1000 // endpoint weight of a backend with one core of speed 1
	planWeightUnit    = 1000 // weight in a plan that equals an endpoint weight of 1
)

// Endpoint is one backend in the endpoint list.
type Endpoint struct {
	Backend *Backend
	State   policy.EndpointState
}

// DiscoveryServer is an xDS server for the endpoints (EDS) of a group of backends, with one resource per zone. It supports
// both the state-of-the-world and the incremental protocol.
type DiscoveryServer struct {
	edsv3.UnimplementedEndpointDiscoveryServiceServer
	recorder *audit.Recorder // nil for none
	server   *grpc.Server
	served   chan struct{} // closed when no more connections are accepted
	address  string
	group    string

	receivers sync.WaitGroup // one goroutine per stream

	mu          sync.Mutex
	endpoints   map[uint32]Endpoint // by backend id
	version     int
	changedAt   map[string]int // by resource: the version that last changed it
	streams     map[*stream]bool
	unreachable bool
	corrupt     func(*endpointv3.ClusterLoadAssignment) // nil for none
	weights     map[string]uint64                       // from a plan, by backend id in decimal; nil without a plan
	rejected    []string                                // reasons of NACKs
}

// stream is the server's state of one open stream.
type stream struct {
	changed chan struct{} // holds a value if the list may have changed
	done    chan struct{} // closed to end the stream
}

// errUnreachable is the status of streams that end, or are refused, while the server is down.
var errUnreachable = status.Error(codes.Unavailable, "out of reach")

// StartDiscovery starts a server with an empty endpoint list for a group of backends. If recorder is not nil, it records the
// endpoint states that routers acknowledge.
func StartDiscovery(address, group string, recorder *audit.Recorder) (*DiscoveryServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("endpoint discovery: %w", err)
	}
	s := &DiscoveryServer{
		recorder: recorder, server: grpc.NewServer(grpc.WaitForHandlers(true)), served: make(chan struct{}),
		address: listener.Addr().String(), group: group, endpoints: map[uint32]Endpoint{}, changedAt: map[string]int{},
		streams: map[*stream]bool{},
	}
	edsv3.RegisterEndpointDiscoveryServiceServer(s.server, s)
	go func() {
		defer close(s.served)
		if err := s.server.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			slog.Warn("testbed: endpoint discovery server stopped unexpectedly", "address", s.address, "error", err)
		}
	}()
	return s, nil
}

// Address returns the host and port that the server listens on.
func (s *DiscoveryServer) Address() string { return s.address }

// Resources returns the resource names of the given zones, in the same order.
func (s *DiscoveryServer) Resources(zones []string) []string {
	var names []string
	for _, zone := range zones {
		names = append(names, s.resourceName(zone))
	}
	return names
}

func (s *DiscoveryServer) resourceName(zone string) string { return s.group + "/" + zone }

// Stop ends all streams and the server, and waits until their goroutines have returned.
func (s *DiscoveryServer) Stop() {
	s.server.Stop()
	<-s.served
	s.receivers.Wait()
}

// Set adds endpoints or changes their states. It removes those whose state is policy.Removed.
func (s *DiscoveryServer) Set(endpoints ...Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, e := range endpoints {
		if e.State == policy.Removed {
			delete(s.endpoints, e.Backend.ID)
		} else {
			s.endpoints[e.Backend.ID] = e
		}
		s.changedAt[s.resourceName(e.Backend.Zone)] = s.version
	}
	s.notifyStreams()
}

// SetWeights sets the weight of each backend to the weight that a plan has for it in its own zone, so that any xDS client
// that balances by weight follows the plan.
func (s *DiscoveryServer) SetWeights(p *plan.Published) {
	s.changeAll(func() {
		s.weights = map[string]uint64{}
		for _, w := range p.ByZone {
			for id, weight := range w.Local {
				s.weights[id] = weight
			}
		}
	})
}

// Clear removes all endpoints.
func (s *DiscoveryServer) Clear() { s.changeAll(func() { clear(s.endpoints) }) }

// SetCorruption sets a function that modifies each resource sent from now on; nil means that resources are sent unmodified.
// It makes a new version of all resources, which is sent to all routers.
func (s *DiscoveryServer) SetCorruption(corrupt func(*endpointv3.ClusterLoadAssignment)) {
	s.changeAll(func() { s.corrupt = corrupt })
}

// changeAll makes a change that affects all resources.
func (s *DiscoveryServer) changeAll(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.version++
	for name := range s.changedAt {
		s.changedAt[name] = s.version
	}
	s.notifyStreams()
}

// Rejected returns the reasons with which routers have rejected versions (NACK), in the order of receipt.
func (s *DiscoveryServer) Rejected() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.rejected...)
}

// SetDown starts or ends a simulated outage. The start ends all streams; new streams are refused until the end.
func (s *DiscoveryServer) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable = down; down {
		for open := range s.streams {
			close(open.done)
			delete(s.streams, open)
		}
	}
}

// notifyStreams makes all streams check for changes. The caller holds s.mu.
func (s *DiscoveryServer) notifyStreams() {
	for open := range s.streams {
		select {
		case open.changed <- struct{}{}:
		default:
		}
	}
}

// resource returns the resource with a name, which lists the endpoints of one zone, and the states in it. The caller holds
// s.mu.
func (s *DiscoveryServer) resource(name string) (*anypb.Any, endpointStates) {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	states := endpointStates{}
	var locality *endpointv3.LocalityLbEndpoints // at most one, as a resource covers one zone
	for id, e := range s.endpoints {
		if s.resourceName(e.Backend.Zone) != name {
			continue
		}
		states[id] = e.State
		if locality == nil {
			locality = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: e.Backend.Zone}}
			assignment.Endpoints = append(assignment.Endpoints, locality)
		}
		locality.LbEndpoints = append(locality.LbEndpoints, s.endpoint(e))
	}
	if s.corrupt != nil {
		s.corrupt(assignment)
	}
	resource, err := anypb.New(assignment)
	if err != nil {
		panic(err) // can't happen: a message that this function builds
	}
	return resource, states
}

// endpoint returns an endpoint in xDS form. The caller holds s.mu.
func (s *DiscoveryServer) endpoint(e Endpoint) *endpointv3.LbEndpoint {
	host, portText, _ := net.SplitHostPort(e.Backend.Address()) // always a host and a port
	port, _ := strconv.Atoi(portText)
	health := corev3.HealthStatus_HEALTHY
	if e.State == policy.Draining {
		health = corev3.HealthStatus_DRAINING
	}
	startedAt := 0.0
	if !e.Backend.StartedAt.IsZero() {
		startedAt = float64(e.Backend.StartedAt.UnixMilli())
	}
	metadata := map[string]*structpb.Value{
		"build": structpb.NewNumberValue(float64(e.Backend.Build.Number)),
		"up":    structpb.NewNumberValue(startedAt),
		"cell":  structpb.NewNumberValue(float64(e.Backend.Cell)),
		"id":    structpb.NewNumberValue(float64(e.Backend.ID)),
	}
	size := uint32(weightPerCapacity * float64(e.Backend.Cores) * e.Backend.Speed)
	weight := size
	if w, ok := s.weights[strconv.FormatUint(uint64(e.Backend.ID), 10)]; ok {
		weight = uint32(min(max(1, w/planWeightUnit), math.MaxUint32))
		metadata["size"] = structpb.NewNumberValue(float64(size))
	}
	return &endpointv3.LbEndpoint{
		HealthStatus: health,
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
			Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
				Address:       host,
				PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(port)},
			}},
		}}},
		LoadBalancingWeight: wrapperspb.UInt32(weight),
		Metadata:            &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{eds.Metadata: {Fields: metadata}}},
	}
}
