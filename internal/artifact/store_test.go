package artifact_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/build"
	"dapplefront/internal/artifact"
	"dapplefront/internal/testbed"
)

// newStore returns an empty store, and a mirror that serves a build whose files have random content and the given
// sizes.
func newStore(tb testing.TB, sizes ...int) (*artifact.Store, *testbed.Mirror, *build.Manifest) {
	tb.Helper()
	store, err := artifact.Open(tb.TempDir(), 1<<30)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = store.Close() })
	mirror, err := testbed.StartMirror()
	require.NoError(tb, err)
	tb.Cleanup(mirror.Stop)
	manifest := &build.Manifest{}
	for i, n := range sizes {
		raw := make([]byte, n)
		_, _ = rand.Read(raw)
		f := build.File{Path: fmt.Sprint("f", i), Size: int64(n), SHA256: build.Digest(raw)}
		manifest.Files = append(manifest.Files, f)
		mirror.Put("/sha256/"+f.SHA256, raw)
	}
	return store, mirror, manifest
}

func TestFetcher_TriesFailedMirrorLast(t *testing.T) {
	store, good, manifest := newStore(t, 1000, 1000, 1000, 1000)
	bad, err := testbed.StartMirror()
	require.NoError(t, err)
	defer bad.Stop()
	f := store.NewFetcher(artifact.Source{Mirrors: []string{bad.URL(), good.URL()}, MaxAttempts: 2, IdleTimeout: time.Second})
	require.NoError(t, f.Fetch(context.Background(), manifest))
	require.Len(t, bad.Requests(), 1)
	require.Len(t, good.Requests(), 4)
}

func TestFetcher_RespectsRateLimit(t *testing.T) {
	store, mirror, manifest := newStore(t, 400<<10)
	f := store.NewFetcher(artifact.Source{Mirrors: []string{mirror.URL()}, MaxAttempts: 1, MaxBytesPerSecond: 200 << 10, IdleTimeout: 100 * time.Millisecond})
	began := time.Now()
	require.NoError(t, f.Fetch(context.Background(), manifest))
	require.Greater(t, time.Since(began), 800*time.Millisecond, "the first 200 KiB arrive without delay")
}

func TestStore_CollectGarbageRemovesOldBuildsAndKeepsSharedFiles(t *testing.T) {
	store, mirror, manifest := newStore(t, 10, 20, 30)
	f := store.NewFetcher(artifact.Source{Mirrors: []string{mirror.URL()}, MaxAttempts: 1, IdleTimeout: time.Second})
	require.NoError(t, f.Fetch(context.Background(), manifest))
	old, kept := &build.Manifest{Files: manifest.Files[:2]}, &build.Manifest{Files: manifest.Files[1:]}
	_, err := store.Install("old", old)
	require.NoError(t, err)
	dir, err := store.Install("kept", kept)
	require.NoError(t, err)
	require.NoError(t, store.CollectGarbage(map[string]*build.Manifest{"kept": kept}))
	require.False(t, store.Has(manifest.Files[0]))
	require.True(t, store.Has(manifest.Files[1]))
	require.FileExists(t, filepath.Join(dir, "f2"))
	used, err := store.UsedBytes()
	require.NoError(t, err)
	require.EqualValues(t, 50, used)
}

func TestStore_VerifyRemovesFileThatChangedOnDisk(t *testing.T) {
	store, mirror, manifest := newStore(t, 5000)
	f := store.NewFetcher(artifact.Source{Mirrors: []string{mirror.URL()}, MaxAttempts: 1, IdleTimeout: time.Second})
	require.NoError(t, f.Fetch(context.Background(), manifest))
	dir, err := store.Install("b", manifest)
	require.NoError(t, err)
	file := filepath.Join(dir, "f0")
	require.NoError(t, os.Chmod(file, 0o755))
	raw, _ := os.ReadFile(file)
	raw[7] ^= 1
	require.NoError(t, os.WriteFile(file, raw, 0o755))
	var wrong *artifact.DigestMismatchError
	require.ErrorAs(t, store.Verify(manifest), &wrong)
	require.False(t, store.Has(manifest.Files[0]))
	require.NoError(t, f.Fetch(context.Background(), manifest))
	require.NoError(t, store.Verify(manifest))
}

// BenchmarkFetch fetches, verifies and syncs a file of 64 MiB. For comparison, BenchmarkCopy copies the file with
// io.Copy and syncs it.
func BenchmarkFetch(b *testing.B) {
	store, mirror, manifest := newStore(b, 64<<20)
	f := store.NewFetcher(artifact.Source{Mirrors: []string{mirror.URL()}, MaxAttempts: 1, IdleTimeout: 10 * time.Second})
	b.SetBytes(64 << 20)
	for b.Loop() {
		require.NoError(b, store.CollectGarbage(nil))
		require.NoError(b, f.Fetch(context.Background(), manifest))
	}
}

func BenchmarkCopy(b *testing.B) {
	_, mirror, manifest := newStore(b, 64<<20)
	b.SetBytes(64 << 20)
	file := filepath.Join(b.TempDir(), "copy")
	for b.Loop() {
		got, err := http.Get(mirror.URL() + "/sha256/" + manifest.Files[0].SHA256)
		require.NoError(b, err)
		out, err := os.Create(file)
		require.NoError(b, err)
		_, err = io.Copy(out, got.Body)
		require.NoError(b, err)
		require.NoError(b, out.Sync())
		_, _ = out.Close(), got.Body.Close()
	}
}
