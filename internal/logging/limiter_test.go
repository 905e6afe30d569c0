package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a log that clients can fill as fast as they like.
func TestLimiter_LogsEachMessageAtMostSoOftenAndCountsTheRest(t *testing.T) {
	var out bytes.Buffer
	l := NewLimiter(slog.New(slog.NewTextHandler(&out, nil)))
	now := time.Now()
	l.now = func() time.Time { return now }
	for range 3 * limitLines {
		l.Log(slog.LevelWarn, "often", "client", 1)
		l.Log(slog.LevelDebug, "not enabled")
	}
	l.Log(slog.LevelInfo, "once")
	require.Equal(t, limitLines, strings.Count(out.String(), "msg=often client=1\n"))
	require.Equal(t, 1, strings.Count(out.String(), "msg=once\n"))
	out.Reset()
	now = now.Add(limitInterval)
	l.Log(slog.LevelWarn, "often", "client", 2)
	l.Log(slog.LevelWarn, "often", "client", 3)
	require.Contains(t, out.String(), "msg=often client=2 suppressed=40\n")
	require.Contains(t, out.String(), "msg=often client=3\n")
}
