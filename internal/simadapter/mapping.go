package simadapter

import (
	"dapplefront/internal/platformsettings"
	"dapplefront/internal/simwire"
	"dapplefront/policy"
	"dapplefront/router"
)

// This file maps the names and values of the simulator's wire, which the operators' page defines, to the router's types.

var outcomes = map[string]policy.Outcome{
	simwire.CodeServed:         policy.Succeeded,
	simwire.CodeServerError:    policy.Failed,
	simwire.CodeTurnedAway:     policy.Rejected,
	simwire.CodeNoAnswer:       policy.TimedOut,
	simwire.CodeNoConnection:   policy.ConnectFailed,
	simwire.CodeConnectionLost: policy.ConnectionLost,
	simwire.CodeCalledOff:      policy.Canceled,
	simwire.CodeNotSent:        policy.NotSent,
}

var voteResults = map[string]policy.VoteResult{
	simwire.CodeServed:      policy.VoteAccepted,
	simwire.CodeNotSent:     policy.VoteStale,
	simwire.CodeTurnedAway:  policy.VoteRejected,
	simwire.CodeServerError: policy.VoteRejected,
	simwire.CodeNoAnswer:    policy.VoteUnknown,
}

var endpointStates = map[string]policy.EndpointState{
	simwire.ModeInService:   policy.Serving,
	simwire.ModeTerminating: policy.Draining,
	simwire.ModeTerminated:  policy.Removed,
}

// ticks converts a time of the wire, in microseconds, to the policy's unit.
func ticks(us int64) policy.Time { return platformsettings.FromMicroseconds(us) }

// routerEvent returns the router's event for the body of a wire event, or nil if there is none.
func (i *instance) routerEvent(body any) router.Event {
	switch e := body.(type) {
	case simwire.View:
		return endpointEvent(e)
	case simwire.Incoming:
		return requestEvent(e)
	case simwire.Ended:
		return router.AttemptEnded{RequestID: e.Ticket, Attempt: e.N, Outcome: outcomes[e.Code], Latency: ticks(e.RttUs), Done: e.Done,
			Load: i.reportFields.FromValues(e.Metrics)}
	case simwire.TimedOutClient:
		return router.ClientDisconnected{RequestID: e.Ticket}
	case simwire.AckFirst:
		return router.ResponseStarted{RequestID: e.Ticket, Attempt: e.N}
	case simwire.Due:
		return router.TimerFired{Timer: e.Mark}
	case simwire.PhaseTold:
		return releaseEvent(e)
	case simwire.CountsByBuild:
		return router.StatsReported{Build: e.Image, Class: e.Qos, Failures: e.Bad, Samples: e.Samples, MeanLatency: ticks(e.RttUs),
			Age: ticks(e.AgeUs), Window: i.statsWindow}
	case simwire.FromPeer:
		return router.GossipReceived{Peer: e.Author, Body: string(e.Body)}
	case simwire.HealthResult:
		return router.HealthChecked{Host: e.Host, Outcome: outcomes[e.Code], Latency: ticks(e.RttUs),
			Load: i.reportFields.FromValues(e.Metrics)}
	case simwire.BadAnswer:
		return router.ComplaintReceived{Host: e.Host, Class: e.Qos, Age: ticks(e.AgeUs)}
	}
	return nil
}

func endpointEvent(e simwire.View) router.Event {
	if e.How == simwire.ViewFailed {
		return router.EndpointsUnavailable{}
	}
	hosts := make([]router.Host, 0, len(e.Entries))
	for _, entry := range e.Entries {
		hosts = append(hosts, router.Host{ID: entry.Host, Zone: entry.Site, Cell: int(entry.Cell), State: endpointStates[entry.Mode],
			Build: entry.Release, Weight: entry.PowerHint, StartedAt: ticks(entry.UpSinceUs)})
	}
	return router.EndpointsChanged{Complete: e.How != simwire.ViewChanges, Hosts: hosts}
}

func requestEvent(e simwire.Incoming) router.Event {
	r := router.RequestArrived{RequestID: e.Ticket, Class: e.Qos, Tenant: e.Owner, Key: e.Resource, Timeout: ticks(e.PatienceLeftUs),
		ClientRetry: e.Marks&simwire.MarkRetry != 0}
	if e.Marks&simwire.MarkHint != 0 {
		r.ExpectedWork = ticks(e.WorkHintUs)
	}
	return r
}

// releaseEvent converts a release status. The numbers of the phases on the wire are the same as in the policy.
func releaseEvent(e simwire.PhaseTold) router.Event {
	s := policy.ReleaseStatus{Build: e.Image, Stage: e.Tranche, Phase: policy.Phase(e.Standing), ExposureCap: e.Allowed, Age: ticks(e.AgeUs)}
	if e.Asked {
		s.VoteResult = voteResults[e.Code]
	}
	return router.ReleaseChanged{Status: s}
}
