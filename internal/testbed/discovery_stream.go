package testbed

import (
	"context"
	"maps"
	"strconv"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"

	"dapplefront/internal/eds"
	"dapplefront/policy"
)

// endpointStates holds endpoint states by backend id.
type endpointStates map[uint32]policy.EndpointState

// openStream registers a stream, which closeStream unregisters. It fails with errUnreachable while the server is down.
func (s *DiscoveryServer) openStream() (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return nil, errUnreachable
	}
	open := &stream{changed: make(chan struct{}, 1), done: make(chan struct{})}
	s.streams[open] = true
	return open, nil
}

func (s *DiscoveryServer) closeStream(open *stream) {
	s.mu.Lock()
	delete(s.streams, open)
	s.mu.Unlock()
}

// xdsStream is a gRPC stream of either protocol.
type xdsStream[Request, Response any] interface {
	Context() context.Context
	Recv() (Request, error)
	Send(Response) error
}

// subscription tracks the resources that one router has requested and received on a stream.
type subscription[Request, Response any] interface {
	// handle processes a request. done reports that the request needs no response.
	handle(request Request) (done bool)
	// nextResponse returns the response to send now. ok is false if there is none.
	nextResponse() (response Response, ok bool)
}

// serveStream serves a stream until it ends. After each request that needs a response, and after each change of the list,
// it sends the subscription's next response.
func serveStream[Request, Response any](s *DiscoveryServer, rpc xdsStream[Request, Response],
	router subscription[Request, Response]) error {
	open, err := s.openStream()
	if err != nil {
		return err
	}
	defer s.closeStream(open)
	requests := receiveAll(s, rpc)
	for {
		select {
		case <-open.done:
			return errUnreachable
		case request, ok := <-requests:
			if !ok {
				return nil
			}
			if router.handle(request) {
				continue
			}
		case <-open.changed:
		}
		if response, ok := router.nextResponse(); ok {
			if err := rpc.Send(response); err != nil {
				return err
			}
		}
	}
}

// receiveAll receives the requests of a stream in a goroutine. The returned channel is closed when the stream ends.
func receiveAll[Request, Response any](s *DiscoveryServer, rpc xdsStream[Request, Response]) <-chan Request {
	requests := make(chan Request)
	s.receivers.Add(1)
	go func() {
		defer s.receivers.Done()
		defer close(requests)
		for {
			request, err := rpc.Recv()
			if err != nil {
				return
			}
			select {
			case requests <- request:
			case <-rpc.Context().Done():
				return
			}
		}
	}()
	return requests
}

// StreamEndpoints serves the state-of-the-world protocol: each response contains all resources that the router requests.
func (s *DiscoveryServer) StreamEndpoints(rpc edsv3.EndpointDiscoveryService_StreamEndpointsServer) error {
	return serveStream(s, rpc, &sotwSubscription{server: s, version: -1})
}

// sotwSubscription tracks one router's subscription in the state-of-the-world protocol.
type sotwSubscription struct {
	server       *DiscoveryServer
	router       string
	names        []string // of resources; nil before the first request
	nonce        string   // of the last response
	version      int      // of the last response; -1 before the first
	sent         endpointStates
	acknowledged endpointStates
}

// handle processes a request. A request that acknowledges or rejects the last response needs no response.
func (w *sotwSubscription) handle(request *discoveryv3.DiscoveryRequest) (done bool) {
	if request.GetNode() != nil {
		w.router = request.GetNode().GetId()
	}
	w.names = request.GetResourceNames()
	if request.GetResponseNonce() == "" || request.GetResponseNonce() != w.nonce {
		return false
	}
	if problem := request.GetErrorDetail(); problem != nil {
		w.server.addRejection(problem)
		return true
	}
	w.server.recordAcknowledgement(w.router, w.sent, w.acknowledged)
	w.acknowledged = w.sent
	return true
}

// nextResponse returns the current list, unless it was already sent to the router or the router has not sent a request yet.
func (w *sotwSubscription) nextResponse() (*discoveryv3.DiscoveryResponse, bool) {
	if w.names == nil {
		return nil, false
	}
	w.server.mu.Lock()
	defer w.server.mu.Unlock()
	if w.server.version == w.version {
		return nil, false
	}
	w.version = w.server.version
	versionInfo := strconv.Itoa(w.version)
	w.nonce = newNonce(versionInfo)
	response := &discoveryv3.DiscoveryResponse{VersionInfo: versionInfo, TypeUrl: eds.TypeURL, Nonce: w.nonce}
	w.sent = endpointStates{}
	for _, name := range w.names {
		resource, states := w.server.resource(name)
		response.Resources = append(response.Resources, resource)
		maps.Copy(w.sent, states)
	}
	return response, true
}

// DeltaEndpoints serves the incremental protocol: each response contains the resources that have changed. At most one
// response at a time waits for an acknowledgement or rejection by the router.
func (s *DiscoveryServer) DeltaEndpoints(rpc edsv3.EndpointDiscoveryService_DeltaEndpointsServer) error {
	return serveStream(s, rpc, &deltaSubscription{
		server: s, names: map[string]bool{}, versions: map[string]int{}, acknowledged: map[string]endpointStates{},
	})
}

// deltaSubscription tracks one router's subscription in the incremental protocol.
type deltaSubscription struct {
	server       *DiscoveryServer
	router       string
	names        map[string]bool           // of resources
	versions     map[string]int            // by resource: the version that the router has, or that was sent to it
	nonce        string                    // of the response that waits for an ACK or NACK; empty if there is none
	responded    bool                      // the first response was sent
	sent         map[string]endpointStates // by resource, in the last response
	acknowledged map[string]endpointStates // by resource
}

// handle processes a request, which may acknowledge or reject the last response. A request with the nonce of an earlier
// response needs no response.
func (d *deltaSubscription) handle(request *discoveryv3.DeltaDiscoveryRequest) (done bool) {
	if request.GetNode() != nil {
		d.router = request.GetNode().GetId()
	}
	for _, name := range request.GetResourceNamesSubscribe() {
		d.names[name] = true
	}
	for name, version := range request.GetInitialResourceVersions() {
		d.versions[name], _ = strconv.Atoi(version) // a version that is not a number becomes 0, which is older than any change
	}
	if request.GetResponseNonce() == "" {
		return false
	}
	if request.GetResponseNonce() != d.nonce {
		return true
	}
	d.nonce = ""
	if problem := request.GetErrorDetail(); problem != nil {
		d.server.addRejection(problem)
		return false
	}
	for name, states := range d.sent {
		d.server.recordAcknowledgement(d.router, states, d.acknowledged[name])
		d.acknowledged[name] = states
	}
	return false
}

// nextResponse returns the changes for the router, unless there are none or a response still waits for an acknowledgement
// or rejection. The first response is sent even if it is empty.
func (d *deltaSubscription) nextResponse() (*discoveryv3.DeltaDiscoveryResponse, bool) {
	if d.nonce != "" || len(d.names) == 0 {
		return nil, false
	}
	response := d.changes()
	if len(response.Resources) == 0 && d.responded {
		return nil, false
	}
	d.responded = true
	d.nonce = newNonce(response.SystemVersionInfo)
	response.Nonce = d.nonce
	return response, true
}

// changes returns a response with the resources whose current version the router doesn't have.
func (d *deltaSubscription) changes() *discoveryv3.DeltaDiscoveryResponse {
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	response := &discoveryv3.DeltaDiscoveryResponse{
		TypeUrl: eds.TypeURL, SystemVersionInfo: strconv.Itoa(d.server.version),
	}
	d.sent = map[string]endpointStates{}
	for name := range d.names {
		current := d.server.changedAt[name]
		if version, ok := d.versions[name]; ok && version == current {
			continue
		}
		resource, states := d.server.resource(name)
		response.Resources = append(response.Resources, &discoveryv3.Resource{
			Name: name, Version: strconv.Itoa(current), Resource: resource,
		})
		d.versions[name], d.sent[name] = current, states
	}
	return response
}

// recordAcknowledgement records that a router has acknowledged states. earlier holds the states that it acknowledged before;
// endpoints that are only in earlier are recorded as removed.
func (s *DiscoveryServer) recordAcknowledgement(router string, states, earlier endpointStates) {
	if s.recorder == nil {
		return
	}
	known := map[uint32]policy.EndpointState{}
	for id := range earlier {
		known[id] = policy.Removed
	}
	maps.Copy(known, states)
	s.recorder.EndpointsAcknowledged(router, known)
}

func (s *DiscoveryServer) addRejection(problem *rpcstatus.Status) {
	s.mu.Lock()
	s.rejected = append(s.rejected, problem.GetMessage())
	s.mu.Unlock()
}

// newNonce returns a nonce that no earlier response has used.
func newNonce(version string) string {
	return "n" + version + "-" + strconv.FormatInt(time.Now().UnixNano(), 10)
}
