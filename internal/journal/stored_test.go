package journal

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The journal in testdata and its JSON form were written by the program built from commit d72f78e. Each field of the entry
// has a distinct value. The files must never be regenerated.
const (
	storedFile = "testdata/agent-d72f78e.db"
	storedText = "testdata/agent-d72f78e.json"
)

// loaded returns a journal's entry and the JSON form of the entry.
func loaded(t *testing.T, j *Journal) (Entry, string) {
	t.Helper()
	e, err := j.Load()
	require.NoError(t, err)
	text, err := json.Marshal(e)
	require.NoError(t, err)
	return e, string(text)
}

func TestJournal_ReadsAndRewritesStoredEntryByteForByte(t *testing.T) {
	want, err := os.ReadFile(storedText)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "agent.db")
	copied, err := os.ReadFile(storedFile)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, copied, 0o600))
	j, err := Open(file)
	require.NoError(t, err)
	e, got := loaded(t, j)
	require.Equal(t, string(want), got)
	require.NoError(t, j.Save(e))
	require.NoError(t, j.Close())
	j, err = Open(file)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, j.Close()) })
	_, got = loaded(t, j)
	require.Equal(t, string(want), got)
}
