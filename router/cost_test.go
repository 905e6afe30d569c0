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
	f.r, _ = router.New(f.now, router.Config{Seed: 1, Routers: 4, Location: "north", Categories: []router.Class{
		{Name: "quote", Promised: 4000, Earnings: 1}, {Name: "order", Repeat: policy.IdempotentWithKey, Memory: 10 * policy.Second, Promised: 5000, Earnings: 1}},
		Limits: policy.Limits{DrainGrace: policy.Second, WarmUp: 4 * policy.Second, ColdCapacity: .35, ColdOverloadFactor: 3, ColdOverloadWindow: 2 * policy.Second, PollInterval: 100000 * policy.Second,
			MaxAttempts: 4, AllowHedging: true, MaxRetryAfter: 2 * policy.Second, CrossPrice: .02},
		Desk: policy.ReleaseConfig{Mode: policy.Quorum, ExposureCaps: []float64{.05, .5, 1}, MinStageTime: policy.Second, PromoteQuorum: 2, RollbackQuorum: 1,
			VoteTTL: 8 * policy.Second, VoteTimeout: policy.Second, MaxVotesPerSecond: 30, ExposureWindow: 4 * policy.Second, ExposureAllowance: 2, GuardedStages: 1}})
	var list []router.Host
	for i := range hosts {
		list = append(list, router.Host{ID: uint32(i + 1), Location: []string{"north", "south", "port"}[i%3], Build: 1, Size: 1})
	}
	f.hear(b, router.EndpointsChanged{Complete: true, Hosts: list})
	f.hear(b, router.ReleaseChanged{News: policy.ReleaseStatus{Build: 1, Phase: policy.Released, ExposureCap: 1}})
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
		if a.Do == router.Send {
			took := policy.Time(200 + 100*(f.next*7919%13)/13)
			f.ends = append(f.ends, ending{f.now + took, a.Task, a.Send, a.Host})
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
		f.hear(b, router.AttemptEnded{Task: e.task, Send: e.send, Fate: policy.Succeeded, Took: 250, Done: true,
			Load: &policy.LoadReport{Active: 2, Waiting: -1, Busy: -1, Service: -1, Rate: -1}})
	}
	f.now = max(f.now, now)
	f.next++
	f.hear(b, router.RequestArrived{Task: strconv.Itoa(f.next), Category: []string{"quote", "order"}[f.next%2], Patience: 15000})
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
