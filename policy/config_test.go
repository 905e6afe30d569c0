package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRouter_AppliesConfigChangeBetweenEvents(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.advance(Second / 100)
	polls := f.polls
	request := f.arrive(f.payment)
	limits, release := f.router.limits, f.router.release.config
	limits.MaxGossipBytes, limits.PushedDiscovery, limits.AllowHedging = 256, true, false
	f.router.ConfigChanged(f.now, 300, 4, limits, release)
	require.Len(t, f.attempts, 1, "the change sends no attempt")
	f.end(request.Attempts[0], Succeeded, Second/20)
	require.True(t, request.Answered())
	f.serve(30, f.quote, succeeds)
	f.advance(5 * Second)
	require.NotEmpty(t, f.gossip)
	limits.MaxGossipBytes, limits.PushedDiscovery = 0, false
	messages := len(f.gossip)
	f.router.ConfigChanged(f.now, 1, 0, limits, release)
	require.Equal(t, polls+1, f.polls, "the endpoint list must be polled from now on")
	f.advance(5 * Second)
	require.Len(t, f.gossip, messages)
}
