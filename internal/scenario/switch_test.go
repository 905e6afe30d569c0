package scenario

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/record"
)

// The switch of docs/migration.md, there and back, under load with retriable, fingerprinted and binding tasks in
// flight: the audit judges the rules from what clients and hosts saw, and the records replay to the same actions.
func TestASwitchThereAndBackUnderLoadKeepsTheRulesAndReplays(t *testing.T) {
	p, err := Draw("switch", 3, 9*time.Second)
	require.NoError(t, err)
	p.Records = t.TempDir()
	p.Troubles[0].At, p.Troubles[0].For = 2*time.Second, 4*time.Second
	r := play(t, p)
	var out bytes.Buffer
	r.Print(&out)
	require.Equal(t, 0, r.Exit(), out.String())
	require.Contains(t, out.String(), "rules kept: 5 of 5\n")
	require.Equal(t, 2*p.Routers, r.Settled, "each router went there and back")
	for _, category := range []string{"quote", "order", "transfer"} {
		require.Greater(t, r.Scores[category].InTime, 0, category)
		require.Zero(t, r.Scores[category].Lost, category)
	}
	files, err := filepath.Glob(filepath.Join(p.Records, "*"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	got, err := record.Replay(files, nil)
	require.NoError(t, err)
	require.Zero(t, got.Differences)
	require.Greater(t, got.Actions, 1000)
}
