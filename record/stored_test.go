package record

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
	"dapplefront/router"
)

// The files in testdata were written by the program built from commit d72f78e.

func TestReplay_FindsNoDifferenceInRecordsOfEarlierVersion(t *testing.T) {
	files, err := filepath.Glob("testdata/*.rec")
	require.NoError(t, err)
	require.Len(t, files, 3)
	for _, file := range files {
		events := map[string]int{}
		actions := map[router.ActionKind]int{}
		r, differences := replayEach(t, file, func(e Entry) {
			events[EventText(e.Event)]++
			for _, a := range e.Actions {
				actions[a.Kind]++
			}
		})
		for _, difference := range differences {
			require.True(t, isShorterPollBackoff(difference), "%v", difference)
		}
		require.Zero(t, r.Skipped)
		require.Empty(t, r.Gaps)
		require.Equal(t, 1, r.Starts)
		require.Greater(t, r.Entries, 3000)
		require.Greater(t, r.Actions, 2000)
		require.GreaterOrEqual(t, len(actions), 9, "kinds of actions in %s", file)
	}
}

// replayEach replays a file and returns every difference, not only the first one.
func replayEach(t *testing.T, file string, explain func(Entry)) (r *Report, differences []*Difference) {
	t.Helper()
	each := replayer{report: &Report{}, explain: explain}
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	require.NoError(t, Read(f, func(e Entry) error {
		each.report.First = nil
		err := each.replay(e)
		if each.report.First != nil {
			differences = append(differences, each.report.First)
		}
		return err
	}))
	require.Len(t, differences, each.report.Differences)
	return each.report, differences
}

// isShorterPollBackoff reports whether a difference is the one that later versions have on purpose: after a failed poll,
// the program from d72f78e waited longer than changes of the endpoint list may go unnoticed.
func isShorterPollBackoff(d *Difference) bool {
	if _, ok := d.Entry.Event.(router.EndpointsUnavailable); !ok || len(d.Recorded) != 1 || len(d.Replayed) != 1 {
		return false
	}
	recorded, replayed := d.Recorded[0], d.Replayed[0]
	tooLong := recorded.Duration > policy.MaxPollBackoff && replayed.Duration <= policy.MaxPollBackoff
	replayed.Duration = recorded.Duration
	return tooLong && recorded.Kind == router.SetTimer && recorded == replayed
}

func TestStoredConfig_KeepsFormAndEveryField(t *testing.T) {
	want, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	p, err := unmarshalConfig(want)
	require.NoError(t, err)
	got, err := marshalConfig(*p)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}

func TestUnmarshalConfig_RejectsUnknownField(t *testing.T) {
	_, err := unmarshalConfig([]byte(`{"Seed":1,"Limits":{"DrainGrace":1}}`))
	require.ErrorContains(t, err, `unknown field "DrainGrace"`)
	_, err = unmarshalConfig([]byte(`{"Seed":1} {}`))
	require.Error(t, err)
}
