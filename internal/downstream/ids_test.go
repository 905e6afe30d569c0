package downstream

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

func TestIDRegistry_RefusesExecutedIDUntilTimeout(t *testing.T) {
	r := newIDRegistry()
	r.add("a")
	require.True(t, r.isOpen("a"))
	r.remove("a", true, policy.Second)
	require.False(t, r.isOpen("a"))
	require.True(t, r.mayHaveRun("a", policy.Second+executedIDTimeout))
	require.False(t, r.mayHaveRun("a", policy.Second+executedIDTimeout+1))
	r.add("b")
	r.remove("b", false, policy.Second)
	require.False(t, r.mayHaveRun("b", policy.Second))
}

// Guards against memory that grows with the ids that clients choose.
func TestIDRegistry_ForgetsOldestExecutedIDsBeyondLimit(t *testing.T) {
	r := newIDRegistry()
	const ids = 3 * maxExecutedIDs
	for n := range ids {
		id := strconv.Itoa(n)
		r.add(id)
		r.remove(id, true, policy.Time(n))
		require.LessOrEqual(t, len(r.order), maxExecutedIDs)
		require.LessOrEqual(t, len(r.executed), maxExecutedIDs)
	}
	require.Empty(t, r.open)
	require.LessOrEqual(t, cap(r.order), 2*maxExecutedIDs)
	require.False(t, r.mayHaveRun(strconv.Itoa(ids-maxExecutedIDs-1), ids))
	require.True(t, r.mayHaveRun(strconv.Itoa(ids-maxExecutedIDs), ids))
}
