package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTimeoutWithLag_SubtractsLag(t *testing.T) {
	require.Equal(t, Second, TimeoutWithLag(Second, 0))
	require.Equal(t, 3*Second/4, TimeoutWithLag(Second, Second/4))
	require.Zero(t, TimeoutWithLag(Second/4, Second))
}
