package endpoint

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
	"dapplefront/router"
)

// testdata/endpoints.json was written by the program at commit d72f78e.
var storedHosts = []Host{
	{Host: router.Host{ID: 7, Zone: "north", Cell: 3, State: policy.Draining, Build: 2, Weight: 1.5, StartedAt: 123456}, Address: "127.0.0.1:4001"},
	{Host: router.Host{ID: 9, Zone: "south", Build: 1, Weight: 1}, Address: "127.0.0.1:4002"},
}

func TestLoadCache_ReadsFileOfEarlierVersion(t *testing.T) {
	hosts, err := LoadCache("testdata/endpoints.json")
	require.NoError(t, err)
	require.Equal(t, storedHosts, hosts)
}

func TestSaveCache_WritesFormOfEarlierVersion(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	require.NoError(t, SaveCache(file, storedHosts))
	want, err := os.ReadFile("testdata/endpoints.json")
	require.NoError(t, err)
	got, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}

func TestLoadCache_RejectsUnknownField(t *testing.T) {
	file := filepath.Join(t.TempDir(), "list")
	require.NoError(t, os.WriteFile(file, []byte(`{"format":1,"hosts":[{"ID":1,"Zone":"north"}]}`), 0o600))
	_, err := LoadCache(file)
	require.ErrorContains(t, err, `unknown field "Zone"`)
}
