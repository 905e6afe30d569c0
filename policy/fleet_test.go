package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fakeFleet is one tiny host fleet: it plays the hands of a router and ends sends as a story tells it to.
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
	retryAfters           []Time // that turn-backs named
	gossip                [][]byte
	gossipTo              []int
	healthChecked         []*Host
	timers                []*Timer
	timersDue             []Time
}

func (f *fakeFleet) Send(attempt *Attempt, within Time) {
	f.attempts = append(f.attempts, attempt)
	f.timeouts[attempt] = within
}

func (f *fakeFleet) Reject(request *Request, s Time) {
	f.rejected, f.retryAfters = append(f.rejected, request), append(f.retryAfters, s)
}

func (f *fakeFleet) Fail(request *Request) { f.failed = append(f.failed, request) }

func (f *fakeFleet) SetTimer(in Time, a *Timer) {
	f.timers, f.timersDue = append(f.timers, a), append(f.timersDue, f.now+in)
}

func (f *fakeFleet) WatchEndpoints() { f.polls++ }

func (f *fakeFleet) Vote(_, _ int, v VoteChoice) { f.votes = append(f.votes, v) }

func (f *fakeFleet) Gossip(peer int, b []byte) {
	f.gossip = append(f.gossip, b)
	f.gossipTo = append(f.gossipTo, peer)
}

func (f *fakeFleet) CheckHealth(host *Host) { f.healthChecked = append(f.healthChecked, host) }

func (f *fakeFleet) Log(string) {}

func (f *fakeFleet) host(id uint32, build int) EndpointUpdate {
	return f.hostAt(id, build, f.localZone)
}

func (f *fakeFleet) hostAt(id uint32, build int, at *Zone) EndpointUpdate {
	return EndpointUpdate{Host: &Host{ID: id}, Zone: at, Build: build, Weight: 1}
}

// newFakeFleet starts a router beside six hosts of build 1, and one of build 2 that has long been warm.
func newFakeFleet(t *testing.T, change func(*Config)) (*fakeFleet, []EndpointUpdate) {
	f := &fakeFleet{t: t, localZone: &Zone{}, remoteZone: &Zone{}, timeouts: map[*Attempt]Time{},
		quote:   &Class{Idempotency: Idempotent, LatencyObjective: Second, PriorityWeight: 1},
		order:   &Class{Idempotency: IdempotentWithKey, DedupWindow: 3 * Second, LatencyObjective: Second, PriorityWeight: 5},
		payment: &Class{Idempotency: NonIdempotent, LatencyObjective: Second, PriorityWeight: 2}}
	p := Config{Seed: 7, Routers: 1, Zone: f.localZone, Classes: []*Class{f.quote, f.order, f.payment},
		Limits: Limits{DrainGrace: Second, WarmUp: 5 * Second, ColdCapacity: 0.3, ColdOverloadFactor: 3, ColdOverloadWindow: Second,
			PollInterval: 10 * Second, MaxAttempts: 4, AllowHedging: true, CrossZonePrice: 0.1},
		Release: ReleaseConfig{ExposureCaps: []float64{0.1, 0.5, 1}, MinStageTime: Second, VoteTTL: 10 * Second, VoteTimeout: Second,
			ExposureWindow: 4 * Second, ExposureAllowance: 1, GuardedStages: 1}}
	if change != nil {
		change(&p)
	}
	f.router = NewRouter(0, p, f)
	var list []EndpointUpdate
	for id := range uint32(6) {
		list = append(list, f.host(id+1, 1))
	}
	list = append(list, f.host(9, 2))
	f.router.EndpointsChanged(0, list, true)
	f.router.ReleaseChanged(0, ReleaseStatus{Build: 1, Stage: 2, Phase: Released, ExposureCap: 1})
	return f, list
}

// advance lets time go by and rings what comes due.
func (f *fakeFleet) advance(span Time) {
	for end := f.now + span; f.now < end; {
		f.now += Second / 100
		for i := 0; i < len(f.timersDue); i++ {
			if f.timersDue[i] <= f.now {
				a := f.timers[i]
				f.timers, f.timersDue = append(f.timers[:i:i], f.timers[i+1:]...), append(f.timersDue[:i:i], f.timersDue[i+1:]...)
				i--
				f.router.TimerFired(f.now, a)
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

// serve takes so many tasks and ends each send as the story says.
func (f *fakeFleet) serve(n int, class *Class, fate func(*Attempt) Outcome) {
	for range n {
		request := f.arrive(class)
		f.advance(Second / 20)
		for i := 0; i < len(request.Attempts); i++ {
			f.end(request.Attempts[i], fate(request.Attempts[i]), Second/20)
		}
	}
}

func succeeds(*Attempt) Outcome { return Succeeded }

// startCanary offers build 2 after the earlier build has been seen for a while.
func (f *fakeFleet) startCanary(stage int, share float64) {
	f.serve(120, f.quote, succeeds)
	f.serve(40, f.order, succeeds)
	f.router.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: stage, ExposureCap: share})
	require.NotNil(f.t, f.router.baselineWindow(2, 20))
}

func (f *fakeFleet) attemptsAtBuild(b int) (n int) {
	for _, attempt := range f.attempts {
		if attempt.build == b {
			n++
		}
	}
	return n
}

// newGossipingFleet starts a router of many that may tell and probe; the desk counts two fifths of all sends.
func newGossipingFleet(t *testing.T, change func(*Config)) (*fakeFleet, []EndpointUpdate) {
	return newFakeFleet(t, func(p *Config) {
		p.Routers, p.Rank, p.Limits.MaxGossipBytes, p.Limits.HealthChecks, p.Limits.PushedDiscovery = 300, 7, 256, true, true
		p.Limits.CrossZonePrice, p.Release.SampledShare, p.Release.ComplaintShare = 0.01, 0.4, 0.3
		if change != nil {
			change(p)
		}
	})
}

// hostSummary is a digest of a peer nearby: so many sends at a host, so many of them bad.
func (f *fakeFleet) hostSummary(host *Host, n, bad float64) []byte {
	d := gossipSummary{nearbyHost: host, classes: make([]admissionStats, 3), hosts: []hostReport{{host, 0, healthStats{f.now, n, bad, n}}}}
	return d.encode(256)
}
