package audit

import "dapplefront/policy"

// outcomeRejected is the outcome by which a router guarantees that the request had no effect.
const outcomeRejected = "turned-back"

// judgeEffect checks that the effect of an operation is applied only once, unless its class is idempotent.
func (ev *evaluation) judgeEffect(q *request, e *event) {
	op := ev.operations[q.operationID]
	op.effects++
	if ev.limits.Classes[q.class].Idempotency == policy.Idempotent {
		return
	}
	ev.verdicts[RuleEffect].Checked++
	if op.effects > 1 {
		ev.report(RuleEffect, e.at, e.at, "the effect of %s request %s was applied %d times", q.class, q.operationID, op.effects)
	}
}

// judgeRejection checks the guarantee of a rejection: no backend may have run the request, so a retry is safe.
func (ev *evaluation) judgeRejection(q *request, e *event) {
	class := ev.limits.Classes[q.class]
	deduplicated := class.Idempotency == policy.IdempotentWithKey && class.DedupScope == policy.FleetScope
	if e.outcome != outcomeRejected || class.Idempotency == policy.Idempotent || deduplicated {
		return
	}
	ev.verdicts[RuleEffect].Checked++
	if a := q.firstStarted(); a != nil {
		ev.report(RuleEffect, a.at, e.at, "%s request %s was rejected although host %d may have run it", q.class, q.requestID, a.host.ID)
	}
}

// firstStarted returns the first attempt that its backend may have started, or nil if there is none.
func (q *request) firstStarted() *event {
	for _, a := range q.arrivals {
		if !q.rejectedBy[a.host] {
			return a
		}
	}
	return nil
}

// judgeFurtherAttempt checks an attempt of a request that a backend may already have run. The class must permit
// further attempts, and this one must be within the class's dedup scope and window.
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
		ev.report(RuleEffect, first.at, e.at, "non-idempotent request %s was sent to host %d after host %d may have run it",
			q.requestID, e.host.ID, first.host.ID)
	case outsideScope:
		ev.report(RuleEffect, first.at, e.at, "request %s was sent outside the dedup scope of host %d, which may have run it",
			q.requestID, first.host.ID)
	case e.at-first.at > class.DedupWindow+ev.limits.TransitTime:
		ev.report(RuleEffect, first.at, e.at, "request %s was sent outside the dedup window, %v after host %d may have run it",
			q.requestID, e.at-first.at, first.host.ID)
	}
}
