package router_test

import (
	"fmt"
	"strconv"
	"testing"

	"dapplefront/policy"
	"dapplefront/router"
)

// loadedRouter is a router with many hosts under steady load: requests arrive at a constant interval, and each attempt
// ends after a latency that varies by request.
type loadedRouter struct {
	b           *testing.B
	r           *router.Router
	now         policy.Time
	interval    float64 // time between two requests, in units of policy.Time
	elapsed     float64 // time for which requests have arrived, in units of policy.Time
	lastID      int
	attemptEnds []attemptEnd // attempts in flight, with the time at which each ends
	actions     []router.Action
}

type attemptEnd struct {
	at        policy.Time
	requestID string
	attempt   int
	host      uint32
}

func newLoadedRouter(b *testing.B, hosts int, rate float64) *loadedRouter {
	b.Helper()
	l := &loadedRouter{b: b, now: 1000 * policy.Second, interval: float64(policy.Second) / rate}
	l.r, _ = router.New(l.now, router.Config{Seed: 1, Routers: 4, Zone: "north", Classes: []router.Class{
		{Name: "quote", LatencyObjective: 4000, PriorityWeight: 1}, {Name: "order", Idempotency: policy.IdempotentWithKey, DedupWindow: 10 * policy.Second, LatencyObjective: 5000, PriorityWeight: 1}},
		Limits: policy.Limits{DrainGrace: policy.Second, WarmUp: 4 * policy.Second, ColdCapacity: .35, ColdOverloadFactor: 3, ColdOverloadWindow: 2 * policy.Second, PollInterval: 100000 * policy.Second,
			MaxAttempts: 4, AllowHedging: true, MaxRetryAfter: 2 * policy.Second, CrossZonePrice: .02},
		Release: policy.ReleaseConfig{Mode: policy.Quorum, ExposureCaps: []float64{.05, .5, 1}, MinStageTime: policy.Second, PromoteQuorum: 2, RollbackQuorum: 1,
			VoteTTL: 8 * policy.Second, VoteTimeout: policy.Second, MaxVotesPerSecond: 30, ExposureWindow: 4 * policy.Second, ExposureAllowance: 2, GuardedStages: 1}})
	var list []router.Host
	for i := range hosts {
		list = append(list, router.Host{ID: uint32(i + 1), Zone: []string{"north", "south", "port"}[i%3], Build: 1, Weight: 1})
	}
	l.handle(router.EndpointsChanged{Complete: true, Hosts: list})
	l.handle(router.ReleaseChanged{Status: policy.ReleaseStatus{Build: 1, Phase: policy.Released, ExposureCap: 1}})
	for range 2000 {
		l.runRequest()
	}
	return l
}

func (l *loadedRouter) handle(e router.Event) {
	var err error
	if l.actions, err = l.r.Handle(l.now, e, l.actions[:0]); err != nil {
		l.b.Fatal(err)
	}
	for _, a := range l.actions {
		if a.Kind == router.SendAttempt {
			latency := policy.Time(200 + 100*(l.lastID*7919%13)/13)
			l.attemptEnds = append(l.attemptEnds, attemptEnd{l.now + latency, a.RequestID, a.Attempt, a.Host})
		}
	}
}

// runRequest ends all attempts that are due before the next request and then handles the arrival of that request.
func (l *loadedRouter) runRequest() {
	l.elapsed += l.interval
	now := 1000*policy.Second + policy.Time(l.elapsed)
	inFlight := l.attemptEnds[:0]
	var due []attemptEnd
	for _, e := range l.attemptEnds {
		if e.at <= now {
			due = append(due, e)
		} else {
			inFlight = append(inFlight, e)
		}
	}
	l.attemptEnds = inFlight
	for _, e := range due {
		l.now = max(l.now, e.at)
		l.handle(router.AttemptEnded{RequestID: e.requestID, Attempt: e.attempt, Outcome: policy.Succeeded, Latency: 250, Done: true,
			Load: &policy.LoadReport{ActiveRequests: 2, QueuedRequests: -1, CPUUtilization: -1, MeanLatency: -1, RequestsPerSecond: -1}})
	}
	l.now = max(l.now, now)
	l.lastID++
	l.handle(router.RequestArrived{RequestID: strconv.Itoa(l.lastID), Class: []string{"quote", "order"}[l.lastID%2], Timeout: 15000})
}

// BenchmarkRequest measures the library's work for one request, from its arrival to the end of its attempt.
func BenchmarkRequest(b *testing.B) {
	for _, hosts := range []int{10, 300, 1000} {
		for _, rate := range []float64{100, 4000} {
			b.Run(fmt.Sprintf("hosts=%d/rate=%g", hosts, rate), func(b *testing.B) {
				l := newLoadedRouter(b, hosts, rate)
				b.ReportAllocs()
				for b.Loop() {
					l.runRequest()
				}
			})
		}
	}
}
