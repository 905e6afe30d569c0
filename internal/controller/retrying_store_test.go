package controller

import (
	"log/slog"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// failingStableStore fails the second to the fifth write with an error; the first one belongs to the bootstrap.
type failingStableStore struct {
	raft.StableStore
	writes *atomic.Int64
	err    error
}

func (s failingStableStore) SetUint64(key []byte, value uint64) error {
	if n := s.writes.Add(1); n >= 2 && n <= 5 {
		return s.err
	}
	return s.StableStore.SetUint64(key, value)
}

// Guards against a controller whose process ends because its disk is full, or fails, for a moment.
func TestNode_KeepsRunningWhileStoreFails(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			var writes atomic.Int64
			n, err := Open(NodeConfig{Name: "c1", Dir: t.TempDir(), Listen: "127.0.0.1:0", Bootstrap: true, FastElections: true, Control: testConfig, InitialBuild: 1,
				WrapStores: func(l raft.LogStore, s raft.StableStore) (raft.LogStore, raft.StableStore) {
					return l, failingStableStore{s, &writes, errno}
				}}, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			require.Eventually(t, func() bool { leads, _ := n.IsLeader(); return leads }, 10*time.Second, 5*time.Millisecond)
			require.Greater(t, writes.Load(), int64(5), "the store has failed")
			require.NoError(t, n.Close())
		})
	}
}
