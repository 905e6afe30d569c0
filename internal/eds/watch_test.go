package eds

import (
	"net"
	"testing"
	"time"

	edsv3 "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"dapplefront/internal/endpoint"
	"dapplefront/policy"
)

// silentService accepts streams and never responds.
type silentService struct {
	edsv3.UnimplementedEndpointDiscoveryServiceServer
}

func (silentService) StreamEndpoints(stream edsv3.EndpointDiscoveryService_StreamEndpointsServer) error {
	<-stream.Context().Done()
	return nil
}

func (silentService) DeltaEndpoints(stream edsv3.EndpointDiscoveryService_DeltaEndpointsServer) error {
	<-stream.Context().Done()
	return nil
}

// Guards against a watch that waits for ever for a service that accepts connections or streams and does not respond: it fails in
// time for the next call, and can be subscribed again.
func TestWatch_FailsIfServiceDoesNotRespond(t *testing.T) {
	for name, serve := range map[string]func(net.Listener){
		"no handshake": func(net.Listener) {},
		"no response": func(l net.Listener) {
			server := grpc.NewServer()
			edsv3.RegisterEndpointDiscoveryServiceServer(server, silentService{})
			go func() { _ = server.Serve(l) }()
			t.Cleanup(server.Stop)
		},
	} {
		for protocol, incremental := range map[string]bool{"complete": false, "incremental": true} {
			t.Run(name+", "+protocol, func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				t.Cleanup(func() { _ = l.Close() })
				serve(l)
				failed := make(chan error, 10)
				w, err := New(l.Addr().String(), "r1", []string{"a"}, incremental, endpoint.Handler{
					Updated:  func(bool, []endpoint.Host) {},
					Rejected: func(error) {},
					Failed:   func(err error) { failed <- err },
				})
				require.NoError(t, err)
				t.Cleanup(w.Close)
				for range 2 {
					w.Subscribe()
					select {
					case err := <-failed:
						require.Error(t, err)
					case <-time.After(firstResponseTimeout + 3*time.Second):
						t.Fatal("the watch still waits")
					}
				}
			})
		}
	}
}

// The next call after a failed one has its response, or fails, within the time after which changes count as received.
func TestWatch_RespondsOrFailsBeforeChangesAreAssumedReceived(t *testing.T) {
	const assumedReceivedAfter = 6 * time.Second
	const tick = time.Second / time.Duration(policy.Second)
	require.LessOrEqual(t, time.Duration(policy.MaxPollBackoff)*tick+firstResponseTimeout, assumedReceivedAfter)
	require.Less(t, connectTimeout, firstResponseTimeout)
	require.Less(t, keepAlive.Idle+time.Duration(keepAlive.Count)*keepAlive.Interval, assumedReceivedAfter)
}
