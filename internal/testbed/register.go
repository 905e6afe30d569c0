package testbed

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"dapplefront/internal/audit"
	"dapplefront/internal/eds"
	"dapplefront/plan"
	"dapplefront/policy"
)

// Endpoint is one host in the list.
type Endpoint struct {
	Backend *Backend
	State   policy.EndpointState
}

// DiscoveryServer is a stand-in for the host list: EDS over gRPC, one resource for each location, whole lists and changes.
type DiscoveryServer struct {
	edsv3.UnimplementedEndpointDiscoveryServiceServer
	recorder *audit.Recorder
	server   *grpc.Server
	address  string
	group    string

	mu      sync.Mutex
	entries map[uint32]Endpoint
	version int
	changed map[string]int // by resource, the version that it changed in
	wakeups map[chan struct{}]bool
	down    bool
	streams map[chan struct{}]bool // streams, to cut
	corrupt func(*endpointv3.ClusterLoadAssignment)
	weights map[string]uint64 // of a plan, by host id in decimals; nil for none
	// Rejected are the reasons with which routers turned versions down.
	rejected []string
}

// StartDiscovery serves the list of a group of hosts; book may be nil.
func StartDiscovery(address, group string, book *audit.Recorder) (*DiscoveryServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	r := &DiscoveryServer{recorder: book, server: grpc.NewServer(), address: l.Addr().String(), group: group,
		entries: map[uint32]Endpoint{}, changed: map[string]int{}, wakeups: map[chan struct{}]bool{},
		streams: map[chan struct{}]bool{}}
	edsv3.RegisterEndpointDiscoveryServiceServer(r.server, r)
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// Address is where it listens.
func (r *DiscoveryServer) Address() string { return r.address }

// Resources are the resources of the locations.
func (r *DiscoveryServer) Resources(locations []string) (names []string) {
	for _, l := range locations {
		names = append(names, r.group+"/"+l)
	}
	return names
}

// Stop ends it.
func (r *DiscoveryServer) Stop() { r.server.Stop() }

// Set changes or adds entries; those that are gone are dropped from the list.
func (r *DiscoveryServer) Set(entries ...Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	for _, e := range entries {
		if e.State == policy.Removed {
			delete(r.entries, e.Backend.ID)
		} else {
			r.entries[e.Backend.ID] = e
		}
		r.changed[r.group+"/"+e.Backend.Zone] = r.version
	}
	r.wake()
}

// SetWeights gives hosts the weights of a plan for the routers of their own location, so that any client of the list that goes
// by weights follows it.
func (r *DiscoveryServer) SetWeights(p *plan.Published) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.weights = map[string]uint64{}
	for _, w := range p.ByZone {
		for name, n := range w.Local {
			r.weights[name] = n
		}
	}
	for name := range r.changed {
		r.changed[name] = r.version
	}
	r.wake()
}

// Clear empties the list.
func (r *DiscoveryServer) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	clear(r.entries)
	for name := range r.changed {
		r.changed[name] = r.version
	}
	r.wake()
}

// SetCorruption makes all lists wrong from now on, or right again with nil.
func (r *DiscoveryServer) SetCorruption(how func(*endpointv3.ClusterLoadAssignment)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.corrupt = how
	r.version++
	for name := range r.changed {
		r.changed[name] = r.version
	}
	r.wake()
}

// Rejected are the reasons with which routers turned versions down.
func (r *DiscoveryServer) Rejected() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.rejected...)
}

// SetDown cuts all streams and refuses new ones, or takes them again.
func (r *DiscoveryServer) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down = down; down {
		for cut := range r.streams {
			close(cut)
			delete(r.streams, cut)
		}
	}
}

func (r *DiscoveryServer) wake() {
	for w := range r.wakeups {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// openStream starts a stream: news comes on wake, cut ends it.
func (r *DiscoveryServer) openStream() (wake, cut chan struct{}, leave func(), err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, nil, nil, status.Error(codes.Unavailable, "out of reach")
	}
	wake, cut = make(chan struct{}, 1), make(chan struct{})
	r.wakeups[wake], r.streams[cut] = true, true
	return wake, cut, func() {
		r.mu.Lock()
		delete(r.wakeups, wake)
		delete(r.streams, cut)
		r.mu.Unlock()
	}, nil
}

// resource is one location's list, with the standings in it.
func (r *DiscoveryServer) resource(name string) (*anypb.Any, map[uint32]policy.EndpointState) {
	a := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	standing := map[uint32]policy.EndpointState{}
	byPlace := map[string]*endpointv3.LocalityLbEndpoints{}
	for id, e := range r.entries {
		if r.group+"/"+e.Backend.Zone != name {
			continue
		}
		standing[id] = e.State
		l := byPlace[e.Backend.Zone]
		if l == nil {
			l = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: e.Backend.Zone}}
			byPlace[e.Backend.Zone] = l
			a.Endpoints = append(a.Endpoints, l)
		}
		l.LbEndpoints = append(l.LbEndpoints, r.endpoint(e))
	}
	if r.corrupt != nil {
		r.corrupt(a)
	}
	raw, err := anypb.New(a)
	if err != nil {
		panic(err) // a message of our own making
	}
	return raw, standing
}

func (r *DiscoveryServer) endpoint(e Endpoint) *endpointv3.LbEndpoint {
	host, port, _ := net.SplitHostPort(e.Backend.Address())
	n, _ := strconv.Atoi(port)
	health := corev3.HealthStatus_HEALTHY
	if e.State == policy.Draining {
		health = corev3.HealthStatus_DRAINING
	}
	up := 0.0
	if !e.Backend.StartedAt.IsZero() {
		up = float64(e.Backend.StartedAt.UnixMilli())
	}
	fields := map[string]*structpb.Value{"build": structpb.NewNumberValue(float64(e.Backend.Build.Number)),
		"up": structpb.NewNumberValue(up), "cell": structpb.NewNumberValue(float64(e.Backend.Cell)),
		"id": structpb.NewNumberValue(float64(e.Backend.ID))}
	size := uint32(1000 * float64(e.Backend.Cores) * e.Backend.Speed)
	weight := size
	if w, ok := r.weights[strconv.FormatUint(uint64(e.Backend.ID), 10)]; ok {
		weight = uint32(min(max(1, w/1000), math.MaxUint32))
		fields["size"] = structpb.NewNumberValue(float64(size))
	}
	return &endpointv3.LbEndpoint{HealthStatus: health,
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
			Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
				PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}}},
		LoadBalancingWeight: wrapperspb.UInt32(weight),
		Metadata:            &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{eds.Metadata: {Fields: fields}}}}
}

// acknowledged notes what a router is now known to have been told.
func (r *DiscoveryServer) acknowledged(router string, sent map[uint32]policy.EndpointState, was map[uint32]policy.EndpointState) {
	if r.recorder == nil {
		return
	}
	now := map[uint32]policy.EndpointState{}
	for id := range was {
		now[id] = policy.Removed
	}
	for id, s := range sent {
		now[id] = s
	}
	r.recorder.EndpointsAcknowledged(router, now)
}

// StreamEndpoints speaks the state-of-the-world protocol.
func (r *DiscoveryServer) StreamEndpoints(s edsv3.EndpointDiscoveryService_StreamEndpointsServer) error {
	wake, cut, leave, err := r.openStream()
	if err != nil {
		return err
	}
	defer leave()
	asks := make(chan *discoveryv3.DiscoveryRequest)
	go receive(s.Context().Done(), s.Recv, asks)
	var router string
	var names []string
	var sent, held map[uint32]policy.EndpointState
	nonce, version := "", -1
	for {
		select {
		case <-cut:
			return status.Error(codes.Unavailable, "out of reach")
		case ask, ok := <-asks:
			if !ok {
				return nil
			}
			if ask.GetNode() != nil {
				router = ask.GetNode().GetId()
			}
			names = ask.GetResourceNames()
			if ask.GetResponseNonce() != "" && ask.GetResponseNonce() == nonce {
				if ask.GetErrorDetail() == nil {
					r.acknowledged(router, sent, held)
					held = sent
				} else {
					r.rejectedBy(ask.GetErrorDetail().GetMessage())
				}
				continue
			}
		case <-wake:
		}
		if names == nil {
			continue
		}
		r.mu.Lock()
		if r.version == version {
			r.mu.Unlock()
			continue
		}
		version = r.version
		out := &discoveryv3.DiscoveryResponse{VersionInfo: strconv.Itoa(version), TypeUrl: eds.TypeURL,
			Nonce: fmt.Sprint("n", version, "-", time.Now().UnixNano())}
		sent = map[uint32]policy.EndpointState{}
		for _, name := range names {
			raw, standing := r.resource(name)
			out.Resources = append(out.Resources, raw)
			for id, st := range standing {
				sent[id] = st
			}
		}
		r.mu.Unlock()
		nonce = out.Nonce
		if err := s.Send(out); err != nil {
			return err
		}
	}
}

// DeltaEndpoints speaks the incremental protocol.
func (r *DiscoveryServer) DeltaEndpoints(s edsv3.EndpointDiscoveryService_DeltaEndpointsServer) error {
	wake, cut, leave, err := r.openStream()
	if err != nil {
		return err
	}
	defer leave()
	asks := make(chan *discoveryv3.DeltaDiscoveryRequest)
	go receive(s.Context().Done(), s.Recv, asks)
	var router, nonce string
	names := map[string]bool{}
	has := map[string]int{}
	var pending map[string]map[uint32]policy.EndpointState
	held := map[string]map[uint32]policy.EndpointState{}
	first := true
	for {
		select {
		case <-cut:
			return status.Error(codes.Unavailable, "out of reach")
		case ask, ok := <-asks:
			if !ok {
				return nil
			}
			if ask.GetNode() != nil {
				router = ask.GetNode().GetId()
			}
			for _, n := range ask.GetResourceNamesSubscribe() {
				names[n] = true
			}
			for n, v := range ask.GetInitialResourceVersions() {
				has[n], _ = strconv.Atoi(v)
			}
			if ask.GetResponseNonce() != "" && ask.GetResponseNonce() == nonce {
				if ask.GetErrorDetail() != nil {
					r.rejectedBy(ask.GetErrorDetail().GetMessage())
				} else {
					for name, standing := range pending {
						r.acknowledged(router, standing, held[name])
						held[name] = standing
					}
				}
				nonce = ""
			} else if ask.GetResponseNonce() != "" {
				continue
			}
		case <-wake:
		}
		if nonce != "" || len(names) == 0 { // one at a time
			continue
		}
		out := &discoveryv3.DeltaDiscoveryResponse{TypeUrl: eds.TypeURL}
		r.mu.Lock()
		pending = map[string]map[uint32]policy.EndpointState{}
		for name := range names {
			v, ok := has[name]
			if ok && v == r.changed[name] {
				continue
			}
			raw, standing := r.resource(name)
			out.Resources = append(out.Resources, &discoveryv3.Resource{Name: name, Version: strconv.Itoa(r.changed[name]),
				Resource: raw})
			has[name], pending[name] = r.changed[name], standing
		}
		out.SystemVersionInfo = strconv.Itoa(r.version)
		r.mu.Unlock()
		if len(out.Resources) == 0 && !first {
			continue
		}
		first = false
		nonce = fmt.Sprint("n", out.SystemVersionInfo, "-", time.Now().UnixNano())
		out.Nonce = nonce
		if err := s.Send(out); err != nil {
			return err
		}
	}
}

func (r *DiscoveryServer) rejectedBy(why string) {
	r.mu.Lock()
	r.rejected = append(r.rejected, why)
	r.mu.Unlock()
}

func receive[T proto.Message](done <-chan struct{}, recv func() (T, error), to chan<- T) {
	defer close(to)
	for {
		m, err := recv()
		if err != nil {
			return
		}
		select {
		case to <- m:
		case <-done:
			return
		}
	}
}
