package audit

import "dapplefront/policy"

// outcomeRejected is the outcome with which a router promises that the request had no effect.
const outcomeRejected = "turned-back"

// judgeEffect judges that no effect takes place twice.
func (ev *evaluation) judgeEffect(q *request, e *event) {
	op := ev.operations[q.operationID]
	op.runs++
	if ev.limits.Classes[q.class].Idempotency == policy.Idempotent {
		return
	}
	ev.verdicts[RuleEffect].Checked++
	if op.runs > 1 {
		ev.report(RuleEffect, e.at, e.at, "%s task %s had its effect %d times", q.class, q.operationID, op.runs)
	}
}

// judgeRejection judges the promise of a rejection: a retry is harmless.
func (ev *evaluation) judgeRejection(q *request, e *event) {
	class := ev.limits.Classes[q.class]
	deduplicated := class.Idempotency == policy.IdempotentWithKey && class.DedupScope == policy.FleetScope
	if e.outcome != outcomeRejected || class.Idempotency == policy.Idempotent || deduplicated {
		return
	}
	ev.verdicts[RuleEffect].Checked++
	if a := q.firstStarted(); a != nil {
		ev.report(RuleEffect, a.at, e.at, "%s task %s was turned back though host %d may have run it", q.class, q.requestID, a.host.ID)
	}
}

// firstStarted is the first attempt that its backend may have begun, nil for none.
func (q *request) firstStarted() *event {
	for _, a := range q.arrivals {
		if !q.rejectedBy[a.host] {
			return a
		}
	}
	return nil
}

// judgeFurtherAttempt judges an attempt of a request that an earlier attempt may have run.
func (ev *evaluation) judgeFurtherAttempt(q *request, e *event) {
	class := ev.limits.Classes[q.class]
	if class.Idempotency == policy.Idempotent {
		return
	}
	ev.verdicts[RuleEffect].Checked++
	first := q.firstStarted()
	if first == nil {
		return
	}
	outsideScope := class.DedupScope == policy.ZoneScope && e.host.Zone != first.host.Zone ||
		class.DedupScope == policy.CellScope && e.host.Cell != first.host.Cell
	switch {
	case class.Idempotency == policy.NonIdempotent:
		ev.report(RuleEffect, first.at, e.at, "binding task %s was sent to host %d after host %d may have run it",
			q.requestID, e.host.ID, first.host.ID)
	case outsideScope:
		ev.report(RuleEffect, first.at, e.at, "task %s was sent outside the group of host %d", q.requestID, first.host.ID)
	case e.at-first.at > class.DedupWindow+ev.limits.TransitTime:
		ev.report(RuleEffect, first.at, e.at, "task %s was sent %v after host %d may have run it",
			q.requestID, e.at-first.at, first.host.ID)
	}
}
