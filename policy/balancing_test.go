package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPickHost_CrossesZonesOnlyWhenLocalHostsAreSlow(t *testing.T) {
	f, endpoints := newFakeFleet(t, func(config *Config) { config.Limits.CrossZonePrice = 0.1 })
	for i := range 3 {
		endpoints[i].Zone = f.remoteZone
	}
	f.router.EndpointsChanged(f.now, endpoints, true)
	f.serve(100, f.quote, succeeds)
	for _, attempt := range f.attempts {
		require.Same(t, f.localZone, attempt.Host.Zone) // nothing is worth the cost of crossing while local hosts are idle
	}
	var crosses bool
	for range 60 { // local hosts no longer respond, remote hosts do
		request := f.arrive(f.quote)
		f.advance(Second / 50)
		for _, attempt := range request.Attempts {
			if attempt.Host.Zone == f.remoteZone {
				crosses = true
				f.end(attempt, Succeeded, Second/20)
			}
		}
	}
	require.True(t, crosses)
}

func TestPickHost_PrefersHostsWithRecentLowLoadInLargeFleet(t *testing.T) {
	f, endpoints := newFakeFleet(t, func(config *Config) { config.Routers = 50 })
	for id := range uint32(60) {
		endpoints = append(endpoints, f.host(100+id, 1))
	}
	f.router.EndpointsChanged(f.now, endpoints, true)
	n := 0
	for range 200 { // one host in three reports no request in flight, the others report four
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
	require.Greater(t, n, 120) // two hosts drawn at random would give about 70
}

func TestPickHost_PrefersConnectedHostsWhileConnectionsAreScarce(t *testing.T) {
	f, endpoints := newFakeFleet(t, nil)
	refused := 0
	outcomeOf := func(attempt *Attempt) Outcome {
		if attempt.Host != endpoints[2].Host && attempt.Host != endpoints[3].Host {
			refused++
			return ConnectFailed
		}
		return Succeeded
	}
	f.serve(200, f.payment, outcomeOf)
	require.Less(t, refused, 100) // at random, two in three attempts would be refused
}

// The weights in the endpoint list determine each host's share of the attempts if nothing else is known.
func TestPickHost_FollowsEndpointWeights(t *testing.T) {
	f, endpoints := newGossipingFleet(t, nil)
	for i := range endpoints[:6] {
		endpoints[i].Weight = []float64{1, 3}[i%2]
	}
	f.router.EndpointsChanged(f.now, endpoints, true)
	f.serve(400, f.quote, succeeds)
	n := [2]int{}
	for _, attempt := range f.attempts {
		n[(attempt.Host.ID+1)%2]++
	}
	require.Greater(t, n[1], 2*n[0])
}
