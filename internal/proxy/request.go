package proxy

import (
	"strconv"

	"dapplefront/internal/downstream"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/upstream"
	"dapplefront/policy"
	"dapplefront/router"
)

// request is a client's request that is waiting for its response, or for attempts to end:
//
//	responseDue  outstanding  state
//	true         0            the router is selecting a host, or waiting before a retry
//	true         > 0          attempts are in flight
//	false        > 0          responded to, or the client has disconnected; attempts are still in flight
//	false        0            complete: removed from Proxy.requests
type request struct {
	id          string
	downstream  *downstream.Request
	responseDue bool // the client is still waiting for its one final response
	outstanding int  // number of attempts that have not ended
	attempts    []*upstream.Attempt
	commonHead  []byte   // the part of the head that all attempts share; nil before the first one
	timedOut    bool     // the attempt that ended last got no response before its timeout
	mayHaveRun  bool     // a host may have executed it
	delivered   bool     // a host's response was sent to the client, which was still connected
	hosts       []uint32 // the host of each attempt
	host        uint32   // the host that responded, or else the host of the latest attempt that is not a shadow attempt
}

// requestArrived passes a request to the router, or rejects it if too many are in flight or no time is left. It first
// subtracts the event loop's current lag from the request's timeout, because the response may be late by that much.
func (p *Proxy) requestArrived(d *downstream.Request) {
	limits := &p.config.Router.Limits
	d.Timeout = policy.TimeoutWithLag(d.Timeout, p.loop.Lag())
	if limits.MaxRequestsInFlight > 0 && len(p.requests) >= limits.MaxRequestsInFlight || d.Timeout <= 0 {
		d.Message.Drop()
		p.counts.Rejected++
		p.countIfLate(d)
		p.log.Debug("request refused", "request", d.ID, "class", d.Class, "in_flight", len(p.requests), "time_left", eventloop.Duration(d.Timeout))
		d.Reject(limits.MaxRetryAfter/4, "this router holds as many tasks as it may")
		d.Complete(false)
		return
	}
	p.lastRequestID++
	r := &request{id: strconv.FormatUint(p.lastRequestID, 36), downstream: d, responseDue: true}
	p.requests[r.id] = r
	p.counts.Received++
	d.OnClientDisconnected = func() { p.clientDisconnected(r) }
	p.handleEvent(router.RequestArrived{RequestID: r.id, Class: d.Class, Tenant: d.Tenant, Key: d.Key, Timeout: d.Timeout,
		ExpectedWork: d.ExpectedWork, ClientRetry: d.ClientRetry, Client: d.Client})
}

func (p *Proxy) clientDisconnected(r *request) {
	r.responseDue = false
	p.counts.ClientsGone++
	for _, a := range r.attempts {
		a.CancelIncomplete()
	}
	p.handleEvent(router.ClientDisconnected{RequestID: r.id})
	p.removeIfComplete(r)
}

// countIfLate counts a response that is sent now as late, if the request's deadline has passed.
func (p *Proxy) countIfLate(d *downstream.Request) {
	if p.loop.Now() > d.Deadline {
		p.lateResponses++
	}
}

// respondFinal rejects or fails a request for which no attempt has succeeded.
func (p *Proxy) respondFinal(r *request, a router.Action) {
	r.responseDue = false
	p.countIfLate(r.downstream)
	if a.Kind == router.Reject {
		p.counts.Rejected++
		p.countOutcome(reportedRejected, r)
	} else {
		p.counts.Failed++
		p.countOutcome(reportedFailed, r)
	}
	if p.faults == nil || !p.faults.WithholdsResponse(r.id) {
		if a.Kind == router.Reject {
			r.downstream.Reject(a.Duration, "turned back; trying again is harmless")
		} else {
			r.downstream.Fail(r.timedOut)
		}
	}
	r.cancelAttempts()
	p.removeIfComplete(r)
}

// cancelAttempts cancels the attempts of which no byte has been sent.
func (r *request) cancelAttempts() {
	for _, a := range r.attempts {
		a.Cancel()
	}
}

// removeIfComplete removes a request if it is complete.
func (p *Proxy) removeIfComplete(r *request) {
	if !r.responseDue && r.outstanding == 0 && p.requests[r.id] == r {
		r.downstream.Message.Drop()
		r.downstream.Complete(r.mayHaveRun && !r.delivered)
		delete(p.requests, r.id)
	}
}
