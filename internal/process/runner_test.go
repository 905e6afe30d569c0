package process

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/agent"
)

// newRunner returns a runner, and the folder of a build whose command run.sh runs a shell script.
func newRunner(t *testing.T, script string) (Runner, string) {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "run.sh"), []byte("#!/bin/sh\n"+script), 0o700))
	return Runner{Owner: dir, OutputDir: t.TempDir(), MaxOutputBytes: 100}, dir
}

func TestRunner_FindsProcessUntilItIsStopped(t *testing.T) {
	r, dir := newRunner(t, "echo started; exec sleep 1000\n")
	p, exited, err := r.Start("digest", dir, []string{"run.sh"}, 4711)
	require.NoError(t, err)
	require.True(t, Alive(p))
	found := r.Find("digest")
	require.Len(t, found, 1)
	require.Equal(t, p.Pid, found[0].Pid)
	require.Equal(t, p.StartTicks, found[0].StartTicks)
	require.Equal(t, 4711, found[0].Port)
	require.Empty(t, r.Find("another"))
	require.NoError(t, r.Stop("digest", 5*time.Second))
	require.Empty(t, r.Find("digest"))
	select {
	case err := <-exited:
		require.ErrorContains(t, err, "signal: terminated")
	case <-time.After(5 * time.Second):
		t.Fatal("no exit was reported within 5 s")
	}
	require.False(t, Alive(p))
}

func TestRunner_KillsProcessThatIgnoresSIGTERM(t *testing.T) {
	r, dir := newRunner(t, "trap '' TERM; touch \"$DAPPLEFRONT_READY\"; while true; do sleep 1000; done\n")
	p, exited, err := r.Start("digest", dir, []string{"run.sh"}, 1)
	require.NoError(t, err)
	require.Eventually(t, func() bool { _, err := os.Stat(r.ReadyFile("digest")); return err == nil }, 5*time.Second, time.Millisecond)
	require.NoError(t, r.Stop("digest", 20*time.Millisecond))
	require.Empty(t, r.Find("digest"))
	require.ErrorContains(t, <-exited, "signal: killed")
	require.False(t, Alive(p))
}

func TestRunner_ReportsExitStatus0AsError(t *testing.T) {
	r, dir := newRunner(t, "exit 0\n")
	_, exited, err := r.Start("digest", dir, []string{"run.sh"}, 1)
	require.NoError(t, err)
	require.EqualError(t, <-exited, "exit status 0")
}

func TestAlive_RejectsLaterProcessWithSamePID(t *testing.T) {
	ticks, err := startTicks(os.Getpid())
	require.NoError(t, err)
	require.True(t, Alive(agent.Process{Pid: os.Getpid(), StartTicks: ticks}))
	require.False(t, Alive(agent.Process{Pid: os.Getpid(), StartTicks: ticks - 1}))
	require.False(t, Alive(agent.Process{}))
}

func TestRunner_TrimOutputKeepsLatestOutput(t *testing.T) {
	r, _ := newRunner(t, "")
	require.NoError(t, r.TrimOutput("digest"), "a missing output file is no error")
	for _, c := range []struct {
		name    string
		written int
		kept    int
	}{
		{"keeps all output at twice the limit", 200, 200},
		{"trims output above twice the limit", 201, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Repeat("0123456789", 30)[:c.written]
			require.NoError(t, os.WriteFile(r.OutputFile("digest"), []byte(text), 0o600))
			require.NoError(t, r.TrimOutput("digest"))
			got, err := os.ReadFile(r.OutputFile("digest"))
			require.NoError(t, err)
			require.Equal(t, text[c.written-c.kept:], string(got))
		})
	}
}
