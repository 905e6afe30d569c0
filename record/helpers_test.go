package record

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/router"
)

var testConfig = router.Config{Seed: 7, Routers: 3, Rank: 1, Zone: "north", Classes: []router.Class{
	{Name: "quote", LatencyObjective: 4000, PriorityWeight: 1}, {Name: "transfer", Idempotency: policy.NonIdempotent, LatencyObjective: 3000, PriorityWeight: 3}},
	Tenants: []router.Tenant{{Name: "Ada", QuotaPerSecond: 50}},
	Limits: policy.Limits{DrainGrace: policy.Second, WarmUp: 4 * policy.Second, ColdCapacity: .35, ColdOverloadFactor: 3, ColdOverloadWindow: 2 * policy.Second, PollInterval: 10 * policy.Second,
		MaxAttempts: 4, AllowHedging: true, MaxRetryAfter: 2 * policy.Second, CrossZonePrice: .02},
	Release: policy.ReleaseConfig{Mode: policy.Quorum, ExposureCaps: []float64{.05, .5, 1}, MinStageTime: policy.Second, PromoteQuorum: 2, RollbackQuorum: 1,
		VoteTTL: 8 * policy.Second, VoteTimeout: policy.Second, MaxVotesPerSecond: 30, ExposureWindow: 4 * policy.Second, ExposureAllowance: 2, GuardedStages: 1, StickyKeys: true}}

// runRouter lets a router handle a number of random requests and other random events, and records all entries.
func runRouter(tb testing.TB, w *Writer, seed uint64, requests int) {
	tb.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	now := 1000 * policy.Second
	config := testConfig
	config.Seed = seed
	r, actions := router.New(now, config)
	require.NoError(tb, w.WriteStart(now, config, actions))
	type pendingEvent struct {
		at    policy.Time
		event router.Event
	}
	var pending []pendingEvent
	handle := func(e router.Event) {
		actions, err := r.Handle(now, e, nil)
		if err != nil {
			actions = nil
		}
		require.NoError(tb, w.WriteEvent(now, e, actions))
		for _, a := range actions {
			switch a.Kind {
			case router.SendAttempt:
				x := router.AttemptEnded{RequestID: a.RequestID, Attempt: a.Attempt, Outcome: policy.Succeeded, Latency: policy.Time(100 + random.IntN(900)), Done: true}
				if random.IntN(8) == 0 {
					x.Outcome, x.Done = policy.Outcome(1+random.IntN(int(policy.Revoked))), false
				}
				if random.IntN(2) == 0 {
					x.Load = &policy.LoadReport{ActiveRequests: float64(random.IntN(9)), QueuedRequests: -1, CPUUtilization: random.Float64(), MeanLatency: -1, RequestsPerSecond: 3}
				}
				pending = append(pending, pendingEvent{now + x.Latency, x})
			case router.SetTimer:
				pending = append(pending, pendingEvent{now + a.Duration, router.TimerFired{Timer: a.Timer}})
			case router.CastVote:
				pending = append(pending, pendingEvent{now + 100, router.ReleaseChanged{Status: policy.ReleaseStatus{Build: a.Build, Stage: a.Stage, ExposureCap: .05, VoteResult: policy.VoteAccepted}}})
			}
		}
	}
	var hosts []router.Host
	for i := range 12 {
		hosts = append(hosts, router.Host{ID: uint32(i + 1), Zone: []string{"north", "south"}[i%2], Build: 1 + i/10, Weight: 1.25})
	}
	handle(router.EndpointsChanged{Complete: true, Hosts: hosts})
	handle(router.ReleaseChanged{Status: policy.ReleaseStatus{Build: 2, Phase: policy.Canary, ExposureCap: .05}})
	handle(router.PlanOffered{Offer: plan.Offer{Version: 1, ValidFor: time.Minute, LocalWeights: []plan.HostWeight{{Host: 1, Weight: 2}, {Host: 3, Weight: 1}}, RemoteWeights: []plan.HostWeight{{Host: 2, Weight: 1}}, CrossZoneShare: .1}})
	for i := range requests {
		now += policy.Time(random.IntN(200)) // may be 0, so that several events have the same time
		slices.SortStableFunc(pending, func(a, b pendingEvent) int { return int(a.at - b.at) })
		for len(pending) > 0 && pending[0].at <= now {
			e := pending[0].event
			pending = pending[1:]
			handle(e)
		}
		handle(router.RequestArrived{RequestID: strconv.Itoa(i), Client: uint64(i % 5), Class: []string{"quote", "transfer"}[random.IntN(2)], Tenant: []string{"Ada", "Ben", ""}[random.IntN(3)],
			Key: fmt.Sprint("account-", random.IntN(20)), Timeout: 10_000, ClientRetry: random.IntN(9) == 0})
		switch random.IntN(60) {
		case 0:
			handle(router.ClientDisconnected{RequestID: strconv.Itoa(i)})
		case 1:
			h := hosts[random.IntN(12)]
			h.State, h.StartedAt = policy.EndpointState(random.IntN(3)), now
			handle(router.EndpointsChanged{Hosts: []router.Host{h}})
		case 2:
			handle(router.StatsReported{Build: 2, Class: "quote", Failures: 1, Samples: 9, MeanLatency: 300, Window: 2 * policy.Second})
		case 3:
			handle(router.ComplaintReceived{Host: 11, Class: "quote", Age: 50})
		case 4:
			handle(router.EndpointsUnavailable{})
		case 5:
			handle(router.RequestArrived{RequestID: "x", Class: "none of these"}) // returns an error and no actions
		}
	}
}

// recordRun records a run of a number of requests and returns the directory and the files in it.
func recordRun(tb testing.TB, requests int, config Config) (string, []string) {
	tb.Helper()
	config.Dir, config.Name = tb.TempDir(), "r1"
	w, err := Create(config)
	require.NoError(tb, err)
	runRouter(tb, w, 3, requests)
	require.NoError(tb, w.Close())
	files, err := Files(config.Dir, "r1")
	require.NoError(tb, err)
	return config.Dir, files
}
