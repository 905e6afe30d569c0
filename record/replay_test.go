package record

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/router"
)

func TestReplay_FindsNoDifferenceForUnchangedRouter(t *testing.T) {
	_, files := recordRun(t, 6000, Config{})
	r, err := Replay(files, nil)
	require.NoError(t, err)
	require.Nil(t, r.First, "%v", r.First)
	require.Equal(t, 1, r.Starts)
	require.Greater(t, r.Actions, 6000)
	require.Empty(t, r.Gaps)
}

func TestReplay_ReportsAndTracesChangedAction(t *testing.T) {
	_, files := recordRun(t, 500, Config{})
	dir := t.TempDir()
	w, err := Create(Config{Dir: dir, Name: "r1", Secret: []byte("s")})
	require.NoError(t, err)
	changed := ""
	f, err := os.Open(files[0])
	require.NoError(t, err)
	require.NoError(t, Read(f, func(e Entry) error {
		for i, a := range e.Actions { // one attempt to another host, as if the router had decided differently
			if x, ok := e.Event.(router.RequestArrived); ok && a.Kind == router.SendAttempt && changed == "" && x.RequestID == "200" {
				e.Actions[i].Host, changed = a.Host%10+1, x.RequestID
			}
		}
		if e.Config != nil {
			return w.WriteStart(e.At, *e.Config, e.Actions)
		}
		return w.WriteEvent(e.At, e.Event, e.Actions)
	}))
	require.NoError(t, f.Close())
	require.NoError(t, w.Close())
	files, err = Files(dir, "r1")
	require.NoError(t, err)
	r, err := Replay(files, nil)
	require.NoError(t, err)
	require.Equal(t, 1, r.Differences)
	text := r.First.String()
	require.Contains(t, text, "request 200 arrived")
	require.Contains(t, text, "recorded: send attempt 0 of request 200")
	require.Contains(t, text, "replayed: send attempt 0 of request 200")
	require.Contains(t, text, "preceding entries:")
	var trace bytes.Buffer
	_, err = Replay(files, TraceRequest("200", &trace))
	require.NoError(t, err)
	require.Contains(t, trace.String(), "request 200 arrived")
	require.Contains(t, trace.String(), "send attempt 0 of request 200")
}
