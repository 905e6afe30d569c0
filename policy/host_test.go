package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fake is one tiny host fleet: it plays the hands of a router and ends sends as a story tells it to.
type fake struct {
	t                     *testing.T
	r                     *Router
	now                   Time
	here, there           *Zone
	quote, order, payment *Class
	sent                  []*Attempt
	within                map[*Attempt]Time
	turned, scrapped      []*Request
	votes                 []VoteChoice
	asks                  int
	stays                 []Time // that turn-backs named
	told                  [][]byte
	to                    []int
	probed                []*Host
	alarms                []*Timer
	due                   []Time
}

func (f *fake) Send(s *Attempt, within Time) { f.sent = append(f.sent, s); f.within[s] = within }
func (f *fake) Reject(t *Request, s Time) {
	f.turned, f.stays = append(f.turned, t), append(f.stays, s)
}
func (f *fake) Fail(t *Request) { f.scrapped = append(f.scrapped, t) }
func (f *fake) SetTimer(in Time, a *Timer) {
	f.alarms, f.due = append(f.alarms, a), append(f.due, f.now+in)
}
func (f *fake) WatchEndpoints()                          { f.asks++ }
func (f *fake) Vote(_, _ int, v VoteChoice)              { f.votes = append(f.votes, v) }
func (f *fake) Gossip(peer int, b []byte)                { f.told = append(f.told, b); f.to = append(f.to, peer) }
func (f *fake) CheckHealth(h *Host)                      { f.probed = append(f.probed, h) }
func (f *fake) Log(string)                               {}
func (f *fake) host(id uint32, build int) EndpointUpdate { return f.hostAt(id, build, f.here) }
func (f *fake) hostAt(id uint32, build int, at *Zone) EndpointUpdate {
	return EndpointUpdate{Host: &Host{ID: id}, Zone: at, Build: build, Weight: 1}
}

// begin starts a router beside six hosts of build 1, and one of build 2 that has long been warm.
func begin(t *testing.T, change func(*Config)) (*fake, []EndpointUpdate) {
	f := &fake{t: t, here: &Zone{}, there: &Zone{}, within: map[*Attempt]Time{},
		quote:   &Class{Idempotency: Idempotent, LatencyObjective: Second, PriorityWeight: 1},
		order:   &Class{Idempotency: IdempotentWithKey, DedupWindow: 3 * Second, LatencyObjective: Second, PriorityWeight: 5},
		payment: &Class{Idempotency: NonIdempotent, LatencyObjective: Second, PriorityWeight: 2}}
	p := Config{Seed: 7, Routers: 1, Zone: f.here, Classes: []*Class{f.quote, f.order, f.payment},
		Limits: Limits{DrainGrace: Second, WarmUp: 5 * Second, ColdCapacity: 0.3, ColdOverloadFactor: 3, ColdOverloadWindow: Second,
			PollInterval: 10 * Second, MaxAttempts: 4, AllowHedging: true, CrossZonePrice: 0.1},
		Release: ReleaseConfig{ExposureCaps: []float64{0.1, 0.5, 1}, MinStageTime: Second, VoteTTL: 10 * Second, VoteTimeout: Second,
			ExposureWindow: 4 * Second, ExposureAllowance: 1, GuardedStages: 1}}
	if change != nil {
		change(&p)
	}
	f.r = NewRouter(0, p, f)
	var list []EndpointUpdate
	for id := range uint32(6) {
		list = append(list, f.host(id+1, 1))
	}
	list = append(list, f.host(9, 2))
	f.r.EndpointsChanged(0, list, true)
	f.r.ReleaseChanged(0, ReleaseStatus{Build: 1, Stage: 2, Phase: Released, ExposureCap: 1})
	return f, list
}

// pass lets time go by and rings what comes due.
func (f *fake) pass(span Time) {
	for end := f.now + span; f.now < end; {
		f.now += Second / 100
		for i := 0; i < len(f.due); i++ {
			if f.due[i] <= f.now {
				a := f.alarms[i]
				f.alarms, f.due = append(f.alarms[:i:i], f.alarms[i+1:]...), append(f.due[:i:i], f.due[i+1:]...)
				i--
				f.r.TimerFired(f.now, a)
			}
		}
	}
}

func (f *fake) take(c *Class) *Request {
	t := &Request{Class: c, Timeout: 3 * Second}
	f.r.RequestArrived(f.now, t)
	return t
}

func (f *fake) end(s *Attempt, fate Outcome, took Time) {
	f.r.AttemptEnded(f.now, s, fate, took, s.Request.Answered(), nil)
}

// serve takes so many tasks and ends each send as the story says.
func (f *fake) serve(n int, c *Class, fate func(*Attempt) Outcome) {
	for range n {
		t := f.take(c)
		f.pass(Second / 20)
		for i := 0; i < len(t.Attempts); i++ {
			f.end(t.Attempts[i], fate(t.Attempts[i]), Second/20)
		}
	}
}

func fine(*Attempt) Outcome { return Succeeded }

// trial offers build 2 after the earlier build has been seen for a while.
func (f *fake) trial(stage int, share float64) {
	f.serve(120, f.quote, fine)
	f.serve(40, f.order, fine)
	f.r.ReleaseChanged(f.now, ReleaseStatus{Build: 2, Stage: stage, ExposureCap: share})
	require.NotNil(f.t, f.r.before(2, 20))
}

func (f *fake) toBuild(b int) (n int) {
	for _, s := range f.sent {
		if s.build == b {
			n++
		}
	}
	return n
}
