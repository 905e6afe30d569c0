package controller

import (
	"bufio"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// TestMain runs the tests or, with DAPPLEFRONT_CONTROLLER set, the controller process that a test kills.
func TestMain(m *testing.M) {
	dir := os.Getenv("DAPPLEFRONT_CONTROLLER")
	if dir == "" {
		os.Exit(m.Run())
	}
	a, err := StartStandalone(NodeConfig{Name: "c1", Dir: dir, Listen: "127.0.0.1:0", FastElections: true, Control: testConfig, InitialBuild: 1}, ServerConfig{Listen: "127.0.0.1:0"},
		slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	fmt.Println("url", a.URL())
	select {}
}

// startProcess starts a controller in a separate process and returns the process and the controller's URL.
func startProcess(t *testing.T, dir string) (*exec.Cmd, string) {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "DAPPLEFRONT_CONTROLLER="+dir)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	in := bufio.NewScanner(out)
	require.True(t, in.Scan(), "the process ended without output")
	first, rest, _ := strings.Cut(in.Text(), " ")
	require.Equal(t, "url", first, rest)
	return c, rest
}

// TestNode_KeepsAcceptedChangesThroughSIGKILL kills a controller several times with SIGKILL during writes. CONTROL_KILLS sets the
// number of kills (docs/controller.md).
func TestNode_KeepsAcceptedChangesThroughSIGKILL(t *testing.T) {
	kills := 4
	if n, err := strconv.Atoi(os.Getenv("CONTROL_KILLS")); err == nil {
		kills = n
	}
	dir := t.TempDir()
	var accepted, tried atomic.Int64
	for run := range kills {
		c, url := startProcess(t, dir)
		_, _, text := request(t, "GET", url+"/v1/releases/1?fresh=1", "")
		n, _ := strconv.ParseInt(decodeRelease(t, text).Note, 10, 64)
		require.GreaterOrEqual(t, n, accepted.Load(), "run %d: an accepted change was lost", run)
		require.LessOrEqual(t, n, tried.Load(), "run %d: the state has a change that was never requested", run)
		end := make(chan struct{})
		go func() { // a single writer, which writes increasing numbers
			defer close(end)
			for {
				next := tried.Add(1)
				status, err := patch(url, next)
				if err != nil || status != 200 {
					return
				}
				accepted.Store(next)
			}
		}()
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		require.NoError(t, c.Process.Kill())
		_ = c.Wait()
		<-end
	}
	require.Positive(t, accepted.Load())
	require.NoError(t, CheckStore(dir, testConfig))
	t.Logf("%d kills, %d changes accepted, none lost", kills, accepted.Load())
}

func patch(url string, n int64) (status int, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
		}
	}()
	status, _, _ = request(panicOnFailure{}, "PATCH", url+"/v1/releases/1", fmt.Sprintf(`{"note":"%d"}`, n))
	return status, nil
}

// panicOnFailure is a require.TestingT that panics on a failed requirement, for requests that may fail.
type panicOnFailure struct{}

func (panicOnFailure) Errorf(string, ...any) {}
func (panicOnFailure) FailNow()              { panic("failed") }

// unsyncedDisk is a log store that acknowledges entries before it stores them. Its last entries are lost when the store is
// reopened.
type unsyncedDisk struct {
	raft.LogStore
	unsynced []*raft.Log
}

func (f *unsyncedDisk) LastIndex() (uint64, error) {
	if n := len(f.unsynced); n > 0 {
		return f.unsynced[n-1].Index, nil
	}
	return f.LogStore.LastIndex()
}

func (f *unsyncedDisk) GetLog(i uint64, l *raft.Log) error {
	for _, x := range f.unsynced {
		if x.Index == i {
			*l = *x
			return nil
		}
	}
	return f.LogStore.GetLog(i, l)
}

func (f *unsyncedDisk) StoreLog(l *raft.Log) error { return f.StoreLogs([]*raft.Log{l}) }

func (f *unsyncedDisk) StoreLogs(all []*raft.Log) error {
	const unsynced = 2
	for _, l := range all {
		c := *l
		f.unsynced = append(f.unsynced, &c)
	}
	if n := len(f.unsynced) - unsynced; n > 0 {
		if err := f.LogStore.StoreLogs(f.unsynced[:n]); err != nil {
			return err
		}
		f.unsynced = f.unsynced[n:]
	}
	return nil
}

func TestNoteModel_DetectsDiskThatAcknowledgesBeforeSync(t *testing.T) {
	for _, unsynced := range []bool{false, true} {
		g := &cluster{t: t, dirs: []string{t.TempDir()}, nodes: make([]*Node, 1), servers: make([]*Server, 1), urls: make([]string, 1)}
		t.Cleanup(g.close)
		open := func() {
			config := NodeConfig{Name: "c1", Dir: g.dirs[0], Listen: "127.0.0.1:0", Bootstrap: true, FastElections: true, Control: testConfig, InitialBuild: 1}
			if unsynced {
				config.WrapStores = func(l raft.LogStore, s raft.StableStore) (raft.LogStore, raft.StableStore) {
					return &unsyncedDisk{LogStore: l}, s
				}
			}
			a, err := StartStandalone(config, ServerConfig{Listen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			g.nodes[0], g.servers[0], g.urls[0] = a.Node, a.Server, a.URL()
		}
		open()
		began := time.Now()
		var all []porcupine.Operation
		do := func(n noteOperation) {
			from := time.Since(began)
			method, path, body := "GET", "/v1/releases/1?fresh=1", ""
			if n.write {
				method, path, body = "PATCH", "/v1/releases/1", fmt.Sprintf(`{"note":%q}`, n.value)
			}
			status, _, text := requestWithRetry(t, method, g.urls[0]+path, body)
			require.Equal(t, 200, status, text)
			o := decodeRelease(t, text)
			all = append(all, porcupine.Operation{Input: n, Call: int64(from), Output: noteResult{value: o.Note, version: uint64(o.Version)}, Return: int64(time.Since(began))})
		}
		for i := range 5 {
			do(noteOperation{write: true, value: fmt.Sprint(i)})
		}
		g.servers[0].Close()
		require.NoError(t, g.nodes[0].Close())
		open()
		do(noteOperation{})
		want := porcupine.Ok
		if unsynced {
			want = porcupine.Illegal
		}
		require.Equal(t, want, porcupine.CheckOperationsTimeout(noteModel, all, 10*time.Second))
	}
}
