package controller

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"dapplefront/control"
	"dapplefront/policy"
	"dapplefront/release"
)

// The store in testdata and its export were written by the program at commit d72f78e, with the configuration below. They are
// never regenerated: if a later program can't read them, or writes them in another form, upgrades break.
const (
	storedDir    = "testdata/store-d72f78e"
	storedExport = "testdata/export-d72f78e.json"
)

var storedConfig = control.Config{Rules: release.Rules{Mode: policy.Timed, Stages: []release.Stage{{HostShare: .1, ExposureCap: .05}, {HostShare: .5, ExposureCap: .5}},
	MinStageTime: policy.Second / 20, StageTime: policy.Second / 10, VoteTTL: 60 * policy.Second, PromoteQuorum: 2, RollbackQuorum: 3, HoldQuorum: 2},
	RouterTimeout: 600 * policy.Second, MaxEvents: 1000, MaxCreationKeys: 10}

// stored returns a copy of the stored data that a test may write to, and the stored export.
func stored(t *testing.T) (dir string, export []byte) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), "store")
	require.NoError(t, os.CopyFS(dir, os.DirFS(storedDir)))
	export, err := os.ReadFile(storedExport)
	require.NoError(t, err)
	return dir, export
}

// exported returns the output of Export for a store.
func exported(t *testing.T, dir string) string {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, Export(dir, storedConfig, &out))
	return out.String()
}

func TestExport_ReproducesExportOfEarlierVersion(t *testing.T) {
	dir, want := stored(t)
	require.NoError(t, CheckStore(dir, storedConfig))
	require.Equal(t, string(want), exported(t, dir))
}

func TestImport_ReproducesExportOfEarlierVersion(t *testing.T) {
	_, want := stored(t)
	dir := filepath.Join(t.TempDir(), "new")
	require.NoError(t, Import(NodeConfig{Name: "c1", Dir: dir, Listen: "127.0.0.1:0", Control: storedConfig}, bytes.NewReader(want)))
	require.NoError(t, CheckStore(dir, storedConfig))
	require.Equal(t, string(want), exported(t, dir))
}

func TestState_LoadsAndSavesStatesOfEarlierVersionUnchanged(t *testing.T) {
	dir, export := stored(t)
	snapshots, err := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	require.NoError(t, err)
	require.Len(t, snapshots, 1)
	snapshot, err := os.ReadFile(snapshots[0])
	require.NoError(t, err)
	for name, want := range map[string][]byte{"export": bytes.TrimSuffix(export, []byte("\n")), "snapshot": snapshot} {
		s, err := control.Load(storedConfig, want)
		require.NoError(t, err, name)
		got, err := s.Save()
		require.NoError(t, err, name)
		require.Equal(t, string(want), string(got), name)
	}
}

// TestEntry_DecodesAndEncodesCommandsOfEarlierVersionUnchanged checks every command in the log. It also requires that the log
// after the snapshot has at least one command of each kind, under its stored name.
func TestEntry_DecodesAndEncodesCommandsOfEarlierVersionUnchanged(t *testing.T) {
	dir, _ := stored(t)
	seen := map[string]bool{}
	_, err := replay(dir, storedConfig, func(_ uint64, c control.Command) { seen[string(c.Kind)] = true })
	require.NoError(t, err)
	for _, verb := range []string{"create", "patch", "withdraw", "delete", "vote", "ready", "gone", "step", "report", "tick", "join", "leave",
		"tell", "publish", "heed", "order", "heard", "member"} {
		require.True(t, seen[verb], "no command %s in the log after the snapshot", verb)
	}
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, "log.db"),
		BoltOptions: &bbolt.Options{ReadOnly: true, Timeout: time.Second}, MsgpackUseNewTimeFormat: true})
	require.NoError(t, err)
	defer func() { require.NoError(t, bolt.Close()) }()
	first, err := bolt.FirstIndex()
	require.NoError(t, err)
	last, err := bolt.LastIndex()
	require.NoError(t, err)
	commands := 0
	for i := first; i <= last; i++ {
		var l raft.Log
		require.NoError(t, bolt.GetLog(i, &l))
		if l.Type != raft.LogCommand {
			continue
		}
		c, err := decodeEntry(l.Data)
		require.NoError(t, err)
		again, err := encodeEntry(c)
		require.NoError(t, err)
		require.Equal(t, string(l.Data), string(again), "entry %d", i)
		commands++
	}
	require.Greater(t, commands, 50)
}
