package router_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/router"
)

// countAttempts runs n requests one after the other, 2 ms apart, and returns the number of attempts at each host. Each
// attempt succeeds before the next request arrives.
func countAttempts(t *testing.T, r *router.Router, from int, now *policy.Time, n int) map[uint32]int {
	t.Helper()
	count := map[uint32]int{}
	for i := from; i < from+n; i++ {
		*now += 20
		id := strconv.Itoa(i)
		actions, err := r.Handle(*now, router.RequestArrived{RequestID: id, Class: "quote", Timeout: 10_000}, nil)
		require.NoError(t, err)
		for _, a := range actions {
			if a.Kind == router.SendAttempt {
				count[a.Host]++
				_, err := r.Handle(*now+10, router.AttemptEnded{RequestID: a.RequestID, Attempt: a.Attempt, Outcome: policy.Succeeded, Latency: 10, Done: true}, nil)
				require.NoError(t, err)
			}
		}
	}
	return count
}

// offerPlan offers a version of a plan and returns the reason for its rejection, or "" if it is applied.
func offerPlan(t *testing.T, r *router.Router, now policy.Time, offer plan.Offer) string {
	t.Helper()
	actions, err := r.Handle(now, router.PlanOffered{Offer: offer}, nil)
	require.NoError(t, err)
	require.Len(t, actions, 1)
	require.Equal(t, router.AcknowledgePlan, actions[0].Kind)
	require.Equal(t, offer.Version, actions[0].PlanVersion)
	return actions[0].Text
}

func TestRouter_FollowsPlanUntilItExpiresExceptForDrainingHosts(t *testing.T) {
	now := 1000 * policy.Second
	r, _ := router.New(now, router.Config{Seed: 1, Routers: 1, Zone: "north", Classes: []router.Class{{Name: "quote", LatencyObjective: 4000, PriorityWeight: 1}},
		Limits: policy.Limits{DrainGrace: policy.Second, WarmUp: 4 * policy.Second, ColdCapacity: .3, ColdOverloadFactor: 3, ColdOverloadWindow: 2 * policy.Second, PollInterval: 1000 * policy.Second,
			MaxAttempts: 4, AllowHedging: true, CrossZonePrice: .05},
		Release: policy.ReleaseConfig{ExposureCaps: []float64{.05, 1}, PromoteQuorum: 1, RollbackQuorum: 1, VoteTTL: policy.Second, ExposureWindow: policy.Second, ExposureAllowance: 1}})
	host := func(id uint32, zone string) router.Host {
		return router.Host{ID: id, Zone: zone, Build: 1, Weight: 1}
	}
	handle := func(e router.Event) {
		_, err := r.Handle(now, e, nil)
		require.NoError(t, err)
	}
	handle(router.ReleaseChanged{Status: policy.ReleaseStatus{Build: 1, Phase: policy.Released, ExposureCap: 1}})
	handle(router.EndpointsChanged{Complete: true, Hosts: []router.Host{host(1, "north"), host(2, "north"), host(3, "north"), host(4, "north"), host(5, "south")}})
	even := countAttempts(t, r, 0, &now, 1000)
	require.InDelta(t, 250, even[1], 60)
	require.Zero(t, even[5], "no attempt crosses zones while the local hosts suffice")

	require.Empty(t, offerPlan(t, r, now, plan.Offer{Version: 1, ValidFor: 30 * time.Second, CrossZoneShare: .2, LocalWeights: []plan.HostWeight{{Host: 1, Weight: 5}, {Host: 2, Weight: 5}},
		RemoteWeights: []plan.HostWeight{{Host: 5, Weight: 1}}}))
	planned := countAttempts(t, r, 1000, &now, 1000)
	require.Greater(t, planned[1]+planned[2], planned[3]+planned[4]+200, "the plan's weights determine the first of the two random choices")
	require.InDelta(t, 200, planned[5], 60, "the plan's share of attempts crosses zones")

	drained := host(1, "north")
	drained.State = policy.Draining
	handle(router.EndpointsChanged{Hosts: []router.Host{drained}})
	require.Contains(t, offerPlan(t, r, now, plan.Offer{Version: 1, ValidFor: time.Minute}), "in force already")
	require.Empty(t, offerPlan(t, r, now, plan.Offer{Version: 2, ValidFor: 4 * time.Second, LocalWeights: []plan.HostWeight{{Host: 1, Weight: 9}, {Host: 2, Weight: 1}, {Host: 77, Weight: 1}}}),
		"the plan names a draining host, because it was made before the drain was known")
	after := countAttempts(t, r, 2000, &now, 1000)
	require.Zero(t, after[1], "a draining host gets no attempts, whatever its weight in the plan")
	handle(router.EndpointsChanged{Hosts: []router.Host{host(77, "north")}}) // the plan named this host before the endpoint list did
	more := countAttempts(t, r, 3000, &now, 500)
	require.Greater(t, more[77], 100)

	now += 10 * policy.Second
	past := countAttempts(t, r, 4000, &now, 1000)
	require.InDelta(t, past[3], past[2], 90, "an expired plan has no effect")
	require.Zero(t, past[5])

	handle(router.ReleaseChanged{Status: policy.ReleaseStatus{Build: 2, Phase: policy.Canary, ExposureCap: .05}})
	require.Contains(t, offerPlan(t, r, now, plan.Offer{Version: 3, Build: 2, ShadowShare: .2, ValidFor: time.Second, LocalWeights: []plan.HostWeight{{Host: 2, Weight: 1}}}), "would break the cap")
}
