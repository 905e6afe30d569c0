package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestColdHostGetsFewAttemptsEvenWhenAlmostTheOnlyOne(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	f.serve(100, f.quote, succeeds)
	for i := range list[:6] {
		list[i].State = Draining
	}
	fresh := f.host(20, 1)
	fresh.StartedAt = f.now
	f.router.EndpointsChanged(f.now, append(list, fresh), true)
	n := 0
	for range 100 { // a hundred a second, six times what one host had
		if request := f.arrive(f.quote); len(request.Attempts) > 0 && request.Attempts[0].Host == fresh.Host {
			n++
		}
		f.advance(Second / 100)
	}
	require.Positive(t, n)
	require.Less(t, n, 10)
}

func TestManyRoutersTogetherDoNotOverloadAColdHost(t *testing.T) {
	n := 0
	for rank := range 60 { // each serves ten tasks a second of a fleet where that is far over a cold host's due
		f, list := newFakeFleet(t, func(p *Config) { p.Seed, p.Routers, p.Rank = uint64(rank), 60, rank })
		f.serve(80, f.quote, succeeds)
		list[0].StartedAt = f.now
		f.router.EndpointsChanged(f.now, list, true)
		f.attempts = nil
		for range 20 { // two windows of the rule
			f.serve(2, f.quote, succeeds)
		}
		for _, attempt := range f.attempts {
			if attempt.Host == list[0].Host {
				n++
			}
		}
	}
	require.Positive(t, n)
	require.Less(t, n, 2*60*3*2) // of 60 routers' 20 sends a second over 6 hosts: 200, times 0.3 to 0.6, times 3
}
