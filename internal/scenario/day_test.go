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

// The test binary is also the hosts' process in days with agents.
func TestMain(m *testing.M) {
	testbed.RunIfBackendProcess()
	os.Exit(m.Run())
}

// play plays a day; one that the machine was too busy for to judge is played again.
func play(t *testing.T, p Plan) *Result {
	t.Helper()
	for range 3 {
		r, err := Play(context.Background(), p, slog.New(slog.DiscardHandler), nil)
		require.NoError(t, err)
		if r.Exit() != 2 {
			return r
		}
		t.Log(r.Last())
	}
	t.Skip("the machine stood still in each of three days: nothing can be told")
	return nil
}

func TestEachBreachIsFoundByItsName(t *testing.T) {
	for _, b := range Breaches {
		t.Run(b, func(t *testing.T) {
			p, err := Draw("drain", 1, 6*time.Second)
			require.NoError(t, err)
			p.Offers[0].At, p.Troubles[0].At, p.Breach = 0, 0, b
			r := play(t, p)
			require.Equal(t, 1, r.Exit())
			require.Contains(t, r.Last(), b+" at ")
		})
	}
}

func TestADayOfPairedTroublesKeepsTheRules(t *testing.T) {
	p, err := Draw("bad-some+die+restarts", 2, 12*time.Second)
	require.NoError(t, err)
	r := play(t, p)
	var out bytes.Buffer
	r.Print(&out)
	require.Equal(t, 0, r.Exit(), out.String())
	require.Contains(t, out.String(), "rules kept: 5 of 5\n")
	require.NoError(t, r.WriteJSON(&out))
}

func TestAScriptIsCheckedAsAWhole(t *testing.T) {
	s := inifile.Parse("day.ini", "[day]\nlength = 2h\nhosts = 2\n[build 1]\nat = 5\n[trouble x]\nkind = rain\nat = 1s\nfor = 1s\n")
	From(s)
	err := s.Err()
	for _, want := range []string{"day.ini:2: [day] length: from 1s to 1h", "day.ini:3: [day] each location needs", "day.ini:5: [build 1] at = 5",
		"day.ini:7: [trouble x] kind = rain"} {
		require.ErrorContains(t, err, want)
	}
	_, err = Draw("rain", 1, time.Second)
	require.ErrorContains(t, err, "rain")
}

func TestABuildThatLacksASignatureNeverServesUnderAgents(t *testing.T) {
	p, err := Draw("bad-signed+good", 1, 8*time.Second)
	require.NoError(t, err)
	p.Agents, p.Hosts, p.Rate = true, 6, 40
	r := play(t, p)
	var out bytes.Buffer
	r.Print(&out)
	require.Equal(t, 0, r.Exit(), out.String())
	require.NotEmpty(t, r.Agents.Phases["fetching"])
	var phases []policy.Phase
	for _, m := range r.Moves {
		if m.Build == 2 {
			phases = append(phases, m.Phase)
		}
	}
	require.Equal(t, []policy.Phase{policy.Canary, policy.RollingBack, policy.RolledBack}, phases, out.String())
	_, took := r.Agents.Retired[2]
	require.False(t, took, "no task reached it")
}

func TestADayByTLSWithThreeControllersOfWhichSomeEnd(t *testing.T) {
	p, err := Draw("good", 3, 10*time.Second)
	require.NoError(t, err)
	p.Controllers, p.Secure, p.Shares, p.Records = 3, true, "plan", t.TempDir()
	r := play(t, p)
	var out bytes.Buffer
	r.Print(&out)
	require.Equal(t, 0, r.Exit(), out.String())
	require.Positive(t, r.Killed[0])
	require.Positive(t, r.Planned.Followed)
	finished := 0
	for _, x := range r.Releases {
		finished += x.Requests["finished"]
	}
	require.Positive(t, finished, "routers have reported")
	files, err := filepath.Glob(filepath.Join(p.Records, "*.rec"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for i := 1; i <= p.Routers; i++ {
		files, err := record.Files(p.Records, fmt.Sprintf("r%d", i))
		require.NoError(t, err)
		again, err := record.Replay(files, nil)
		require.NoError(t, err)
		require.Zero(t, again.Differences, "%v", again.First)
		require.Empty(t, again.Gaps)
		require.Greater(t, again.Actions, 500)
	}
}
