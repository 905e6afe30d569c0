package audit

import "fmt"

// judgeAnswer checks that a request got its final response in time, provided that its router kept running.
func (ev *evaluation) judgeAnswer(q *request) {
	due := q.at + q.timeout + ev.limits.AnswerSlack
	for _, pause := range q.sentTo.pauses { // a paused router can't respond
		if pause.from < due && pause.to > q.at-ev.limits.AnswerSlack {
			due += pause.to - pause.from
		}
	}
	stoppedAt := q.sentTo.stoppedAt
	if q.routerDown || q.ending == connectFailed || len(stoppedAt) > q.incarnation && stoppedAt[q.incarnation] <= due {
		return // no response is due: the router was down, refused the connection, or ended before the deadline
	}
	ev.verdicts[RuleAnswer].Checked++
	switch {
	case q.ending == responseReceived && q.endedAt > due:
		ev.report(RuleAnswer, q.at, q.endedAt, "request %s was answered %v after its deadline (%s)",
			q.requestID, q.endedAt-due, q.timing())
	case q.endedAt == 0 && ev.end > due:
		ev.report(RuleAnswer, q.at, due, "request %s was never answered", q.requestID)
	case q.ending == connectionLost && q.endedAt != 0:
		ev.report(RuleAnswer, q.at, q.endedAt, "the connection of request %s closed without a response", q.requestID)
	case q.ending == clientDisconnected && q.endedAt > due:
		ev.report(RuleAnswer, q.at, q.endedAt, "request %s was not answered before its client disconnected", q.requestID)
	}
}

// timing describes when the request was sent, when its attempts reached the hosts and when its response arrived, and how
// much later the client and the hosts observed this.
func (q *request) timing() string {
	text := fmt.Sprintf("sent at %v, recorded %v later, timeout %v, response at %v, read %v later", q.at, q.observerDelay, q.timeout, q.endedAt, q.endObserverDelay)
	for _, a := range q.arrivals {
		text += fmt.Sprintf(", reached host %d %v after it was sent, read %v later", a.host.ID, a.at-q.at, a.observerDelay)
	}
	return text
}

// judgeLateAttempt checks that an attempt does not arrive after the response to its request.
func (ev *evaluation) judgeLateAttempt(q *request, e *event) {
	if q.endedAt != 0 && e.at > q.endedAt+ev.limits.TransitTime && q.ending == responseReceived {
		ev.report(RuleAnswer, q.endedAt, e.at, "host %d received an attempt of request %s %v after its response (%s; the host read it %v later)",
			e.host.ID, q.requestID, e.at-q.endedAt, q.timing(), e.observerDelay)
		return
	}
	ev.verdicts[RuleAnswer].Checked++
}
