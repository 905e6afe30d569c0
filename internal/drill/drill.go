// Package drill binds the simulator's events to calls of the decision module, and what it asks for to
// actions: ids become pointers, microseconds become tenths of a millisecond, lists become changes. It
// decides nothing.
package drill

import (
	"errors"
	"fmt"
	"io"
	"sort"

	"dapplefront/internal/wire"
	"dapplefront/logic"
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

// seat is where one instance sits: its router, and what its ids mean.
type seat struct {
	instance  int
	out       *wire.Writer
	router    *logic.Router
	hosts     map[uint32]*logic.Host
	locations map[string]*logic.Location
	cats      map[string]*logic.Category
	customers map[string]*logic.Customer
	tasks     map[string]*logic.Task
	ids       map[*logic.Task]string
	ended     map[*logic.Task]int
	alarms    map[int64]*logic.Alarm
	marks     int64
	fields    []string
	counted   logic.Time // the span of the desk's counts
}

func take(instance int, out *wire.Writer, now logic.Time, l wire.Launch) *seat {
	s := &seat{instance: instance, out: out, hosts: map[uint32]*logic.Host{},
		locations: map[string]*logic.Location{}, cats: map[string]*logic.Category{},
		customers: map[string]*logic.Customer{}, tasks: map[string]*logic.Task{},
		ids: map[*logic.Task]string{}, ended: map[*logic.Task]int{}, alarms: map[int64]*logic.Alarm{}}
	p := l.Params
	place := logic.Place{Seed: l.Prng, Routers: int(p.Int("Balancers")), Rank: int(p.Int("Rank")),
		Location: s.location(p["MyZone"])}
	for i := range int(p.Int("Categories.count")) {
		at := fmt.Sprintf("Categories.%d.", i)
		c := &logic.Category{Promised: span(p.Int(at + "AimUs")), Earnings: p.Float(at + "Importance"),
			LateShare: p.Float(at + "LateValue"), Memory: span(p.Int(at + "WindowUs"))}
		c.Repeat = map[string]logic.Repeat{"repeatable": logic.Retriable, "by_key": logic.Fingerprinted,
			"once": logic.Binding}[p[at+"Semantics"]]
		c.Group = map[string]logic.Group{"zone": logic.SameLocation, "cell": logic.SameCell}[p[at+"DedupScope"]]
		s.cats[p[at+"Name"]] = c
		place.Categories = append(place.Categories, c)
	}
	for i := range int(p.Int("Parties.count")) {
		at := fmt.Sprintf("Parties.%d.", i)
		s.customers[p[at+"Name"]] = &logic.Customer{PerSecond: p.Float(at + "QuotaPerS")}
	}
	place.Limits = logic.Limits{Grace: span(p.Int("Obligations.DrainGraceUs")),
		Cold: span(p.Int("Obligations.ColdUs")), ColdShare: p.Float("Obligations.StartCapacity"),
		Tip: p.Float("Obligations.TipMultiple"), TipFor: span(p.Int("Obligations.OverloadForUs")),
		AskWithin: span(p.Int("Obligations.AskWithinUs")), MaxSends: int(p.Int("Permissions.MaxAttempts")),
		MaxOpen: int(p.Int("Permissions.MaxOpen")), TwoAtOnce: p.Bool("Permissions.SecondCopies"),
		Pushed: p["RegistryMode"] == "pushed", CrossPrice: p.Float("Prices.CrossZone"),
		WastePrice: p.Float("Prices.Waste"), OverShare: p.Float("OverShareWorth")}
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
	s.router = logic.NewRouter(now, place, s)
	return s
}

func (s *seat) location(name string) *logic.Location {
	if s.locations[name] == nil {
		s.locations[name] = &logic.Location{}
	}
	return s.locations[name]
}

func (s *seat) hear(now logic.Time, body any) error {
	switch e := body.(type) {
	case wire.View:
		s.router.Listed(now, s.changes(e), e.How != "X")
	case wire.Incoming:
		c := s.cats[e.Qos]
		if c == nil {
			return fmt.Errorf("INCOMING %s names the class %q, one of LAUNCH's classes expected", e.Ticket, e.Qos)
		}
		t := &logic.Task{Category: c, Customer: s.customers[e.Owner], Key: e.Resource,
			Patience: span(e.PatienceLeftUs), Again: e.Marks&2 != 0}
		if e.Marks&1 != 0 {
			t.Hint = span(e.WorkHintUs)
		}
		s.tasks[e.Ticket], s.ids[t] = t, e.Ticket
		s.router.Take(now, t)
		s.forget(t)
	case wire.Ended:
		t := s.tasks[e.Ticket]
		if t == nil || e.N < 0 || e.N >= len(t.Sends) {
			return nil
		}
		s.ended[t]++
		s.router.Ended(now, t.Sends[e.N], fates[e.Code], span(e.RttUs), e.Done, s.load(e.Metrics))
		s.forget(t)
	case wire.TimedOutClient:
		if t := s.tasks[e.Ticket]; t != nil {
			s.router.Left(now, t)
			s.forget(t)
		}
	case wire.AckFirst:
		if t := s.tasks[e.Ticket]; t != nil && e.N >= 0 && e.N < len(t.Sends) {
			s.router.Began(now, t.Sends[e.N])
		}
	case wire.Due:
		if a := s.alarms[e.Mark]; a != nil {
			delete(s.alarms, e.Mark)
			s.router.Due(now, a)
		}
	case wire.PhaseTold:
		n := logic.News{Build: e.Image, Stage: e.Tranche, Phase: logic.Phase(e.Standing), Cap: e.Allowed,
			Age: span(e.AgeUs)}
		if e.Asked {
			n.Answer = answers[e.Code]
		}
		s.router.Told(now, n)
	case wire.CountsByBuild:
		if c := s.cats[e.Qos]; c != nil {
			s.router.Counted(now, logic.Count{Build: e.Image, Category: c, Bad: e.Bad, Samples: e.Samples,
				Mean: span(e.RttUs), Age: span(e.AgeUs), Over: s.counted})
		}
	case wire.BadAnswer:
		if h, c := s.hosts[e.Host], s.cats[e.Qos]; h != nil && c != nil {
			s.router.Complained(now, h, c, span(e.AgeUs))
		}
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

// changes turns a list into changes to what was held; hosts that a whole list leaves out are gone.
func (s *seat) changes(v wire.View) []logic.Listing {
	var out []logic.Listing
	named := map[*logic.Host]bool{}
	for _, e := range v.Entries {
		h := s.hosts[e.Host]
		if h == nil {
			h = &logic.Host{ID: e.Host}
			s.hosts[e.Host] = h
		}
		named[h] = true
		out = append(out, logic.Listing{Host: h, Location: s.location(e.Site), Cell: int(e.Cell),
			Standing: standings[e.Mode], Build: e.Release, Size: e.PowerHint, Up: span(e.UpSinceUs)})
	}
	if v.How == "F" || v.How == "C" {
		var left []logic.Listing
		for _, h := range s.hosts {
			if !named[h] {
				left = append(left, logic.Listing{Host: h, Location: h.Location, Cell: h.Cell,
					Standing: logic.Gone, Build: h.Build, Size: h.Size, Up: h.Up})
			}
		}
		sort.Slice(left, func(i, j int) bool { return left[i].Host.ID < left[j].Host.ID })
		out = append(out, left...)
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

// forget drops a task of which nothing more can be heard.
func (s *seat) forget(t *logic.Task) {
	if t.Over() && s.ended[t] >= len(t.Sends) {
		delete(s.tasks, s.ids[t])
		delete(s.ids, t)
		delete(s.ended, t)
	}
}

func (s *seat) Send(x *logic.Send, within logic.Time) {
	s.out.Act(s.instance, "TRY", s.ids[x.Task], x.Host.ID, int64(within)*tenth)
}

func (s *seat) TurnBack(t *logic.Task, stay logic.Time) {
	s.out.Act(s.instance, "DECLINE", s.ids[t], int64(stay)*tenth)
}

func (s *seat) Scrap(t *logic.Task) { s.out.Act(s.instance, "FINISH_ERROR", s.ids[t]) }

func (s *seat) WakeUp(in logic.Time, a *logic.Alarm) {
	s.marks++
	s.alarms[s.marks] = a
	s.out.Act(s.instance, "SET_ALARM", int64(in)*tenth, s.marks)
}

func (s *seat) WatchHosts() { s.out.Act(s.instance, "STREAM_CHANGES", 1) }

func (s *seat) Vote(build, stage int, voice logic.Voice) {
	s.out.Act(s.instance, "JUDGE", build, stage, int(voice))
}

func (s *seat) Note(text string) { s.out.Act(s.instance, "LOG", text) }
