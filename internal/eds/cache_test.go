package eds

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLoadCache_RejectsDamagedFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	hosts, err := LoadCache(file)
	require.NoError(t, err)
	require.Empty(t, hosts)
	require.NoError(t, SaveCache(file, []Host{hostAt(1, "x:1")}))
	hosts, err = LoadCache(file)
	require.NoError(t, err)
	require.Equal(t, []Host{hostAt(1, "x:1")}, hosts)
	text, _ := os.ReadFile(file)
	require.NoError(t, os.WriteFile(file, text[:len(text)/2], 0o600))
	_, err = LoadCache(file)
	require.ErrorContains(t, err, file)
	require.NoError(t, os.WriteFile(file, []byte(`{"format":2}`), 0o600))
	_, err = LoadCache(file)
	require.ErrorContains(t, err, "format 1 expected")
}
