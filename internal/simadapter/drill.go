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
	seats := map[int]*seat{}
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
			if launch, ok := e.Body.(simwire.Launch); ok {
				seats[e.Instance] = take(e.Instance, w, platformsettings.Span(b.Now), launch)
			} else if _, ok := e.Body.(simwire.Kill); ok {
				delete(seats, e.Instance)
			} else if s != nil {
				if err := s.hear(platformsettings.Span(b.Now), e.Body); err != nil {
					return fmt.Errorf("batch %d: %w", b.Number, err)
				}
			}
		}
		if err := w.End(b.Number); err != nil {
			return err
		}
	}
}

// seat is where one instance sits: its router, and what it was told at start of reports and counts.
type seat struct {
	instance int
	out      *simwire.Writer
	router   *router.Router
	actions  []router.Action
	report   platformsettings.Report
	counted  policy.Time // the span of the desk's counts
}

func take(instance int, out *simwire.Writer, now policy.Time, l simwire.Launch) *seat {
	s := &seat{instance: instance, out: out}
	t := platformsettings.Read(l.Params, l.Prng)
	s.report, s.counted = t.Report, t.Counted
	s.router, s.actions = router.New(now, t.Place)
	s.act()
	return s
}

// hear passes an event on and prints what follows.
func (s *seat) hear(now policy.Time, body any) error {
	e := s.event(body)
	if e == nil {
		return nil
	}
	var err error
	s.actions, err = s.router.Handle(now, e, s.actions[:0])
	s.act()
	return err
}

// event is the router's word for an event of the wire; nil where it has none.
func (s *seat) event(body any) router.Event {
	switch e := body.(type) {
	case simwire.View:
		if e.How == "X" {
			return router.EndpointsUnavailable{}
		}
		return router.EndpointsChanged{Complete: e.How != "D", Hosts: hosts(e.Entries)}
	case simwire.Incoming:
		t := router.RequestArrived{Task: e.Ticket, Category: e.Qos, Customer: e.Owner, Key: e.Resource,
			Patience: platformsettings.Span(e.PatienceLeftUs), Again: e.Marks&2 != 0}
		if e.Marks&1 != 0 {
			t.Hint = platformsettings.Span(e.WorkHintUs)
		}
		return t
	case simwire.Ended:
		return router.AttemptEnded{Task: e.Ticket, Send: e.N, Fate: fates[e.Code], Took: platformsettings.Span(e.RttUs), Done: e.Done,
			Load: s.report.Load(e.Metrics)}
	case simwire.TimedOutClient:
		return router.ClientGone{Task: e.Ticket}
	case simwire.AckFirst:
		return router.ResponseStarted{Task: e.Ticket, Send: e.N}
	case simwire.Due:
		return router.TimerFired{Alarm: e.Mark}
	case simwire.PhaseTold:
		n := policy.ReleaseStatus{Build: e.Image, Stage: e.Tranche, Phase: policy.Phase(e.Standing), ExposureCap: e.Allowed,
			Age: platformsettings.Span(e.AgeUs)}
		if e.Asked {
			n.VoteResult = answers[e.Code]
		}
		return router.ReleaseChanged{News: n}
	case simwire.CountsByBuild:
		return router.StatsReported{Build: e.Image, Category: e.Qos, Bad: e.Bad, Samples: e.Samples, Mean: platformsettings.Span(e.RttUs),
			Age: platformsettings.Span(e.AgeUs), Over: s.counted}
	case simwire.FromPeer:
		return router.GossipReceived{Peer: e.Author, Body: string(e.Body)}
	case simwire.HealthResult:
		return router.HealthChecked{Host: e.Host, Fate: fates[e.Code], Took: platformsettings.Span(e.RttUs), Load: s.report.Load(e.Metrics)}
	case simwire.BadAnswer:
		return router.ComplaintReceived{Host: e.Host, Category: e.Qos, Age: platformsettings.Span(e.AgeUs)}
	}
	return nil
}

var fates = map[string]policy.Outcome{"served": policy.Succeeded, "server_error": policy.Failed,
	"turned_away": policy.Rejected, "no_answer": policy.TimedOut, "no_connection": policy.ConnectFailed,
	"connection_lost": policy.ConnectionLost, "called_off": policy.Canceled, "not_sent": policy.NotSent}

var answers = map[string]policy.VoteResult{"served": policy.VoteAccepted, "not_sent": policy.VoteStale,
	"turned_away": policy.VoteRejected, "server_error": policy.VoteRejected, "no_answer": policy.VoteUnknown}

var standings = map[string]policy.EndpointState{"in_service": policy.Serving, "terminating": policy.Draining,
	"terminated": policy.Removed}

func hosts(entries []simwire.Entry) []router.Host {
	out := make([]router.Host, 0, len(entries))
	for _, e := range entries {
		out = append(out, router.Host{ID: e.Host, Location: e.Site, Cell: int(e.Cell), Standing: standings[e.Mode],
			Build: e.Release, Size: e.PowerHint, Up: platformsettings.Span(e.UpSinceUs)})
	}
	return out
}

// act prints what the router wants done.
func (s *seat) act() {
	for _, a := range s.actions {
		switch a.Do {
		case router.Send:
			s.out.Act(s.instance, "TRY", a.Task, a.Host, int64(a.Span)*tenth)
		case router.Reject:
			s.out.Act(s.instance, "DECLINE", a.Task, int64(a.Span)*tenth)
		case router.Fail:
			s.out.Act(s.instance, "FINISH_ERROR", a.Task)
		case router.SetTimer:
			s.out.Act(s.instance, "SET_ALARM", int64(a.Span)*tenth, a.Alarm)
		case router.WatchEndpoints:
			s.out.Act(s.instance, "STREAM_CHANGES", 1)
		case router.Vote:
			s.out.Act(s.instance, "JUDGE", a.Build, a.Stage, int(a.Voice))
		case router.Gossip:
			s.out.Act(s.instance, "PUBLISH", a.Peer, base64.StdEncoding.EncodeToString([]byte(a.Body)))
		case router.CheckHealth:
			s.out.Act(s.instance, "PING", a.Host)
		case router.Log:
			s.out.Act(s.instance, "LOG", a.Text)
		}
	}
}
