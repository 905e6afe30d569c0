package scenario

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/inifile"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
	"dapplefront/record"
)

// TestMain runs the test binary as a backend process if an agent of a scenario has started it.
func TestMain(m *testing.M) {
	testbed.RunIfBackendProcess()
	os.Exit(m.Run())
}

// runJudged runs a scenario. It repeats a run that the audit can't judge because the machine stalled, and skips the test
// after three such runs.
func runJudged(t *testing.T, spec Spec) *Result {
	t.Helper()
	for range 3 {
		result, err := Run(context.Background(), spec, slog.New(slog.DiscardHandler), nil)
		require.NoError(t, err)
		if result.ExitCode() != 2 {
			return result
		}
		t.Log(result.Summary())
	}
	t.Skip("the machine stalled in each of three runs: the audit can't judge them")
	return nil
}

func TestRun_FindsEachViolation(t *testing.T) {
	for _, violation := range Violations {
		t.Run(violation, func(t *testing.T) {
			spec, err := Generate("drain", 1, 6*time.Second)
			require.NoError(t, err)
			spec.Rollouts[0].At, spec.Faults[0].At, spec.Violation = 0, 0, violation
			result := runJudged(t, spec)
			require.Equal(t, 1, result.ExitCode())
			require.Contains(t, result.Summary(), violation+" at ")
		})
	}
}

func TestRun_KeepsTheRulesUnderCombinedFaults(t *testing.T) {
	spec, err := Generate("bad-some+die+restarts", 2, 12*time.Second)
	require.NoError(t, err)
	result := runJudged(t, spec)
	var out bytes.Buffer
	require.NoError(t, result.Print(&out))
	require.Equal(t, 0, result.ExitCode(), out.String())
	require.Contains(t, out.String(), "rules kept: 5 of 5\n")
	require.NoError(t, result.WriteJSON(&out))
}

func TestParse_ReportsAllErrorsOfAScript(t *testing.T) {
	file := inifile.Parse("day.ini", "[day]\nlength = 2h\nhosts = 2\n[build 1]\nat = 5\n[trouble x]\nkind = rain\nat = 1s\nfor = 1s\n")
	Parse(file)
	err := file.Err()
	for _, want := range []string{"day.ini:2: [day] length: from 1s to 1h", "day.ini:3: [day] each location needs", "day.ini:5: [build 1] at = 5",
		"day.ini:7: [trouble x] kind = rain"} {
		require.ErrorContains(t, err, want)
	}
	_, err = Generate("rain", 1, time.Second)
	require.ErrorContains(t, err, "rain")
}

func TestRun_WithAgentsRejectsBuildThatLacksASignature(t *testing.T) {
	spec, err := Generate("bad-signed+good", 1, 8*time.Second)
	require.NoError(t, err)
	spec.Agents, spec.Hosts, spec.RequestRate = true, 6, 40
	result := runJudged(t, spec)
	var out bytes.Buffer
	require.NoError(t, result.Print(&out))
	require.Equal(t, 0, result.ExitCode(), out.String())
	require.NotEmpty(t, result.Agents.PhaseDurations["fetching"])
	var phases []policy.Phase
	for _, m := range result.Transitions {
		if m.Build == 2 {
			phases = append(phases, m.Phase)
		}
	}
	require.Equal(t, []policy.Phase{policy.Canary, policy.RollingBack, policy.RolledBack}, phases, out.String())
	_, reached := result.Agents.TrafficAfterRemoval[2]
	require.False(t, reached, "no request reaches build 2")
}

func TestRun_WithTLSKeepsTheRulesWhileControllersRestart(t *testing.T) {
	spec, err := Generate("good", 3, 10*time.Second)
	require.NoError(t, err)
	spec.Controllers, spec.TLS, spec.TrafficPlan, spec.Records = 3, true, "plan", t.TempDir()
	result := runJudged(t, spec)
	var out bytes.Buffer
	require.NoError(t, result.Print(&out))
	require.Equal(t, 0, result.ExitCode(), out.String())
	require.Positive(t, result.ControllerRestarts.All)
	require.Positive(t, result.Plans.Followed)
	finished := 0
	for _, release := range result.Releases {
		finished += release.Requests["finished"]
	}
	require.Positive(t, finished, "routers have reported finished requests")
	files, err := filepath.Glob(filepath.Join(spec.Records, "*.rec"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for i := 1; i <= spec.Routers; i++ {
		files, err := record.Files(spec.Records, fmt.Sprintf("r%d", i))
		require.NoError(t, err)
		replay, err := record.Replay(files, nil)
		require.NoError(t, err)
		require.Zero(t, replay.Differences, "%v", replay.First)
		require.Empty(t, replay.Gaps)
		require.Greater(t, replay.Actions, 500)
	}
}
