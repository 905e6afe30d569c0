package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestZonesAreWeighedByExpectedSlowdownAndPrice(t *testing.T) {
	f, list := newFakeFleet(t, func(p *Config) { p.Limits.CrossZonePrice = 0.1 })
	for i := range 3 {
		list[i].Zone = f.remoteZone
	}
	f.router.EndpointsChanged(f.now, list, true)
	f.serve(100, f.quote, succeeds)
	for _, attempt := range f.attempts {
		require.Same(t, f.localZone, attempt.Host.Zone) // it is quiet: nothing is worth the price
	}
	var crossed bool
	for range 60 { // the hosts here answer no more, those there do
		request := f.arrive(f.quote)
		f.advance(Second / 50)
		for _, attempt := range request.Attempts {
			if attempt.Host.Zone == f.remoteZone {
				crossed = true
				f.end(attempt, Succeeded, Second/20)
			}
		}
	}
	require.True(t, crossed)
}

func TestHostsThatJustReportedLittleLoadAreDrawnTooInALargeFleet(t *testing.T) {
	f, list := newFakeFleet(t, func(p *Config) { p.Routers = 50 })
	for id := range uint32(60) {
		list = append(list, f.host(100+id, 1))
	}
	f.router.EndpointsChanged(f.now, list, true)
	n := 0
	for range 200 { // one host in three holds nothing, the others hold four
		request := f.arrive(f.quote)
		f.advance(Second / 20)
		for _, attempt := range request.Attempts {
			load := &LoadReport{ActiveRequests: 4}
			if attempt.Host.ID%3 == 0 {
				n, load = n+1, &LoadReport{}
			}
			f.router.AttemptEnded(f.now, attempt, Succeeded, Second/20, true, load)
		}
	}
	require.Greater(t, n, 120) // two random ones would give some seventy
}

func TestConnectionsThatWorkAreUsedWhileTheyAreScarce(t *testing.T) {
	f, list := newFakeFleet(t, nil)
	refused := 0
	fate := func(attempt *Attempt) Outcome {
		if attempt.Host != list[2].Host && attempt.Host != list[3].Host {
			refused++
			return ConnectFailed
		}
		return Succeeded
	}
	f.serve(200, f.payment, fate)
	require.Less(t, refused, 100) // two in three sends at random
}

// Hosts of two kinds: the list's hint moves the shares where no one knows better.
func TestDrawsFollowEndpointWeights(t *testing.T) {
	f, list := newGossipingFleet(t, nil)
	for i := range list[:6] {
		list[i].Weight = []float64{1, 3}[i%2]
	}
	f.router.EndpointsChanged(f.now, list, true)
	f.serve(400, f.quote, succeeds)
	n := [2]int{}
	for _, attempt := range f.attempts {
		n[(attempt.Host.ID+1)%2]++
	}
	require.Greater(t, n[1], 2*n[0])
}
