package agentd

import (
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/artifact"
	"dapplefront/internal/testbed"
)

func TestAgent_StagesServesRollsBackAndReleasesBuild(t *testing.T) {
	h := newHarness(t)
	a := h.start()
	defer a.Stop()
	one, two := h.publishValid(1, "well"), h.publishValid(2, "well")
	h.order(one, "release")
	h.await(one, agent.Serving)
	h.order(two, "stage")
	h.await(two, agent.Staged)
	require.Equal(t, "1", responseBody(a, one))
	require.Empty(t, h.startsOf("2"), "a staged build is not started")
	h.order(two, "serve")
	h.await(two, agent.Serving)
	require.Equal(t, "1", responseBody(a, one), "the stable build stays until the candidate is released")
	require.Equal(t, "2", responseBody(a, two))
	h.order(two, "take-back")
	h.await(two, agent.Removed)
	require.Equal(t, "1", responseBody(a, one))
	require.Empty(t, a.runner.Find(two))
	h.order(two, "release")
	h.await(one, agent.Removed)
	require.Equal(t, "2", responseBody(a, two))
	require.Empty(t, a.runner.Find(one))
	var requests int
	for _, m := range h.mirrors {
		for _, path := range m.Requests() {
			if strings.HasPrefix(path, "/sha256/"+build.Digest([]byte(strings.Repeat("shared by all builds ", 5000)))) {
				requests++
			}
		}
	}
	require.Equal(t, 1, requests, "a file that both builds contain is fetched once")
}

func TestAgent_StopsBuildThatCrashesHangsOrIgnoresSIGTERM(t *testing.T) {
	h := newHarness(t)
	a := h.start()
	defer a.Stop()
	one := h.releaseFirst()
	crash := h.publishValid(2, "crash")
	h.order(crash, "release")
	h.await(crash, agent.Failed)
	require.Len(t, h.startsOf("2"), 3, "one start and two restarts")
	silent, files := h.newBuild(3, "silent")
	silent.Ready.Within = build.Duration(200 * time.Millisecond)
	raw, _ := silent.Bytes()
	never := h.publish(raw, files, 0, 2)
	h.order(never, "release")
	h.await(never, agent.Failed)
	s := a.State()
	require.Contains(t, s.Instance(never).Reason, "not ready in time")
	for i, behavior := range []string{"stubborn", "fork"} {
		d := h.publishValid(4+i, behavior)
		h.order(d, "serve")
		h.await(d, agent.Serving)
		require.NotEmpty(t, a.runner.Find(d))
		h.order(d, "take-back")
		h.await(d, agent.Removed)
		require.Empty(t, a.runner.Find(d), "%s: processes of the build are still running", behavior)
	}
	require.Equal(t, "1", responseBody(a, one))
}

func TestAgent_RollsBackBuildDuringStartAndFetch(t *testing.T) {
	h := newHarness(t)
	a := h.start()
	defer a.Stop()
	one := h.releaseFirst()
	starting := h.publishValid(2, "silent")
	h.order(starting, "serve")
	require.Eventually(t, func() bool { return len(h.startsOf("2")) == 1 }, 10*time.Second, time.Millisecond)
	h.order(starting, "take-back")
	h.await(starting, agent.Removed)
	require.Empty(t, a.runner.Find(starting))
	for _, m := range h.mirrors {
		m.SetFault(func(string, []byte) testbed.ReplyFault { return testbed.ReplyFault{TruncateAfter: 1, Stall: true} })
	}
	fetching := h.publishValid(3, "well")
	h.order(fetching, "serve")
	h.await(fetching, agent.Fetching)
	h.order(fetching, "take-back")
	h.await(fetching, agent.Removed)
	require.Empty(t, h.startsOf("3"))
	require.Equal(t, "1", responseBody(a, one))
}

func TestAgent_RestartsBuildWhenPortIsInUse(t *testing.T) {
	h := newHarness(t)
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = occupied.Close() }()
	c, n := h.config(), 0
	c.FreePort = func() (int, error) {
		if n++; n == 1 {
			return occupied.Addr().(*net.TCPAddr).Port, nil
		}
		return freePort()
	}
	a, err := Start(c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer a.Stop()
	one := h.releaseFirst()
	require.Len(t, h.startsOf("1"), 2)
	require.Equal(t, "1", responseBody(a, one))
}

func TestStart_FailsWhileAnotherAgentUsesFolder(t *testing.T) {
	h := newHarness(t)
	a := h.start()
	defer a.Stop()
	_, err := Start(h.config(), slog.New(slog.DiscardHandler))
	require.ErrorIs(t, err, artifact.ErrLocked)
}

// Guards against builds that are killed with requests in flight because their agent stops, or can't read the manifest.
func TestAgent_StopGivesBuildsTheirDrainTime(t *testing.T) {
	for _, name := range []string{"manifest is readable", "manifest is not readable"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			a := h.start()
			m, files := h.newBuild(1, "slow")
			m.Drain.Within = build.Duration(2 * slowStop)
			raw, err := m.Bytes()
			require.NoError(t, err)
			digest := h.publish(raw, files, 0, 1)
			h.order(digest, "release")
			h.await(digest, agent.Serving)
			if name == "manifest is not readable" {
				require.NoError(t, os.Remove(a.manifestFile(digest)))
			}
			a.Stop()
			require.FileExists(t, a.runner.ReadyFile(digest)+stoppedSuffix)
		})
	}
}
