package agentd

import (
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"aead.dev/minisign"
	"github.com/stretchr/testify/require"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/api"
	"dapplefront/internal/artifact"
	"dapplefront/internal/testbed"
)

// harness runs a controller and two mirrors, holds the signers' keys, and records which builds have started: every
// build that starts connects to startListener.
type harness struct {
	*testing.T
	controller    *testbed.Controller
	mirrors       [2]*testbed.Mirror
	ring          *build.KeyRing
	keys          []minisign.PrivateKey
	dir           string
	startListener net.Listener

	mu      sync.Mutex
	started []string // versions of the builds, in the order in which they started
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{T: t, dir: t.TempDir()}
	//nolint:usetesting // an in-memory file system makes syncs cheap; t.TempDir is the fallback
	if dir, err := os.MkdirTemp("/dev/shm", "dapplefront-"); err == nil {
		h.dir = dir
		t.Cleanup(func() { _ = os.RemoveAll(dir) })
	}
	var err error
	h.controller, err = testbed.StartController("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(h.controller.Stop)
	for i := range h.mirrors {
		h.mirrors[i], err = testbed.StartMirror()
		require.NoError(t, err)
		t.Cleanup(h.mirrors[i].Stop)
	}
	h.ring = &build.KeyRing{Format: 1, Version: 1, Threshold: 2, Group: "tacoma", MinVersion: 1}
	for _, name := range []string{"ada", "ben", "cyd", "old", "out"} {
		p, s, err := minisign.GenerateKey(rand.Reader)
		require.NoError(t, err)
		text, _ := p.MarshalText()
		k := build.Key{Name: name, PublicKey: string(text), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
		switch name {
		case "old":
			k.NotAfter = time.Now().Add(-time.Minute)
		case "out":
			k.Revoked = true
		}
		h.ring.Keys, h.keys = append(h.ring.Keys, k), append(h.keys, s)
	}
	h.startListener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = h.startListener.Close() })
	go func() {
		for {
			c, err := h.startListener.Accept()
			if err != nil {
				return
			}
			name, _ := io.ReadAll(c)
			_ = c.Close()
			h.mu.Lock()
			h.started = append(h.started, strings.TrimSpace(string(name)))
			h.mu.Unlock()
		}
	}()
	return h
}

// newBuild returns the manifest of a build and its files by digest. behavior is one that serveBuild knows.
func (h *harness) newBuild(version int, behavior string) (*build.Manifest, map[string][]byte) {
	exe, err := os.Executable()
	require.NoError(h, err)
	run := []byte(fmt.Sprintf("#!/bin/sh\nDAPPLEFRONT_TEST_BUILD=%d,%s,%s exec %s\n", version, behavior, h.startListener.Addr(), exe))
	data := []byte(strings.Repeat("shared by all builds ", 5000))
	files := map[string][]byte{build.Digest(run): run, build.Digest(data): data}
	m := &build.Manifest{Format: 1, Name: "shop", Group: "tacoma", Version: version, Start: []string{"run.sh", "{port}"},
		Files: []build.File{{Path: "run.sh", Size: int64(len(run)), SHA256: build.Digest(run), Executable: true},
			{Path: "data/shared", Size: int64(len(data)), SHA256: build.Digest(data)}}}
	m.Ready.Path, m.Ready.Within, m.Drain.Within = "/", build.Duration(3*time.Second), build.Duration(300*time.Millisecond)
	return m, files
}

// publish signs a manifest with the harness's keys at the given indices, puts the manifest, signatures and files on
// both mirrors and returns the digest.
func (h *harness) publish(raw []byte, files map[string][]byte, keys ...int) string {
	digest := build.Digest(raw)
	var signatures [][]byte
	for _, k := range keys {
		signatures = append(signatures, minisign.Sign(h.keys[k], raw))
	}
	for _, m := range h.mirrors {
		m.Put("/manifest/"+digest, raw)
		m.PutSignatures(digest, signatures...)
		for d, body := range files {
			m.Put("/sha256/"+d, body)
		}
	}
	return digest
}

// releaseFirst publishes build 1, orders its release and waits until it serves.
func (h *harness) releaseFirst() string {
	one := h.publishValid(1, "well")
	h.order(one, "release")
	h.await(one, agent.Serving)
	return one
}

// publishValid publishes a build with as many valid signatures as the key ring requires.
func (h *harness) publishValid(version int, behavior string) string {
	m, files := h.newBuild(version, behavior)
	raw, err := m.Bytes()
	require.NoError(h, err)
	return h.publish(raw, files, 0, 1)
}

func (h *harness) config() Config {
	return Config{Name: "h1", Dir: h.dir, Controller: h.controller.URL(), MaxArtifactBytes: 64 << 20, MaxOutputBytes: 64 << 10, KeyRing: h.ring,
		Source: artifact.Source{Mirrors: []string{h.mirrors[0].URL(), h.mirrors[1].URL()}, MaxAttempts: 4, Backoff: time.Millisecond,
			IdleTimeout: 500 * time.Millisecond},
		Limits: agent.Limits{MaxCrashes: 2, CrashBackoff: 10 * time.Millisecond, MaxCrashBackoff: 100 * time.Millisecond, CrashResetAfter: 10 * time.Second},
		WarmUp: 50 * time.Millisecond, DrainDelay: 50 * time.Millisecond}
}

func (h *harness) start() *Agent {
	h.Helper()
	a, err := Start(h.config(), slog.New(slog.DiscardHandler))
	require.NoError(h, err)
	return a
}

func (h *harness) order(digest string, goal string) {
	h.controller.Order("h1", api.Order{Digest: digest, Build: 1, Goal: goal})
}

// await waits until the agent has reported to the controller that the build reached a phase.
func (h *harness) await(digest string, p agent.Phase) {
	h.Helper()
	require.True(h, h.controller.Await("h1", digest, string(p), 15*time.Second), "%s: %+v", p, h.controller.Reports("h1"))
}

// startsOf returns one entry for each start of a version.
func (h *harness) startsOf(version string) (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.started {
		if s == version {
			out = append(out, s)
		}
	}
	return out
}

// responseBody requests / from a build and returns the response's body. It returns the error's text if the request
// fails, and "" if the agent has no such build.
func responseBody(a *Agent, digest string) string {
	s := a.State()
	r := s.Instance(digest)
	if r == nil {
		return ""
	}
	got, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/", r.Process.Port))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = got.Body.Close() }()
	body, _ := io.ReadAll(got.Body)
	return string(body)
}
