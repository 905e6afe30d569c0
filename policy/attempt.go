package policy

import (
	"slices"
)

// Outcome is how a send ended.
type Outcome int

const (
	Pending        Outcome = iota
	Succeeded              // answered
	Failed                 // answered with an error; it may have run
	Rejected               // rejected unseen
	TimedOut               // no answer in time; it may have run
	ConnectFailed          // no connection in time; it never ran
	ConnectionLost         // the connection dropped; it may have run
	Canceled               // the router stopped waiting; it may have run
	NotSent                // it never left
)

// Attempt is one try of a task at a host.
type Attempt struct {
	Request *Request
	Host    *Host

	outcome         Outcome
	sentAt          Time
	build           int
	hostStartedAt   Time
	shadowTimeout   Time // what a lone copy would be given
	hostLoad        float64
	role            attemptRole
	responseStarted bool
}

// IsShadow tells a send that was made to judge the build on trial: beside its original, or before it.
func (s *Attempt) IsShadow() bool { return s.role == shadowAttempt || s.role == shadowFirstAttempt }

type attemptRole int

const (
	primaryAttempt     attemptRole = iota
	shadowAttempt                  // beside its original
	shadowFirstAttempt             // before its original, where two at once are forbidden or the category has an effect
	retryAttempt
)

func (r *Router) send(request *Request, host *Host, role attemptRole) {
	attempt := r.startAttempt(request, host, role)
	within, slowest := request.arrivedAt+request.Timeout-r.now, request.Class.LatencyObjective/2
	if len(request.Class.latencies) >= 40 { // fewer show no tail
		slowest = upperQuantile(request.Class.latencies, 0.05)
	}
	lingersAt := max(slowest*3/2, request.Class.usualLatency*2) // beyond 19 in 20, with some slack
	attempt.shadowTimeout = min(within, Time(float64(max(lingersAt, request.Class.LatencyObjective/3))/r.capacityFactor(host)))
	switch {
	case !request.Class.repeatsSafely():
	case r.limits.AllowHedging && role != shadowAttempt:
		r.effects.SetTimer(lingersAt, &Timer{attempt: attempt})
	case r.limits.AllowHedging || len(request.Attempts) >= r.limits.MaxAttempts:
	case role == shadowFirstAttempt: // it leaves its original the time to answer; a cold host is slow
		within = attempt.shadowTimeout
	case request.arrivedAt+request.Class.LatencyObjective-r.now-request.Class.usualLatency > lingersAt && r.retryBudgetAllows(request.Class):
		within = min(within, lingersAt)
	}
	r.effects.Send(attempt, within)
}

// startAttempt notes a new send.
func (r *Router) startAttempt(request *Request, host *Host, role attemptRole) *Attempt {
	attempt := &Attempt{Request: request, Host: host, sentAt: r.now, build: host.Build, hostStartedAt: host.StartedAt, hostLoad: r.hostLoad(host), role: role}
	request.Attempts, host.inFlight = append(request.Attempts, attempt), append(host.inFlight, attempt)
	if host.health == healthy && r.isBaseline(host) {
		r.fleet.inFlight[r.localityOf(host)]++
	}
	host.attempts = appendBounded(host.attempts, trafficEvent{at: r.now, class: request.Class}, 256)
	if r.isBaseline(host) {
		r.traffic.baselineAttempts = appendBounded(r.traffic.baselineAttempts, trafficEvent{at: r.now, class: request.Class}, 8192)
	} else {
		r.traffic.canaryAttempts = appendBounded(r.traffic.canaryAttempts, trafficEvent{at: r.now, class: request.Class}, 8192)
	}
	return attempt
}

// ResponseStarted says that a send's answer has started to stream.
func (r *Router) ResponseStarted(now Time, attempt *Attempt) {
	r.now, attempt.responseStarted = now, true
}

// AttemptEnded says how a send ended, how long it took, whether its task is over, and what the host reported.
func (r *Router) AttemptEnded(now Time, attempt *Attempt, outcome Outcome, latency Time, done bool, load *LoadReport) {
	request := attempt.Request
	r.now = now
	r.finishAttempt(attempt, outcome, load)
	r.recordOutcome(attempt, latency)
	event := attemptMayHaveExecuted
	switch {
	case done || outcome == Succeeded:
		event = requestEnded
	case outcome == Rejected || outcome == ConnectFailed || outcome == NotSent:
		event = attemptNotExecuted
	case request.firstAmbiguous == nil || attempt.sentAt < request.firstAmbiguous.sentAt:
		request.firstAmbiguous = attempt
	}
	both := r.release.status.Phase == Canary || r.snapshot().newestBaselineHosts < r.snapshot().baselineHosts // builds a key could go between
	if outcome == Succeeded && r.release.config.StickyKeys && request.Key != "" && attempt.build >= r.release.status.Build && both {
		r.release.stickyBuilds[request.Key] = attempt.build
	}
	r.handleRequestEvent(request, event)
}

// finishAttempt notes the end of a send.
func (r *Router) finishAttempt(attempt *Attempt, outcome Outcome, load *LoadReport) {
	attempt.outcome = outcome
	class := attempt.Request.Class
	if outcome == Succeeded {
		class.ownStats.add(admissionStats{at: r.now, usualLatency: float64(class.usualLatency), latency: float64(r.now - attempt.sentAt)})
	}
	was := len(attempt.Host.inFlight)
	attempt.Host.inFlight = slices.DeleteFunc(attempt.Host.inFlight, func(x *Attempt) bool { return x == attempt })
	if attempt.Host.health == healthy && r.isBaseline(attempt.Host) {
		r.fleet.inFlight[r.localityOf(attempt.Host)] -= was - len(attempt.Host.inFlight)
	}
	if load != nil {
		if attempt.Host.load, attempt.Host.loadAt = load, r.now; load.ActiveRequests >= 0 {
			r.load.reported = appendBounded(r.load.reported, load.ActiveRequests, 64)
		}
	}
	if attempt.Host.connectedAt = r.now; outcome == ConnectFailed {
		attempt.Host.connectedAt = 0
	}
	x := trafficEvent{at: r.now, class: attempt.Request.Class, locality: r.localityOf(attempt.Host), outcome: outcome,
		late: r.now-attempt.Request.arrivedAt > attempt.Request.Class.LatencyObjective}
	way := healthStats{at: r.now, attempts: 1}
	if x.late || outcome == TimedOut || outcome == ConnectFailed || outcome == ConnectionLost {
		way.failures = 1
	}
	r.zones.paths[x.locality].add(way)
	if outcome == Succeeded {
		x.usualLatency = x.class.usualLatency
	}
	if attempt.Host.health == healthy && r.isBaseline(attempt.Host) {
		x.latency = r.now - attempt.sentAt
	}
	before := len(r.traffic.ended)
	r.traffic.ended = appendBounded(r.traffic.ended, x, 4096)
	r.traffic.endedBase += before + 1 - len(r.traffic.ended)
	if x.usualLatency > 0 {
		r.admission.completed[x.locality].responses.add(countedResponse{r.traffic.endedBase + len(r.traffic.ended) - 1, x.at, x.usualLatency, x.latency})
	}
}
