package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRouter_SendsNoAttemptAfterFinalResponse(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	request := f.arrive(f.quote)
	f.end(request.Attempts[0], Succeeded, Second/20)
	attempts := len(f.attempts)
	f.advance(5 * Second)
	require.True(t, request.Answered())
	require.Len(t, f.attempts, attempts)
	require.Empty(t, f.rejected)
}

func TestDispatch_RejectsRequestWithoutHosts(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	for i := range endpoints {
		endpoints[i].State = Removed
	}
	f.router.EndpointsChanged(f.now, endpoints, true)
	request := f.arrive(f.payment)
	require.Equal(t, []*Request{request}, f.rejected)
	require.Empty(t, f.attempts)
}
