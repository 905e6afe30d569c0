package policy

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// ledger is what a drawn story has seen of each task, to hold the rules against.
type ledger struct {
	*rapid.T
	f       *fake
	tasks   []*Request
	until   map[*Request]Time
	answers map[*Request]int // final ones, the client's leaving among them
	left    map[*Request]bool
	told    map[*Host]Time // since when a host has been told to drain or to be gone
	tried   []moment       // sends at the build on trial
	taken   []moment
	judged  int // of f.sent
	turned  int // of f.turned
	scrap   int // of f.scrapped
}

// judge looks at what the router did since the last look.
func (l *ledger) judge() {
	f := l.f
	for ; l.judged < len(f.sent); l.judged++ {
		s := f.sent[l.judged]
		t, now := s.Request, f.now
		if l.left[t] || l.answers[t] > 0 {
			l.Fatalf("at %d: a send for a request that is over", now)
		}
		if f.within[s] <= 0 || now+f.within[s] > l.until[t] {
			l.Fatalf("at %d: a send may take %d, the client waits until %d", now, f.within[s], l.until[t])
		}
		if at, ok := l.told[s.Host]; ok && now-at > f.r.limits.DrainGrace {
			l.Fatalf("at %d: a send to a host that was told to drain at %d", now, at)
		}
		for _, before := range t.Attempts[:slices.Index(t.Attempts, s)] {
			sure := before.outcome == Rejected || before.outcome == ConnectFailed || before.outcome == NotSent
			if t.Class.Idempotency == NonIdempotent && !sure {
				l.Fatalf("at %d: an unsafe request again, after an attempt that ended as %d", now, before.outcome)
			}
			if !f.r.limits.AllowHedging && before.outcome == Pending {
				l.Fatalf("at %d: two attempts at once", now)
			}
		}
		if on, stage, cap := f.r.trial(s.build); on {
			if stage < f.r.desk.GuardedStages && t.Class.Idempotency != Idempotent {
				l.Fatalf("at %d: an effect in a guarded stage", now)
			}
			l.tried = append(l.tried, moment{at: now})
			in := func(all []moment) (n float64) {
				for _, m := range all {
					if now-m.at < f.r.desk.ExposureWindow {
						n++
					}
				}
				return n
			}
			if in(l.tried) > f.r.desk.ExposureAllowance+cap*in(l.taken) {
				l.Fatalf("at %d: %v attempts on trial, of %v requests at a cap of %v", now, in(l.tried), in(l.taken), cap)
			}
		}
	}
	for ; l.turned < len(f.turned); l.turned++ {
		t := f.turned[l.turned]
		l.answers[t]++
		if slices.ContainsFunc(t.Attempts, func(s *Attempt) bool {
			return s.outcome != Rejected && s.outcome != ConnectFailed && s.outcome != NotSent
		}) && t.Class.Idempotency == NonIdempotent {
			l.Fatalf("at %d: refused, though it may have run", f.now)
		}
	}
	for ; l.scrap < len(f.scrapped); l.scrap++ {
		l.answers[f.scrapped[l.scrap]]++
	}
	for t, n := range l.answers {
		if n > 1 {
			l.Fatalf("%d final answers to one request %p", n, t)
		}
	}
}

// Whatever order answers, failures, time-outs, clients' ends, lists, news and alarms come in, also at one instant, the rules
// hold that a router keeps by itself, and every request has one final answer by the time that its client waits until.
func TestTheRulesHoldInWhateverOrderThingsHappen(t *testing.T) {
	rapid.Check(t, func(d *rapid.T) {
		f, list := begin(t, func(p *Config) {
			p.Limits.AllowHedging = rapid.Bool().Draw(d, "two at once")
			p.Limits.PushedDiscovery = rapid.Bool().Draw(d, "pushed")
			p.Routers = rapid.SampledFrom([]int{1, 3, 300}).Draw(d, "routers")
			p.Seed = rapid.Uint64().Draw(d, "seed")
		})
		l := &ledger{T: d, f: f, until: map[*Request]Time{}, answers: map[*Request]int{}, left: map[*Request]bool{}, told: map[*Host]Time{}}
		cats := []*Class{f.quote, f.order, f.payment}
		pass := func(span Time) { // the edge's part: a send whose time is up has ended
			for end := f.now + span; f.now < end; {
				f.pass(Second / 100)
				l.judge()
				for _, s := range f.sent {
					if s.outcome == Pending && f.now >= s.at+f.within[s] {
						f.end(s, TimedOut, f.now-s.at)
						l.judge()
					}
				}
			}
		}
		end := func(s *Attempt, fate Outcome) {
			if fate == Succeeded && l.answers[s.Request] == 0 && !l.left[s.Request] {
				l.answers[s.Request]++ // the edge passes it on before the router hears of it
			}
			f.r.AttemptEnded(f.now, s, fate, f.now-s.at, l.answers[s.Request] > 0 || l.left[s.Request], nil)
		}
		steps := map[string]func(){
			"take": func() {
				for range rapid.IntRange(1, 6).Draw(d, "requests") {
					c := cats[rapid.IntRange(0, 2).Draw(d, "class")]
					x := &Request{Class: c, Timeout: Time(rapid.IntRange(100, 30_000).Draw(d, "patience"))}
					l.tasks, l.until[x] = append(l.tasks, x), f.now+x.Timeout
					l.taken = append(l.taken, moment{at: f.now})
					f.r.RequestArrived(f.now, x)
					l.judge()
				}
			},
			"end": func() {
				var out []*Attempt
				for _, s := range f.sent {
					if s.outcome == Pending {
						out = append(out, s)
					}
				}
				for range min(len(out), rapid.IntRange(1, 5).Draw(d, "ends")) {
					s := out[rapid.IntRange(0, len(out)-1).Draw(d, "which")]
					if s.outcome == Pending {
						end(s, rapid.SampledFrom([]Outcome{Succeeded, Succeeded, Succeeded, Failed, Rejected, TimedOut, ConnectFailed, ConnectionLost,
							NotSent}).Draw(d, "fate"))
						l.judge()
					}
				}
			},
			"leave": func() {
				if len(l.tasks) > 0 {
					x := l.tasks[rapid.IntRange(max(0, len(l.tasks)-5), len(l.tasks)-1).Draw(d, "who")]
					if l.answers[x] == 0 && !l.left[x] {
						l.left[x] = true
						f.r.ClientGone(f.now, x)
						for _, s := range x.Attempts { // what had not left is withheld, what had goes on to its end
							if s.outcome == Pending && rapid.Bool().Draw(d, "withheld") {
								end(s, NotSent)
							}
						}
						l.judge()
					}
				}
			},
			"list": func() {
				i := rapid.IntRange(0, len(list)-1).Draw(d, "host")
				list[i].State = rapid.SampledFrom([]EndpointState{Serving, Serving, Draining, Removed}).Draw(d, "standing")
				if h := list[i].Host; list[i].State == Serving {
					delete(l.told, h)
				} else if _, ok := l.told[h]; !ok {
					l.told[h] = f.now
				}
				if rapid.Bool().Draw(d, "started") {
					list[i].StartedAt = f.now
				}
				f.r.EndpointsChanged(f.now, list[i:i+1], true)
				l.judge()
			},
			"no list": func() { f.r.EndpointsChanged(f.now, nil, false); l.judge() },
			"news": func() {
				f.r.ReleaseChanged(f.now, rapid.SampledFrom([]ReleaseStatus{{Build: 2, Phase: Canary, ExposureCap: 0.1}, {Build: 2, Stage: 1, Phase: Canary, ExposureCap: 0.5},
					{Build: 2, Stage: 2, Phase: Released, ExposureCap: 1}, {Build: 2, Phase: RollingBack}, {Build: 2, Phase: RolledBack},
					{Build: 3, Phase: Canary, ExposureCap: 0.1}}).Draw(d, "news"))
				l.tried = nil // caps may have fallen: what was allowed before is looked at no more
				l.judge()
			},
			"a moment": func() { pass(Time(rapid.IntRange(1, 300).Draw(d, "tenths"))) },
			"a while":  func() { pass(Second * Time(rapid.IntRange(1, 8).Draw(d, "seconds"))) },
		}
		names := []string{"take", "take", "take", "end", "end", "leave", "list", "no list", "news", "a moment", "a moment", "a while"}
		for n := range rapid.IntRange(5, 60).Draw(d, "steps") {
			name := rapid.SampledFrom(names).Draw(d, fmt.Sprint("step ", n))
			steps[name]()
		}
		pass(4 * Second) // beyond the longest patience
		for _, x := range l.tasks {
			require.Equal(d, map[bool]int{true: 0, false: 1}[l.left[x]], l.answers[x], "a request's final answers")
		}
	})
}
