package api

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPage_EqualsCheckedInDocument(t *testing.T) {
	page, err := Page()
	require.NoError(t, err)
	written, err := os.ReadFile("../docs/interface.md")
	require.NoError(t, err)
	require.Equal(t, page, string(written), "docs/interface.md is out of date: go run ./api/pages")
}
