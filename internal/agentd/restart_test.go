package agentd

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/agent"
)

func TestAgent_KeepsBuildServingWithoutController(t *testing.T) {
	h := newHarness(t)
	a := h.start()
	defer func() { a.Stop() }()
	one := h.releaseFirst()
	h.controller.SetDown(true)
	a.Close() // the agent restarts while the controller is down
	a = h.start()
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, "1", responseBody(a, one))
	require.Len(t, h.startsOf("1"), 1, "the running build is adopted, not restarted")
	s := a.State()
	require.NoError(t, syscall.Kill(-s.Stable.Process.Pid, syscall.SIGKILL))
	require.Eventually(t, func() bool { return responseBody(a, one) == "1" && len(h.startsOf("1")) == 2 }, 10*time.Second, 10*time.Millisecond)
	h.controller.SetDown(false)
	h.await(one, agent.Starting) // the restart is reported once the controller is back
}

// TestAgent_ReachesSameStateAfterKillAtAnyWrite kills an agent after its first journal write, starts it again, and
// repeats this for each further write. The agent always ends in the same state: the second build is released and serves
// with one process, and the first build is removed.
func TestAgent_ReachesSameStateAfterKillAtAnyWrite(t *testing.T) {
	exe, err := os.Executable()
	require.NoError(t, err)
	kills := 0
	for at := 1; ; at++ {
		h := newHarness(t)
		one, two := h.publishValid(1, "well"), h.publishValid(2, "well")
		raw, err := json.Marshal(h.config())
		require.NoError(t, err)
		file := filepath.Join(t.TempDir(), "config")
		require.NoError(t, os.WriteFile(file, raw, 0o600))
		h.order(one, "release")
		command := exec.Command(exe)
		command.Env = append(os.Environ(), "DAPPLEFRONT_TEST_AGENT="+file, fmt.Sprint("DAPPLEFRONT_TEST_KILL=", at))
		command.Stdout, command.Stderr = os.Stdout, os.Stderr
		require.NoError(t, command.Start())
		died := make(chan struct{})
		go func() { _ = command.Wait(); close(died) }()
		ordered := make(chan bool, 1)
		go func() { // the second order is sent once the first build serves
			ordered <- h.controller.Await("h1", one, string(agent.Serving), 10*time.Second)
			h.order(two, "release")
		}()
		done := make(chan bool, 1)
		go func() { done <- h.controller.Await("h1", one, string(agent.Removed), 10*time.Second) }()
		killed := false
		select {
		case <-died:
			killed = true
			kills++
		case removed := <-done: // the agent finished before this write
			_ = command.Process.Kill()
			<-died
			require.True(t, removed, "not killed at write %d: %+v", at, h.controller.Reports("h1"))
		}
		a := h.start()
		require.True(t, <-ordered, "killed at write %d: %+v", at, h.controller.Reports("h1"))
		require.Eventually(t, func() bool {
			s := a.State()
			return s.Stable != nil && s.Stable.Digest == two && s.Stable.Phase == agent.Serving && len(s.Retiring) == 0 && s.Candidate == nil
		}, 15*time.Second, 5*time.Millisecond, "killed at write %d: %+v", at, h.controller.Reports("h1"))
		require.Equal(t, "2", responseBody(a, two))
		require.Len(t, a.runner.Find(two), 1, "killed at write %d", at)
		require.Empty(t, a.runner.Find(one), "killed at write %d", at)
		require.LessOrEqual(t, len(h.startsOf("1")), 2)
		a.Stop()
		if !killed {
			break
		}
	}
	require.Greater(t, kills, 10)
	t.Logf("killed at %d writes", kills)
}
