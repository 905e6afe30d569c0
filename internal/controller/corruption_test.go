package controller

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/control"
)

// corruptPages changes all bytes of a file after its first two pages.
func corruptPages(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	page := os.Getpagesize()
	for i := 2 * page; i < len(text); i++ {
		text[i] ^= 0xa5
	}
	require.NoError(t, os.WriteFile(file, text, 0o600))
}

// TestCheckStore_DetectsFlippedBitUnlessStateIsUnchanged flips one bit at several places in each page: CheckStore must return an
// error, or the store must still export exactly the same state.
func TestCheckStore_DetectsFlippedBitUnlessStateIsUnchanged(t *testing.T) {
	dir := t.TempDir()
	a, err := StartStandalone(NodeConfig{Name: "c1", Dir: dir, Listen: "127.0.0.1:0", FastElections: true, Control: testConfig, InitialBuild: 1}, ServerConfig{Listen: "127.0.0.1:0"},
		slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	for i := range 60 {
		note := fmt.Sprintf("change number %d, long enough to fill some pages with what matters", i)
		_, err := a.Propose(control.Command{Kind: control.PatchRelease, Build: 1, Note: &note})
		require.NoError(t, err)
	}
	require.NoError(t, a.Stop())
	var before bytes.Buffer
	require.NoError(t, Export(dir, testConfig, &before))
	undamaged, err := os.ReadFile(filepath.Join(dir, "log.db"))
	require.NoError(t, err)
	page, detected, harmless := os.Getpagesize(), 0, 0
	for p := range len(undamaged) / page {
		for _, at := range []int{9, page / 5, page / 2, page - 700} {
			flipped := t.TempDir()
			text := bytes.Clone(undamaged)
			text[p*page+at] ^= 0x10
			require.NoError(t, os.WriteFile(filepath.Join(flipped, "log.db"), text, 0o600))
			if err := CheckStore(flipped, testConfig); err != nil {
				detected++
				continue
			}
			var after bytes.Buffer
			require.NoError(t, Export(flipped, testConfig, &after))
			require.Equal(t, before.String(), after.String(), "page %d, byte %d: undetected damage", p, at)
			harmless++
		}
	}
	t.Logf("%d flipped bits detected, %d harmless", detected, harmless)
	require.Positive(t, detected)
}
