package logic

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fake is one tiny host fleet: it plays the hands of a router and ends sends as a story tells it to.
type fake struct {
	t                     *testing.T
	r                     *Router
	now                   Time
	here, there           *Location
	quote, order, payment *Category
	sent                  []*Send
	within                map[*Send]Time
	turned, scrapped      []*Task
	votes                 []Voice
	asks                  int
	stays                 []Time // that turn-backs named
	told                  [][]byte
	to                    []int
	probed                []*Host
	alarms                []*Alarm
	due                   []Time
}

func (f *fake) Send(s *Send, within Time) { f.sent = append(f.sent, s); f.within[s] = within }
func (f *fake) TurnBack(t *Task, s Time)  { f.turned, f.stays = append(f.turned, t), append(f.stays, s) }
func (f *fake) Scrap(t *Task)             { f.scrapped = append(f.scrapped, t) }
func (f *fake) WakeUp(in Time, a *Alarm) {
	f.alarms, f.due = append(f.alarms, a), append(f.due, f.now+in)
}
func (f *fake) WatchHosts()                       { f.asks++ }
func (f *fake) Vote(_, _ int, v Voice)            { f.votes = append(f.votes, v) }
func (f *fake) Tell(peer int, b []byte)           { f.told = append(f.told, b); f.to = append(f.to, peer) }
func (f *fake) Probe(h *Host)                     { f.probed = append(f.probed, h) }
func (f *fake) Note(string)                       {}
func (f *fake) host(id uint32, build int) Listing { return f.hostAt(id, build, f.here) }
func (f *fake) hostAt(id uint32, build int, at *Location) Listing {
	return Listing{Host: &Host{ID: id}, Location: at, Build: build, Size: 1}
}

// begin starts a router beside six hosts of build 1, and one of build 2 that has long been warm.
func begin(t *testing.T, change func(*Place)) (*fake, []Listing) {
	f := &fake{t: t, here: &Location{}, there: &Location{}, within: map[*Send]Time{},
		quote:   &Category{Repeat: Retriable, Promised: Second, Earnings: 1},
		order:   &Category{Repeat: Fingerprinted, Memory: 3 * Second, Promised: Second, Earnings: 5},
		payment: &Category{Repeat: Binding, Promised: Second, Earnings: 2}}
	p := Place{Seed: 7, Routers: 1, Location: f.here, Categories: []*Category{f.quote, f.order, f.payment},
		Limits: Limits{Grace: Second, Cold: 5 * Second, ColdShare: 0.3, Tip: 3, TipFor: Second,
			AskWithin: 10 * Second, MaxSends: 4, TwoAtOnce: true, CrossPrice: 0.1},
		Desk: Desk{Caps: []float64{0.1, 0.5, 1}, LeastTime: Second, VoteLife: 10 * Second, VoteTimeout: Second,
			Window: 4 * Second, Free: 1, Guarded: 1}}
	if change != nil {
		change(&p)
	}
	f.r = NewRouter(0, p, f)
	var list []Listing
	for id := range uint32(6) {
		list = append(list, f.host(id+1, 1))
	}
	list = append(list, f.host(9, 2))
	f.r.Listed(0, list, true)
	f.r.Told(0, News{Build: 1, Stage: 2, Phase: Released, Cap: 1})
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
				f.r.Due(f.now, a)
			}
		}
	}
}

func (f *fake) take(c *Category) *Task {
	t := &Task{Category: c, Patience: 3 * Second}
	f.r.Take(f.now, t)
	return t
}

func (f *fake) end(s *Send, fate Fate, took Time) {
	f.r.Ended(f.now, s, fate, took, s.Task.Over(), nil)
}

// serve takes so many tasks and ends each send as the story says.
func (f *fake) serve(n int, c *Category, fate func(*Send) Fate) {
	for range n {
		t := f.take(c)
		f.pass(Second / 20)
		for i := 0; i < len(t.Sends); i++ {
			f.end(t.Sends[i], fate(t.Sends[i]), Second/20)
		}
	}
}

func fine(*Send) Fate { return Finished }

// trial offers build 2 after the earlier build has been seen for a while.
func (f *fake) trial(stage int, share float64) {
	f.serve(120, f.quote, fine)
	f.serve(40, f.order, fine)
	f.r.Told(f.now, News{Build: 2, Stage: stage, Cap: share})
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
