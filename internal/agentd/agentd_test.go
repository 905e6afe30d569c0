package agentd

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"aead.dev/minisign"
	"github.com/stretchr/testify/require"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/api"
	"dapplefront/internal/artifact"
	"dapplefront/internal/process"
	"dapplefront/internal/testbed"
)

// The test binary is also the builds' process, and an agent to be killed.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv("DAPPLEFRONT_TEST_BUILD") != "":
		serveBuild(os.Getenv("DAPPLEFRONT_TEST_BUILD"))
	case os.Getenv("DAPPLEFRONT_TEST_AGENT") != "":
		runAgent()
	default:
		os.Exit(m.Run())
	}
}

// serveBuild is a build's process: how it behaves is told by its words, NAME,HOW,WITNESS.
func serveBuild(words string) {
	parts := strings.Split(words, ",")
	name, how, witness := parts[0], parts[1], parts[2]
	if c, err := net.Dial("tcp", witness); err == nil { // what has started is seen at a socket
		fmt.Fprintln(c, name)
		_ = c.Close()
	}
	switch how {
	case "crash":
		os.Exit(3)
	case "silent":
		time.Sleep(time.Hour)
	case "stubborn":
		ignore()
	case "fork":
		c := exec.Command("/bin/sh", "-c", "sleep 1000")
		c.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // out of the group
		_ = c.Start()
	}
	_ = os.WriteFile(os.Getenv(process.ReadyVariable), []byte("ready"), 0o600)
	_ = http.ListenAndServe("127.0.0.1:"+os.Getenv(process.PortVariable), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, name)
	}))
}

// world is a controller, two mirrors, signers, and a witness of what has started.
type world struct {
	*testing.T
	controller *testbed.Controller
	mirrors    [2]*testbed.Mirror
	ring       *build.KeyRing
	keys       []minisign.PrivateKey
	dir        string
	witness    net.Listener

	mu      sync.Mutex
	started []string
}

func newWorld(t *testing.T) *world {
	w := &world{T: t, dir: t.TempDir()}
	if dir, err := os.MkdirTemp("/dev/shm", "dapplefront-"); err == nil { // syncing costs nothing there
		w.dir = dir
		t.Cleanup(func() { _ = os.RemoveAll(dir) })
	}
	var err error
	w.controller, err = testbed.StartController("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(w.controller.Stop)
	for i := range w.mirrors {
		w.mirrors[i], err = testbed.StartMirror()
		require.NoError(t, err)
		t.Cleanup(w.mirrors[i].Stop)
	}
	w.ring = &build.KeyRing{Format: 1, Version: 1, Threshold: 2, Group: "tacoma", MinVersion: 1}
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
		w.ring.Keys, w.keys = append(w.ring.Keys, k), append(w.keys, s)
	}
	w.witness, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = w.witness.Close() })
	go func() {
		for {
			c, err := w.witness.Accept()
			if err != nil {
				return
			}
			name, _ := io.ReadAll(c)
			_ = c.Close()
			w.mu.Lock()
			w.started = append(w.started, strings.TrimSpace(string(name)))
			w.mu.Unlock()
		}
	}()
	return w
}

// make makes a build of a version and behaviour, and returns its manifest, bytes and files by digest.
func (w *world) make(version int, how string) (*build.Manifest, map[string][]byte) {
	exe, err := os.Executable()
	require.NoError(w, err)
	run := []byte(fmt.Sprintf("#!/bin/sh\nDAPPLEFRONT_TEST_BUILD=%d,%s,%s exec %s\n", version, how, w.witness.Addr(), exe))
	data := []byte(strings.Repeat("shared by all builds ", 5000))
	files := map[string][]byte{build.Digest(run): run, build.Digest(data): data}
	m := &build.Manifest{Format: 1, Name: "shop", Group: "tacoma", Version: version, Start: []string{"run.sh", "{port}"},
		Files: []build.File{{Path: "run.sh", Size: int64(len(run)), SHA256: build.Digest(run), Executable: true},
			{Path: "data/shared", Size: int64(len(data)), SHA256: build.Digest(data)}}}
	m.Ready.Path, m.Ready.Within, m.Drain.Within = "/", build.Duration(3*time.Second), build.Duration(300*time.Millisecond)
	return m, files
}

// publish signs a manifest by some keys and puts all on the mirrors. It returns the digest.
func (w *world) publish(raw []byte, files map[string][]byte, keys ...int) string {
	digest := build.Digest(raw)
	var signatures [][]byte
	for _, k := range keys {
		signatures = append(signatures, minisign.Sign(w.keys[k], raw))
	}
	for _, m := range w.mirrors {
		m.Put("/manifest/"+digest, raw)
		m.PutSignatures(digest, signatures...)
		for d, body := range files {
			m.Put("/sha256/"+d, body)
		}
	}
	return digest
}

// released is the first build, well, ordered to be released and serving.
func (w *world) released() string {
	one := w.good(1, "well")
	w.order(one, "release")
	w.await(one, agent.Serving)
	return one
}

func (w *world) good(version int, how string) string {
	m, files := w.make(version, how)
	raw, err := m.Bytes()
	require.NoError(w, err)
	return w.publish(raw, files, 0, 1)
}

func (w *world) post() Config {
	return Config{Name: "h1", Dir: w.dir, Controller: w.controller.URL(), MaxArtifactBytes: 64 << 20, MaxOutputBytes: 64 << 10, KeyRing: w.ring,
		Source: artifact.Source{Mirrors: []string{w.mirrors[0].URL(), w.mirrors[1].URL()}, MaxAttempts: 4, Backoff: time.Millisecond,
			IdleTimeout: 500 * time.Millisecond},
		Limits: agent.Limits{MaxCrashes: 2, CrashBackoff: 10 * time.Millisecond, MaxCrashBackoff: 100 * time.Millisecond, CrashResetAfter: 10 * time.Second},
		WarmUp: 50 * time.Millisecond, DrainDelay: 50 * time.Millisecond}
}

func (w *world) start() *Agent {
	a, err := Start(w.post(), slog.New(slog.DiscardHandler))
	require.NoError(w, err)
	return a
}

func (w *world) order(digest string, goal string) {
	w.controller.Order("h1", api.Order{Digest: digest, Build: 1, Goal: goal})
}

func (w *world) await(digest string, p agent.Phase) {
	w.Helper()
	require.True(w, w.controller.Await("h1", digest, string(p), 15*time.Second), "%s: %+v", p, w.controller.Reports("h1"))
}

// answers is what a build answers at its port.
func answers(a *Agent, digest string) string {
	s := a.State()
	r := s.Instance(digest)
	if r == nil {
		return ""
	}
	got, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/", r.Process.Port))
	if err != nil {
		return err.Error()
	}
	defer got.Body.Close()
	body, _ := io.ReadAll(got.Body)
	return string(body)
}

func TestFromOrderToServingAndBack(t *testing.T) {
	w := newWorld(t)
	a := w.start()
	defer a.Stop()
	one, two := w.good(1, "well"), w.good(2, "well")
	w.order(one, "release")
	w.await(one, agent.Serving)
	w.order(two, "stage")
	w.await(two, agent.Staged)
	require.Equal(t, "1", answers(a, one))
	require.Empty(t, w.seen("2"), "it may not start yet")
	w.order(two, "serve")
	w.await(two, agent.Serving)
	require.Equal(t, "1", answers(a, one), "the earlier build stays until the newer one is released")
	require.Equal(t, "2", answers(a, two))
	w.order(two, "take-back")
	w.await(two, agent.Removed)
	require.Equal(t, "1", answers(a, one))
	require.Empty(t, a.runner.Find(two))
	w.order(two, "release")
	w.await(one, agent.Removed)
	require.Equal(t, "2", answers(a, two))
	require.Empty(t, a.runner.Find(one))
	var asked int
	for _, m := range w.mirrors {
		for _, path := range m.Asked() {
			if strings.HasPrefix(path, "/sha256/"+build.Digest([]byte(strings.Repeat("shared by all builds ", 5000)))) {
				asked++
			}
		}
	}
	require.Equal(t, 1, asked, "equal files are shared")
}

func (w *world) seen(name string) (out []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.started {
		if s == name {
			out = append(out, s)
		}
	}
	return out
}

func TestBuildsThatDontComeUpOrDontGo(t *testing.T) {
	w := newWorld(t)
	a := w.start()
	defer a.Stop()
	one := w.released()
	crash := w.good(2, "crash")
	w.order(crash, "release")
	w.await(crash, agent.Failed)
	require.Len(t, w.seen("2"), 3, "once, and twice again")
	silent, files := w.make(3, "silent")
	silent.Ready.Within = build.Duration(200 * time.Millisecond)
	raw, _ := silent.Bytes()
	never := w.publish(raw, files, 0, 2)
	w.order(never, "release")
	w.await(never, agent.Failed)
	s := a.State()
	require.Contains(t, s.Instance(never).Reason, "not ready in time")
	for i, how := range []string{"stubborn", "fork"} {
		d := w.good(4+i, how)
		w.order(d, "serve")
		w.await(d, agent.Serving)
		require.NotEmpty(t, a.runner.Find(d))
		w.order(d, "take-back")
		w.await(d, agent.Removed)
		require.Empty(t, a.runner.Find(d), "%s: nothing of it runs any more", how)
	}
	require.Equal(t, "1", answers(a, one))
}

func TestAFetchThatIsCutGoesOnWhereItWasAlsoAfterARestart(t *testing.T) {
	w := newWorld(t)
	big := make([]byte, 3<<20)
	_, _ = rand.Read(big)
	m, files := w.make(1, "well")
	files[build.Digest(big)] = big
	m.Files = append(m.Files, build.File{Path: "big", Size: int64(len(big)), SHA256: build.Digest(big)})
	raw, _ := m.Bytes()
	d := w.publish(raw, files, 0, 1)
	w.mirrors[1].Fail(func(string, []byte) testbed.Fault { return testbed.Fault{Status: 500} })
	w.mirrors[0].Fail(func(path string, _ []byte) testbed.Fault {
		if path == "/sha256/"+build.Digest(big) {
			return testbed.Fault{Cut: 1 << 20, Stall: true}
		}
		return testbed.Fault{}
	})
	a := w.start()
	w.order(d, "stage")
	part := filepath.Join(w.dir, "part", build.Digest(big))
	require.Eventually(t, func() bool { s, err := os.Stat(part); return err == nil && s.Size() >= 1<<20 }, 10*time.Second, time.Millisecond)
	a.Close()
	w.mirrors[0].Fail(func(path string, _ []byte) testbed.Fault { return testbed.Fault{Cut: 1 << 20} })
	a = w.start()
	defer a.Stop()
	w.await(d, agent.Staged)
	again := a.fetcher.FetchedBytes() - 2<<20 // two of three were left
	for _, body := range files {
		if len(body) < 1<<20 {
			again -= int64(len(body))
		}
	}
	require.LessOrEqual(t, again, int64(64<<10), "at most one chunk is fetched twice")
}

func TestAFileThatChangedInBetweenIsNotGluedToTheOld(t *testing.T) {
	w := newWorld(t)
	d := w.good(1, "well")
	n := 0
	wrong := func(path string, body []byte) testbed.Fault {
		if !strings.HasPrefix(path, "/sha256/") {
			return testbed.Fault{}
		}
		if n++; n == 1 {
			return testbed.Fault{Body: []byte(strings.Repeat("x", len(body))), Cut: len(body) / 2, Tag: `"old"`}
		}
		return testbed.Fault{}
	}
	w.mirrors[0].Fail(wrong)
	w.mirrors[1].Fail(func(string, []byte) testbed.Fault { return testbed.Fault{Status: 503} })
	a := w.start()
	defer a.Stop()
	w.order(d, "release")
	w.await(d, agent.Serving)
}

func TestAFullDiskLeavesTheRunningBuildUntouched(t *testing.T) {
	w := newWorld(t)
	p := w.post()
	p.MaxArtifactBytes = 150_000 // one build and not much more
	a, err := Start(p, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer a.Stop()
	one := w.released()
	big := make([]byte, 100_000)
	m, files := w.make(2, "well")
	files[build.Digest(big)] = big
	m.Files = append(m.Files, build.File{Path: "big", Size: int64(len(big)), SHA256: build.Digest(big)})
	raw, _ := m.Bytes()
	two := w.publish(raw, files, 0, 1)
	w.order(two, "release")
	w.await(two, agent.Failed)
	s := a.State()
	require.Contains(t, s.Instance(two).Reason, "limit on bytes held")
	require.Equal(t, "1", answers(a, one))
	require.NoFileExists(t, filepath.Join(w.dir, "part", build.Digest(big)))
}

func TestTwoAgentsOnOneFolder(t *testing.T) {
	w := newWorld(t)
	a := w.start()
	defer a.Stop()
	_, err := Start(w.post(), slog.New(slog.DiscardHandler))
	require.ErrorIs(t, err, artifact.ErrLocked)
}

func TestWithoutAControllerTheAgentGoesOnServing(t *testing.T) {
	w := newWorld(t)
	a := w.start()
	defer func() { a.Stop() }()
	one := w.released()
	w.controller.Down(true)
	a.Close() // and is restarted meanwhile
	a = w.start()
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, "1", answers(a, one))
	require.Len(t, w.seen("1"), 1, "it was adopted, not started again")
	s := a.State()
	require.NoError(t, syscall.Kill(-s.Stable.Process.Pid, syscall.SIGKILL))
	require.Eventually(t, func() bool { return answers(a, one) == "1" && len(w.seen("1")) == 2 }, 10*time.Second, 10*time.Millisecond)
	w.controller.Down(false)
	w.await(one, agent.Starting) // what happened meanwhile is reported
}

func TestATakeBackWhileABuildStartsOrIsFetched(t *testing.T) {
	w := newWorld(t)
	a := w.start()
	defer a.Stop()
	one := w.released()
	starting := w.good(2, "silent")
	w.order(starting, "serve")
	require.Eventually(t, func() bool { return len(w.seen("2")) == 1 }, 10*time.Second, time.Millisecond)
	w.order(starting, "take-back")
	w.await(starting, agent.Removed)
	require.Empty(t, a.runner.Find(starting))
	for _, m := range w.mirrors {
		m.Fail(func(string, []byte) testbed.Fault { return testbed.Fault{Cut: 1, Stall: true} })
	}
	fetching := w.good(3, "well")
	w.order(fetching, "serve")
	w.await(fetching, agent.Fetching)
	w.order(fetching, "take-back")
	w.await(fetching, agent.Removed)
	require.Empty(t, w.seen("3"))
	require.Equal(t, "1", answers(a, one))
}

func TestAPortThatIsTakenCostsOneTry(t *testing.T) {
	w := newWorld(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	p, n := w.post(), 0
	p.FreePort = func() (int, error) {
		if n++; n == 1 {
			return taken.Addr().(*net.TCPAddr).Port, nil
		}
		return freePort()
	}
	a, err := Start(p, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer a.Stop()
	one := w.released()
	require.Len(t, w.seen("1"), 2)
	require.Equal(t, "1", answers(a, one))
}

func TestADiskThatIsFullAtAnyWriteOfTheJournalOnlyDelays(t *testing.T) {
	for at := range 12 {
		w := newWorld(t)
		p, refused := w.post(), 0
		p.BeforeSave = func(n int) error {
			if n == at+1 && refused < 2 {
				refused++
				return syscall.ENOSPC
			}
			return nil
		}
		a, err := Start(p, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		one, two := w.good(1, "well"), w.good(2, "well")
		w.order(one, "release")
		w.await(one, agent.Serving)
		w.order(two, "release")
		w.await(one, agent.Removed)
		require.Equal(t, "2", answers(a, two))
		require.Len(t, w.seen("1"), 1, "full at write %d", at+1)
		require.Len(t, w.seen("2"), 1, "full at write %d", at+1)
		a.Stop()
	}
}

func TestAFullDiskAtAnyByteOfAFetch(t *testing.T) {
	w := newWorld(t)
	one := w.good(1, "well")
	p := w.post()
	m, files := w.make(2, "well")
	extra := make([]byte, 300<<10)
	files[build.Digest(extra)] = extra
	m.Files = append(m.Files, build.File{Path: "extra", Size: int64(len(extra)), SHA256: build.Digest(extra)})
	raw, _ := m.Bytes()
	two := w.publish(raw, files, 0, 1)
	needed := m.Size() + int64(len("#"))
	for limit := needed / 3; limit < needed; limit += needed / 7 {
		p.MaxArtifactBytes = limit + 1<<10
		p.Dir = t.TempDir()
		a, err := Start(p, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		mark := w.controller.Mark("h1")
		w.order(one, "release")
		require.NotEmpty(t, w.controller.AwaitAfter("h1", mark, one, 10*time.Second, string(agent.Serving), string(agent.Failed)))
		before := answers(a, one)
		w.order(two, "release")
		require.Equal(t, string(agent.Failed), w.controller.AwaitAfter("h1", mark, two, 10*time.Second, string(agent.Failed), string(agent.Serving)))
		require.Equal(t, before, answers(a, one))
		require.Empty(t, w.seen("2"))
		a.Stop()
	}
}

func TestKeysChangeOnRunningAgents(t *testing.T) {
	w := newWorld(t)
	a := w.start()
	defer func() { a.Stop() }()
	next := *w.ring
	next.Version, next.Keys = 2, []build.Key{w.ring.Keys[0], w.ring.Keys[2]}
	raw, err := json.Marshal(next)
	require.NoError(t, err)
	put := func(keys ...int) {
		var texts []string
		for _, k := range keys {
			texts = append(texts, string(minisign.Sign(w.keys[k], raw)))
		}
		sigs, _ := json.Marshal(texts)
		w.mirrors[0].Put("/ring/2", raw)
		w.mirrors[0].Put("/ring/2.sigs", sigs)
	}
	put(0) // too few: the old ring stays
	w.released()
	put(0, 1)
	two := w.good(2, "well") // by ada and ben, who has no word any more
	w.order(two, "release")
	w.await(two, agent.Failed)
	a.Close()
	a = w.start() // which keeps the new ring
	m, files := w.make(3, "well")
	raw3, _ := m.Bytes()
	three := w.publish(raw3, files, 0, 2)
	w.order(three, "release")
	w.await(three, agent.Serving)
}

// Over a thousand builds that are bad in some way, drawn, with good ones between: no bad one ever starts, as a witness
// at a socket tells, and the earlier build goes on serving.
func TestNoBadBuildEverStarts(t *testing.T) {
	builds := 1000
	if testing.Short() {
		builds = 100
	}
	w := newWorld(t)
	p := w.post()
	p.Source.MaxAttempts, p.Source.Backoff, p.Source.IdleTimeout = 2, 0, 100*time.Millisecond
	a, err := Start(p, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer a.Stop()
	one := w.released()
	r := mathrand.New(mathrand.NewPCG(1, 2))
	for n := range builds {
		m, files := w.make(2+n, "well")
		keys, body := []int{0, 1}, m.Files[0].SHA256
		var broken testbed.Fault
		target := "/sha256/" + body
		change := func(how func([]byte) []byte) {
			broken.Body = how(append([]byte(nil), files[body]...))
		}
		raw, err := m.Bytes()
		require.NoError(t, err)
		mirrorsManifest := raw
		switch r.IntN(14) {
		case 0:
			change(func(b []byte) []byte { b[r.IntN(len(b))] ^= byte(1 + r.IntN(255)); return b })
		case 1:
			change(func(b []byte) []byte { return b[:1+r.IntN(len(b)-1)] })
		case 2:
			change(func(b []byte) []byte { return append(b, "echo more\n"...) })
		case 3:
			change(func(b []byte) []byte { return []byte(strings.Repeat("x", len(b))) })
		case 4: // truncated, with a manifest that looks right but is not the signed one
			m.Files[0].Size--
			cut := files[body][:m.Files[0].Size]
			m.Files[0].SHA256 = build.Digest(cut)
			files[m.Files[0].SHA256] = cut
			mirrorsManifest, _ = m.Bytes()
		case 5:
			keys = []int{r.IntN(3)}
		case 6:
			keys = []int{r.IntN(3), 3} // one that has expired
		case 7:
			keys = []int{r.IntN(3), 4} // one that was revoked
		case 8:
			keys = []int{2, 2, 2}
		case 9:
			m.Group = "muscat"
			raw, _ = m.Bytes()
			mirrorsManifest = raw
		case 10:
			raw = []byte(strings.Replace(string(raw), `"data/shared"`, `"../../../shared"`, 1))
			mirrorsManifest = raw
		case 11:
			target, broken = "/signatures/", testbed.Fault{Body: []byte(`["rubbish","` + strings.Repeat("x", r.IntN(300)) + `"]`)}
		case 12:
			broken = testbed.Fault{Cut: 1 + r.IntN(len(files[body])-1)}
			w.ring.MinVersion = 0
		default:
			target, broken = "/manifest/", testbed.Fault{Body: []byte(`{"format":1}`)}
		}
		d := w.publish(raw, files, keys...)
		ordered := d
		if string(mirrorsManifest) != string(raw) { // the order names what the signers never saw
			ordered = build.Digest(mirrorsManifest)
			for _, mirror := range w.mirrors {
				mirror.Put("/manifest/"+ordered, mirrorsManifest)
				mirror.PutSignatures(ordered, minisign.Sign(w.keys[0], raw), minisign.Sign(w.keys[1], raw))
			}
		}
		isCut := broken.Cut > 0
		for _, mirror := range w.mirrors {
			mirror.Fail(func(path string, b []byte) testbed.Fault {
				if !strings.HasPrefix(path, target) || broken.Body == nil && !isCut {
					return testbed.Fault{}
				}
				if isCut { // never a byte more
					return testbed.Fault{Cut: 1, Body: []byte(strings.Repeat("y", len(b)))}
				}
				return broken
			})
		}
		w.order(ordered, "release")
		if !w.controller.Await("h1", ordered, string(agent.Failed), 15*time.Second) {
			t.Fatalf("build %d is not refused: %+v", n, a.State())
		}
	}
	w.mu.Lock()
	started := append([]string(nil), w.started...)
	w.mu.Unlock()
	require.Equal(t, []string{"1"}, started)
	require.Equal(t, "1", answers(a, one))
	for _, mirror := range w.mirrors {
		mirror.Fail(nil)
	}
	last := w.good(60000, "well")
	w.order(last, "release")
	w.await(last, agent.Serving)
}

// runAgent is an agent in a process of its own, which kills itself at one of its writes.
func runAgent() {
	var p Config
	raw, err := os.ReadFile(os.Getenv("DAPPLEFRONT_TEST_AGENT"))
	if err == nil {
		err = json.Unmarshal(raw, &p)
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	at := 0
	_, _ = fmt.Sscan(os.Getenv("DAPPLEFRONT_TEST_KILL"), &at)
	p.AfterSave = func(n int) {
		if n == at {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			time.Sleep(time.Minute)
		}
	}
	if _, err := Start(p, slog.New(slog.DiscardHandler)); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	time.Sleep(time.Minute)
}

// An agent that is killed at each of its writes, one after the other, and started again, ends in the same place: the
// second build released and serving, the first gone, and one process of it.
func TestKilledAtEveryWriteItEndsInTheSamePlace(t *testing.T) {
	exe, err := os.Executable()
	require.NoError(t, err)
	kills := 0
	for at := 1; ; at++ {
		w := newWorld(t)
		one, two := w.good(1, "well"), w.good(2, "well")
		p := w.post()
		raw, err := json.Marshal(p)
		require.NoError(t, err)
		file := filepath.Join(t.TempDir(), "post")
		require.NoError(t, os.WriteFile(file, raw, 0o600))
		w.order(one, "release")
		c := exec.Command(exe)
		c.Env = append(os.Environ(), "DAPPLEFRONT_TEST_AGENT="+file, fmt.Sprint("DAPPLEFRONT_TEST_KILL=", at))
		c.Stdout, c.Stderr = os.Stdout, os.Stderr
		require.NoError(t, c.Start())
		died := make(chan error, 1)
		go func() { died <- c.Wait() }()
		ordered := make(chan bool, 1)
		go func() { // the second order comes once the first is carried out
			ordered <- w.controller.Await("h1", one, string(agent.Serving), 10*time.Second)
			w.order(two, "release")
		}()
		done := make(chan bool, 1)
		go func() { done <- w.controller.Await("h1", one, string(agent.Removed), 10*time.Second) }()
		killed := false
		select {
		case <-died:
			killed = true
			kills++
		case finished := <-done: // it got to the end before so many writes
			_ = c.Process.Kill()
			<-died
			require.True(t, finished, "at %d: %+v", at, w.controller.Reports("h1"))
		}
		a := w.start()
		require.True(t, <-ordered, "killed at write %d: %+v", at, w.controller.Reports("h1"))
		require.Eventually(t, func() bool {
			s := a.State()
			return s.Stable != nil && s.Stable.Digest == two && s.Stable.Phase == agent.Serving && len(s.Retiring) == 0 && s.Candidate == nil
		}, 15*time.Second, 5*time.Millisecond, "killed at write %d: %+v", at, w.controller.Reports("h1"))
		require.Equal(t, "2", answers(a, two))
		require.Len(t, a.runner.Find(two), 1, "killed at write %d", at)
		require.Empty(t, a.runner.Find(one), "killed at write %d", at)
		require.LessOrEqual(t, len(w.seen("1")), 2)
		a.Stop()
		if !killed {
			break
		}
	}
	require.Greater(t, kills, 10)
	t.Logf("killed at %d writes", kills)
}

// ignore lets SIGTERM pass.
func ignore() { signal.Ignore(syscall.SIGTERM) }
