package router_test

import (
	"fmt"
	"strconv"
	"testing"

	"dapplefront/policy"
	"dapplefront/router"
)

// fleet is a router with so many hosts, at steady work: tasks come evenly, and each send ends after what its host takes.
type fleet struct {
	r       *router.Router
	now     policy.Time
	gap     float64 // between tasks
	at      float64
	next    int
	ends    []ending // by time
	actions []router.Action
}

type ending struct {
	at   policy.Time
	task string
	send int
	host uint32
}

func newFleet(b *testing.B, hosts int, rate float64) *fleet {
	f := &fleet{now: 1000 * policy.Second, gap: float64(policy.Second) / rate}
	f.r, _ = router.New(f.now, router.Config{Seed: 1, Routers: 4, Zone: "north", Classes: []router.Class{
		{Name: "quote", LatencyObjective: 4000, PriorityWeight: 1}, {Name: "order", Idempotency: policy.IdempotentWithKey, DedupWindow: 10 * policy.Second, LatencyObjective: 5000, PriorityWeight: 1}},
		Limits: policy.Limits{DrainGrace: policy.Second, WarmUp: 4 * policy.Second, ColdCapacity: .35, ColdOverloadFactor: 3, ColdOverloadWindow: 2 * policy.Second, PollInterval: 100000 * policy.Second,
			MaxAttempts: 4, AllowHedging: true, MaxRetryAfter: 2 * policy.Second, CrossZonePrice: .02},
		Release: policy.ReleaseConfig{Mode: policy.Quorum, ExposureCaps: []float64{.05, .5, 1}, MinStageTime: policy.Second, PromoteQuorum: 2, RollbackQuorum: 1,
			VoteTTL: 8 * policy.Second, VoteTimeout: policy.Second, MaxVotesPerSecond: 30, ExposureWindow: 4 * policy.Second, ExposureAllowance: 2, GuardedStages: 1}})
	var list []router.Host
	for i := range hosts {
		list = append(list, router.Host{ID: uint32(i + 1), Zone: []string{"north", "south", "port"}[i%3], Build: 1, Weight: 1})
	}
	f.hear(b, router.EndpointsChanged{Complete: true, Hosts: list})
	f.hear(b, router.ReleaseChanged{Status: policy.ReleaseStatus{Build: 1, Phase: policy.Released, ExposureCap: 1}})
	for range 2000 {
		f.task(b)
	}
	return f
}

func (f *fleet) hear(b *testing.B, e router.Event) {
	var err error
	if f.actions, err = f.r.Handle(f.now, e, f.actions[:0]); err != nil {
		b.Fatal(err)
	}
	for _, a := range f.actions {
		if a.Kind == router.SendAttempt {
			took := policy.Time(200 + 100*(f.next*7919%13)/13)
			f.ends = append(f.ends, ending{f.now + took, a.RequestID, a.Attempt, a.Host})
		}
	}
}

// task lets one task come, and all sends end that are due before it.
func (f *fleet) task(b *testing.B) {
	f.at += f.gap
	now := 1000*policy.Second + policy.Time(f.at)
	kept := f.ends[:0]
	var due []ending
	for _, e := range f.ends {
		if e.at <= now {
			due = append(due, e)
		} else {
			kept = append(kept, e)
		}
	}
	f.ends = kept
	for _, e := range due {
		f.now = max(f.now, e.at)
		f.hear(b, router.AttemptEnded{RequestID: e.task, Attempt: e.send, Outcome: policy.Succeeded, Latency: 250, Done: true,
			Load: &policy.LoadReport{ActiveRequests: 2, QueuedRequests: -1, CPUUtilization: -1, MeanLatency: -1, RequestsPerSecond: -1}})
	}
	f.now = max(f.now, now)
	f.next++
	f.hear(b, router.RequestArrived{RequestID: strconv.Itoa(f.next), Class: []string{"quote", "order"}[f.next%2], Timeout: 15000})
}

// BenchmarkTask is the library's work for one task, from its arrival to the end of its send.
func BenchmarkTask(b *testing.B) {
	for _, hosts := range []int{10, 300, 1000} {
		for _, rate := range []float64{100, 4000} {
			b.Run(fmt.Sprintf("hosts=%d/rate=%g", hosts, rate), func(b *testing.B) {
				f := newFleet(b, hosts, rate)
				b.ReportAllocs()
				for b.Loop() {
					f.task(b)
				}
			})
		}
	}
}
