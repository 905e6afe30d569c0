package record

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRead_ReportsDamagedBlock(t *testing.T) {
	_, files := recordRun(t, 3000, Config{})
	intact, err := os.ReadFile(files[0])
	require.NoError(t, err)
	read := func(text []byte) (n int, err error) {
		err = Read(bytes.NewReader(text), func(Entry) error { n++; return nil })
		return n, err
	}
	all, err := read(intact)
	require.NoError(t, err)
	n, err := read(intact[:len(intact)*2/3])
	require.ErrorContains(t, err, "is truncated")
	require.Positive(t, n, "the entries before the truncated block are read")
	require.Less(t, n, all)
	flipped := slices.Clone(intact)
	flipped[len(flipped)/2] ^= 1
	_, err = read(flipped)
	require.ErrorContains(t, err, "checksum mismatch")
	newer := slices.Clone(intact)
	newer[len(magic)-2] = '2'
	_, err = read(newer)
	require.ErrorContains(t, err, "records have version '2'")
	_, err = read([]byte("something else"))
	require.ErrorContains(t, err, "not a record file")
	// Replay skips the entries after a damaged block until the next start of a router.
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a"), flipped, 0o600))
	_, next := recordRun(t, 200, Config{})
	r, err := Replay([]string{filepath.Join(dir, "a"), next[0]}, nil)
	require.NoError(t, err)
	require.Equal(t, 2, r.Starts)
	require.Zero(t, r.Differences)
	require.Contains(t, r.Gaps[0], "checksum mismatch")
}

func FuzzRead(f *testing.F) {
	_, files := recordRun(f, 50, Config{})
	intact, err := os.ReadFile(files[0])
	require.NoError(f, err)
	f.Add(intact)
	f.Add(intact[:len(intact)/2])
	f.Fuzz(func(t *testing.T, text []byte) {
		_ = Read(bytes.NewReader(text), func(Entry) error { return nil })
	})
}
