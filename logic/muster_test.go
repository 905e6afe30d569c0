package logic

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// mute carries nothing out.
type mute struct{ sends []*Send }

func (m *mute) Send(s *Send, _ Time) { m.sends = append(m.sends, s) }
func (m *mute) TurnBack(*Task, Time) {}
func (m *mute) Scrap(*Task)          {}
func (m *mute) WakeUp(Time, *Alarm)  {}
func (m *mute) WatchHosts()          {}
func (m *mute) Vote(int, int, Voice) {}
func (m *mute) Note(string)          {}
func (m *mute) Tell(int, []byte)     {}
func (m *mute) Probe(*Host)          {}

// TestSumsThatAreKeptEqualSumsMadeAnew holds the running sums to what a walk over all hosts and answers finds, after any
// events.
func TestSumsThatAreKeptEqualSumsMadeAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hands := &mute{}
		home, away := &Location{}, &Location{}
		cat := &Category{Promised: 4000, Earnings: 1}
		r := NewRouter(0, Place{Seed: 1, Routers: rapid.SampledFrom([]int{1, 3, 9}).Draw(t, "routers"), Location: home, Categories: []*Category{cat},
			Limits: Limits{Cold: Second, ColdShare: .5, Tip: 3, TipFor: Second, MaxSends: 4, TwoAtOnce: true, AskWithin: 1000 * Second},
			Desk:   Desk{Caps: []float64{.1, 1}, ToMoveOn: 1, ToAbort: 1, Window: Second, Free: 2, VoteLife: Second}}, hands)
		var hosts []*Host
		for i := range 6 {
			hosts = append(hosts, &Host{ID: uint32(i + 1)})
		}
		now := Time(0)
		var open []*Send
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now += Time(rapid.IntRange(0, 3000).Draw(t, "passes"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				h := rapid.SampledFrom(hosts).Draw(t, "host")
				at := home
				if h.ID%2 == 0 {
					at = away
				}
				r.Listed(now, []Listing{{Host: h, Location: at, Standing: Standing(rapid.IntRange(0, 2).Draw(t, "standing")), Build: rapid.IntRange(1, 2).Draw(t, "build"), Size: 1}}, true)
			case 1:
				r.Told(now, News{Build: rapid.IntRange(1, 2).Draw(t, "told"), Phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase")), Cap: .1})
			case 2, 3, 4, 5:
				r.Take(now, &Task{Category: cat, Patience: 10_000})
				open, hands.sends = append(open, hands.sends...), nil
			default:
				if len(open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "send")
				s := open[i]
				open = append(open[:i], open[i+1:]...)
				fate := rapid.SampledFrom([]Fate{Finished, Finished, Finished, Errored, NoAnswer, NoLink, TurnedBack}).Draw(t, "fate")
				r.Ended(now, s, fate, now-s.at, fate == Finished, nil)
				open, hands.sends = append(open, hands.sends...), nil
			}
			kept := *r.standing()
			r.muster.counted = false
			require.Equal(t, *r.standing(), kept)
			for side := range 2 {
				done, took, n := Time(0), Time(0), 0
				for _, x := range r.done { // the window, by a walk
					if x.side == side && x.work > 0 && now-x.at <= 2*Second {
						done, took, n = done+x.work, took+x.took, n+1
					}
				}
				l := &r.work[side].last
				require.Equal(t, n, l.since(now-2*Second, now-8*Second, r.begun))
				require.Equal(t, []Time{done, took}, []Time{l.work, l.took})
			}
		}
	})
}
