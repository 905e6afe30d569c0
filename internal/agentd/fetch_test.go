package agentd

import (
	"crypto/rand"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aead.dev/minisign"
	"github.com/stretchr/testify/require"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/testbed"
)

func TestAgent_ResumesInterruptedFetchAfterRestart(t *testing.T) {
	h := newHarness(t)
	big := make([]byte, 3<<20)
	_, _ = rand.Read(big)
	m, files := h.newBuild(1, "well")
	files[build.Digest(big)] = big
	m.Files = append(m.Files, build.File{Path: "big", Size: int64(len(big)), SHA256: build.Digest(big)})
	raw, _ := m.Bytes()
	d := h.publish(raw, files, 0, 1)
	h.mirrors[1].SetFault(func(string, []byte) testbed.ReplyFault { return testbed.ReplyFault{Status: 500} })
	h.mirrors[0].SetFault(func(path string, _ []byte) testbed.ReplyFault {
		if path == "/sha256/"+build.Digest(big) {
			return testbed.ReplyFault{TruncateAfter: 1 << 20, Stall: true}
		}
		return testbed.ReplyFault{}
	})
	a := h.start()
	h.order(d, "stage")
	part := filepath.Join(h.dir, "part", build.Digest(big))
	require.Eventually(t, func() bool { s, err := os.Stat(part); return err == nil && s.Size() >= 1<<20 }, 10*time.Second, time.Millisecond)
	a.Close()
	h.mirrors[0].SetFault(func(path string, _ []byte) testbed.ReplyFault { return testbed.ReplyFault{TruncateAfter: 1 << 20} })
	a = h.start()
	defer a.Stop()
	h.await(d, agent.Staged)
	again := a.fetcher.FetchedBytes() - 2<<20 // 2 of the 3 MiB were missing after the restart
	for _, body := range files {
		if len(body) < 1<<20 {
			again -= int64(len(body))
		}
	}
	require.LessOrEqual(t, again, int64(64<<10), "at most one chunk is fetched twice")
}

func TestAgent_RestartsDownloadOfFileThatChangedOnMirror(t *testing.T) {
	h := newHarness(t)
	d := h.publishValid(1, "well")
	n := 0
	wrong := func(path string, body []byte) testbed.ReplyFault {
		if !strings.HasPrefix(path, "/sha256/") {
			return testbed.ReplyFault{}
		}
		if n++; n == 1 {
			return testbed.ReplyFault{Body: []byte(strings.Repeat("x", len(body))), TruncateAfter: len(body) / 2, ETag: `"old"`}
		}
		return testbed.ReplyFault{}
	}
	h.mirrors[0].SetFault(wrong)
	h.mirrors[1].SetFault(func(string, []byte) testbed.ReplyFault { return testbed.ReplyFault{Status: 503} })
	a := h.start()
	defer a.Stop()
	h.order(d, "release")
	h.await(d, agent.Serving)
}

func TestAgent_UpdatesKeyRingWhileRunning(t *testing.T) {
	h := newHarness(t)
	a := h.start()
	defer func() { a.Stop() }()
	next := *h.ring
	next.Version, next.Keys = 2, []build.Key{h.ring.Keys[0], h.ring.Keys[2]}
	raw, err := json.Marshal(next)
	require.NoError(t, err)
	put := func(keys ...int) {
		var texts []string
		for _, k := range keys {
			texts = append(texts, string(minisign.Sign(h.keys[k], raw)))
		}
		sigs, _ := json.Marshal(texts)
		h.mirrors[0].Put("/ring/2", raw)
		h.mirrors[0].Put("/ring/2.sigs", sigs)
	}
	put(0) // one signature is below the threshold, so the old key ring stays in use
	h.releaseFirst()
	put(0, 1)
	two := h.publishValid(2, "well") // signed by ada and ben; the new key ring no longer has ben's key
	h.order(two, "release")
	h.await(two, agent.Failed)
	a.Close()
	a = h.start() // the restarted agent still uses the new key ring
	m, files := h.newBuild(3, "well")
	raw3, _ := m.Bytes()
	three := h.publish(raw3, files, 0, 2)
	h.order(three, "release")
	h.await(three, agent.Serving)
}
