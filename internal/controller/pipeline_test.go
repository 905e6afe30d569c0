package controller

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// newLoopbackTransport returns a transport on a free loopback port.
func newLoopbackTransport(t *testing.T) *raft.NetworkTransport {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	transport := raft.NewNetworkTransport(tcpStreamLayer{l}, transportPool, transportTimeout, io.Discard)
	t.Cleanup(func() { _ = transport.Close() })
	return transport
}

// respondToAppendEntries responds to the requests to a follower's transport: successfully to the first ones, unsuccessfully to
// all later ones.
func respondToAppendEntries(t *testing.T, follower *raft.NetworkTransport, successes int) {
	t.Helper()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for n := 0; ; n++ {
			select {
			case rpc := <-follower.Consumer():
				rpc.Respond(&raft.AppendEntriesResponse{Term: 1, Success: n < successes}, nil)
			case <-stop:
				return
			}
		}
	}()
}

// Guards against a leader that can't shut down because the raft library's sender blocks forever in a pipeline whose responses
// are no longer read.
func TestRaftTransport_ClosesPipelineAfterUnsuccessfulResponse(t *testing.T) {
	follower := newLoopbackTransport(t)
	const successes = 3
	respondToAppendEntries(t, follower, successes)
	pipeline, err := raftTransport{newLoopbackTransport(t)}.AppendEntriesPipeline("follower", follower.LocalAddr())
	require.NoError(t, err)
	readerStopped := make(chan int, 1)
	go func() { // reads like the library: up to the first unsuccessful response
		for n := 0; ; n++ {
			if response := <-pipeline.Consumer(); !response.Response().Success {
				readerStopped <- n
				return
			}
		}
	}()
	senderStopped := make(chan error, 1)
	go func() { // sends like the library: until an error
		for {
			if _, err := pipeline.AppendEntries(&raft.AppendEntriesRequest{Term: 1}, &raft.AppendEntriesResponse{}); err != nil {
				senderStopped <- err
				return
			}
		}
	}()
	select {
	case err := <-senderStopped:
		require.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the sender still blocks 10 s after the start; it must stop when the reader has stopped")
	}
	require.Equal(t, successes, <-readerStopped, "all successful responses must have been read")
	require.NoError(t, pipeline.Close())
}

// Guards against an instance whose Close waits forever for the raft library.
func TestNode_CloseReturnsIfRaftDoesNotShutDown(t *testing.T) {
	n, err := Open(NodeConfig{Name: "c", Dir: t.TempDir(), Listen: "127.0.0.1:0", Bootstrap: true, FastElections: true, Control: testConfig,
		InitialBuild: 1}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	release := make(chan struct{})
	n.done.Go(func() { <-release }) // like a goroutine that waits for the library
	closed := make(chan error, 1)
	go func() { closed <- n.closeWithin(10 * time.Millisecond) }()
	select {
	case err := <-closed:
		require.ErrorIs(t, err, ErrStillRunning)
	case <-time.After(10 * time.Second):
		t.Fatal("Close did not return within 10 s")
	}
	close(release)
	n.done.Wait()
	require.NoError(t, n.raft.Shutdown().Error())
	require.NoError(t, n.bolt.Close(), "the store must have been left open")
}

// Guards against a leader that shuts down without a successor because the follower was unreachable at the first attempt.
func TestCluster_TransferLeadershipRetriesAfterOutage(t *testing.T) {
	w := newNetwork()
	g := startClusterOn(t, w, nil)
	at := g.leader()
	var others []string
	for i := range g.nodes {
		if i != at {
			others = append(others, g.name(i))
		}
	}
	const outage = 60 * time.Millisecond // shorter than a leader's lease
	w.set(true, []string{g.name(at)}, others)
	healed := make(chan struct{})
	time.AfterFunc(outage, func() { w.set(false, []string{g.name(at)}, others); close(healed) })
	require.NoError(t, g.nodes[at].TransferLeadership())
	<-healed
	require.Eventually(t, func() bool { leads, _ := g.nodes[at].IsLeader(); return !leads }, 10*time.Second, time.Millisecond)
	g.leader()
}

func TestNode_TransferLeadershipReturnsErrOnlyInstanceInGroupOfOne(t *testing.T) {
	n, err := Open(NodeConfig{Name: "c", Dir: t.TempDir(), Listen: "127.0.0.1:0", Bootstrap: true, FastElections: true, Control: testConfig,
		InitialBuild: 1}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, n.Close()) })
	require.Eventually(t, func() bool { leads, _ := n.IsLeader(); return leads }, 10*time.Second, time.Millisecond)
	require.ErrorIs(t, n.TransferLeadership(), ErrOnlyInstance)
}
