package endpoint

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/router"
)

func TestLoadCache_RejectsDamagedFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	hosts, err := LoadCache(file)
	require.NoError(t, err)
	require.Empty(t, hosts)
	require.NoError(t, SaveCache(file, []Host{{Host: router.Host{ID: 1, Zone: "here", Build: 1, Weight: 1}, Address: "x:1"}}))
	hosts, err = LoadCache(file)
	require.NoError(t, err)
	require.Equal(t, []Host{{Host: router.Host{ID: 1, Zone: "here", Build: 1, Weight: 1}, Address: "x:1"}}, hosts)
	text, _ := os.ReadFile(file)
	require.NoError(t, os.WriteFile(file, text[:len(text)/2], 0o600))
	_, err = LoadCache(file)
	require.ErrorContains(t, err, file)
	require.NoError(t, os.WriteFile(file, []byte(`{"format":2}`), 0o600))
	_, err = LoadCache(file)
	require.ErrorContains(t, err, "format 1 expected")
}
