package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestConfigChangeTakesEffectBetweenTwoEvents(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.advance(Second / 100)
	asks := f.polls
	request := f.arrive(f.payment)
	l, d := f.router.limits, f.router.release.config
	l.MaxGossipBytes, l.PushedDiscovery, l.AllowHedging = 256, true, false
	f.router.ConfigChanged(f.now, 300, 4, l, d)
	require.Len(t, f.attempts, 1, "nothing is sent anew")
	f.end(request.Attempts[0], Succeeded, Second/20)
	require.True(t, request.Answered())
	f.serve(30, f.quote, succeeds)
	f.advance(5 * Second)
	require.NotEmpty(t, f.gossip)
	l.MaxGossipBytes, l.PushedDiscovery = 0, false
	told := len(f.gossip)
	f.router.ConfigChanged(f.now, 1, 0, l, d)
	require.Equal(t, asks+1, f.polls, "the list is asked for from now on")
	f.advance(5 * Second)
	require.Len(t, f.gossip, told)
}
