// Package drill is the simulator's door to the router library: lines of its wire become events, and actions become
// lines; microseconds become tenths of a millisecond. It decides nothing.
package drill

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"

	"dapplefront/internal/terms"
	"dapplefront/internal/wire"
	"dapplefront/logic"
	"dapplefront/router"
)

const tenth = 100 // microseconds

// Run answers batches until input ends.
func Run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
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
			if launch, ok := e.Body.(wire.Launch); ok {
				seats[e.Instance] = take(e.Instance, w, terms.Span(b.Now), launch)
			} else if _, ok := e.Body.(wire.Kill); ok {
				delete(seats, e.Instance)
			} else if s != nil {
				if err := s.hear(terms.Span(b.Now), e.Body); err != nil {
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
	out      *wire.Writer
	router   *router.Router
	actions  []router.Action
	report   terms.Report
	counted  logic.Time // the span of the desk's counts
}

func take(instance int, out *wire.Writer, now logic.Time, l wire.Launch) *seat {
	s := &seat{instance: instance, out: out}
	t := terms.Read(l.Params, l.Prng)
	s.report, s.counted = t.Report, t.Counted
	s.router, s.actions = router.New(now, t.Place)
	s.act()
	return s
}

// hear passes an event on and prints what follows.
func (s *seat) hear(now logic.Time, body any) error {
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
	case wire.View:
		if e.How == "X" {
			return router.EndpointsUnavailable{}
		}
		return router.EndpointsChanged{Complete: e.How != "D", Hosts: hosts(e.Entries)}
	case wire.Incoming:
		t := router.RequestArrived{Task: e.Ticket, Category: e.Qos, Customer: e.Owner, Key: e.Resource,
			Patience: terms.Span(e.PatienceLeftUs), Again: e.Marks&2 != 0}
		if e.Marks&1 != 0 {
			t.Hint = terms.Span(e.WorkHintUs)
		}
		return t
	case wire.Ended:
		return router.AttemptEnded{Task: e.Ticket, Send: e.N, Fate: fates[e.Code], Took: terms.Span(e.RttUs), Done: e.Done,
			Load: s.report.Load(e.Metrics)}
	case wire.TimedOutClient:
		return router.ClientGone{Task: e.Ticket}
	case wire.AckFirst:
		return router.ResponseStarted{Task: e.Ticket, Send: e.N}
	case wire.Due:
		return router.TimerFired{Alarm: e.Mark}
	case wire.PhaseTold:
		n := logic.ReleaseStatus{Build: e.Image, Stage: e.Tranche, Phase: logic.Phase(e.Standing), ExposureCap: e.Allowed,
			Age: terms.Span(e.AgeUs)}
		if e.Asked {
			n.VoteResult = answers[e.Code]
		}
		return router.ReleaseChanged{News: n}
	case wire.CountsByBuild:
		return router.StatsReported{Build: e.Image, Category: e.Qos, Bad: e.Bad, Samples: e.Samples, Mean: terms.Span(e.RttUs),
			Age: terms.Span(e.AgeUs), Over: s.counted}
	case wire.FromPeer:
		return router.GossipReceived{Peer: e.Author, Body: string(e.Body)}
	case wire.HealthResult:
		return router.HealthChecked{Host: e.Host, Fate: fates[e.Code], Took: terms.Span(e.RttUs), Load: s.report.Load(e.Metrics)}
	case wire.BadAnswer:
		return router.ComplaintReceived{Host: e.Host, Category: e.Qos, Age: terms.Span(e.AgeUs)}
	}
	return nil
}

var fates = map[string]logic.Outcome{"served": logic.Succeeded, "server_error": logic.Failed,
	"turned_away": logic.Rejected, "no_answer": logic.TimedOut, "no_connection": logic.ConnectFailed,
	"connection_lost": logic.ConnectionLost, "called_off": logic.Canceled, "not_sent": logic.NotSent}

var answers = map[string]logic.VoteResult{"served": logic.VoteAccepted, "not_sent": logic.VoteStale,
	"turned_away": logic.VoteRejected, "server_error": logic.VoteRejected, "no_answer": logic.VoteUnknown}

var standings = map[string]logic.EndpointState{"in_service": logic.Serving, "terminating": logic.Draining,
	"terminated": logic.Removed}

func hosts(entries []wire.Entry) []router.Host {
	out := make([]router.Host, 0, len(entries))
	for _, e := range entries {
		out = append(out, router.Host{ID: e.Host, Location: e.Site, Cell: int(e.Cell), Standing: standings[e.Mode],
			Build: e.Release, Size: e.PowerHint, Up: terms.Span(e.UpSinceUs)})
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
