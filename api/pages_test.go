package api

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPage_IsWhatTheDocumentationHas(t *testing.T) {
	page, err := Page()
	require.NoError(t, err)
	written, err := os.ReadFile("../docs/interface.md")
	require.NoError(t, err)
	require.Equal(t, page, string(written), "go run ./api/pages")
}
