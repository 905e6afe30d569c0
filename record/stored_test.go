package record

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

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
		r, err := Replay([]string{file}, func(e Entry) {
			events[EventText(e.Event)]++
			for _, a := range e.Actions {
				actions[a.Kind]++
			}
		})
		require.NoError(t, err)
		require.Nil(t, r.First, "%v", r.First)
		require.Zero(t, r.Differences)
		require.Zero(t, r.Skipped)
		require.Empty(t, r.Gaps)
		require.Equal(t, 1, r.Starts)
		require.Greater(t, r.Entries, 3000)
		require.Greater(t, r.Actions, 2000)
		require.GreaterOrEqual(t, len(actions), 9, "kinds of actions in %s", file)
	}
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
