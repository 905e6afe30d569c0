package eds

import (
	"context"
	"errors"
	"fmt"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"

	"dapplefront/internal/endpoint"
)

// streamEndpoints runs the state-of-the-world protocol until the stream ends. It stops a timer at the first response.
func (w *Watch) streamEndpoints(ctx context.Context, responded *time.Timer) error {
	stream, err := edsv3.NewEndpointDiscoveryServiceClient(w.conn).StreamEndpoints(ctx)
	if err != nil {
		return err
	}
	acceptedVersion := "" // the last version that was accepted on this stream
	request := &discoveryv3.DiscoveryRequest{Node: w.node(), ResourceNames: w.resourceNames, TypeUrl: TypeURL}
	for {
		if err := stream.Send(request); err != nil && !errors.Is(err, context.Canceled) {
			_, err = stream.Recv() // returns the cause
			return err
		}
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		responded.Stop()
		request = &discoveryv3.DiscoveryRequest{ResourceNames: w.resourceNames, TypeUrl: TypeURL, ResponseNonce: response.GetNonce()}
		if err := w.acceptComplete(response); err != nil {
			request.ErrorDetail = errorDetail(err)
			w.handler.Rejected(fmt.Errorf("version %q: %w", response.GetVersionInfo(), err))
		} else {
			acceptedVersion = response.GetVersionInfo()
			w.handler.Updated(true, w.list.all())
		}
		request.VersionInfo = acceptedVersion
	}
}

// acceptComplete applies a response completely or, if it returns an error, not at all.
func (w *Watch) acceptComplete(response *discoveryv3.DiscoveryResponse) error {
	changed := map[string]resource{}
	for i, raw := range response.GetResources() {
		name, r, err := unpack(raw, response.GetVersionInfo())
		if err != nil {
			return fmt.Errorf("resources[%d]: %w", i, err)
		}
		changed[name] = r
	}
	_, err := w.list.put(changed, nil)
	return err
}

// deltaEndpoints runs the incremental protocol until the stream ends. It stops a timer at the first response.
func (w *Watch) deltaEndpoints(ctx context.Context, responded *time.Timer) error {
	stream, err := edsv3.NewEndpointDiscoveryServiceClient(w.conn).DeltaEndpoints(ctx)
	if err != nil {
		return err
	}
	versions := map[string]string{}
	for name, r := range w.list.resources {
		versions[name] = r.version
	}
	if len(versions) > 0 { // no response is due if these versions are current
		responded.Stop()
	}
	request := &discoveryv3.DeltaDiscoveryRequest{Node: w.node(), TypeUrl: TypeURL, ResourceNamesSubscribe: w.resourceNames,
		InitialResourceVersions: versions}
	first := true
	for {
		if err := stream.Send(request); err != nil && !errors.Is(err, context.Canceled) {
			_, err = stream.Recv() // returns the cause
			return err
		}
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		responded.Stop()
		request = &discoveryv3.DeltaDiscoveryRequest{TypeUrl: TypeURL, ResponseNonce: response.GetNonce()}
		hosts, err := w.acceptDelta(response)
		if err != nil {
			request.ErrorDetail = errorDetail(err)
			w.handler.Rejected(fmt.Errorf("version %q: %w", response.GetSystemVersionInfo(), err))
			continue
		}
		if first {
			hosts = w.list.all() // so that the caller doesn't miss hosts that were removed before the stream was opened
		}
		w.handler.Updated(first, hosts)
		first = false
	}
}

// acceptDelta applies a response completely or, if it returns an error, not at all. It returns the hosts that changed.
func (w *Watch) acceptDelta(response *discoveryv3.DeltaDiscoveryResponse) ([]endpoint.Host, error) {
	changed := map[string]resource{}
	for i, raw := range response.GetResources() {
		name, r, err := unpack(raw.GetResource(), raw.GetVersion())
		if err == nil && name != raw.GetName() {
			err = fmt.Errorf("named %q, but its cluster_name is %q", raw.GetName(), name)
		}
		if err != nil {
			return nil, fmt.Errorf("resources[%d]: %w", i, err)
		}
		changed[name] = r
	}
	return w.list.put(changed, response.GetRemovedResources())
}

// errorDetail returns the error detail of a rejection (NACK).
func errorDetail(err error) *rpcstatus.Status {
	return &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: err.Error()}
}
