package audit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

var figures = Limits{Classes: map[string]Class{"quote": {Idempotency: policy.Idempotent}, "transfer": {Idempotency: policy.NonIdempotent},
	"order": {Idempotency: policy.IdempotentWithKey, DedupScope: policy.ZoneScope, DedupWindow: 2 * time.Second}},
	AnswerSlack: 100 * ms, TransitTime: 100 * ms, DrainGrace: time.Second, ColdOverloadFactor: 2, ColdOverloadWindow: time.Second, ExposureWindow: 2 * time.Second, ExposureAllowance: 1, GuardedStages: 1,
	FirstStageCap: .1}

const ms = time.Millisecond

var (
	old  = &Host{ID: 1, Build: 1, Zone: "here"}
	next = &Host{ID: 2, Build: 2, Zone: "there"}
)

// story is a book written by hand, one event after the other.
type story struct {
	Recorder
	now time.Duration
}

func tell() *story {
	s := &story{}
	s.at(0, event{kind: routerStarting, router: "r"})
	s.at(1*ms, event{kind: releaseAnnounced, router: "r", release: ReleaseStatus{Build: 1, Released: true, ExposureCap: 1}})
	return s
}

func (s *story) at(at time.Duration, e event) *story {
	e.at = at + 1
	s.events = append(s.events, e)
	return s
}

func (s *story) ask(at time.Duration, task, category string) *story {
	return s.at(at, event{kind: requestSent, requestID: task, operationID: task, router: "r", class: category, timeout: time.Second})
}

func (s *story) arrive(at time.Duration, task, category string, h *Host) *story {
	return s.at(at, event{kind: attemptArrived, requestID: task, router: "r", class: category, host: h, work: .1})
}

func (s *story) answer(at time.Duration, task, outcome string) *story {
	return s.at(at, event{kind: responseReceived, requestID: task, outcome: outcome})
}

// verdict is what the audit says of one rule, once the story has gone on for long enough.
func (s *story) verdict(rule string) Verdict {
	s.at(20*time.Second, event{kind: releaseAnnounced, router: "x"})
	for _, v := range s.Judge(figures) {
		if v.Rule == rule {
			return v
		}
	}
	panic(rule)
}

func kept(t *testing.T, s *story, rule string) {
	t.Helper()
	v := s.verdict(rule)
	require.True(t, v.Kept(), "%+v", v)
}

func broken(t *testing.T, s *story, rule, text string) {
	t.Helper()
	v := s.verdict(rule)
	require.Len(t, v.Broken, 1, "%+v", v)
	require.Contains(t, v.Broken[0].Text, text)
}

func TestAnswers(t *testing.T) {
	kept(t, tell().ask(0, "a", "quote").arrive(10*ms, "a", "quote", old).answer(900*ms, "a", "finished"), "answer")
	broken(t, tell().ask(0, "a", "quote").answer(1200*ms, "a", "finished"), "answer", "after its client's patience")
	broken(t, tell().ask(0, "a", "quote"), "answer", "never answered")
	broken(t, tell().ask(0, "a", "quote").at(10*ms, event{kind: connectionLost, requestID: "a"}), "answer", "ended with no answer")
	broken(t, tell().ask(0, "a", "quote").answer(50*ms, "a", "finished").answer(60*ms, "a", "finished"), "answer", "second answer")
	broken(t, tell().ask(0, "a", "quote").answer(50*ms, "a", "turned-back").arrive(400*ms, "a", "quote", old), "answer", "after its answer")
	kept(t, tell().ask(0, "a", "quote").at(10*ms, event{kind: clientLeft, requestID: "a"}), "answer")
	kept(t, tell().ask(0, "a", "quote").at(10*ms, event{kind: routerStopping, router: "r"}), "answer")
	kept(t, tell().at(0, event{kind: routerStopping, router: "r"}).ask(10*ms, "a", "quote").at(11*ms, event{kind: connectionLost, requestID: "a"}), "answer")
	kept(t, tell().at(5*ms, event{kind: routerPaused, router: "r", timeout: 300 * ms}).ask(10*ms, "a", "quote").answer(1300*ms, "a", "finished"), "answer")
}

func TestEffects(t *testing.T) {
	two := func(category string, second *Host, at time.Duration) *story {
		return tell().ask(0, "a", category).arrive(10*ms, "a", category, old).arrive(at, "a", category, second)
	}
	kept(t, two("quote", next, 50*ms), "effect")
	broken(t, two("transfer", next, 50*ms), "effect", "binding task a was sent to host 2")
	broken(t, two("order", next, 50*ms), "effect", "outside the group")
	kept(t, two("order", &Host{ID: 3, Zone: "here"}, 50*ms), "effect")
	broken(t, two("order", &Host{ID: 3, Zone: "here"}, 3*time.Second), "effect", "after host 1 may have run it")
	kept(t, tell().ask(0, "a", "transfer").arrive(10*ms, "a", "transfer", old).at(12*ms, event{kind: attemptRejected, requestID: "a", host: old}).
		arrive(20*ms, "a", "transfer", next), "effect")
	broken(t, tell().ask(0, "a", "transfer").arrive(10*ms, "a", "transfer", old).answer(20*ms, "a", "turned-back"), "effect", "turned back")
	broken(t, tell().ask(0, "a", "transfer").at(10*ms, event{kind: effectRan, requestID: "a", host: old}).
		at(20*ms, event{kind: effectRan, requestID: "a", host: next}), "effect", "its effect 2 times")
}

func TestDrains(t *testing.T) {
	drained := func(at time.Duration) *story {
		return tell().at(10*ms, event{kind: endpointsAcknowledged, router: "r", states: map[uint32]policy.EndpointState{1: policy.Draining}}).
			arrive(at, "a", "quote", old)
	}
	kept(t, drained(900*ms), "drain")
	broken(t, drained(1300*ms), "drain", "sent to host 1")
	kept(t, tell().at(10*ms, event{kind: endpointsAcknowledged, router: "r", states: map[uint32]policy.EndpointState{1: policy.Removed}}).
		at(20*ms, event{kind: endpointsAcknowledged, router: "r", states: map[uint32]policy.EndpointState{1: policy.Serving}}).
		arrive(2*time.Second, "a", "quote", old), "drain")
}

func TestColdHosts(t *testing.T) {
	flood := func(n int, up time.Duration) *story {
		h := &Host{ID: 5, Build: 1, StartedAt: up, WarmUp: 3 * time.Second, Capacity: func(time.Duration) float64 { return .5 }}
		s := tell()
		for i := range n {
			s.arrive(up+time.Duration(i)*10*ms, "a", "quote", h)
		}
		return s
	}
	kept(t, flood(11, time.Second), "cold") // 2 x 0.5 x 1 s, and one more
	require.NotEmpty(t, flood(20, time.Second).verdict("cold").Broken)
	kept(t, flood(20, 0), "cold") // up since long ago
}

func TestExposure(t *testing.T) {
	trial := ReleaseStatus{Build: 2, Stage: 1, ExposureCap: .1}
	sends := func(n int, news ReleaseStatus, category string) *story {
		s := tell().at(2*ms, event{kind: releaseAnnounced, router: "r", release: news})
		for i := range 50 {
			s.ask(3*time.Second+time.Duration(i)*20*ms, string(rune('a'+i)), "quote")
		}
		for i := range n {
			s.arrive(4*time.Second+time.Duration(i)*ms, "a", category, next)
		}
		return s
	}
	kept(t, sends(6, trial, "quote"), "exposure") // 1 and a tenth of 50
	require.NotEmpty(t, sends(7, trial, "quote").verdict("exposure").Broken)
	require.NotEmpty(t, sends(2, ReleaseStatus{Build: 2, ExposureCap: 0, Stage: 1}, "quote").verdict("exposure").Broken)
	broken(t, sends(1, ReleaseStatus{Build: 2, Stage: 0, ExposureCap: .1}, "transfer"), "exposure", "guarded stage 0")
	require.NotEmpty(t, sends(7, ReleaseStatus{Build: 1, Released: true, ExposureCap: 1}, "quote").verdict("exposure").Broken, "unannounced: as in stage 0")
	kept(t, sends(40, ReleaseStatus{Build: 2, Released: true, ExposureCap: 1}, "transfer"), "exposure")
}

// A router that has just started sends before it is told of a release; what is on its way then arrives after the news.
func TestExposureCountsFromTheFirstNewsOfANewRouter(t *testing.T) {
	started := func(arrival time.Duration) *story {
		s := &story{}
		s.at(0, event{kind: routerStarting, router: "r"})
		s.at(50*ms, event{kind: releaseAnnounced, router: "r", release: ReleaseStatus{Build: 2, Stage: 3, ExposureCap: 0}})
		for i := range 3 {
			s.arrive(arrival+time.Duration(i)*ms, "a", "transfer", next)
		}
		return s
	}
	kept(t, started(92*ms), "exposure")
	require.NotEmpty(t, started(200*ms).verdict("exposure").Broken, "longer after the news than anything takes on its way")
}

func TestAStallOfTheMachineIsNoVerdict(t *testing.T) {
	s := tell().ask(0, "a", "quote").answer(1500*ms, "a", "finished")
	s.Heartbeat(900 * ms)
	s.Heartbeat(1450 * ms)
	v := s.verdict("answer")
	require.Empty(t, v.Broken)
	require.Len(t, v.Doubtful, 1)
	require.False(t, v.Kept())
}
