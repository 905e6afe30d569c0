package router_test

import (
	"fmt"

	"dapplefront/policy"
	"dapplefront/router"
)

// A harness of one host: every send is answered after ten milliseconds of a clock that the harness turns itself.
func Example() {
	now := policy.Time(0)
	r, actions := router.New(now, router.Config{Seed: 1, Routers: 1, Location: "here",
		Categories: []router.Class{{Name: "quote", Promised: policy.Second, Earnings: 1}},
		Limits:     policy.Limits{MaxAttempts: 3, PushedDiscovery: true, MaxRetryAfter: policy.Second}})
	hear := func(e router.Event) {
		var err error
		if actions, err = r.Handle(now, e, actions[:0]); err != nil {
			panic(err)
		}
	}
	hear(router.EndpointsChanged{Complete: true, Hosts: []router.Host{{ID: 7, Location: "here", Build: 1, Size: 1}}})
	hear(router.ReleaseChanged{News: policy.ReleaseStatus{Build: 1, Phase: policy.Released, ExposureCap: 1}})

	hear(router.RequestArrived{Task: "a", Category: "quote", Patience: 2 * policy.Second})
	for _, a := range actions {
		if a.Do == router.Send {
			fmt.Printf("task %s goes to host %d\n", a.Task, a.Host)
			now += 100
			hear(router.AttemptEnded{Task: a.Task, Send: a.Send, Fate: policy.Succeeded, Took: 100, Done: true})
		}
	}
	hear(router.EndpointsChanged{Complete: true}) // the list is empty now
	hear(router.RequestArrived{Task: "b", Category: "quote", Patience: 2 * policy.Second})
	for _, a := range actions {
		if a.Do == router.Reject {
			fmt.Printf("task %s is turned back for %d ms\n", a.Task, a.Span/10)
		}
	}
	fmt.Println(r.InFlight(), "tasks held")
	// Output:
	// task a goes to host 7
	// task b is turned back for 500 ms
	// 0 tasks held
}
