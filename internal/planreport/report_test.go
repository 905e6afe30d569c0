package planreport

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/inifile"
	"dapplefront/plan"
)

func TestFromFile_ReportsEveryInvalidSettingWithItsLine(t *testing.T) {
	file := inifile.Parse("plan.ini", "[plan]\nstart = 25:00\nsteps = 3\nstep = 1h\n[category quote]\nwork = 30\nrepeat = retriable\n"+
		"[hosts north]\ncount = -1\n[demand north]\nquote = 1, 2\n[bounds]\nreserve = 100%\n[release]\nbuild = 2\nshares = 1%\ncaps = 1%, 2%\nat = 1h\n")
	FromFile(file)
	err := file.Err()
	for _, want := range []string{"plan.ini:2: [plan] start = 25:00", "plan.ini:6: [category quote] work = 30", "plan.ini:9: [hosts north] count = -1",
		"plan.ini:11: [demand north] quote: one figure, or one for each of 3 steps expected, not 2", "plan.ini:13: [bounds] reserve",
		"plan.ini:16: [release] shares, caps and at: the same number of values in each"} {
		require.ErrorContains(t, err, want)
	}
}

const smallPlan = `[plan]
start = 08:00
steps = 2
[category quote]
work = 100ms
repeat = retriable
[hosts north]
count = 4
[hosts port]
count = 4
starts = 0s
[demand north]
quote = 20, 38
[demand port]
quote = 9
[bounds]
cross = 0%
cold = 5s
cold-share = 50%
cold-tasks = 2
cold-window = 1s
lose-host = on
[release]
build = 2
shares = 25%
caps = 10%
at = 1h
`

func TestReport_PrintsPlotsAndComparesPlans(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plan.ini")
	require.NoError(t, os.WriteFile(file, []byte(smallPlan), 0o600))
	report, err := Read(file)
	require.NoError(t, err)
	p, err := plan.Solve(report.Model)
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, report.Print(&out, p, true))
	for _, want := range []string{
		"08:00: 5 requests/s can't be served: zone port has a demand of 9 requests/s, 0.9 s of work per second; zone port has only hosts that started less than 5s ago: at most 4 requests/s",
		"09:00: 8 requests/s can't be served: zone north has a demand of 38 requests/s", "the loss of host", "infeasible at", "25.0000%"} {
		require.Contains(t, out.String(), want)
	}
	for _, name := range []string{"plan.svg", "plan.png"} {
		plotFile := filepath.Join(t.TempDir(), name)
		require.NoError(t, report.Plot(plotFile, p))
		info, err := os.Stat(plotFile)
		require.NoError(t, err)
		require.Greater(t, info.Size(), int64(5000))
	}
	require.ErrorContains(t, report.Plot("plan.gif", p), ".svg or .png")
	other, err := report.Model.WhatIf("demand x0.5 port")
	require.NoError(t, err)
	q, err := plan.Solve(other)
	require.NoError(t, err)
	out.Reset()
	require.NoError(t, report.PrintDiff(&out, plan.Diff(p, q)))
	require.Regexp(t, `08:00\s+unserved\s+all\s+5.0/s\s+0.5/s`, out.String())
	out.Reset()
	require.NoError(t, report.PrintDiff(&out, plan.Diff(p, p)))
	require.Equal(t, "no difference\n", out.String())
}
