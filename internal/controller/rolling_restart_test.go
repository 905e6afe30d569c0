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

// TestCluster_RollingRestartUnderLoadKeepsAcceptedChanges is a rolling upgrade under load: each instance transfers its leadership, ends, and comes
// back with its disk, while clients write and read without a pause.
func TestCluster_RollingRestartUnderLoadKeepsAcceptedChanges(t *testing.T) {
	g := startCluster(t, 3)
	var stop atomic.Bool
	var accepted, refused, lost atomic.Int64
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
				case made && !out.unclear:
					accepted.Add(1)
				case made:
					lost.Add(1)
				default:
					refused.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	for i := range 3 {
		if leads, _ := g.nodes[i].IsLeader(); leads {
			require.NoError(t, g.nodes[i].TransferLeadership())
		}
		back := g.stop(i)
		g.leader()
		back()
		require.Eventually(t, func() bool { return g.nodes[i].ReplicationLag() < time.Second }, 10*time.Second, 5*time.Millisecond)
	}
	before := accepted.Load()
	require.Eventually(t, func() bool { return accepted.Load() > before+50 }, 20*time.Second, 5*time.Millisecond, "writes go on after all were replaced")
	stop.Store(true)
	wait.Wait()
	t.Logf("%d writes accepted, %d refused without harm, %d unclear", accepted.Load(), refused.Load(), lost.Load())
	at := g.leader()
	_, _, text := requestOnceLed(t, "GET", g.urls[at]+"/v1/releases/1?fresh=1", "")
	version := uint64(decodeRelease(t, text).Version)
	require.GreaterOrEqual(t, version, uint64(accepted.Load())+1, "each accepted write grew the version")
	require.LessOrEqual(t, version, uint64(accepted.Load()+lost.Load())+1)
}
