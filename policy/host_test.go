package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// discardEffects records attempts and ignores all other decisions.
type discardEffects struct{ attempts []*Attempt }

func (e *discardEffects) Send(attempt *Attempt, _ Time) { e.attempts = append(e.attempts, attempt) }

func (e *discardEffects) Reject(*Request, Time) {}

func (e *discardEffects) Fail(*Request) {}

func (e *discardEffects) SetTimer(Time, *Timer) {}

func (e *discardEffects) WatchEndpoints()       {}
func (e *discardEffects) CancelUnsent(*Request) {}

func (e *discardEffects) Vote(int, int, VoteChoice) {}

func (e *discardEffects) Log(string) {}

func (e *discardEffects) Gossip(int, []byte) {}

func (e *discardEffects) CheckHealth(*Host) {}

// After any sequence of events, the running sums equal sums computed from all hosts and responses.
func TestRouter_RunningSumsEqualRecomputedSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effects := &discardEffects{}
		local, remote := &Zone{}, &Zone{}
		class := &Class{LatencyObjective: 4000, PriorityWeight: 1}
		r := NewRouter(0, Config{Seed: 1, Routers: rapid.SampledFrom([]int{1, 3, 9}).Draw(t, "routers"), Zone: local, Classes: []*Class{class},
			Limits:  Limits{WarmUp: Second, ColdCapacity: .5, ColdOverloadFactor: 3, ColdOverloadWindow: Second, MaxAttempts: 4, AllowHedging: true, PollInterval: 1000 * Second},
			Release: ReleaseConfig{ExposureCaps: []float64{.1, 1}, PromoteQuorum: 1, RollbackQuorum: 1, ExposureWindow: Second, ExposureAllowance: 2, VoteTTL: Second}}, effects)
		var hosts []*Host
		for i := range 6 {
			hosts = append(hosts, &Host{ID: uint32(i + 1)})
		}
		now := Time(0)
		var inFlight []*Attempt
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now += Time(rapid.IntRange(0, 3000).Draw(t, "span"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				host := rapid.SampledFrom(hosts).Draw(t, "host")
				at := local
				if host.ID%2 == 0 {
					at = remote
				}
				r.EndpointsChanged(now, []EndpointUpdate{{Host: host, Zone: at, State: EndpointState(rapid.IntRange(0, 2).Draw(t, "state")), Build: rapid.IntRange(1, 2).Draw(t, "build"), Weight: 1}}, true)
			case 1:
				r.ReleaseChanged(now, ReleaseStatus{Build: rapid.IntRange(1, 2).Draw(t, "newest build"), Phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase")), ExposureCap: .1})
			case 2, 3, 4, 5:
				r.RequestArrived(now, &Request{Class: class, Timeout: 10_000})
				inFlight, effects.attempts = append(inFlight, effects.attempts...), nil
			default:
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "attempt")
				attempt := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				outcome := rapid.SampledFrom([]Outcome{Succeeded, Succeeded, Succeeded, Failed, TimedOut, ConnectFailed, Rejected}).Draw(t, "outcome")
				r.AttemptEnded(now, attempt, outcome, now-attempt.sentAt, outcome == Succeeded, nil)
				inFlight, effects.attempts = append(inFlight, effects.attempts...), nil
			}
			kept := *r.snapshot()
			r.fleet.valid = false
			require.Equal(t, *r.snapshot(), kept)
			for _, at := range []locality{localZone, remoteZones} {
				usualLatency, latency, n := Time(0), Time(0), 0
				for _, x := range r.traffic.ended { // the window, computed from all ended attempts
					if x.locality == at && x.usualLatency > 0 && now-x.at <= 2*Second {
						usualLatency, latency, n = usualLatency+x.usualLatency, latency+x.latency, n+1
					}
				}
				counter := &r.admission.completed[at].responses
				require.Equal(t, n, counter.advance(now-2*Second, now-8*Second, r.traffic.endedBase))
				require.Equal(t, []Time{usualLatency, latency}, []Time{counter.usualLatency, counter.latency})
			}
		}
	})
}
