package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// discardEffects carries nothing out.
type discardEffects struct{ attempts []*Attempt }

func (m *discardEffects) Send(attempt *Attempt, _ Time) { m.attempts = append(m.attempts, attempt) }

func (m *discardEffects) Reject(*Request, Time) {}

func (m *discardEffects) Fail(*Request) {}

func (m *discardEffects) SetTimer(Time, *Timer) {}

func (m *discardEffects) WatchEndpoints() {}

func (m *discardEffects) Vote(int, int, VoteChoice) {}

func (m *discardEffects) Log(string) {}

func (m *discardEffects) Gossip(int, []byte) {}

func (m *discardEffects) CheckHealth(*Host) {}

// TestRunningSumsEqualSumsMadeAnew holds the running sums to what a walk over all hosts and answers finds, after any
// events.
func TestRunningSumsEqualSumsMadeAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hands := &discardEffects{}
		home, away := &Zone{}, &Zone{}
		class := &Class{LatencyObjective: 4000, PriorityWeight: 1}
		r := NewRouter(0, Config{Seed: 1, Routers: rapid.SampledFrom([]int{1, 3, 9}).Draw(t, "routers"), Zone: home, Classes: []*Class{class},
			Limits:  Limits{WarmUp: Second, ColdCapacity: .5, ColdOverloadFactor: 3, ColdOverloadWindow: Second, MaxAttempts: 4, AllowHedging: true, PollInterval: 1000 * Second},
			Release: ReleaseConfig{ExposureCaps: []float64{.1, 1}, PromoteQuorum: 1, RollbackQuorum: 1, ExposureWindow: Second, ExposureAllowance: 2, VoteTTL: Second}}, hands)
		var hosts []*Host
		for i := range 6 {
			hosts = append(hosts, &Host{ID: uint32(i + 1)})
		}
		now := Time(0)
		var open []*Attempt
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now += Time(rapid.IntRange(0, 3000).Draw(t, "passes"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				host := rapid.SampledFrom(hosts).Draw(t, "host")
				at := home
				if host.ID%2 == 0 {
					at = away
				}
				r.EndpointsChanged(now, []EndpointUpdate{{Host: host, Zone: at, State: EndpointState(rapid.IntRange(0, 2).Draw(t, "standing")), Build: rapid.IntRange(1, 2).Draw(t, "build"), Weight: 1}}, true)
			case 1:
				r.ReleaseChanged(now, ReleaseStatus{Build: rapid.IntRange(1, 2).Draw(t, "told"), Phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase")), ExposureCap: .1})
			case 2, 3, 4, 5:
				r.RequestArrived(now, &Request{Class: class, Timeout: 10_000})
				open, hands.attempts = append(open, hands.attempts...), nil
			default:
				if len(open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "send")
				attempt := open[i]
				open = append(open[:i], open[i+1:]...)
				outcome := rapid.SampledFrom([]Outcome{Succeeded, Succeeded, Succeeded, Failed, TimedOut, ConnectFailed, Rejected}).Draw(t, "fate")
				r.AttemptEnded(now, attempt, outcome, now-attempt.sentAt, outcome == Succeeded, nil)
				open, hands.attempts = append(open, hands.attempts...), nil
			}
			kept := *r.snapshot()
			r.fleet.valid = false
			require.Equal(t, *r.snapshot(), kept)
			for _, side := range []locality{localZone, remoteZones} {
				done, latency, n := Time(0), Time(0), 0
				for _, x := range r.traffic.ended { // the window, by a walk
					if x.locality == side && x.usualLatency > 0 && now-x.at <= 2*Second {
						done, latency, n = done+x.usualLatency, latency+x.latency, n+1
					}
				}
				l := &r.admission.completed[side].responses
				require.Equal(t, n, l.advance(now-2*Second, now-8*Second, r.traffic.endedBase))
				require.Equal(t, []Time{done, latency}, []Time{l.usualLatency, l.latency})
			}
		}
	})
}
