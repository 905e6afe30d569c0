package router

import (
	"cmp"
	"fmt"
	"slices"

	"dapplefront/plan"
	"dapplefront/policy"
)

// Router is one instance's mind behind ids.
type Router struct {
	policy    *policy.Router
	out       []Action
	hosts     map[uint32]*host
	locations map[string]*policy.Zone
	cats      map[string]*policy.Class
	customers map[string]*policy.Tenant
	tasks     map[string]*task
	ids       map[*policy.Request]string
	alarms    map[int64]*policy.Timer
	marks     int64
	swept     policy.Time
	news      policy.ReleaseStatus
	follower  plan.Follower
	plan      plan.Offered
	until     policy.Time // the plan in force is followed
	place     Config
}

type host struct {
	noun *policy.Host
	gone policy.Time // when it was told to be gone
	out  int         // sends that have not ended
}

type task struct {
	noun  *policy.Request
	ended []bool // by send
	left  int    // sends that have not ended
}

// New starts a router that knows nothing but its place, and returns its first actions.
func New(now policy.Time, p Config) (*Router, []Action) {
	r := &Router{hosts: map[uint32]*host{}, locations: map[string]*policy.Zone{},
		cats: map[string]*policy.Class{}, customers: map[string]*policy.Tenant{}, tasks: map[string]*task{},
		ids: map[*policy.Request]string{}, alarms: map[int64]*policy.Timer{}, place: p}
	place := policy.Config{Seed: p.Seed, Routers: p.Routers, Rank: p.Rank, Zone: r.location(p.Zone),
		Limits: p.Limits, Release: p.Release}
	for _, c := range p.Classes {
		noun := &policy.Class{Idempotency: c.Idempotency, DedupScope: c.DedupScope, DedupWindow: c.DedupWindow, LatencyObjective: c.LatencyObjective,
			PriorityWeight: c.PriorityWeight, LateValueShare: c.LateValueShare}
		r.cats[c.Name] = noun
		place.Classes = append(place.Classes, noun)
	}
	for _, c := range p.Tenants {
		r.customers[c.Name] = &policy.Tenant{QuotaPerSecond: c.QuotaPerSecond}
	}
	r.policy = policy.NewRouter(now, place, (*hands)(r))
	return r, r.out
}

// Handle takes in one event at its time and appends what is to be done to actions. An event that makes no sense (an
// unknown category, an id used twice) changes nothing and is an error; one about a task that is no longer known is
// dropped, as ends and news cross on the way.
func (r *Router) Handle(now policy.Time, e Event, actions []Action) ([]Action, error) {
	r.out = actions
	err := r.hear(now, e)
	actions, r.out = r.out, nil
	return actions, err
}

func (r *Router) hear(now policy.Time, e Event) error {
	switch e := e.(type) {
	case RequestArrived:
		return r.take(now, e)
	case AttemptEnded:
		r.ended(now, e)
	case ResponseStarted:
		if t := r.tasks[e.RequestID]; t != nil && e.Attempt >= 0 && e.Attempt < len(t.noun.Attempts) {
			r.policy.ResponseStarted(now, t.noun.Attempts[e.Attempt])
		}
	case ClientGone:
		if t := r.tasks[e.RequestID]; t != nil {
			r.policy.ClientGone(now, t.noun)
			r.forget(e.RequestID, t)
		}
	case EndpointsChanged:
		r.policy.EndpointsChanged(now, r.changes(now, e), true)
		r.sweep(now)
		if now < r.until { // the plan may speak of hosts that are listed only now
			r.policy.PlanOffered(now, r.course())
		}
	case EndpointsUnavailable:
		r.policy.EndpointsChanged(now, nil, false)
	case ReleaseChanged:
		if e.Status.VoteResult == policy.Unsolicited || e.Status.VoteResult == policy.VoteAccepted {
			r.news = e.Status
		}
		r.policy.ReleaseChanged(now, e.Status)
	case HealthChecked:
		if h := r.hosts[e.Host]; h != nil {
			r.policy.HealthChecked(now, h.noun, e.Outcome, e.Latency, e.Load)
		}
	case GossipReceived:
		r.policy.GossipReceived(now, e.Peer, []byte(e.Body))
	case ConfigChanged:
		return r.settle(now, e.Config)
	case PlanOffered:
		r.planned(now, e.Offer)
	case StatsReported:
		c := r.cats[e.Class]
		if c == nil {
			return fmt.Errorf("counts of the category %q, which is none of those told at start", e.Class)
		}
		r.policy.StatsReported(now, policy.BuildStats{Build: e.Build, Class: c, Failures: e.Failures, Samples: e.Samples, MeanLatency: e.MeanLatency,
			Age: e.Age, Window: e.Window})
	case ComplaintReceived:
		c := r.cats[e.Class]
		if c == nil {
			return fmt.Errorf("a complaint of the category %q, which is none of those told at start", e.Class)
		}
		if h := r.hosts[e.Host]; h != nil {
			r.policy.ComplaintReceived(now, h.noun, c, e.Age)
		}
	case TimerFired:
		if a := r.alarms[e.Timer]; a != nil {
			delete(r.alarms, e.Timer)
			r.policy.TimerFired(now, a)
		}
	default:
		return fmt.Errorf("an event of type %T, which a router doesn't know", e)
	}
	return nil
}

func (r *Router) take(now policy.Time, e RequestArrived) error {
	c := r.cats[e.Class]
	if c == nil {
		return fmt.Errorf("task %s has the category %q, which is none of those told at start", e.RequestID, e.Class)
	}
	if r.tasks[e.RequestID] != nil {
		return fmt.Errorf("task %s is already held", e.RequestID)
	}
	t := &task{noun: &policy.Request{Class: c, Tenant: r.customers[e.Tenant], Key: e.Key, Timeout: e.Timeout,
		ExpectedWork: e.ExpectedWork, ClientRetry: e.ClientRetry}}
	r.tasks[e.RequestID], r.ids[t.noun] = t, e.RequestID
	r.policy.RequestArrived(now, t.noun)
	r.forget(e.RequestID, t)
	return nil
}

// ended passes on how a send ended, once.
func (r *Router) ended(now policy.Time, e AttemptEnded) {
	t := r.tasks[e.RequestID]
	if t == nil || e.Attempt < 0 || e.Attempt >= len(t.ended) || t.ended[e.Attempt] {
		return
	}
	s := t.noun.Attempts[e.Attempt]
	t.ended[e.Attempt] = true
	t.left--
	if h := r.hosts[s.Host.ID]; h != nil && h.noun == s.Host {
		h.out--
	}
	r.policy.AttemptEnded(now, s, e.Outcome, e.Latency, e.Done, e.Load)
	r.forget(e.RequestID, t)
}

// forget drops a task of which nothing more can be heard.
func (r *Router) forget(id string, t *task) {
	if t.noun.Answered() && t.left == 0 {
		delete(r.tasks, id)
		delete(r.ids, t.noun)
	}
}

// InFlight is how many tasks are known of: those owed an answer, and those with sends still out.
func (r *Router) InFlight() int { return len(r.tasks) }

func (r *Router) location(name string) *policy.Zone {
	if r.locations[name] == nil {
		r.locations[name] = &policy.Zone{}
	}
	return r.locations[name]
}

// changes turns a list into changes to what was held; hosts that a whole list leaves out are gone.
func (r *Router) changes(now policy.Time, e EndpointsChanged) []policy.EndpointUpdate {
	out := make([]policy.EndpointUpdate, 0, len(e.Hosts))
	named := make(map[uint32]bool, len(e.Hosts))
	for _, l := range e.Hosts {
		h := r.hosts[l.ID]
		if h == nil {
			h = &host{noun: &policy.Host{ID: l.ID}}
			r.hosts[l.ID] = h
		}
		if h.gone = 0; l.State == policy.Removed {
			h.gone = now
		}
		named[l.ID] = true
		out = append(out, policy.EndpointUpdate{Host: h.noun, Zone: r.location(l.Zone), Cell: l.Cell,
			State: l.State, Build: l.Build, Weight: l.Weight, StartedAt: l.StartedAt})
	}
	if !e.Complete {
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
		out = append(out, policy.EndpointUpdate{Host: n, Zone: n.Zone, Cell: n.Cell, State: policy.Removed,
			Build: n.Build, Weight: n.Weight, StartedAt: n.StartedAt})
	}
	slices.SortFunc(out[listed:], func(a, b policy.EndpointUpdate) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return out
}

// sweep drops hosts that have been gone for so long that no figure of theirs counts any more.
func (r *Router) sweep(now policy.Time) {
	const after, every = 600 * policy.Second, 60 * policy.Second // far beyond what the module looks back on
	if now-r.swept < every {
		return
	}
	r.swept = now
	for id, h := range r.hosts {
		if h.gone != 0 && now-h.gone > after && h.out == 0 {
			r.policy.Forget(h.noun)
			delete(r.hosts, id)
		}
	}
}

// hands note what the module asks for.
type hands Router

func (r *hands) act(a Action) { r.out = append(r.out, a) }

func (r *hands) Send(s *policy.Attempt, within policy.Time) {
	id := r.ids[s.Request]
	t := r.tasks[id]
	t.ended = append(t.ended, false)
	t.left++
	if h := r.hosts[s.Host.ID]; h != nil {
		h.out++
	}
	r.act(Action{Kind: SendAttempt, RequestID: id, Attempt: len(t.ended) - 1, Host: s.Host.ID, Duration: within, IsShadow: s.IsShadow()})
}

func (r *hands) Reject(t *policy.Request, stay policy.Time) {
	r.act(Action{Kind: Reject, RequestID: r.ids[t], Duration: stay})
}

func (r *hands) Fail(t *policy.Request) { r.act(Action{Kind: Fail, RequestID: r.ids[t]}) }

func (r *hands) SetTimer(in policy.Time, a *policy.Timer) {
	r.marks++
	r.alarms[r.marks] = a
	r.act(Action{Kind: SetTimer, Timer: r.marks, Duration: in})
}

func (r *hands) WatchEndpoints() { r.act(Action{Kind: WatchEndpoints}) }

func (r *hands) Vote(build, stage int, voice policy.VoteChoice) {
	r.act(Action{Kind: CastVote, Build: build, Stage: stage, Choice: voice})
}

func (r *hands) Log(text string) { r.act(Action{Kind: Log, Text: text}) }

func (r *hands) Gossip(peer int, body []byte) {
	r.act(Action{Kind: SendGossip, Peer: peer, Body: string(body)})
}

func (r *hands) CheckHealth(h *policy.Host) { r.act(Action{Kind: CheckHealth, Host: h.ID}) }
