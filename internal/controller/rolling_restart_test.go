package controller

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCluster_RollingRestartUnderLoadKeepsAcceptedChanges simulates a rolling upgrade under load: each instance transfers its
// leadership, stops, and restarts with its old store, while clients keep writing.
func TestCluster_RollingRestartUnderLoadKeepsAcceptedChanges(t *testing.T) {
	g := startCluster(t, 3)
	var stop atomic.Bool
	var accepted, rejected, indeterminate atomic.Int64
	var wait sync.WaitGroup
	for c := range 4 {
		wait.Go(func() {
			h := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
			defer h.CloseIdleConnections()
			for n := 0; !stop.Load(); n++ {
				g.mu.Lock()
				url := g.urls[(c+n)%3]
				g.mu.Unlock()
				out, made := noteOperation{write: true, value: fmt.Sprintf("%d-%d", c, n)}.do(h, url)
				switch {
				case made && !out.indeterminate:
					accepted.Add(1)
				case made:
					indeterminate.Add(1)
				default:
					rejected.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	for i := range 3 {
		if leads, _ := g.nodes[i].IsLeader(); leads {
			require.NoError(t, g.nodes[i].TransferLeadership())
		}
		restart := g.stop(i)
		g.leader()
		restart()
		require.Eventually(t, func() bool { return g.nodes[i].ReplicationLag() < time.Second }, 10*time.Second, 5*time.Millisecond)
	}
	before := accepted.Load()
	require.Eventually(t, func() bool { return accepted.Load() > before+50 }, 20*time.Second, 5*time.Millisecond, "writes must continue after all instances were restarted")
	stop.Store(true)
	wait.Wait()
	t.Logf("%d writes accepted, %d rejected, %d indeterminate", accepted.Load(), rejected.Load(), indeterminate.Load())
	at := g.leader()
	_, _, text := requestWithRetry(t, "GET", g.urls[at]+"/v1/releases/1?fresh=1", "")
	version := uint64(decodeRelease(t, text).Version)
	require.GreaterOrEqual(t, version, uint64(accepted.Load())+1, "each accepted write must have incremented the version")
	require.LessOrEqual(t, version, uint64(accepted.Load()+indeterminate.Load())+1)
}
