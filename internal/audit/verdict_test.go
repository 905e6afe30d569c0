package audit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

var limits = Limits{Classes: map[string]Class{"quote": {Idempotency: policy.Idempotent}, "transfer": {Idempotency: policy.NonIdempotent},
	"order": {Idempotency: policy.IdempotentWithKey, DedupScope: policy.ZoneScope, DedupWindow: 2 * time.Second}},
	AnswerSlack: 100 * ms, TransitTime: 100 * ms, DrainGrace: time.Second, ColdOverloadFactor: 2, ColdOverloadWindow: time.Second, ExposureWindow: 2 * time.Second, ExposureAllowance: 1, GuardedStages: 1,
	FirstStageCap: .1}

const ms = time.Millisecond

var (
	baseline = &Host{ID: 1, Build: 1, Zone: "here"}
	canary   = &Host{ID: 2, Build: 2, Zone: "there"}
)

// requestID is the id of the request in most timelines.
const requestID = "a"

// timeline is a recorder to which a test adds events with explicit times.
type timeline struct {
	Recorder
}

// releasedRouter returns a timeline with a running router to which the release of build 1 was announced.
func releasedRouter() *timeline {
	s := &timeline{}
	s.at(0, event{kind: routerStarting, router: "r"})
	s.at(1*ms, event{kind: releaseAnnounced, router: "r", release: ReleaseStatus{Build: 1, Released: true, ExposureCap: 1}})
	return s
}

func (s *timeline) at(at time.Duration, e event) *timeline {
	e.at = at + 1
	s.events = append(s.events, e)
	return s
}

func (s *timeline) request(at time.Duration, id, class string) *timeline {
	return s.at(at, event{kind: requestSent, requestID: id, operationID: id, router: "r", class: class, timeout: time.Second})
}

func (s *timeline) attempt(at time.Duration, class string, h *Host) *timeline {
	return s.at(at, event{kind: attemptArrived, requestID: requestID, router: "r", class: class, host: h, work: .1})
}

func (s *timeline) respond(at time.Duration, outcome string) *timeline {
	return s.at(at, event{kind: responseReceived, requestID: requestID, outcome: outcome})
}

// verdict returns the verdict on one rule. It first adds a late event, so that every deadline in the timeline has passed.
func (s *timeline) verdict(rule string) Verdict {
	s.at(20*time.Second, event{kind: releaseAnnounced, router: "x"})
	for _, v := range s.Judge(limits) {
		if v.Rule == rule {
			return v
		}
	}
	panic(rule)
}

func requireKept(t *testing.T, s *timeline, rule string) {
	t.Helper()
	v := s.verdict(rule)
	require.True(t, v.Kept(), "%+v", v)
}

func requireBroken(t *testing.T, s *timeline, rule, text string) {
	t.Helper()
	v := s.verdict(rule)
	require.Len(t, v.Broken, 1, "%+v", v)
	require.Contains(t, v.Broken[0].Text, text)
}

func TestJudge_RequiresOneResponseInTime(t *testing.T) {
	requireKept(t, releasedRouter().request(0, requestID, "quote").attempt(10*ms, "quote", baseline).respond(900*ms, "finished"), "answer")
	requireBroken(t, releasedRouter().request(0, requestID, "quote").respond(1200*ms, "finished"), "answer", "after its deadline")
	requireBroken(t, releasedRouter().request(0, requestID, "quote"), "answer", "never answered")
	requireBroken(t, releasedRouter().request(0, requestID, "quote").at(10*ms, event{kind: connectionLost, requestID: requestID}), "answer", "closed without a response")
	requireBroken(t, releasedRouter().request(0, requestID, "quote").respond(50*ms, "finished").respond(60*ms, "finished"), "answer", "second response")
	requireBroken(t, releasedRouter().request(0, requestID, "quote").respond(50*ms, "turned-back").attempt(400*ms, "quote", baseline), "answer", "after its response")
	requireKept(t, releasedRouter().request(0, requestID, "quote").at(10*ms, event{kind: clientDisconnected, requestID: requestID}), "answer")
	requireKept(t, releasedRouter().request(0, requestID, "quote").at(10*ms, event{kind: routerStopping, router: "r"}), "answer")
	requireKept(t, releasedRouter().at(0, event{kind: routerStopping, router: "r"}).request(10*ms, requestID, "quote").at(11*ms, event{kind: connectionLost, requestID: requestID}), "answer")
	requireKept(t, releasedRouter().at(5*ms, event{kind: routerPaused, router: "r", timeout: 300 * ms}).request(10*ms, requestID, "quote").respond(1300*ms, "finished"), "answer")
}

func TestJudge_RequiresEffectAtMostOnce(t *testing.T) {
	twice := func(class string, second *Host, at time.Duration) *timeline {
		return releasedRouter().request(0, requestID, class).attempt(10*ms, class, baseline).attempt(at, class, second)
	}
	requireKept(t, twice("quote", canary, 50*ms), "effect")
	requireBroken(t, twice("transfer", canary, 50*ms), "effect", "non-idempotent request a was sent to host 2")
	requireBroken(t, twice("order", canary, 50*ms), "effect", "outside the dedup scope of host 1")
	requireKept(t, twice("order", &Host{ID: 3, Zone: "here"}, 50*ms), "effect")
	requireBroken(t, twice("order", &Host{ID: 3, Zone: "here"}, 3*time.Second), "effect", "after host 1 may have run it")
	requireKept(t, releasedRouter().request(0, requestID, "transfer").attempt(10*ms, "transfer", baseline).at(12*ms, event{kind: attemptRejected, requestID: requestID, host: baseline}).
		attempt(20*ms, "transfer", canary), "effect")
	requireBroken(t, releasedRouter().request(0, requestID, "transfer").attempt(10*ms, "transfer", baseline).respond(20*ms, "turned-back"), "effect", "was rejected although host 1 may have run it")
	requireBroken(t, releasedRouter().request(0, requestID, "transfer").at(10*ms, event{kind: effectApplied, requestID: requestID, host: baseline}).
		at(20*ms, event{kind: effectApplied, requestID: requestID, host: canary}), "effect", "was applied 2 times")
}

func TestJudge_ForbidsAttemptsAtDrainingHostAfterGracePeriod(t *testing.T) {
	drained := func(at time.Duration) *timeline {
		return releasedRouter().at(10*ms, event{kind: endpointsAcknowledged, router: "r", states: map[uint32]policy.EndpointState{1: policy.Draining}}).
			attempt(at, "quote", baseline)
	}
	requireKept(t, drained(900*ms), "drain")
	requireBroken(t, drained(1300*ms), "drain", "sent an attempt to host 1")
	requireKept(t, releasedRouter().at(10*ms, event{kind: endpointsAcknowledged, router: "r", states: map[uint32]policy.EndpointState{1: policy.Removed}}).
		at(20*ms, event{kind: endpointsAcknowledged, router: "r", states: map[uint32]policy.EndpointState{1: policy.Serving}}).
		attempt(2*time.Second, "quote", baseline), "drain")
}

func TestJudge_LimitsWorkOfColdHost(t *testing.T) {
	flood := func(n int, up time.Duration) *timeline {
		h := &Host{ID: 5, Build: 1, StartedAt: up, WarmUp: 3 * time.Second, Capacity: func(time.Duration) float64 { return .5 }}
		s := releasedRouter()
		for i := range n {
			s.attempt(up+time.Duration(i)*10*ms, "quote", h)
		}
		return s
	}
	requireKept(t, flood(11, time.Second), "cold") // 10 attempts of 0.1 s are the budget, 2 x 0.5 x 1 s; one more is allowed
	require.NotEmpty(t, flood(20, time.Second).verdict("cold").Broken)
	requireKept(t, flood(20, 0), "cold") // started long before the run
}

func TestJudge_LimitsAttemptsAtCanary(t *testing.T) {
	canaryStatus := ReleaseStatus{Build: 2, Stage: 1, ExposureCap: .1}
	attempts := func(n int, status ReleaseStatus, class string) *timeline {
		s := releasedRouter().at(2*ms, event{kind: releaseAnnounced, router: "r", release: status})
		for i := range 50 {
			s.request(3*time.Second+time.Duration(i)*20*ms, string(rune('a'+i)), "quote")
		}
		for i := range n {
			s.attempt(4*time.Second+time.Duration(i)*ms, class, canary)
		}
		return s
	}
	requireKept(t, attempts(6, canaryStatus, "quote"), "exposure") // the allowance of 1, and a tenth of 50 requests
	require.NotEmpty(t, attempts(7, canaryStatus, "quote").verdict("exposure").Broken)
	require.NotEmpty(t, attempts(2, ReleaseStatus{Build: 2, ExposureCap: 0, Stage: 1}, "quote").verdict("exposure").Broken)
	requireBroken(t, attempts(1, ReleaseStatus{Build: 2, Stage: 0, ExposureCap: .1}, "transfer"), "exposure", "guarded stage 0")
	require.NotEmpty(t, attempts(7, ReleaseStatus{Build: 1, Released: true, ExposureCap: 1}, "quote").verdict("exposure").Broken, "a build that was not announced has the cap of stage 0")
	requireKept(t, attempts(40, ReleaseStatus{Build: 2, Released: true, ExposureCap: 1}, "transfer"), "exposure")
}

// A router that has just started sends attempts before a release is announced to it. Attempts in transit at that moment
// arrive after the announcement and are not counted.
func TestJudge_ChecksExposureFromFirstAnnouncementToNewRouter(t *testing.T) {
	started := func(arrival time.Duration) *timeline {
		s := &timeline{}
		s.at(0, event{kind: routerStarting, router: "r"})
		s.at(50*ms, event{kind: releaseAnnounced, router: "r", release: ReleaseStatus{Build: 2, Stage: 3, ExposureCap: 0}})
		for i := range 3 {
			s.attempt(arrival+time.Duration(i)*ms, "transfer", canary)
		}
		return s
	}
	requireKept(t, started(92*ms), "exposure")
	require.NotEmpty(t, started(200*ms).verdict("exposure").Broken, "arrivals later than the transit time after the announcement")
}

func TestJudge_MarksFindingsDuringStallDoubtful(t *testing.T) {
	s := releasedRouter().request(0, requestID, "quote").respond(1500*ms, "finished")
	s.Heartbeat(900 * ms)
	s.Heartbeat(1450 * ms)
	v := s.verdict("answer")
	require.Empty(t, v.Broken)
	require.Len(t, v.Doubtful, 1)
	require.False(t, v.Kept())
}
