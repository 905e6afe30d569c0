package audit

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
		ev.report(RuleAnswer, q.at, q.endedAt, "task %s was answered %v after its client's patience", q.requestID, q.endedAt-due)
	case q.endedAt == 0 && ev.end > due:
		ev.report(RuleAnswer, q.at, due, "task %s was never answered", q.requestID)
	case q.ending == connectionLost && q.endedAt != 0:
		ev.report(RuleAnswer, q.at, q.endedAt, "the connection of task %s ended with no answer", q.requestID)
	case q.ending == clientLeft && q.endedAt > due:
		ev.report(RuleAnswer, q.at, q.endedAt, "task %s was not answered before its client left", q.requestID)
	}
}

// judgeLateAttempt judges an attempt that arrives after the request was answered.
func (ev *evaluation) judgeLateAttempt(q *request, e *event) {
	if q.endedAt != 0 && e.at > q.endedAt+ev.limits.TransitTime && q.ending == responseReceived {
		ev.report(RuleAnswer, q.endedAt, e.at, "host %d was sent task %s %v after its answer", e.host.ID, q.requestID, e.at-q.endedAt)
		return
	}
	ev.verdicts[RuleAnswer].Checked++
}
