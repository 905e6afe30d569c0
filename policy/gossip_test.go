package policy

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGossip_EjectsFailingHostBeforeAnyOwnAttempt(t *testing.T) {
	f, endpoints := newGossipingFleet(t, nil)
	for _, endpoint := range endpoints[:6] {
		f.router.GossipReceived(f.now, 3, f.hostSummary(endpoint.Host, 8, 0))
	}
	require.Equal(t, healthy, endpoints[0].Host.health)
	f.router.GossipReceived(f.now, 4, f.hostSummary(endpoints[0].Host, 16, 14))
	require.Equal(t, ejected, endpoints[0].Host.health)
	require.Equal(t, healthy, endpoints[1].Host.health)
	f.advance(20 * Second) // reports have decayed
	require.Equal(t, healthy, endpoints[0].Host.health)
}

func TestGossip_PassesPeerReportsOnOnce(t *testing.T) {
	f, endpoints := newGossipingFleet(t, nil)
	host := endpoints[0].Host
	f.router.GossipReceived(f.now, 3, f.hostSummary(host, 8, 8))
	require.Zero(t, host.healthByHops[0].attempts, "no own attempts")
	require.InDelta(t, 8, host.healthByHops[1].attempts, 0.1)
	summary := f.router.summarize()
	require.Len(t, summary.hosts, 1)
	require.Equal(t, 1, summary.hosts[0].hops, "must be passed on as a peer's report")
	back, ok := f.router.decodeSummary(summary.encode(256))
	require.True(t, ok)
	f.router.mergeLocalReport(back)
	require.InDelta(t, 8, host.healthByHops[1].attempts, 0.1)
	require.InDelta(t, 8, host.healthByHops[2].attempts, 0.1)
	require.Len(t, f.router.summarize().hosts, 1, "a report that was passed on once must not be passed on again")
}

func TestGossip_IgnoresInvalidMessagesAndUnlistedHosts(t *testing.T) {
	f, endpoints := newGossipingFleet(t, nil)
	good := f.hostSummary(endpoints[0].Host, 8, 8)
	random := rand.New(rand.NewPCG(1, 2))
	for n := range len(good) {
		f.router.GossipReceived(f.now, 3, good[:n])
	}
	f.router.GossipReceived(f.now, 3, append(good[:len(good):len(good)], 1))
	f.router.GossipReceived(f.now, f.router.rank, good) // from the router itself
	require.Zero(t, endpoints[0].Host.healthByHops[1].attempts)
	f.router.GossipReceived(f.now, 3, f.hostSummary(&Host{ID: 77}, 8, 8))
	require.Len(t, f.router.hosts, 7)
	for range 2000 {
		b := make([]byte, random.IntN(256))
		for i := range b {
			b[i] = byte(random.Uint32())
		}
		if len(b) > 1 {
			b[0], b[1] = byte(1+random.IntN(2)), 3
		}
		f.router.GossipReceived(f.now, 5, b)
	}
	f.serve(3, f.quote, succeeds)
	require.Empty(t, f.failed)
}

func TestGossip_ChangesNoLimitOfExposureOrSlowStart(t *testing.T) {
	f, _ := newGossipingFleet(t, func(config *Config) { config.Release.ExposureWindow = Second })
	f.startCanary(0, 0.1)
	cold := f.host(20, 1)
	cold.StartedAt = f.now
	f.router.EndpointsChanged(f.now, []EndpointUpdate{cold}, true)
	exposed := func() [2]bool {
		return [2]bool{f.router.withinExposure(2, f.quote), f.router.withinExposure(2, f.payment)}
	}
	before := exposed()
	admitted := func() (n int) {
		for range 400 {
			if f.router.withinWarmUpBudget(cold.Host) {
				n++
			}
		}
		return n
	}
	admittedBefore := admitted()
	for range 200 {
		f.router.GossipReceived(f.now, 3, f.hostSummary(cold.Host, 30, 0))
	}
	require.Equal(t, before, exposed())
	require.InDelta(t, admittedBefore, admitted(), 80, "may differ only by chance")
}

func TestGossip_SendsNoGossipOrHealthChecksWhenDisabled(t *testing.T) {
	f, endpoints := newGossipingFleet(t, func(config *Config) { config.Limits.MaxGossipBytes, config.Limits.HealthChecks = 0, false })
	f.serve(5, f.quote, succeeds)
	f.router.ComplaintReceived(f.now, endpoints[0].Host, f.quote, Second/2)
	f.advance(5 * Second)
	require.Empty(t, f.gossip)
	require.Empty(t, f.healthChecked)
}

func TestGossip_LimitsMessageSizeAndSendsToPeersOnly(t *testing.T) {
	f, _ := newGossipingFleet(t, func(config *Config) { config.Limits.MaxGossipBytes = 64 })
	f.serve(60, f.quote, succeeds)
	f.advance(20 * Second)
	require.NotEmpty(t, f.gossip)
	for i, b := range f.gossip {
		require.LessOrEqual(t, len(b), 64)
		require.NotEqual(t, f.router.rank, f.gossipTo[i])
		require.True(t, f.gossipTo[i] == Broadcast || f.gossipTo[i] >= 0 && f.gossipTo[i] < 300)
	}
}

func TestGossip_BroadcastsOwnComplaintsOnce(t *testing.T) {
	f, endpoints := newGossipingFleet(t, nil)
	f.advance(Second)
	for range 3 {
		f.router.ComplaintReceived(f.now, endpoints[0].Host, f.quote, Second/2)
	}
	f.advance(10 * Second)
	n := 0
	for i, b := range f.gossip {
		if build, k, ok := decodeComplaints(b); ok {
			require.Equal(t, Broadcast, f.gossipTo[i])
			require.Equal(t, 1, build)
			n += k
		}
	}
	require.Equal(t, 3, n)
}
