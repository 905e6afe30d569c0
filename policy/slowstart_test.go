package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSlowStart_LimitsAttemptsAtColdHostWhileOthersDrain(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	f.serve(100, f.quote, succeeds)
	for i := range endpoints[:6] {
		endpoints[i].State = Draining
	}
	coldHost := f.host(20, 1)
	coldHost.StartedAt = f.now
	f.router.EndpointsChanged(f.now, append(endpoints, coldHost), true)
	n := 0
	for range 100 { // 100 requests a second; before, six hosts shared 20 a second
		if request := f.arrive(f.quote); len(request.Attempts) > 0 && request.Attempts[0].Host == coldHost.Host {
			n++
		}
		f.advance(Second / 100)
	}
	require.Positive(t, n)
	require.Less(t, n, 10)
}

func TestSlowStart_KeepsManyRoutersFromOverloadingColdHost(t *testing.T) {
	n := 0
	for rank := range 60 { // each serves 20 requests a second; together that is far beyond a cold host's budget
		f, endpoints := newFakeFleet(t, func(config *Config) { config.Seed, config.Routers, config.Rank = uint64(rank), 60, rank })
		f.serve(80, f.quote, succeeds)
		endpoints[0].StartedAt = f.now
		f.router.EndpointsChanged(f.now, endpoints, true)
		f.attempts = nil
		for range 20 { // takes two seconds, two overload windows
			f.serve(2, f.quote, succeeds)
		}
		for _, attempt := range f.attempts {
			if attempt.Host == endpoints[0].Host {
				n++
			}
		}
	}
	require.Positive(t, n)
	require.Less(t, n, 2*60*3*2) // 60 routers' 20 attempts a second over 6 hosts: 200, times a capacity factor of 0.3 to 0.6, times 3
}
