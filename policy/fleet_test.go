package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fakeFleet implements Effects for a router of a small fleet of hosts. The tests decide how attempts end.
type fakeFleet struct {
	t                     *testing.T
	router                *Router
	now                   Time
	localZone, remoteZone *Zone
	quote, order, payment *Class
	attempts              []*Attempt
	timeouts              map[*Attempt]Time
	rejected, failed      []*Request
	votes                 []VoteChoice
	polls                 int
	retryAfters           []Time // of the rejections
	gossip                [][]byte
	gossipTo              []int
	healthChecked         []*Host
	unsentCanceled        []*Request
	timers                []*Timer
	timersDue             []Time
}

func (f *fakeFleet) Send(attempt *Attempt, timeout Time) {
	f.attempts = append(f.attempts, attempt)
	f.timeouts[attempt] = timeout
}

func (f *fakeFleet) Reject(request *Request, retryAfter Time) {
	f.rejected, f.retryAfters = append(f.rejected, request), append(f.retryAfters, retryAfter)
}

func (f *fakeFleet) Fail(request *Request) { f.failed = append(f.failed, request) }

func (f *fakeFleet) SetTimer(delay Time, timer *Timer) {
	f.timers, f.timersDue = append(f.timers, timer), append(f.timersDue, f.now+delay)
}

func (f *fakeFleet) WatchEndpoints() { f.polls++ }

func (f *fakeFleet) Vote(_, _ int, choice VoteChoice) { f.votes = append(f.votes, choice) }

func (f *fakeFleet) Gossip(peer int, body []byte) {
	f.gossip = append(f.gossip, body)
	f.gossipTo = append(f.gossipTo, peer)
}

func (f *fakeFleet) CheckHealth(host *Host) { f.healthChecked = append(f.healthChecked, host) }

func (f *fakeFleet) CancelUnsent(request *Request) {
	f.unsentCanceled = append(f.unsentCanceled, request)
}

func (f *fakeFleet) Log(string) {}

func (f *fakeFleet) host(id uint32, build int) EndpointUpdate {
	return f.hostAt(id, build, f.localZone)
}

func (f *fakeFleet) hostAt(id uint32, build int, at *Zone) EndpointUpdate {
	return EndpointUpdate{Host: &Host{ID: id}, Zone: at, Build: build, Weight: 1}
}

// newFakeFleet starts a router with six warm hosts of build 1 and one of build 2, which the release controller has not announced.
func newFakeFleet(t *testing.T, change func(*Config)) (*fakeFleet, []EndpointUpdate) {
	t.Helper()
	f := &fakeFleet{t: t, localZone: &Zone{}, remoteZone: &Zone{}, timeouts: map[*Attempt]Time{},
		quote:   &Class{Idempotency: Idempotent, LatencyObjective: Second, PriorityWeight: 1},
		order:   &Class{Idempotency: IdempotentWithKey, DedupWindow: 3 * Second, LatencyObjective: Second, PriorityWeight: 5},
		payment: &Class{Idempotency: NonIdempotent, LatencyObjective: Second, PriorityWeight: 2}}
	config := Config{Seed: 7, Routers: 1, Zone: f.localZone, Classes: []*Class{f.quote, f.order, f.payment},
		Limits: Limits{DrainGrace: Second, WarmUp: 5 * Second, ColdCapacity: 0.3, ColdOverloadFactor: 3, ColdOverloadWindow: Second,
			PollInterval: 10 * Second, MaxAttempts: 4, AllowHedging: true, CrossZonePrice: 0.1},
		Release: ReleaseConfig{ExposureCaps: []float64{0.1, 0.5, 1}, MinStageTime: Second, VoteTTL: 10 * Second, VoteTimeout: Second,
			ExposureWindow: 4 * Second, ExposureAllowance: 1, GuardedStages: 1}}
	if change != nil {
		change(&config)
	}
	f.router = NewRouter(0, config, f)
	var endpoints []EndpointUpdate
	for id := range uint32(6) {
		endpoints = append(endpoints, f.host(id+1, 1))
	}
	endpoints = append(endpoints, f.host(9, 2))
	f.router.EndpointsChanged(0, endpoints, true)
	f.router.ReleaseChanged(0, ReleaseStatus{Build: 1, Stage: 2, Phase: Released, ExposureCap: 1})
	return f, endpoints
}

// advance moves the time forward in steps of 10 ms and fires the timers that are due.
func (f *fakeFleet) advance(span Time) {
	for end := f.now + span; f.now < end; {
		f.now += Second / 100
		for i := 0; i < len(f.timersDue); i++ {
			if f.timersDue[i] <= f.now {
				timer := f.timers[i]
				f.timers, f.timersDue = append(f.timers[:i:i], f.timers[i+1:]...), append(f.timersDue[:i:i], f.timersDue[i+1:]...)
				i--
				f.router.TimerFired(f.now, timer)
			}
		}
	}
}

func (f *fakeFleet) arrive(class *Class) *Request {
	request := &Request{Class: class, Timeout: 3 * Second}
	f.router.RequestArrived(f.now, request)
	return request
}

func (f *fakeFleet) end(attempt *Attempt, outcome Outcome, latency Time) {
	f.router.AttemptEnded(f.now, attempt, outcome, latency, attempt.Request.Answered(), nil)
}

// serve sends n requests of a class, 50 ms apart, and ends each attempt with the outcome that outcomeOf returns.
func (f *fakeFleet) serve(n int, class *Class, outcomeOf func(*Attempt) Outcome) {
	for range n {
		request := f.arrive(class)
		f.advance(Second / 20)
		for i := 0; i < len(request.Attempts); i++ {
			f.end(request.Attempts[i], outcomeOf(request.Attempts[i]), Second/20)
		}
	}
}

func succeeds(*Attempt) Outcome { return Succeeded }

// startCanary makes build 2 the canary after the baseline has served requests for eight seconds.
func (f *fakeFleet) startCanary(stage int, share float64) {
	f.serve(120, f.quote, succeeds)
	f.serve(40, f.order, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: stage, ExposureCap: share})
	require.NotNil(f.t, f.router.baselineWindow(2, 20))
}

// canaryAttempts counts the attempts at build 2.
func (f *fakeFleet) canaryAttempts() (n int) {
	for _, attempt := range f.attempts {
		if attempt.build == 2 {
			n++
		}
	}
	return n
}

// newGossipingFleet starts one of 300 routers, with gossip and health checks. The release controller counts 40% of all
// attempts.
func newGossipingFleet(t *testing.T, change func(*Config)) (*fakeFleet, []EndpointUpdate) {
	t.Helper()
	return newFakeFleet(t, func(config *Config) {
		config.Routers, config.Rank, config.Limits.MaxGossipBytes, config.Limits.HealthChecks, config.Limits.PushedDiscovery = 300, 7, 256, true, true
		config.Limits.CrossZonePrice, config.Release.SampledShare, config.Release.ComplaintShare = 0.01, 0.4, 0.3
		if change != nil {
			change(config)
		}
	})
}

// hostSummary is the gossip message of a peer in the same zone that reports attempts at a host and failures among them.
func (f *fakeFleet) hostSummary(host *Host, attempts, failures float64) []byte {
	summary := gossipSummary{nearbyHost: host, classes: make([]admissionStats, 3), hosts: []hostReport{{host, 0, healthStats{f.now, attempts, failures, attempts}}}}
	return summary.encode(256)
}
