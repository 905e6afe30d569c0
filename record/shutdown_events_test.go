package record

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
	"dapplefront/router"
)

func TestReplay_FindsNoDifferenceInRecordedShutdown(t *testing.T) {
	dir := t.TempDir()
	w, err := Create(Config{Dir: dir, Name: "r1"})
	require.NoError(t, err)
	now := 1000 * policy.Second
	r, actions := router.New(now, testConfig)
	require.NoError(t, w.WriteStart(now, testConfig, actions))
	var all []router.Action
	handle := func(e router.Event) {
		actions, err := r.Handle(now, e, nil)
		require.NoError(t, err)
		require.NoError(t, w.WriteEvent(now, e, actions))
		all = append(all, actions...)
	}
	handle(router.EndpointsChanged{Complete: true, Hosts: []router.Host{{ID: 1, Zone: "north", Build: 1, Weight: 1}}})
	for _, id := range []string{"b", "a"} {
		handle(router.RequestArrived{RequestID: id, Class: "quote", Timeout: 90_000})
	}
	handle(router.ShutdownStarted{KillAfter: 37_000})
	handle(router.ShutdownStarted{})
	for len(all) > 0 {
		a := all[0]
		all = all[1:]
		if a.Kind == router.SetTimer && a.Duration == 0 {
			handle(router.TimerFired{Timer: a.Timer})
		}
	}
	require.NoError(t, w.Close())
	files, err := Files(dir, "r1")
	require.NoError(t, err)
	kinds := map[router.ActionKind]int{}
	events := map[string]int{}
	report, err := Replay(files, func(e Entry) {
		events[EventText(e.Event)]++
		for _, a := range e.Actions {
			kinds[a.Kind]++
		}
	})
	require.NoError(t, err)
	require.Zero(t, report.Differences)
	require.Zero(t, report.Skipped)
	require.Equal(t, 1, events["shutdown started, the process may be killed after 3700.0 ms"])
	require.Equal(t, 1, events["shutdown started, the process may be killed after 0.0 ms"])
	require.Equal(t, 2, kinds[router.CancelUnsent])
	require.Equal(t, 2, kinds[router.Fail])
}
