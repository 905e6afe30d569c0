package scenario

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/record"
)

// The routers make the configuration change of docs/migration.md and its reverse while requests of every idempotency are
// in flight. The audit judges the rules by what clients and backends observed, and the decision records replay to the same
// actions.
func TestRun_KeepsTheRulesAcrossConfigUpdates(t *testing.T) {
	spec, err := Generate("switch", 3, 9*time.Second)
	require.NoError(t, err)
	spec.Records = t.TempDir()
	spec.Faults[0].At, spec.Faults[0].Duration = 2*time.Second, 4*time.Second
	result := runJudged(t, spec)
	var out bytes.Buffer
	require.NoError(t, result.Print(&out))
	require.Equal(t, 0, result.ExitCode(), out.String())
	require.Contains(t, out.String(), "rules kept: 5 of 5\n")
	require.Equal(t, 2*spec.Routers, result.ConfigUpdates, "each router is updated to the second configuration and back")
	for _, class := range []string{"quote", "order", "transfer"} {
		require.Positive(t, result.Scores[class].InTime, class)
		require.Zero(t, result.Scores[class].Lost, class)
	}
	files, err := filepath.Glob(filepath.Join(spec.Records, "*"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	got, err := record.Replay(files, nil)
	require.NoError(t, err)
	require.Zero(t, got.Differences)
	require.Greater(t, got.Actions, 1000)
}
