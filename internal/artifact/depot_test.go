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

func served(t testing.TB, sizes ...int) (*artifact.Store, *testbed.Mirror, *build.Manifest) {
	d, err := artifact.Open(t.TempDir(), 1<<30)
	require.NoError(t, err)
	t.Cleanup(func() { _ = d.Close() })
	m, err := testbed.StartMirror()
	require.NoError(t, err)
	t.Cleanup(m.Stop)
	b := &build.Manifest{}
	for i, n := range sizes {
		raw := make([]byte, n)
		_, _ = rand.Read(raw)
		f := build.File{Path: fmt.Sprint("f", i), Size: int64(n), SHA256: build.Digest(raw)}
		b.Files = append(b.Files, f)
		m.Put("/sha256/"+f.SHA256, raw)
	}
	return d, m, b
}

func TestTheMirrorThatFailsIsAskedLast(t *testing.T) {
	d, good, b := served(t, 1000, 1000, 1000, 1000)
	bad, err := testbed.StartMirror()
	require.NoError(t, err)
	defer bad.Stop()
	f := d.NewFetcher(artifact.Source{Mirrors: []string{bad.URL(), good.URL()}, MaxAttempts: 2, IdleTimeout: time.Second})
	require.NoError(t, f.Fetch(context.Background(), b))
	require.Len(t, bad.Requests(), 1)
	require.Len(t, good.Requests(), 4)
}

func TestTheRateIsKept(t *testing.T) {
	d, m, b := served(t, 400<<10)
	f := d.NewFetcher(artifact.Source{Mirrors: []string{m.URL()}, MaxAttempts: 1, MaxBytesPerSecond: 200 << 10, IdleTimeout: 100 * time.Millisecond})
	began := time.Now()
	require.NoError(t, f.Fetch(context.Background(), b))
	require.Greater(t, time.Since(began), 800*time.Millisecond, "the first second's worth comes at once")
}

func TestOldBuildsAreCollectedAndSharedFilesStay(t *testing.T) {
	d, m, b := served(t, 10, 20, 30)
	f := d.NewFetcher(artifact.Source{Mirrors: []string{m.URL()}, MaxAttempts: 1, IdleTimeout: time.Second})
	require.NoError(t, f.Fetch(context.Background(), b))
	old, kept := &build.Manifest{Files: b.Files[:2]}, &build.Manifest{Files: b.Files[1:]}
	_, err := d.Install("old", old)
	require.NoError(t, err)
	dir, err := d.Install("kept", kept)
	require.NoError(t, err)
	require.NoError(t, d.CollectGarbage(map[string]*build.Manifest{"kept": kept}))
	require.False(t, d.Has(b.Files[0]))
	require.True(t, d.Has(b.Files[1]))
	require.FileExists(t, filepath.Join(dir, "f2"))
	used, err := d.UsedBytes()
	require.NoError(t, err)
	require.EqualValues(t, 50, used)
}

func TestWhatRotsOnDiskIsFoundAndFetchedAnew(t *testing.T) {
	d, m, b := served(t, 5000)
	f := d.NewFetcher(artifact.Source{Mirrors: []string{m.URL()}, MaxAttempts: 1, IdleTimeout: time.Second})
	require.NoError(t, f.Fetch(context.Background(), b))
	dir, err := d.Install("b", b)
	require.NoError(t, err)
	file := filepath.Join(dir, "f0")
	require.NoError(t, os.Chmod(file, 0o755))
	raw, _ := os.ReadFile(file)
	raw[7] ^= 1
	require.NoError(t, os.WriteFile(file, raw, 0o755))
	var wrong *artifact.DigestMismatchError
	require.ErrorAs(t, d.Verify(b), &wrong)
	require.False(t, d.Has(b.Files[0]))
	require.NoError(t, f.Fetch(context.Background(), b))
	require.NoError(t, d.Verify(b))
}

// BenchmarkFetch fetches a file of 64 MiB, checks and syncs it; BenchmarkCopy copies it with io.Copy and syncs it.
func BenchmarkFetch(b *testing.B) {
	d, m, man := served(b, 64<<20)
	f := d.NewFetcher(artifact.Source{Mirrors: []string{m.URL()}, MaxAttempts: 1, IdleTimeout: 10 * time.Second})
	b.SetBytes(64 << 20)
	for b.Loop() {
		require.NoError(b, d.CollectGarbage(nil))
		require.NoError(b, f.Fetch(context.Background(), man))
	}
}

func BenchmarkCopy(b *testing.B) {
	_, m, man := served(b, 64<<20)
	b.SetBytes(64 << 20)
	file := filepath.Join(b.TempDir(), "copy")
	for b.Loop() {
		got, err := http.Get(m.URL() + "/sha256/" + man.Files[0].SHA256)
		require.NoError(b, err)
		out, err := os.Create(file)
		require.NoError(b, err)
		_, err = io.Copy(out, got.Body)
		require.NoError(b, err)
		require.NoError(b, out.Sync())
		_, _ = out.Close(), got.Body.Close()
	}
}
