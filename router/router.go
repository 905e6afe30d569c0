package router

import (
	"cmp"
	"fmt"
	"slices"

	"dapplefront/logic"
	"dapplefront/plan"
)

// Router is one instance's mind behind ids.
type Router struct {
	mind      *logic.Router
	out       []Action
	hosts     map[uint32]*host
	locations map[string]*logic.Location
	cats      map[string]*logic.Category
	customers map[string]*logic.Customer
	tasks     map[string]*task
	ids       map[*logic.Task]string
	alarms    map[int64]*logic.Alarm
	marks     int64
	swept     logic.Time
	news      logic.News
	follower  plan.Follower
	plan      plan.Offered
	until     logic.Time // the plan in force is followed
	place     Place
}

type host struct {
	noun *logic.Host
	gone logic.Time // when it was told to be gone
	out  int        // sends that have not ended
}

type task struct {
	noun  *logic.Task
	ended []bool // by send
	left  int    // sends that have not ended
}

// New starts a router that knows nothing but its place, and returns its first actions.
func New(now logic.Time, p Place) (*Router, []Action) {
	r := &Router{hosts: map[uint32]*host{}, locations: map[string]*logic.Location{},
		cats: map[string]*logic.Category{}, customers: map[string]*logic.Customer{}, tasks: map[string]*task{},
		ids: map[*logic.Task]string{}, alarms: map[int64]*logic.Alarm{}, place: p}
	place := logic.Place{Seed: p.Seed, Routers: p.Routers, Rank: p.Rank, Location: r.location(p.Location),
		Limits: p.Limits, Desk: p.Desk}
	for _, c := range p.Categories {
		noun := &logic.Category{Repeat: c.Repeat, Group: c.Group, Memory: c.Memory, Promised: c.Promised,
			Earnings: c.Earnings, LateShare: c.LateShare}
		r.cats[c.Name] = noun
		place.Categories = append(place.Categories, noun)
	}
	for _, c := range p.Customers {
		r.customers[c.Name] = &logic.Customer{PerSecond: c.PerSecond}
	}
	r.mind = logic.NewRouter(now, place, (*hands)(r))
	return r, r.out
}

// Hear takes in one event at its time and appends what is to be done to actions. An event that makes no sense (an
// unknown category, an id used twice) changes nothing and is an error; one about a task that is no longer known is
// dropped, as ends and news cross on the way.
func (r *Router) Hear(now logic.Time, e Event, actions []Action) ([]Action, error) {
	r.out = actions
	err := r.hear(now, e)
	actions, r.out = r.out, nil
	return actions, err
}

func (r *Router) hear(now logic.Time, e Event) error {
	switch e := e.(type) {
	case Taken:
		return r.take(now, e)
	case Ended:
		r.ended(now, e)
	case Began:
		if t := r.tasks[e.Task]; t != nil && e.Send >= 0 && e.Send < len(t.noun.Sends) {
			r.mind.Began(now, t.noun.Sends[e.Send])
		}
	case Left:
		if t := r.tasks[e.Task]; t != nil {
			r.mind.Left(now, t.noun)
			r.forget(e.Task, t)
		}
	case Listed:
		r.mind.Listed(now, r.changes(now, e), true)
		r.sweep(now)
		if now < r.until { // the plan may speak of hosts that are listed only now
			r.mind.Planned(now, r.course())
		}
	case Unlisted:
		r.mind.Listed(now, nil, false)
	case Told:
		if e.News.Answer == logic.Unasked || e.News.Answer == logic.Counted {
			r.news = e.News
		}
		r.mind.Told(now, e.News)
	case Probed:
		if h := r.hosts[e.Host]; h != nil {
			r.mind.Probed(now, h.noun, e.Fate, e.Took, e.Load)
		}
	case Heard:
		r.mind.Heard(now, e.Peer, []byte(e.Body))
	case Settled:
		return r.settle(now, e.Place)
	case Planned:
		r.planned(now, e.Offer)
	case Counted:
		c := r.cats[e.Category]
		if c == nil {
			return fmt.Errorf("counts of the category %q, which is none of those told at start", e.Category)
		}
		r.mind.Counted(now, logic.Count{Build: e.Build, Category: c, Bad: e.Bad, Samples: e.Samples, Mean: e.Mean,
			Age: e.Age, Over: e.Over})
	case Complained:
		c := r.cats[e.Category]
		if c == nil {
			return fmt.Errorf("a complaint of the category %q, which is none of those told at start", e.Category)
		}
		if h := r.hosts[e.Host]; h != nil {
			r.mind.Complained(now, h.noun, c, e.Age)
		}
	case Due:
		if a := r.alarms[e.Alarm]; a != nil {
			delete(r.alarms, e.Alarm)
			r.mind.Due(now, a)
		}
	default:
		return fmt.Errorf("an event of type %T, which a router doesn't know", e)
	}
	return nil
}

func (r *Router) take(now logic.Time, e Taken) error {
	c := r.cats[e.Category]
	if c == nil {
		return fmt.Errorf("task %s has the category %q, which is none of those told at start", e.Task, e.Category)
	}
	if r.tasks[e.Task] != nil {
		return fmt.Errorf("task %s is already held", e.Task)
	}
	t := &task{noun: &logic.Task{Category: c, Customer: r.customers[e.Customer], Key: e.Key, Patience: e.Patience,
		Hint: e.Hint, Again: e.Again}}
	r.tasks[e.Task], r.ids[t.noun] = t, e.Task
	r.mind.Take(now, t.noun)
	r.forget(e.Task, t)
	return nil
}

// ended passes on how a send ended, once.
func (r *Router) ended(now logic.Time, e Ended) {
	t := r.tasks[e.Task]
	if t == nil || e.Send < 0 || e.Send >= len(t.ended) || t.ended[e.Send] {
		return
	}
	s := t.noun.Sends[e.Send]
	t.ended[e.Send] = true
	t.left--
	if h := r.hosts[s.Host.ID]; h != nil && h.noun == s.Host {
		h.out--
	}
	r.mind.Ended(now, s, e.Fate, e.Took, e.Done, e.Load)
	r.forget(e.Task, t)
}

// forget drops a task of which nothing more can be heard.
func (r *Router) forget(id string, t *task) {
	if t.noun.Over() && t.left == 0 {
		delete(r.tasks, id)
		delete(r.ids, t.noun)
	}
}

// Held is how many tasks are known of: those owed an answer, and those with sends still out.
func (r *Router) Held() int { return len(r.tasks) }

func (r *Router) location(name string) *logic.Location {
	if r.locations[name] == nil {
		r.locations[name] = &logic.Location{}
	}
	return r.locations[name]
}

// changes turns a list into changes to what was held; hosts that a whole list leaves out are gone.
func (r *Router) changes(now logic.Time, e Listed) []logic.Listing {
	out := make([]logic.Listing, 0, len(e.Hosts))
	named := make(map[uint32]bool, len(e.Hosts))
	for _, l := range e.Hosts {
		h := r.hosts[l.ID]
		if h == nil {
			h = &host{noun: &logic.Host{ID: l.ID}}
			r.hosts[l.ID] = h
		}
		if h.gone = 0; l.Standing == logic.Gone {
			h.gone = now
		}
		named[l.ID] = true
		out = append(out, logic.Listing{Host: h.noun, Location: r.location(l.Location), Cell: l.Cell,
			Standing: l.Standing, Build: l.Build, Size: l.Size, Up: l.Up})
	}
	if !e.Whole {
		return out
	}
	listed := len(out)
	for id, h := range r.hosts {
		if named[id] {
			continue
		}
		if h.gone == 0 {
			h.gone = now
		}
		n := h.noun
		out = append(out, logic.Listing{Host: n, Location: n.Location, Cell: n.Cell, Standing: logic.Gone,
			Build: n.Build, Size: n.Size, Up: n.Up})
	}
	slices.SortFunc(out[listed:], func(a, b logic.Listing) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return out
}

// sweep drops hosts that have been gone for so long that no figure of theirs counts any more.
func (r *Router) sweep(now logic.Time) {
	const after, every = 600 * logic.Second, 60 * logic.Second // far beyond what the module looks back on
	if now-r.swept < every {
		return
	}
	r.swept = now
	for id, h := range r.hosts {
		if h.gone != 0 && now-h.gone > after && h.out == 0 {
			r.mind.Forget(h.noun)
			delete(r.hosts, id)
		}
	}
}

// hands note what the module asks for.
type hands Router

func (r *hands) act(a Action) { r.out = append(r.out, a) }

func (r *hands) Send(s *logic.Send, within logic.Time) {
	id := r.ids[s.Task]
	t := r.tasks[id]
	t.ended = append(t.ended, false)
	t.left++
	if h := r.hosts[s.Host.ID]; h != nil {
		h.out++
	}
	r.act(Action{Do: Send, Task: id, Send: len(t.ended) - 1, Host: s.Host.ID, Span: within, Copied: s.Copied()})
}

func (r *hands) TurnBack(t *logic.Task, stay logic.Time) {
	r.act(Action{Do: TurnBack, Task: r.ids[t], Span: stay})
}

func (r *hands) Scrap(t *logic.Task) { r.act(Action{Do: Scrap, Task: r.ids[t]}) }

func (r *hands) WakeUp(in logic.Time, a *logic.Alarm) {
	r.marks++
	r.alarms[r.marks] = a
	r.act(Action{Do: Alarm, Alarm: r.marks, Span: in})
}

func (r *hands) WatchHosts() { r.act(Action{Do: Watch}) }

func (r *hands) Vote(build, stage int, voice logic.Voice) {
	r.act(Action{Do: Vote, Build: build, Stage: stage, Voice: voice})
}

func (r *hands) Note(text string) { r.act(Action{Do: Note, Text: text}) }

func (r *hands) Tell(peer int, body []byte) { r.act(Action{Do: Tell, Peer: peer, Body: string(body)}) }

func (r *hands) Probe(h *logic.Host) { r.act(Action{Do: Probe, Host: h.ID}) }
