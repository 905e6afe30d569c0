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

// sends lets tasks come one after the other, each ended at once, and counts the sends to each host.
func sends(t *testing.T, r *router.Router, from int, now *policy.Time, n int) map[uint32]int {
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

func heed(t *testing.T, r *router.Router, now policy.Time, o plan.Offered) string {
	actions, err := r.Handle(now, router.PlanOffered{Offer: o}, nil)
	require.NoError(t, err)
	require.Len(t, actions, 1)
	require.Equal(t, router.AcknowledgePlan, actions[0].Kind)
	require.Equal(t, o.Version, actions[0].PlanVersion)
	return actions[0].Text
}

func TestRouter_FollowsPlanWithinRulesAndDrains(t *testing.T) {
	now := 1000 * policy.Second
	r, _ := router.New(now, router.Config{Seed: 1, Routers: 1, Zone: "north", Classes: []router.Class{{Name: "quote", LatencyObjective: 4000, PriorityWeight: 1}},
		Limits: policy.Limits{DrainGrace: policy.Second, WarmUp: 4 * policy.Second, ColdCapacity: .3, ColdOverloadFactor: 3, ColdOverloadWindow: 2 * policy.Second, PollInterval: 1000 * policy.Second,
			MaxAttempts: 4, AllowHedging: true, CrossZonePrice: .05},
		Release: policy.ReleaseConfig{ExposureCaps: []float64{.05, 1}, PromoteQuorum: 1, RollbackQuorum: 1, VoteTTL: policy.Second, ExposureWindow: policy.Second, ExposureAllowance: 1}})
	host := func(id uint32, place string) router.Host {
		return router.Host{ID: id, Zone: place, Build: 1, Weight: 1}
	}
	hear := func(e router.Event) {
		_, err := r.Handle(now, e, nil)
		require.NoError(t, err)
	}
	hear(router.ReleaseChanged{Status: policy.ReleaseStatus{Build: 1, Phase: policy.Released, ExposureCap: 1}})
	hear(router.EndpointsChanged{Complete: true, Hosts: []router.Host{host(1, "north"), host(2, "north"), host(3, "north"), host(4, "north"), host(5, "south")}})
	even := sends(t, r, 0, &now, 1000)
	require.InDelta(t, 250, even[1], 60)
	require.Zero(t, even[5], "nothing crosses without need")

	require.Empty(t, heed(t, r, now, plan.Offered{Version: 1, ValidFor: 30 * time.Second, CrossZoneShare: .2, LocalWeights: []plan.HostWeight{{Host: 1, Weight: 5}, {Host: 2, Weight: 5}},
		RemoteWeights: []plan.HostWeight{{Host: 5, Weight: 1}}}))
	led := sends(t, r, 1000, &now, 1000)
	require.Greater(t, led[1]+led[2], led[3]+led[4]+200, "the first of two draws goes by the plan")
	require.InDelta(t, 200, led[5], 60, "so many cross as it has it")

	drained := host(1, "north")
	drained.State = policy.Draining
	hear(router.EndpointsChanged{Hosts: []router.Host{drained}})
	require.Contains(t, heed(t, r, now, plan.Offered{Version: 1, ValidFor: time.Minute}), "in force already")
	require.Empty(t, heed(t, r, now, plan.Offered{Version: 2, ValidFor: 4 * time.Second, LocalWeights: []plan.HostWeight{{Host: 1, Weight: 9}, {Host: 2, Weight: 1}, {Host: 77, Weight: 1}}}),
		"made before the drain was known")
	after := sends(t, r, 2000, &now, 1000)
	require.Zero(t, after[1], "a draining host gets nothing, whatever the plan says")
	hear(router.EndpointsChanged{Hosts: []router.Host{host(77, "north")}}) // a host that the plan knew before the list did
	more := sends(t, r, 3000, &now, 500)
	require.Greater(t, more[77], 100)

	now += 10 * policy.Second
	past := sends(t, r, 4000, &now, 1000)
	require.InDelta(t, past[3], past[2], 90, "a plan that has run out counts no more")
	require.Zero(t, past[5])

	hear(router.ReleaseChanged{Status: policy.ReleaseStatus{Build: 2, Phase: policy.Canary, ExposureCap: .05}})
	require.Contains(t, heed(t, r, now, plan.Offered{Version: 3, Build: 2, ShadowShare: .2, ValidFor: time.Second, LocalWeights: []plan.HostWeight{{Host: 2, Weight: 1}}}), "would break the cap")
}
