package record

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/router"
)

func TestWriter_StoresOnlyHashesOfKeysAndTenants(t *testing.T) {
	_, files := recordRun(t, 300, Config{})
	f, err := os.Open(files[0])
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Close()) })
	keys := map[string]bool{}
	require.NoError(t, Read(f, func(e Entry) error {
		text := fmt.Sprintf("%+v %+v", e.Config, e.Event)
		require.NotContains(t, text, "Ada")
		require.NotContains(t, text, "account-")
		if x, ok := e.Event.(router.RequestArrived); ok && x.Key != "" {
			keys[x.Key] = true
		}
		return nil
	}))
	require.Len(t, keys, 20, "equal keys have equal hashes, and different keys have different hashes")
}

// stalledFile blocks every write until a channel is closed.
type stalledFile struct {
	*os.File
	resume chan struct{}
}

func (s stalledFile) Write(b []byte) (int, error) { <-s.resume; return s.File.Write(b) }

func TestWriter_DropsBlocksInsteadOfWaitingForStalledDisk(t *testing.T) {
	resume := make(chan struct{})
	dir := t.TempDir()
	w, err := Create(Config{Dir: dir, Name: "r1", OpenSink: func(f *os.File) Sink { return stalledFile{f, resume} }})
	require.NoError(t, err)
	runRouter(t, w, 3, 40_000) // more entries than the queue of blocks can hold
	require.Positive(t, w.Dropped(), "whole blocks were dropped")
	close(resume)
	require.Eventually(t, func() bool { return len(w.blocks) == 0 }, 10*time.Second, time.Millisecond)
	runRouter(t, w, 4, 500) // the router restarts
	require.NoError(t, w.Close())
	files, err := Files(dir, "r1")
	require.NoError(t, err)
	r, err := Replay(files, nil)
	require.NoError(t, err)
	require.Zero(t, r.Differences)
	require.NotEmpty(t, r.Gaps)
	require.Contains(t, r.Gaps[0], "were dropped")
	require.Equal(t, 2, r.Starts)
}

func TestWriter_RotatesFilesAndRemovesOldest(t *testing.T) {
	dir, files := recordRun(t, 20_000, Config{MaxFileBytes: 100 << 10, MaxBytes: 400 << 10})
	require.Greater(t, len(files), 1)
	var sum int64
	for _, f := range files {
		s, err := os.Stat(f)
		require.NoError(t, err)
		sum += s.Size()
	}
	require.LessOrEqual(t, sum, int64(600<<10))
	r, err := Replay(files, nil)
	require.NoError(t, err)
	require.Zero(t, r.Differences)
	require.True(t, r.Starts == 1 || r.Skipped > 0, "entries are skipped if the file with the start of the router was removed")
	require.True(t, strings.HasPrefix(files[0], dir))
}

func BenchmarkWriteEvent(b *testing.B) {
	w, err := Create(Config{Dir: b.TempDir(), Name: "r"})
	require.NoError(b, err)
	e := router.RequestArrived{RequestID: "1x", Class: "quote", Key: "account-1", Timeout: 10_000}
	actions := []router.Action{{Kind: router.SendAttempt, RequestID: "1x", Host: 7, Duration: 4000}, {Kind: router.SetTimer, Timer: 99, Duration: 800}}
	b.ReportAllocs()
	for b.Loop() {
		if err := w.WriteEvent(5, e, actions); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	require.NoError(b, w.Close())
	b.ReportMetric(float64(w.Written())/float64(b.N), "B/entry")
	b.ReportMetric(float64(w.Dropped())/float64(b.N), "lost/entry")
}

// fullDisk is a file to which some writes fail after a part of the data.
type fullDisk struct {
	*os.File
	writes *int
	fails  func(write int) bool
}

func (d fullDisk) Write(b []byte) (int, error) {
	*d.writes++
	if d.fails(*d.writes) {
		n, _ := d.File.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return d.File.Write(b)
}

// Guards against records that can't be read any more after a block that was written in part.
func TestWriter_KeepsLaterBlocksReadableAfterFullDisk(t *testing.T) {
	dir, writes := t.TempDir(), 0
	fails := func(write int) bool { return write >= 4 && write <= 6 } // the first block comes after the head of the file
	w, err := Create(Config{Dir: dir, Name: "r1", OpenSink: func(f *os.File) Sink { return fullDisk{f, &writes, fails} }})
	require.NoError(t, err)
	for seed := range uint64(2) { // the router restarts once
		runRouter(t, w, seed, 8000)
		w.Flush()
		require.Eventually(t, func() bool { return len(w.blocks) == 0 }, 10*time.Second, time.Millisecond)
	}
	require.ErrorIs(t, w.Close(), syscall.ENOSPC)
	files, err := Files(dir, "r1")
	require.NoError(t, err)
	r, err := Replay(files, nil)
	require.NoError(t, err)
	require.Zero(t, r.Differences)
	require.NotEmpty(t, r.Gaps)
	require.Equal(t, 2, r.Starts)
}

// Guards against records that are replayed in the wrong order, or removed first, after the wall clock was set back.
func TestRotatingFile_NamesSortByOrderOfCreationWhenWallClockIsSetBack(t *testing.T) {
	clock := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	config := Config{Dir: t.TempDir(), Name: "r1", MaxFileAge: time.Hour, MaxBytes: 1 << 20, OpenSink: func(f *os.File) Sink { return f }}
	var created []string
	for range 2 { // two processes
		f := rotatingFile{config: config, now: func() time.Time { return clock }}
		for range 3 {
			require.True(t, f.rotate())
			f.close()
			created = append(created, f.path)
			clock = clock.Add(-time.Hour)
		}
	}
	files, err := Files(config.Dir, config.Name)
	require.NoError(t, err)
	require.Equal(t, created, files)
}
