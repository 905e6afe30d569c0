package record_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/platformsettings"
	"dapplefront/internal/routerconfig"
	"dapplefront/record"
	"dapplefront/router"
)

// Guards against changes in how settings are read. The configurations are compared in their stored form, because that
// form does not change when names in the code do.
func TestMarshalConfig_KeepsStoredFormOfSettings(t *testing.T) {
	t.Run("INI file", func(t *testing.T) {
		c, err := routerconfig.Read("testdata/router.ini")
		require.NoError(t, err)
		requireStored(t, "testdata/router.ini.json", c.Router)
	})
	t.Run("platform settings", func(t *testing.T) {
		text, err := os.ReadFile("testdata/settings.json")
		require.NoError(t, err)
		p, err := platformsettings.Flatten(text)
		require.NoError(t, err)
		requireStored(t, "testdata/settings.json.json", platformsettings.Read(p, 7).Router)
	})
}

func requireStored(t *testing.T, golden string, p router.Config) {
	t.Helper()
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	got, err := record.MarshalConfig(p)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}
