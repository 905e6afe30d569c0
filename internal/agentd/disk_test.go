package agentd

import (
	"log/slog"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/agent"
	"dapplefront/build"
)

func TestAgent_KeepsStableBuildServingWhenStoreIsFull(t *testing.T) {
	h := newHarness(t)
	c := h.config()
	c.MaxArtifactBytes = 150_000 // enough for one build and little more
	a, err := Start(c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer a.Stop()
	one := h.releaseFirst()
	big := make([]byte, 100_000)
	m, files := h.newBuild(2, "well")
	files[build.Digest(big)] = big
	m.Files = append(m.Files, build.File{Path: "big", Size: int64(len(big)), SHA256: build.Digest(big)})
	raw, _ := m.Bytes()
	two := h.publish(raw, files, 0, 1)
	h.order(two, "release")
	h.await(two, agent.Failed)
	s := a.State()
	require.Contains(t, s.Instance(two).Reason, "limit on bytes held")
	require.Equal(t, "1", responseBody(a, one))
	require.NoFileExists(t, filepath.Join(h.dir, "part", build.Digest(big)))
}

func TestAgent_RetriesAnyJournalWriteOnFullDisk(t *testing.T) {
	for at := range 12 {
		h := newHarness(t)
		c, refused := h.config(), 0
		c.BeforeSave = func(n int) error {
			if n == at+1 && refused < 2 {
				refused++
				return syscall.ENOSPC
			}
			return nil
		}
		a, err := Start(c, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		one, two := h.publishValid(1, "well"), h.publishValid(2, "well")
		h.order(one, "release")
		h.await(one, agent.Serving)
		h.order(two, "release")
		h.await(one, agent.Removed)
		require.Equal(t, "2", responseBody(a, two))
		require.Len(t, h.startsOf("1"), 1, "disk full at write %d", at+1)
		require.Len(t, h.startsOf("2"), 1, "disk full at write %d", at+1)
		a.Stop()
	}
}

func TestAgent_LeavesFirstBuildUnchangedWhenFetchOfSecondExceedsStoreLimit(t *testing.T) {
	h := newHarness(t)
	one := h.publishValid(1, "well")
	c := h.config()
	m, files := h.newBuild(2, "well")
	extra := make([]byte, 300<<10)
	files[build.Digest(extra)] = extra
	m.Files = append(m.Files, build.File{Path: "extra", Size: int64(len(extra)), SHA256: build.Digest(extra)})
	raw, _ := m.Bytes()
	two := h.publish(raw, files, 0, 1)
	needed := m.Size() + int64(len("#"))
	for limit := needed / 3; limit < needed; limit += needed / 7 {
		c.MaxArtifactBytes = limit + 1<<10
		c.Dir = t.TempDir()
		a, err := Start(c, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		reportCount := h.controller.ReportCount("h1")
		h.order(one, "release")
		require.NotEmpty(t, h.controller.AwaitAfter("h1", reportCount, one, 10*time.Second, string(agent.Serving), string(agent.Failed)))
		before := responseBody(a, one)
		h.order(two, "release")
		require.Equal(t, string(agent.Failed), h.controller.AwaitAfter("h1", reportCount, two, 10*time.Second, string(agent.Failed), string(agent.Serving)))
		require.Equal(t, before, responseBody(a, one))
		require.Empty(t, h.startsOf("2"))
		a.Stop()
	}
}
