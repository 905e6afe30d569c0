package policy

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// invariants checks the router's rules during a random sequence of events. It records the results of earlier events
// that the checks need.
type invariants struct {
	*rapid.T
	f                  *fakeFleet
	requests           []*Request
	deadlines          map[*Request]Time
	answers            map[*Request]int // number of final responses
	clientDisconnected map[*Request]bool
	drainingSince      map[*Host]Time // time since which a host has been draining or removed
	canaryAttempts     []trafficEvent // attempts at a build with limited exposure
	arrivals           []trafficEvent
	checkedAttempts    int // number of elements of f.attempts that have been checked
	checkedRejects     int // number of elements of f.rejected that have been checked
	checkedFailures    int // number of elements of f.failed that have been checked
}

// check checks what the router did since the last check.
func (l *invariants) check() {
	f := l.f
	for ; l.checkedAttempts < len(f.attempts); l.checkedAttempts++ {
		attempt := f.attempts[l.checkedAttempts]
		request, now := attempt.Request, f.now
		if l.clientDisconnected[request] || l.answers[request] > 0 {
			l.Fatalf("at %d: an attempt was sent for a request that is complete", now)
		}
		if f.timeouts[attempt] <= 0 || now+f.timeouts[attempt] > l.deadlines[request] {
			l.Fatalf("at %d: an attempt was sent with a timeout of %d, but the client waits until %d", now, f.timeouts[attempt], l.deadlines[request])
		}
		if at, ok := l.drainingSince[attempt.Host]; ok && now-at > f.router.limits.DrainGrace {
			l.Fatalf("at %d: an attempt was sent to a host that has been draining since %d", now, at)
		}
		for _, before := range request.Attempts[:slices.Index(request.Attempts, attempt)] {
			surelyNotExecuted := before.outcome == Rejected || before.outcome == ConnectFailed || before.outcome == NotSent || before.outcome == Revoked
			if request.Class.Idempotency == NonIdempotent && !surelyNotExecuted {
				l.Fatalf("at %d: a non-idempotent request was sent again after an attempt with outcome %d", now, before.outcome)
			}
			if !f.router.limits.AllowHedging && before.outcome == Pending {
				l.Fatalf("at %d: two attempts of a request are in flight without hedging", now)
			}
		}
		if limit := f.router.release.exposureOf(attempt.build); limit.applies {
			if limit.stage < f.router.release.config.GuardedStages && request.Class.Idempotency != Idempotent {
				l.Fatalf("at %d: a request that is not idempotent was sent to the canary in a guarded stage", now)
			}
			l.canaryAttempts = append(l.canaryAttempts, trafficEvent{at: now})
			countInWindow := func(all []trafficEvent) (n float64) {
				for _, m := range all {
					if now-m.at < f.router.release.config.ExposureWindow {
						n++
					}
				}
				return n
			}
			if countInWindow(l.canaryAttempts) > f.router.release.config.ExposureAllowance+limit.share*countInWindow(l.arrivals) {
				l.Fatalf("at %d: %v attempts at the canary for %v requests, with an exposure cap of %v", now, countInWindow(l.canaryAttempts), countInWindow(l.arrivals), limit.share)
			}
		}
	}
	for ; l.checkedRejects < len(f.rejected); l.checkedRejects++ {
		request := f.rejected[l.checkedRejects]
		l.answers[request]++
		if slices.ContainsFunc(request.Attempts, func(attempt *Attempt) bool {
			return attempt.outcome != Rejected && attempt.outcome != ConnectFailed && attempt.outcome != NotSent && attempt.outcome != Revoked
		}) && request.Class.Idempotency == NonIdempotent {
			l.Fatalf("at %d: a non-idempotent request was rejected although it may have been executed", f.now)
		}
	}
	for ; l.checkedFailures < len(f.failed); l.checkedFailures++ {
		l.answers[f.failed[l.checkedFailures]]++
	}
	for request, n := range l.answers {
		if n > 1 {
			l.Fatalf("%d final responses to one request %p", n, request)
		}
	}
}

// Responses, failures, timeouts, disconnecting clients, endpoint lists, release statuses and timers arrive in any order, also
// several at the same time. The limits that a single router enforces hold, and every request has one final response by its
// deadline.
func TestRouter_KeepsInvariantsForAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(d *rapid.T) {
		f, endpoints := newFakeFleet(t, func(config *Config) {
			config.Limits.AllowHedging = rapid.Bool().Draw(d, "hedging")
			config.Limits.PushedDiscovery = rapid.Bool().Draw(d, "pushed")
			config.Routers = rapid.SampledFrom([]int{1, 3, 300}).Draw(d, "routers")
			config.Seed = rapid.Uint64().Draw(d, "seed")
		})
		l := &invariants{T: d, f: f, deadlines: map[*Request]Time{}, answers: map[*Request]int{}, clientDisconnected: map[*Request]bool{}, drainingSince: map[*Host]Time{}}
		classes := []*Class{f.quote, f.order, f.payment}
		pass := func(span Time) { // does what the owner of a router must do: it ends attempts whose timeout has passed
			for end := f.now + span; f.now < end; {
				f.advance(Second / 100)
				l.check()
				for _, attempt := range f.attempts {
					if attempt.outcome == Pending && f.now >= attempt.sentAt+f.timeouts[attempt] {
						f.end(attempt, TimedOut, f.now-attempt.sentAt)
						l.check()
					}
				}
			}
		}
		end := func(attempt *Attempt, outcome Outcome) {
			if outcome == Succeeded && l.answers[attempt.Request] == 0 && !l.clientDisconnected[attempt.Request] {
				l.answers[attempt.Request]++ // the client has the response before AttemptEnded is called
			}
			if outcome == Revoked && attempt.history == &f.router.traffic.canaryAttempts { // it does not count as sent
				l.canaryAttempts = withoutEvent(l.canaryAttempts, attempt.sentAt, nil)
			}
			f.router.AttemptEnded(f.now, attempt, outcome, f.now-attempt.sentAt, l.answers[attempt.Request] > 0 || l.clientDisconnected[attempt.Request], nil)
		}
		steps := map[string]func(){
			"request": func() {
				for range rapid.IntRange(1, 6).Draw(d, "requests") {
					class := classes[rapid.IntRange(0, 2).Draw(d, "class")]
					request := &Request{Class: class, Timeout: Time(rapid.IntRange(100, 30_000).Draw(d, "timeout"))}
					l.requests, l.deadlines[request] = append(l.requests, request), f.now+request.Timeout
					l.arrivals = append(l.arrivals, trafficEvent{at: f.now})
					f.router.RequestArrived(f.now, request)
					l.check()
				}
			},
			"end": func() {
				var pending []*Attempt
				for _, attempt := range f.attempts {
					if attempt.outcome == Pending {
						pending = append(pending, attempt)
					}
				}
				for range min(len(pending), rapid.IntRange(1, 5).Draw(d, "ends")) {
					attempt := pending[rapid.IntRange(0, len(pending)-1).Draw(d, "which")]
					if attempt.outcome == Pending {
						end(attempt, rapid.SampledFrom([]Outcome{Succeeded, Succeeded, Succeeded, Failed, Rejected, TimedOut, ConnectFailed, ConnectionLost,
							NotSent, Revoked}).Draw(d, "outcome"))
						l.check()
					}
				}
			},
			"client disconnects": func() {
				if len(l.requests) > 0 {
					request := l.requests[rapid.IntRange(max(0, len(l.requests)-5), len(l.requests)-1).Draw(d, "request")]
					if l.answers[request] == 0 && !l.clientDisconnected[request] {
						l.clientDisconnected[request] = true
						f.router.ClientDisconnected(f.now, request)
						for _, attempt := range request.Attempts { // attempts that are not sent yet are canceled, the others continue
							if attempt.outcome == Pending && rapid.Bool().Draw(d, "canceled") {
								end(attempt, rapid.SampledFrom([]Outcome{NotSent, Revoked}).Draw(d, "outcome"))
							}
						}
						l.check()
					}
				}
			},
			"endpoint": func() {
				i := rapid.IntRange(0, len(endpoints)-1).Draw(d, "host")
				endpoints[i].State = rapid.SampledFrom([]EndpointState{Serving, Serving, Draining, Removed}).Draw(d, "state")
				if host := endpoints[i].Host; endpoints[i].State == Serving {
					delete(l.drainingSince, host)
				} else if _, ok := l.drainingSince[host]; !ok {
					l.drainingSince[host] = f.now
				}
				if rapid.Bool().Draw(d, "started") {
					endpoints[i].StartedAt = f.now
				}
				f.router.EndpointsChanged(f.now, endpoints[i:i+1], true)
				l.check()
			},
			"no endpoints": func() { f.router.EndpointsChanged(f.now, nil, false); l.check() },
			"release": func() {
				f.router.ReleaseChanged(f.now, rapid.SampledFrom([]ReleaseStatus{{Build: 2, Phase: Canary, ExposureCap: 0.1}, {Build: 2, Stage: 1, Phase: Canary, ExposureCap: 0.5},
					{Build: 2, Stage: 2, Phase: Released, ExposureCap: 1}, {Build: 2, Phase: RollingBack}, {Build: 2, Phase: RolledBack},
					{Build: 3, Phase: Canary, ExposureCap: 0.1}}).Draw(d, "status"))
				l.canaryAttempts = nil // exposure caps may have decreased: earlier attempts are not checked against the new ones
				l.check()
			},
			"short wait": func() { pass(Time(rapid.IntRange(1, 300).Draw(d, "tenths"))) },
			"long wait":  func() { pass(Second * Time(rapid.IntRange(1, 8).Draw(d, "seconds"))) },
		}
		names := []string{"request", "request", "request", "end", "end", "client disconnects", "endpoint", "no endpoints", "release", "short wait", "short wait", "long wait"}
		for n := range rapid.IntRange(5, 60).Draw(d, "steps") {
			name := rapid.SampledFrom(names).Draw(d, fmt.Sprint("step ", n))
			steps[name]()
		}
		pass(4 * Second) // beyond the longest timeout
		for _, request := range l.requests {
			require.Equal(d, map[bool]int{true: 0, false: 1}[l.clientDisconnected[request]], l.answers[request], "number of final responses to a request")
		}
	})
}
