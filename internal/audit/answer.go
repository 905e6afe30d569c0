package audit

import "fmt"

// judgeAnswer judges whether a request had its final answer in time, from a router that went on running.
func (ev *evaluation) judgeAnswer(q *request) {
	due := q.at + q.timeout + ev.limits.AnswerSlack
	for _, pause := range q.sentTo.pauses { // a router that is kept from running can't answer
		if pause.from < due && pause.to > q.at-ev.limits.AnswerSlack {
			due += pause.to - pause.from
		}
	}
	stoppedAt := q.sentTo.stoppedAt
	if q.routerDown || q.ending == connectFailed || len(stoppedAt) > q.incarnation && stoppedAt[q.incarnation] <= due {
		return // the process ended, and with it what it owed
	}
	ev.verdicts[RuleAnswer].Checked++
	switch {
	case q.ending == responseReceived && q.endedAt > due:
		ev.report(RuleAnswer, q.at, q.endedAt, "task %s was answered %v after its client's patience (%s)",
			q.requestID, q.endedAt-due, q.times())
	case q.endedAt == 0 && ev.end > due:
		ev.report(RuleAnswer, q.at, due, "task %s was never answered", q.requestID)
	case q.ending == connectionLost && q.endedAt != 0:
		ev.report(RuleAnswer, q.at, q.endedAt, "the connection of task %s ended with no answer", q.requestID)
	case q.ending == clientLeft && q.endedAt > due:
		ev.report(RuleAnswer, q.at, q.endedAt, "task %s was not answered before its client left", q.requestID)
	}
}

// times tells when a request and its response were at the sockets, and how late the client itself was.
func (q *request) times() string {
	text := fmt.Sprintf("sent at %v, noted %v later, patience %v, answered at %v, read %v later", q.at, q.noticed, q.timeout, q.endedAt, q.endNoticed)
	for _, a := range q.arrivals {
		text += fmt.Sprintf(", at host %d %v after sending and read %v later", a.host.ID, a.at-q.at, a.noticed)
	}
	return text
}

// judgeLateAttempt judges an attempt that arrives after the request was answered.
func (ev *evaluation) judgeLateAttempt(q *request, e *event) {
	if q.endedAt != 0 && e.at > q.endedAt+ev.limits.TransitTime && q.ending == responseReceived {
		ev.report(RuleAnswer, q.endedAt, e.at, "host %d was sent task %s %v after its answer (%s; the host read it %v later)",
			e.host.ID, q.requestID, e.at-q.endedAt, q.times(), e.noticed)
		return
	}
	ev.verdicts[RuleAnswer].Checked++
}
