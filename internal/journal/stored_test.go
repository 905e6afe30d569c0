package journal

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The journal in testdata was written by the program of commit d72f78e, from an entry in which each field has a value of
// its own, and so was the JSON beside it. They are never written anew.
const (
	storedFile = "testdata/agent-d72f78e.db"
	storedText = "testdata/agent-d72f78e.json"
)

// loaded is a journal's entry as JSON.
func loaded(t *testing.T, j *Journal) (Entry, string) {
	t.Helper()
	e, err := j.Load()
	require.NoError(t, err)
	text, err := json.Marshal(e)
	require.NoError(t, err)
	return e, string(text)
}

func TestAJournalOfAnEarlierProgramIsReadAndWrittenByteForByte(t *testing.T) {
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
