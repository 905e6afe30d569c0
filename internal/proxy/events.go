package proxy

import (
	"errors"

	"dapplefront/internal/api"
	"dapplefront/policy"
	"dapplefront/router"
)

// postEvent has the loop handle an event. It is called from outside the loop.
func (p *Proxy) postEvent(e router.Event) { p.loop.Post(func() { p.handleEvent(e) }) }

// handleEvent handles an event for a caller that has no use for the error; handle has logged it.
func (p *Proxy) handleEvent(e router.Event) { _ = p.handle(e) }

// handle passes an event to the router and carries out the actions. It then does the same with the events that those
// actions caused, one after the other. It returns the router's errors, which are already logged. If another event is
// being handled, handle queues the event and returns nil.
func (p *Proxy) handle(e router.Event) (err error) {
	p.events = append(p.events, e)
	if p.handling {
		return nil
	}
	p.handling = true
	for len(p.events) > 0 {
		e := p.events[0]
		p.events = p.events[1:]
		now := p.loop.Now()
		actions, eventErr := p.router.Handle(now, e, p.actionBuffer[:0])
		if eventErr != nil {
			p.log.Warn("invalid event", "error", eventErr)
			err = errors.Join(err, eventErr)
		}
		p.actionBuffer = actions
		if p.records != nil {
			p.logRecordError(p.records.WriteEvent(now, e, actions))
		}
		if p.faults != nil {
			actions = p.faults.Actions(now, e, actions, p.endpoints)
		}
		p.execute(actions)
	}
	p.events, p.handling = nil, false
	return err
}

// logRecordError logs that an event could not be recorded, unless err is nil.
func (p *Proxy) logRecordError(err error) {
	if err != nil {
		p.log.Error("failed to record an event", "error", err)
	}
}

// execute carries out actions in order. It skips actions for requests that have already been removed, and a rejection or
// failure of a request that no longer waits for its final response.
func (p *Proxy) execute(actions []router.Action) {
	for _, a := range actions {
		switch a.Kind {
		case router.SendAttempt:
			if r := p.requests[a.RequestID]; r != nil {
				p.sendAttempt(r, a)
			}
		case router.Reject, router.Fail:
			if r := p.requests[a.RequestID]; r != nil && r.responseDue {
				p.countGivenUp(r, a)
				p.respondFinal(r, a)
			}
		case router.SetTimer:
			timer := a.Timer
			p.loop.After(a.Duration, func() { p.handleEvent(router.TimerFired{Timer: timer}) })
		case router.WatchEndpoints:
			p.discovery.Subscribe()
		case router.CastVote:
			p.castVote(a)
		case router.SendGossip:
			if p.gossip != nil {
				p.gossip.Send(a.Peer, a.Body)
			}
		case router.CancelUnsent:
			if r := p.requests[a.RequestID]; r != nil {
				r.cancelAttempts()
			}
		case router.CheckHealth:
			p.checkHealth(a.Host)
		case router.AcknowledgePlan:
			if a.Text != "" {
				p.log.Warn("plan rejected", "version", a.PlanVersion, "reason", a.Text)
			}
			p.releases.AcknowledgePlan(a.PlanVersion, a.Text)
		case router.Log:
			p.log.Info("note", "text", a.Text)
		}
	}
}

func (p *Proxy) castVote(a router.Action) {
	p.log.Info("vote", "build", a.Build, "stage", a.Stage, "choice", api.VoteChoices[a.Choice])
	p.releases.Vote(a.Build, a.Stage, a.Choice, func(s policy.ReleaseStatus) { p.postEvent(router.ReleaseChanged{Status: s}) })
}
