package agentd

import (
	"log/slog"
	mathrand "math/rand/v2"
	"strings"
	"testing"
	"time"

	"aead.dev/minisign"
	"github.com/stretchr/testify/require"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/testbed"
)

// TestAgent_NeverStartsInvalidBuild orders the release of 1000 builds (100 with -short), each invalid in a randomly
// chosen way. None of them connects to the start listener, the stable build keeps serving, and a valid build ordered
// afterwards is released.
func TestAgent_NeverStartsInvalidBuild(t *testing.T) {
	builds := 1000
	if testing.Short() {
		builds = 100
	}
	h := newHarness(t)
	c := h.config()
	c.Source.MaxAttempts, c.Source.Backoff, c.Source.IdleTimeout = 2, 0, 100*time.Millisecond
	a, err := Start(c, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer a.Stop()
	one := h.releaseFirst()
	r := mathrand.New(mathrand.NewPCG(1, 2))
	for n := range builds {
		m, files := h.newBuild(2+n, "well")
		keys, body := []int{0, 1}, m.Files[0].SHA256
		var fault testbed.ReplyFault
		target := "/sha256/" + body
		change := func(corrupt func([]byte) []byte) {
			fault.Body = corrupt(append([]byte(nil), files[body]...))
		}
		raw, err := m.Bytes()
		require.NoError(t, err)
		servedManifest := raw
		switch r.IntN(14) {
		case 0:
			change(func(b []byte) []byte { b[r.IntN(len(b))] ^= byte(1 + r.IntN(255)); return b })
		case 1:
			change(func(b []byte) []byte { return b[:1+r.IntN(len(b)-1)] })
		case 2:
			change(func(b []byte) []byte { return append(b, "echo more\n"...) })
		case 3:
			change(func(b []byte) []byte { return []byte(strings.Repeat("x", len(b))) })
		case 4: // a truncated file, with a manifest that matches it but isn't the signed one
			m.Files[0].Size--
			cut := files[body][:m.Files[0].Size]
			m.Files[0].SHA256 = build.Digest(cut)
			files[m.Files[0].SHA256] = cut
			servedManifest, _ = m.Bytes()
		case 5:
			keys = []int{r.IntN(3)}
		case 6:
			keys = []int{r.IntN(3), 3} // the second key has expired
		case 7:
			keys = []int{r.IntN(3), 4} // the second key is revoked
		case 8:
			keys = []int{2, 2, 2}
		case 9:
			m.Group = "muscat"
			raw, _ = m.Bytes()
			servedManifest = raw
		case 10:
			raw = []byte(strings.Replace(string(raw), `"data/shared"`, `"../../../shared"`, 1))
			servedManifest = raw
		case 11:
			target, fault = "/signatures/", testbed.ReplyFault{Body: []byte(`["rubbish","` + strings.Repeat("x", r.IntN(300)) + `"]`)}
		case 12:
			fault = testbed.ReplyFault{TruncateAfter: 1 + r.IntN(len(files[body])-1)}
			h.ring.MinVersion = 0
		default:
			target, fault = "/manifest/", testbed.ReplyFault{Body: []byte(`{"format":1}`)}
		}
		d := h.publish(raw, files, keys...)
		ordered := d
		if string(servedManifest) != string(raw) { // the order names a manifest that was not signed
			ordered = build.Digest(servedManifest)
			for _, mirror := range h.mirrors {
				mirror.Put("/manifest/"+ordered, servedManifest)
				mirror.PutSignatures(ordered, minisign.Sign(h.keys[0], raw), minisign.Sign(h.keys[1], raw))
			}
		}
		isTruncated := fault.TruncateAfter > 0
		for _, mirror := range h.mirrors {
			mirror.SetFault(func(path string, b []byte) testbed.ReplyFault {
				if !strings.HasPrefix(path, target) || fault.Body == nil && !isTruncated {
					return testbed.ReplyFault{}
				}
				if isTruncated { // every reply ends after its first byte
					return testbed.ReplyFault{TruncateAfter: 1, Body: []byte(strings.Repeat("y", len(b)))}
				}
				return fault
			})
		}
		h.order(ordered, "release")
		if !h.controller.Await("h1", ordered, string(agent.Failed), 15*time.Second) {
			t.Fatalf("build %d has not failed: %+v", n, a.State())
		}
	}
	h.mu.Lock()
	started := append([]string(nil), h.started...)
	h.mu.Unlock()
	require.Equal(t, []string{"1"}, started)
	require.Equal(t, "1", responseBody(a, one))
	for _, mirror := range h.mirrors {
		mirror.SetFault(nil)
	}
	last := h.publishValid(60000, "well")
	h.order(last, "release")
	h.await(last, agent.Serving)
}
