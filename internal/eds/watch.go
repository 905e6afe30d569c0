// Package eds follows the host list: xDS endpoint discovery (EDS) over gRPC, by whole lists (state of the
// world) or by changes (incremental). A version that makes no sense is turned down with a reason and the last good
// list stays; a watch that breaks is told and not taken up again until someone asks, as when to ask is the module's
// decision. A watch that is taken up says which versions it holds.
package eds

import (
	"context"
	"errors"
	"fmt"
	"sync"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/anypb"
)

// TypeURL is the type of the resources.
const TypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// Handler is what a watch tells.
type Handler struct {
	Listed   func(whole bool, hosts []Host) // a version was accepted; called before it is acknowledged
	Rejected func(err error)                // a version was turned down
	Failed   func(err error)                // the watch has ended
}

// Watch follows one register for one router. Its functions are called one at a time, from goroutines of its own.
type Watch struct {
	address       string
	nodeID        string
	resourceNames []string
	incremental   bool
	handler       Handler

	mu     sync.Mutex
	conn   *grpc.ClientConn
	cancel context.CancelFunc // of the stream that stands
	done   chan struct{}
	list   *endpointList
	closed bool
}

// New prepares a watch of the named resources; Ask starts it.
func New(address, node string, names []string, changes bool, hear Handler) (*Watch, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, fmt.Errorf("register at %s: %w", address, err)
	}
	return &Watch{address: address, nodeID: node, resourceNames: names, incremental: changes, handler: hear, conn: conn,
		list: newEndpointList()}, nil
}

// Ask starts or resumes the watch. While one stands it does nothing.
func (w *Watch) Ask() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	w.cancel, w.done = cancel, done
	w.conn.ResetConnectBackoff() // when to try is decided elsewhere
	go func() {
		defer close(done)
		var err error
		if w.incremental {
			err = w.deltaEndpoints(ctx)
		} else {
			err = w.streamEndpoints(ctx)
		}
		w.mu.Lock()
		w.cancel = nil
		closed := w.closed
		w.mu.Unlock()
		cancel()
		if !closed {
			w.handler.Failed(err)
		}
	}()
}

// Close ends the watch for good and waits for its functions to return.
func (w *Watch) Close() {
	w.mu.Lock()
	w.closed = true
	done := w.done
	if w.cancel != nil {
		w.cancel()
	}
	w.mu.Unlock()
	_ = w.conn.Close()
	if done != nil {
		<-done
	}
}

func (w *Watch) node() *corev3.Node { return &corev3.Node{Id: w.nodeID, UserAgentName: "dapplefront"} }

func errorDetail(err error) *rpcstatus.Status {
	return &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: err.Error()}
}

// streamEndpoints speaks the state-of-the-world protocol.
func (w *Watch) streamEndpoints(ctx context.Context) error {
	stream, err := edsv3.NewEndpointDiscoveryServiceClient(w.conn).StreamEndpoints(ctx)
	if err != nil {
		return err
	}
	held := "" // the version of the last list accepted on this stream
	ask := &discoveryv3.DiscoveryRequest{Node: w.node(), ResourceNames: w.resourceNames, TypeUrl: TypeURL}
	for {
		if err := stream.Send(ask); err != nil && !errors.Is(err, context.Canceled) {
			_, err = stream.Recv() // which tells why
			return err
		}
		got, err := stream.Recv()
		if err != nil {
			return err
		}
		ask = &discoveryv3.DiscoveryRequest{ResourceNames: w.resourceNames, TypeUrl: TypeURL, ResponseNonce: got.GetNonce()}
		changed := map[string]resource{}
		for i, raw := range got.GetResources() {
			name, r, err2 := unpack(raw, got.GetVersionInfo())
			if err2 != nil {
				err = fmt.Errorf("resources[%d]: %w", i, err2)
				break
			}
			changed[name] = r
		}
		if err == nil {
			_, err = w.list.put(changed, nil)
		}
		if err != nil {
			ask.ErrorDetail = errorDetail(err)
			w.handler.Rejected(fmt.Errorf("version %q: %w", got.GetVersionInfo(), err))
		} else {
			held = got.GetVersionInfo()
			w.handler.Listed(true, w.list.all())
		}
		ask.VersionInfo = held
	}
}

// deltaEndpoints speaks the incremental protocol.
func (w *Watch) deltaEndpoints(ctx context.Context) error {
	stream, err := edsv3.NewEndpointDiscoveryServiceClient(w.conn).DeltaEndpoints(ctx)
	if err != nil {
		return err
	}
	held := map[string]string{}
	for name, r := range w.list.resources {
		held[name] = r.version
	}
	ask := &discoveryv3.DeltaDiscoveryRequest{Node: w.node(), TypeUrl: TypeURL, ResourceNamesSubscribe: w.resourceNames,
		InitialResourceVersions: held}
	first := true
	for {
		if err := stream.Send(ask); err != nil && !errors.Is(err, context.Canceled) {
			_, err = stream.Recv()
			return err
		}
		got, err := stream.Recv()
		if err != nil {
			return err
		}
		ask = &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL, ResponseNonce: got.GetNonce()}
		changed := map[string]resource{}
		for i, raw := range got.GetResources() {
			name, r, err2 := unpack(raw.GetResource(), raw.GetVersion())
			if err2 == nil && name != raw.GetName() {
				err2 = fmt.Errorf("named %q, but its cluster_name is %q", raw.GetName(), name)
			}
			if err2 != nil {
				err = fmt.Errorf("resources[%d]: %w", i, err2)
				break
			}
			changed[name] = r
		}
		var hosts []Host
		if err == nil {
			hosts, err = w.list.put(changed, got.GetRemovedResources())
		}
		if err != nil {
			ask.ErrorDetail = errorDetail(err)
			w.handler.Rejected(fmt.Errorf("version %q: %w", got.GetSystemVersionInfo(), err))
			continue
		}
		if first {
			hosts = w.list.all() // whoever resumes must not miss what left meanwhile
		}
		w.handler.Listed(first, hosts)
		first = false
	}
}

func unpack(raw *anypb.Any, version string) (string, resource, error) {
	a := &endpointv3.ClusterLoadAssignment{}
	if raw.GetTypeUrl() != TypeURL {
		return "", resource{}, fmt.Errorf("type %s expected, not %q", TypeURL, raw.GetTypeUrl())
	}
	if err := raw.UnmarshalTo(a); err != nil {
		return "", resource{}, err
	}
	hosts, err := hostsOf(a)
	return a.GetClusterName(), resource{version, hosts}, err
}
