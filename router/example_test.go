package router_test

import (
	"fmt"

	"dapplefront/policy"
	"dapplefront/router"
)

// A program with one host that responds to every attempt after 10 ms. The program advances the clock itself.
func Example() {
	now := policy.Time(0)
	r, actions := router.New(now, router.Config{Seed: 1, Routers: 1, Zone: "here",
		Classes: []router.Class{{Name: "quote", LatencyObjective: policy.Second, PriorityWeight: 1}},
		Limits:  policy.Limits{MaxAttempts: 3, PushedDiscovery: true, MaxRetryAfter: policy.Second}})
	handle := func(e router.Event) {
		var err error
		if actions, err = r.Handle(now, e, actions[:0]); err != nil {
			panic(err)
		}
	}
	handle(router.EndpointsChanged{Complete: true, Hosts: []router.Host{{ID: 7, Zone: "here", Build: 1, Weight: 1}}})
	handle(router.ReleaseChanged{Status: policy.ReleaseStatus{Build: 1, Phase: policy.Released, ExposureCap: 1}})

	handle(router.RequestArrived{RequestID: "a", Class: "quote", Timeout: 2 * policy.Second})
	for _, a := range actions {
		if a.Kind == router.SendAttempt {
			fmt.Printf("request %s is sent to host %d\n", a.RequestID, a.Host)
			now += 100
			handle(router.AttemptEnded{RequestID: a.RequestID, Attempt: a.Attempt, Outcome: policy.Succeeded, Latency: 100, Done: true})
		}
	}
	handle(router.EndpointsChanged{Complete: true}) // an empty list removes all hosts
	handle(router.RequestArrived{RequestID: "b", Class: "quote", Timeout: 2 * policy.Second})
	for _, a := range actions {
		if a.Kind == router.Reject {
			fmt.Printf("request %s is rejected; retry after %d ms\n", a.RequestID, a.Duration/10)
		}
	}
	fmt.Println(r.InFlight(), "requests in flight")
	// Output:
	// request a is sent to host 7
	// request b is rejected; retry after 500 ms
	// 0 requests in flight
}
