package proxy

import (
	"slices"

	"dapplefront/internal/eventloop"
	"dapplefront/router"
)

// ShutdownCounts contains the numbers of requests that a shutdown kept from their regular end.
type ShutdownCounts struct {
	GivenUp             uint64 // had no response when the time for the last responses came
	Undecided           uint64 // failed because the policy had not decided on them: a fault of the router
	RefusedWhileClosing uint64 // arrived when the router no longer served
}

// ShutdownCounts returns the numbers so far. It may be called while the router runs, and after Close has returned.
func (p *Proxy) ShutdownCounts() (c ShutdownCounts) {
	read := func() {
		c = p.shutdown
		c.RefusedWhileClosing = p.server.RefusedWhileClosing()
	}
	if !p.loop.Do(read) {
		read()
	}
	return c
}

// countGivenUp counts and logs a request that is given up because the router shuts down.
func (p *Proxy) countGivenUp(r *request, a router.Action) {
	if p.lastResponseAt == 0 || p.loop.Now() < p.lastResponseAt {
		return
	}
	p.shutdown.GivenUp++
	p.log.Warn("request given up at shutdown", append(p.describe(r), "rejected", a.Kind == router.Reject)...)
}

// failUnanswered fails every request that has no response after the policy gave up the requests, the oldest first.
func (p *Proxy) failUnanswered() {
	for _, r := range p.unanswered() {
		p.shutdown.Undecided++
		p.log.Error("request without a decision at shutdown", p.describe(r)...)
		p.respondFinal(r, router.Action{Kind: router.Fail, RequestID: r.id})
	}
}

// unanswered returns the requests that are waiting for their response, in the order of their arrival.
func (p *Proxy) unanswered() (requests []*request) {
	for _, r := range p.requests {
		if r.responseDue {
			requests = append(requests, r)
		}
	}
	slices.SortFunc(requests, func(a, b *request) int { return int(a.downstream.ArrivedAt - b.downstream.ArrivedAt) })
	return requests
}

// describe returns the log attributes of a request: its ids, class, age, remaining time and attempts.
func (p *Proxy) describe(r *request) []any {
	now := p.loop.Now()
	return []any{"request", r.downstream.ID, "router_id", r.id, "class", r.downstream.Class,
		"age", eventloop.Duration(now - r.downstream.ArrivedAt), "time_left", eventloop.Duration(r.downstream.Deadline - now),
		"attempts", len(r.attempts), "in_flight", r.outstanding, "hosts", r.hosts}
}
