package proxy

import (
	"strconv"

	"dapplefront/internal/downstream"
	"dapplefront/internal/upstream"
	"dapplefront/policy"
	"dapplefront/router"
)

// request is a client's request that still waits for something:
//
//	responseDue  outstanding  state
//	true         0            the router looks for a host, or waits before a retry
//	true         > 0          attempts are out
//	false        > 0          responded to, or the client is gone; attempts are still out
//	false        0            complete: forgotten
type request struct {
	id          string
	downstream  *downstream.Request
	responseDue bool // the client is owed its one final response
	outstanding int  // attempts that have not ended
	attempts    []*upstream.Attempt
	commonHead  []byte // what the heads of its attempts have in common
	timedOut    bool   // the last attempt to end had no response in time
	host        uint32 // that responded, or else that the last attempt went to
}

// requestArrived admits a request, or rejects it where too many are open or its time is up. What the event loop does
// late at present is taken off its time.
func (p *Proxy) requestArrived(d *downstream.Request) {
	limits := &p.config.Router.Limits
	d.Timeout = policy.TimeoutWithLag(d.Timeout, p.loop.Lag())
	if limits.MaxRequestsInFlight > 0 && len(p.requests) >= limits.MaxRequestsInFlight || d.Timeout <= 0 {
		d.Message.Drop()
		p.counts.Rejected++
		p.countLate(d)
		d.Reject(limits.MaxRetryAfter/4, "this router holds as many tasks as it may")
		return
	}
	p.lastRequestID++
	r := &request{id: strconv.FormatUint(p.lastRequestID, 36), downstream: d, responseDue: true}
	p.requests[r.id] = r
	p.counts.Received++
	d.OnClientGone = func() { p.clientGone(r) }
	p.handleEvent(router.RequestArrived{RequestID: r.id, Class: d.Class, Tenant: d.Tenant, Key: d.Key, Timeout: d.Timeout,
		ExpectedWork: d.ExpectedWork, ClientRetry: d.ClientRetry})
}

func (p *Proxy) clientGone(r *request) {
	r.responseDue = false
	p.counts.ClientsGone++
	r.cancelAttempts()
	p.handleEvent(router.ClientGone{RequestID: r.id})
	p.forget(r)
}

// countLate counts the response to a request that is answered now, if that is too late.
func (p *Proxy) countLate(d *downstream.Request) {
	if p.loop.Now() > d.Deadline {
		p.lateResponses++
	}
}

// respondFinal gives the final response to a request that no host has responded to.
func (p *Proxy) respondFinal(r *request, a router.Action) {
	r.responseDue = false
	p.countLate(r.downstream)
	if a.Kind == router.Reject {
		p.counts.Rejected++
		p.countOutcome(reportedRejected, r)
	} else {
		p.counts.Failed++
		p.countOutcome(reportedFailed, r)
	}
	if p.faults == nil || !p.faults.Silent(r.id) {
		if a.Kind == router.Reject {
			r.downstream.Reject(a.Duration, "turned back; trying again is harmless")
		} else {
			r.downstream.Fail(r.timedOut)
		}
	}
	r.cancelAttempts()
	p.forget(r)
}

// cancelAttempts cancels the attempts of which no byte has left.
func (r *request) cancelAttempts() {
	for _, a := range r.attempts {
		a.Cancel()
	}
}

// forget drops a request that is complete.
func (p *Proxy) forget(r *request) {
	if !r.responseDue && r.outstanding == 0 && p.requests[r.id] == r {
		r.downstream.Message.Drop()
		delete(p.requests, r.id)
	}
}
