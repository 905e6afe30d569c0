// Package simadapter is the simulator's door to the router library: lines of its wire become events, and actions become
// lines; microseconds become tenths of a millisecond. It decides nothing.
package simadapter

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"

	"dapplefront/internal/platformsettings"
	"dapplefront/internal/simwire"
	"dapplefront/policy"
	"dapplefront/router"
)

const tenth = 100 // microseconds

// Run answers batches until input ends.
func Run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	seats := map[int]*instance{}
	for {
		b, err := r.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, e := range b.Events {
			s := seats[e.Instance]
			if l, ok := e.Body.(simwire.Launch); ok {
				seats[e.Instance] = launch(e.Instance, w, platformsettings.FromMicroseconds(b.Now), l)
			} else if _, ok := e.Body.(simwire.Kill); ok {
				delete(seats, e.Instance)
			} else if s != nil {
				if err := s.handle(platformsettings.FromMicroseconds(b.Now), e.Body); err != nil {
					return fmt.Errorf("batch %d: %w", b.Number, err)
				}
			}
		}
		if err := w.End(b.Number); err != nil {
			return err
		}
	}
}

// instance is where one instance sits: its router, and what it was told at start of reports and counts.
type instance struct {
	id           int
	out          *simwire.Writer
	router       *router.Router
	actions      []router.Action
	reportFields platformsettings.ReportFields
	statsWindow  policy.Time // the span of the desk's counts
}

func launch(id int, out *simwire.Writer, now policy.Time, l simwire.Launch) *instance {
	s := &instance{id: id, out: out}
	t := platformsettings.Read(l.Params, l.Prng)
	s.reportFields, s.statsWindow = t.Report, t.StatsWindow
	s.router, s.actions = router.New(now, t.Router)
	s.flushActions()
	return s
}

// handle passes an event on and prints what follows.
func (s *instance) handle(now policy.Time, body any) error {
	e := s.routerEvent(body)
	if e == nil {
		return nil
	}
	var err error
	s.actions, err = s.router.Handle(now, e, s.actions[:0])
	s.flushActions()
	return err
}

// routerEvent is the router's word for an event of the wire; nil where it has none.
func (s *instance) routerEvent(body any) router.Event {
	switch e := body.(type) {
	case simwire.View:
		if e.How == "X" {
			return router.EndpointsUnavailable{}
		}
		return router.EndpointsChanged{Complete: e.How != "D", Hosts: hosts(e.Entries)}
	case simwire.Incoming:
		t := router.RequestArrived{RequestID: e.Ticket, Class: e.Qos, Tenant: e.Owner, Key: e.Resource,
			Timeout: platformsettings.FromMicroseconds(e.PatienceLeftUs), ClientRetry: e.Marks&2 != 0}
		if e.Marks&1 != 0 {
			t.ExpectedWork = platformsettings.FromMicroseconds(e.WorkHintUs)
		}
		return t
	case simwire.Ended:
		return router.AttemptEnded{RequestID: e.Ticket, Attempt: e.N, Outcome: outcomes[e.Code], Latency: platformsettings.FromMicroseconds(e.RttUs), Done: e.Done,
			Load: s.reportFields.FromValues(e.Metrics)}
	case simwire.TimedOutClient:
		return router.ClientGone{RequestID: e.Ticket}
	case simwire.AckFirst:
		return router.ResponseStarted{RequestID: e.Ticket, Attempt: e.N}
	case simwire.Due:
		return router.TimerFired{Timer: e.Mark}
	case simwire.PhaseTold:
		n := policy.ReleaseStatus{Build: e.Image, Stage: e.Tranche, Phase: policy.Phase(e.Standing), ExposureCap: e.Allowed,
			Age: platformsettings.FromMicroseconds(e.AgeUs)}
		if e.Asked {
			n.VoteResult = voteResults[e.Code]
		}
		return router.ReleaseChanged{Status: n}
	case simwire.CountsByBuild:
		return router.StatsReported{Build: e.Image, Class: e.Qos, Failures: e.Bad, Samples: e.Samples, MeanLatency: platformsettings.FromMicroseconds(e.RttUs),
			Age: platformsettings.FromMicroseconds(e.AgeUs), Window: s.statsWindow}
	case simwire.FromPeer:
		return router.GossipReceived{Peer: e.Author, Body: string(e.Body)}
	case simwire.HealthResult:
		return router.HealthChecked{Host: e.Host, Outcome: outcomes[e.Code], Latency: platformsettings.FromMicroseconds(e.RttUs), Load: s.reportFields.FromValues(e.Metrics)}
	case simwire.BadAnswer:
		return router.ComplaintReceived{Host: e.Host, Class: e.Qos, Age: platformsettings.FromMicroseconds(e.AgeUs)}
	}
	return nil
}

var outcomes = map[string]policy.Outcome{"served": policy.Succeeded, "server_error": policy.Failed,
	"turned_away": policy.Rejected, "no_answer": policy.TimedOut, "no_connection": policy.ConnectFailed,
	"connection_lost": policy.ConnectionLost, "called_off": policy.Canceled, "not_sent": policy.NotSent}

var voteResults = map[string]policy.VoteResult{"served": policy.VoteAccepted, "not_sent": policy.VoteStale,
	"turned_away": policy.VoteRejected, "server_error": policy.VoteRejected, "no_answer": policy.VoteUnknown}

var endpointStates = map[string]policy.EndpointState{"in_service": policy.Serving, "terminating": policy.Draining,
	"terminated": policy.Removed}

func hosts(entries []simwire.Entry) []router.Host {
	out := make([]router.Host, 0, len(entries))
	for _, e := range entries {
		out = append(out, router.Host{ID: e.Host, Zone: e.Site, Cell: int(e.Cell), State: endpointStates[e.Mode],
			Build: e.Release, Weight: e.PowerHint, StartedAt: platformsettings.FromMicroseconds(e.UpSinceUs)})
	}
	return out
}

// flushActions prints what the router wants done.
func (s *instance) flushActions() {
	for _, a := range s.actions {
		switch a.Kind {
		case router.SendAttempt:
			s.out.Act(s.id, "TRY", a.RequestID, a.Host, int64(a.Duration)*tenth)
		case router.Reject:
			s.out.Act(s.id, "DECLINE", a.RequestID, int64(a.Duration)*tenth)
		case router.Fail:
			s.out.Act(s.id, "FINISH_ERROR", a.RequestID)
		case router.SetTimer:
			s.out.Act(s.id, "SET_ALARM", int64(a.Duration)*tenth, a.Timer)
		case router.WatchEndpoints:
			s.out.Act(s.id, "STREAM_CHANGES", 1)
		case router.CastVote:
			s.out.Act(s.id, "JUDGE", a.Build, a.Stage, int(a.Choice))
		case router.SendGossip:
			s.out.Act(s.id, "PUBLISH", a.Peer, base64.StdEncoding.EncodeToString([]byte(a.Body)))
		case router.CheckHealth:
			s.out.Act(s.id, "PING", a.Host)
		case router.Log:
			s.out.Act(s.id, "LOG", a.Text)
		}
	}
}
