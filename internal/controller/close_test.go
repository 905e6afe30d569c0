package controller

import (
	"bytes"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// slowLog is a log store that takes a while for each write of a patched release while isSlow is set. It tells writes of each. The
// controller also writes entries of its own, for example when it joins as a member.
type slowLog struct {
	raft.LogStore
	isSlow atomic.Bool
	writes chan bool
}

func (l *slowLog) StoreLogs(logs []*raft.Log) error {
	isPatch := func(log *raft.Log) bool { return bytes.Contains(log.Data, []byte(`"do":"patch"`)) }
	if l.isSlow.Load() && slices.ContainsFunc(logs, isPatch) {
		l.writes <- true
		time.Sleep(300 * time.Millisecond)
	}
	return l.LogStore.StoreLogs(logs)
}

// Guards against changes that a stopping controller has read and makes, but never responds to.
func TestServer_CloseRespondsToCallsInFlight(t *testing.T) {
	disk := &slowLog{writes: make(chan bool, 100)}
	config := NodeConfig{Name: "c1", Dir: t.TempDir(), Listen: "127.0.0.1:0", Bootstrap: true, FastElections: true, Control: testConfig, InitialBuild: 1,
		WrapStores: func(l raft.LogStore, s raft.StableStore) (raft.LogStore, raft.StableStore) {
			disk.LogStore = l
			return disk, s
		}}
	a, err := StartStandalone(config, ServerConfig{Listen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	disk.isSlow.Store(true)
	statuses := make(chan int, 1)
	go func() {
		call, _ := http.NewRequest(http.MethodPatch, a.URL()+"/v1/releases/1", strings.NewReader(`{"note":"x"}`))
		response, err := http.DefaultClient.Do(call)
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	<-disk.writes
	a.Server.Close()
	require.Equal(t, http.StatusOK, <-statuses)
	require.NoError(t, a.Node.Close())
}
