// Package drill is the simulator's door to the router library: lines of its wire become events, and actions become
// lines; microseconds become tenths of a millisecond. It decides nothing.
package drill

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"

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
				seats[e.Instance] = take(e.Instance, w, span(b.Now), launch)
			} else if _, ok := e.Body.(wire.Kill); ok {
				delete(seats, e.Instance)
			} else if s != nil {
				if err := s.hear(span(b.Now), e.Body); err != nil {
					return fmt.Errorf("batch %d: %w", b.Number, err)
				}
			}
		}
		if err := w.End(b.Number); err != nil {
			return err
		}
	}
}

func span(us int64) logic.Time { return logic.Time(us / tenth) }

// seat is where one instance sits: its router, and what it was told at start of reports and counts.
type seat struct {
	instance int
	out      *wire.Writer
	router   *router.Router
	actions  []router.Action
	fields   []string
	counted  logic.Time // the span of the desk's counts
}

func take(instance int, out *wire.Writer, now logic.Time, l wire.Launch) *seat {
	s := &seat{instance: instance, out: out}
	p := l.Params
	place := router.Place{Seed: l.Prng, Routers: int(p.Int("Balancers")), Rank: int(p.Int("Rank")),
		Location: p["MyZone"]}
	for i := range int(p.Int("Categories.count")) {
		at := fmt.Sprintf("Categories.%d.", i)
		c := router.Category{Name: p[at+"Name"], Promised: span(p.Int(at + "AimUs")), Earnings: p.Float(at + "Importance"),
			LateShare: p.Float(at + "LateValue"), Memory: span(p.Int(at + "WindowUs"))}
		c.Repeat = map[string]logic.Repeat{"repeatable": logic.Retriable, "by_key": logic.Fingerprinted,
			"once": logic.Binding}[p[at+"Semantics"]]
		c.Group = map[string]logic.Group{"zone": logic.SameLocation, "cell": logic.SameCell}[p[at+"DedupScope"]]
		place.Categories = append(place.Categories, c)
	}
	for i := range int(p.Int("Parties.count")) {
		at := fmt.Sprintf("Parties.%d.", i)
		place.Customers = append(place.Customers,
			router.Customer{Name: p[at+"Name"], PerSecond: p.Float(at + "QuotaPerS")})
	}
	place.Limits = logic.Limits{Grace: span(p.Int("Obligations.DrainGraceUs")),
		Cold: span(p.Int("Obligations.ColdUs")), ColdShare: p.Float("Obligations.StartCapacity"),
		Tip: p.Float("Obligations.TipMultiple"), TipFor: span(p.Int("Obligations.OverloadForUs")),
		AskWithin: span(p.Int("Obligations.AskWithinUs")), MaxSends: int(p.Int("Permissions.MaxAttempts")),
		MaxOpen: int(p.Int("Permissions.MaxOpen")), TwoAtOnce: p.Bool("Permissions.SecondCopies"),
		Pushed: p["RegistryMode"] == "pushed", CrossPrice: p.Float("Prices.CrossZone"),
		WastePrice: p.Float("Prices.Waste"), OverShare: p.Float("OverShareWorth")}
	const message = 256 // bytes; the wire states it, its settings don't
	if p.Bool("Permissions.Peers") {
		place.Limits.Peers = message
	}
	place.Limits.Probes = p.Bool("Permissions.Probes")
	if p.Bool("Permissions.RetryAfter") {
		place.Limits.LongestStay = span(p.Int("Permissions.MaxRetryAfterUs"))
	}
	place.Desk = logic.Desk{
		Control:  map[string]logic.Control{"share": logic.ShareOfVotes, "timer": logic.Clock}[p["Extra.Control"]],
		ToMoveOn: int(p.Int("Extra.AyesNeeded")), ToAbort: int(p.Int("Extra.ToAbort")),
		VoteLife: span(p.Int("Extra.VoteStandsUs")), VoteTimeout: span(p.Int("Extra.CallTimeoutUs")),
		VotesASecond: p.Float("Extra.VoteAllowance"), Window: span(p.Int("Extra.ExposureWindowUs")),
		Free: p.Float("Extra.Free"), ByCategory: p["Extra.Counts"] == "class",
		Guarded: int(p.Int("Extra.GuardedStages")), KeysStay: p.Bool("Extra.KeysStay"),
		DelayPrice: p.Float("Extra.LagFee"), HarmPrice: p.Float("Extra.HarmFee"),
		Complaints: p.Float("Extra.ComplaintShare"), LeastTime: span(p.Int("Extra.BakeUs")),
		ClockTime: span(p.Int("Extra.StageTimeUs"))}
	if p.Int("Extra.MetricsPeriodUs") > 0 {
		place.Desk.Counted, s.counted = p.Float("Extra.SampledShare"), span(p.Int("Extra.MetricsPeriodUs"))
	}
	for i := range p.List("Extra.StageCap") {
		place.Desk.Caps = append(place.Desk.Caps, wire.Params{"": p.List("Extra.StageCap")[i]}.Float(""))
	}
	s.fields = p.List("Report.Fields")
	s.router, s.actions = router.New(now, place)
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
	s.actions, err = s.router.Hear(now, e, s.actions[:0])
	s.act()
	return err
}

// event is the router's word for an event of the wire; nil where it has none.
func (s *seat) event(body any) router.Event {
	switch e := body.(type) {
	case wire.View:
		if e.How == "X" {
			return router.Unlisted{}
		}
		return router.Listed{Whole: e.How != "D", Hosts: hosts(e.Entries)}
	case wire.Incoming:
		t := router.Taken{Task: e.Ticket, Category: e.Qos, Customer: e.Owner, Key: e.Resource,
			Patience: span(e.PatienceLeftUs), Again: e.Marks&2 != 0}
		if e.Marks&1 != 0 {
			t.Hint = span(e.WorkHintUs)
		}
		return t
	case wire.Ended:
		return router.Ended{Task: e.Ticket, Send: e.N, Fate: fates[e.Code], Took: span(e.RttUs), Done: e.Done,
			Load: s.load(e.Metrics)}
	case wire.TimedOutClient:
		return router.Left{Task: e.Ticket}
	case wire.AckFirst:
		return router.Began{Task: e.Ticket, Send: e.N}
	case wire.Due:
		return router.Due{Alarm: e.Mark}
	case wire.PhaseTold:
		n := logic.News{Build: e.Image, Stage: e.Tranche, Phase: logic.Phase(e.Standing), Cap: e.Allowed,
			Age: span(e.AgeUs)}
		if e.Asked {
			n.Answer = answers[e.Code]
		}
		return router.Told{News: n}
	case wire.CountsByBuild:
		return router.Counted{Build: e.Image, Category: e.Qos, Bad: e.Bad, Samples: e.Samples, Mean: span(e.RttUs),
			Age: span(e.AgeUs), Over: s.counted}
	case wire.FromPeer:
		return router.Heard{Peer: e.Author, Body: string(e.Body)}
	case wire.HealthResult:
		return router.Probed{Host: e.Host, Fate: fates[e.Code], Took: span(e.RttUs), Load: s.load(e.Metrics)}
	case wire.BadAnswer:
		return router.Complained{Host: e.Host, Category: e.Qos, Age: span(e.AgeUs)}
	}
	return nil
}

var fates = map[string]logic.Fate{"served": logic.Finished, "server_error": logic.Errored,
	"turned_away": logic.TurnedBack, "no_answer": logic.NoAnswer, "no_connection": logic.NoLink,
	"connection_lost": logic.Cut, "called_off": logic.CalledOff, "not_sent": logic.NeverSent}

var answers = map[string]logic.Answer{"served": logic.Counted, "not_sent": logic.Moot,
	"turned_away": logic.Refused, "server_error": logic.Refused, "no_answer": logic.Unclear}

var standings = map[string]logic.Standing{"in_service": logic.Serving, "terminating": logic.Draining,
	"terminated": logic.Gone}

func hosts(entries []wire.Entry) []router.Host {
	out := make([]router.Host, 0, len(entries))
	for _, e := range entries {
		out = append(out, router.Host{ID: e.Host, Location: e.Site, Cell: int(e.Cell), Standing: standings[e.Mode],
			Build: e.Release, Size: e.PowerHint, Up: span(e.UpSinceUs)})
	}
	return out
}

// load reads a report by the fields' names; what is not reported is negative.
func (s *seat) load(figures []float64) *logic.Load {
	if figures == nil {
		return nil
	}
	l := &logic.Load{Active: -1, Waiting: -1, Busy: -1, Service: -1, Rate: -1}
	for i, v := range figures {
		if i >= len(s.fields) {
			break
		}
		switch s.fields[i] {
		case "active":
			l.Active = v
		case "waiting":
			l.Waiting = v
		case "cpu":
			l.Busy = v
		case "avg_ms":
			l.Service = v * 10
		case "rps":
			l.Rate = v
		}
	}
	return l
}

// act prints what the router wants done.
func (s *seat) act() {
	for _, a := range s.actions {
		switch a.Do {
		case router.Send:
			s.out.Act(s.instance, "TRY", a.Task, a.Host, int64(a.Span)*tenth)
		case router.TurnBack:
			s.out.Act(s.instance, "DECLINE", a.Task, int64(a.Span)*tenth)
		case router.Scrap:
			s.out.Act(s.instance, "FINISH_ERROR", a.Task)
		case router.Alarm:
			s.out.Act(s.instance, "SET_ALARM", int64(a.Span)*tenth, a.Alarm)
		case router.Watch:
			s.out.Act(s.instance, "STREAM_CHANGES", 1)
		case router.Vote:
			s.out.Act(s.instance, "JUDGE", a.Build, a.Stage, int(a.Voice))
		case router.Tell:
			s.out.Act(s.instance, "PUBLISH", a.Peer, base64.StdEncoding.EncodeToString([]byte(a.Body)))
		case router.Probe:
			s.out.Act(s.instance, "PING", a.Host)
		case router.Note:
			s.out.Act(s.instance, "LOG", a.Text)
		}
	}
}
