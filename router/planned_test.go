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
		actions, err := r.Handle(*now, router.RequestArrived{Task: id, Category: "quote", Patience: 10_000}, nil)
		require.NoError(t, err)
		for _, a := range actions {
			if a.Do == router.Send {
				count[a.Host]++
				_, err := r.Handle(*now+10, router.AttemptEnded{Task: a.Task, Send: a.Send, Fate: policy.Succeeded, Took: 10, Done: true}, nil)
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
	require.Equal(t, router.AcknowledgePlan, actions[0].Do)
	require.Equal(t, o.Version, actions[0].Number)
	return actions[0].Text
}

func TestAPlanIsAHintThatRulesAndDrainsGoBefore(t *testing.T) {
	now := 1000 * policy.Second
	r, _ := router.New(now, router.Config{Seed: 1, Routers: 1, Location: "north", Categories: []router.Class{{Name: "quote", Promised: 4000, Earnings: 1}},
		Limits: policy.Limits{DrainGrace: policy.Second, WarmUp: 4 * policy.Second, ColdCapacity: .3, ColdOverloadFactor: 3, ColdOverloadWindow: 2 * policy.Second, PollInterval: 1000 * policy.Second,
			MaxAttempts: 4, AllowHedging: true, CrossPrice: .05},
		Desk: policy.ReleaseConfig{ExposureCaps: []float64{.05, 1}, PromoteQuorum: 1, RollbackQuorum: 1, VoteTTL: policy.Second, ExposureWindow: policy.Second, ExposureAllowance: 1}})
	host := func(id uint32, place string) router.Host {
		return router.Host{ID: id, Location: place, Build: 1, Size: 1}
	}
	hear := func(e router.Event) {
		_, err := r.Handle(now, e, nil)
		require.NoError(t, err)
	}
	hear(router.ReleaseChanged{News: policy.ReleaseStatus{Build: 1, Phase: policy.Released, ExposureCap: 1}})
	hear(router.EndpointsChanged{Complete: true, Hosts: []router.Host{host(1, "north"), host(2, "north"), host(3, "north"), host(4, "north"), host(5, "south")}})
	even := sends(t, r, 0, &now, 1000)
	require.InDelta(t, 250, even[1], 60)
	require.Zero(t, even[5], "nothing crosses without need")

	require.Empty(t, heed(t, r, now, plan.Offered{Version: 1, For: 30 * time.Second, Cross: .2, Near: []plan.Part{{Host: 1, Weight: 5}, {Host: 2, Weight: 5}},
		Far: []plan.Part{{Host: 5, Weight: 1}}}))
	led := sends(t, r, 1000, &now, 1000)
	require.Greater(t, led[1]+led[2], led[3]+led[4]+200, "the first of two draws goes by the plan")
	require.InDelta(t, 200, led[5], 60, "so many cross as it has it")

	drained := host(1, "north")
	drained.Standing = policy.Draining
	hear(router.EndpointsChanged{Hosts: []router.Host{drained}})
	require.Contains(t, heed(t, r, now, plan.Offered{Version: 1, For: time.Minute}), "in force already")
	require.Empty(t, heed(t, r, now, plan.Offered{Version: 2, For: 4 * time.Second, Near: []plan.Part{{Host: 1, Weight: 9}, {Host: 2, Weight: 1}, {Host: 77, Weight: 1}}}),
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

	hear(router.ReleaseChanged{News: policy.ReleaseStatus{Build: 2, Phase: policy.Canary, ExposureCap: .05}})
	require.Contains(t, heed(t, r, now, plan.Offered{Version: 3, Build: 2, Copies: .2, For: time.Second, Near: []plan.Part{{Host: 2, Weight: 1}}}), "would break the cap")
}
