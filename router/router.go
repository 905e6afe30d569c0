package router

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"dapplefront/plan"
	"dapplefront/policy"
)

// Errors that Handle returns, wrapped in a text that names the request, build, host or event type.
var (
	ErrUnknownClass     = errors.New("unknown class")
	ErrDuplicateRequest = errors.New("request id is in use")
	ErrUnknownEvent     = errors.New("unknown event")
)

// Router is one router: it wraps a policy.Router and refers to hosts, requests and timers by IDs.
type Router struct {
	policy  *policy.Router
	config  Config
	actions []Action // actions for the event that is being handled

	classes map[string]*policy.Class
	tenants map[string]*policy.Tenant
	zones   map[string]*policy.Zone

	hosts            map[uint32]*host
	hostsForgottenAt policy.Time // when forgetHosts last checked the hosts
	releaseStatus    policy.ReleaseStatus

	requests   map[string]*request
	requestIDs map[*policy.Request]string

	timers    map[int64]*policy.Timer
	lastTimer int64

	planFollower   plan.Follower
	plan           plan.Offer
	planValidUntil policy.Time
}

// request is a request that still needs its final response or still has attempts in flight.
type request struct {
	policy           *policy.Request
	attemptDone      []bool // whether each attempt has ended, indexed by the number of the attempt
	attemptsInFlight int
}

// New returns a router that has only its configuration and no hosts yet, and the router's first actions.
func New(now policy.Time, c Config) (*Router, []Action) {
	r := &Router{hosts: map[uint32]*host{}, zones: map[string]*policy.Zone{}, classes: map[string]*policy.Class{},
		tenants: map[string]*policy.Tenant{}, requests: map[string]*request{}, requestIDs: map[*policy.Request]string{},
		timers: map[int64]*policy.Timer{}, config: c}
	config := policy.Config{Seed: c.Seed, Routers: c.Routers, Rank: c.Rank, Zone: r.zone(c.Zone), Limits: c.Limits, Release: c.Release}
	for _, class := range c.Classes {
		p := &policy.Class{Idempotency: class.Idempotency, DedupScope: class.DedupScope, DedupWindow: class.DedupWindow,
			LatencyObjective: class.LatencyObjective, PriorityWeight: class.PriorityWeight, LateValueShare: class.LateValueShare}
		r.classes[class.Name] = p
		config.Classes = append(config.Classes, p)
	}
	for _, t := range c.Tenants {
		r.tenants[t.Name] = &policy.Tenant{QuotaPerSecond: t.QuotaPerSecond}
	}
	r.policy = policy.NewRouter(now, config, (*effects)(r))
	return r, r.actions
}

// InFlight returns the number of requests that still need their final response or still have attempts in flight.
func (r *Router) InFlight() int { return len(r.requests) }

// Handle handles an event at the time now and appends the resulting actions to actions. An invalid event changes
// nothing and returns an error: ErrUnknownClass, ErrDuplicateRequest, ErrUnknownEvent, or the error of CheckChange for
// a configuration. An event for a request, host or timer that is no longer known is ignored, because it may have been
// sent before the router forgot that object.
func (r *Router) Handle(now policy.Time, e Event, actions []Action) ([]Action, error) {
	r.actions = actions
	err := r.handle(now, e)
	actions, r.actions = r.actions, nil
	return actions, err
}

func (r *Router) handle(now policy.Time, e Event) error {
	switch e := e.(type) {
	case RequestArrived:
		return r.requestArrived(now, e)
	case AttemptEnded:
		r.attemptEnded(now, e)
	case ResponseStarted:
		r.responseStarted(now, e)
	case ClientDisconnected:
		r.clientDisconnected(now, e)
	case EndpointsChanged:
		r.endpointsChanged(now, e)
	case EndpointsUnavailable:
		r.policy.EndpointsChanged(now, nil, false)
	case ReleaseChanged:
		if e.Status.VoteResult == policy.Unsolicited || e.Status.VoteResult == policy.VoteAccepted {
			r.releaseStatus = e.Status
		}
		r.policy.ReleaseChanged(now, e.Status)
	case HealthChecked:
		if h := r.hosts[e.Host]; h != nil {
			r.policy.HealthChecked(now, h.policy, e.Outcome, e.Latency, e.Load)
		}
	case GossipReceived:
		r.policy.GossipReceived(now, e.Peer, []byte(e.Body))
	case ConfigChanged:
		return r.configChanged(now, e.Config)
	case PlanOffered:
		r.planOffered(now, e.Offer)
	case StatsReported:
		return r.statsReported(now, e)
	case ComplaintReceived:
		return r.complaintReceived(now, e)
	case ShutdownStarted:
		r.policy.ShutdownStarted(now, e.KillAfter, r.unanswered())
	case TimerFired:
		if t := r.timers[e.Timer]; t != nil {
			delete(r.timers, e.Timer)
			r.policy.TimerFired(now, t)
		}
	default:
		return fmt.Errorf("%w of type %T", ErrUnknownEvent, e)
	}
	return nil
}

func (r *Router) requestArrived(now policy.Time, e RequestArrived) error {
	class := r.classes[e.Class]
	if class == nil {
		return fmt.Errorf("request %s: %w %q", e.RequestID, ErrUnknownClass, e.Class)
	}
	if r.requests[e.RequestID] != nil {
		return fmt.Errorf("request %s: %w", e.RequestID, ErrDuplicateRequest)
	}
	q := &request{policy: &policy.Request{Class: class, Tenant: r.tenants[e.Tenant], Key: e.Key, Timeout: e.Timeout,
		ExpectedWork: e.ExpectedWork, ClientRetry: e.ClientRetry, Client: e.Client}}
	r.requests[e.RequestID], r.requestIDs[q.policy] = q, e.RequestID
	r.policy.RequestArrived(now, q.policy)
	r.forget(e.RequestID, q)
	return nil
}

func (r *Router) responseStarted(now policy.Time, e ResponseStarted) {
	if q := r.requests[e.RequestID]; q != nil && e.Attempt >= 0 && e.Attempt < len(q.policy.Attempts) {
		r.policy.ResponseStarted(now, q.policy.Attempts[e.Attempt])
	}
}

// attemptEnded reports the end of an attempt to the policy. Further events for the same attempt are ignored.
func (r *Router) attemptEnded(now policy.Time, e AttemptEnded) {
	q := r.requests[e.RequestID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attemptDone) || q.attemptDone[e.Attempt] {
		return
	}
	a := q.policy.Attempts[e.Attempt]
	q.attemptDone[e.Attempt] = true
	q.attemptsInFlight--
	if h := r.hosts[a.Host.ID]; h != nil && h.policy == a.Host {
		h.attemptsInFlight--
	}
	r.policy.AttemptEnded(now, a, e.Outcome, e.Latency, e.Done, e.Load)
	r.forget(e.RequestID, q)
}

func (r *Router) clientDisconnected(now policy.Time, e ClientDisconnected) {
	if q := r.requests[e.RequestID]; q != nil {
		r.policy.ClientDisconnected(now, q.policy)
		r.forget(e.RequestID, q)
	}
}

// CheckSend returns an error if an attempt must not be sent any more, because what it was decided on has changed since the
// SendAttempt action. It changes nothing; an attempt that is not sent is reported by an AttemptEnded event with the outcome
// policy.Revoked. otherInFlight reports whether another attempt of the request was sent and has not ended.
func (r *Router) CheckSend(requestID string, attempt int, otherInFlight bool) error {
	q := r.requests[requestID]
	if q == nil || attempt < 0 || attempt >= len(q.policy.Attempts) {
		return nil
	}
	return r.policy.CheckSend(q.policy.Attempts[attempt], otherInFlight)
}

// unanswered returns the requests that have no final response, in the order of their arrival and then of their IDs.
func (r *Router) unanswered() (requests []*policy.Request) {
	for _, q := range r.requests {
		if !q.policy.Answered() {
			requests = append(requests, q.policy)
		}
	}
	slices.SortFunc(requests, func(a, b *policy.Request) int {
		return cmp.Or(cmp.Compare(a.ArrivedAt(), b.ArrivedAt()), cmp.Compare(r.requestIDs[a], r.requestIDs[b]))
	})
	return requests
}

// forget removes a request if it has its final response and no attempts in flight, so that no event can concern it.
func (r *Router) forget(id string, q *request) {
	if q.policy.Answered() && q.attemptsInFlight == 0 {
		delete(r.requests, id)
		delete(r.requestIDs, q.policy)
	}
}

func (r *Router) statsReported(now policy.Time, e StatsReported) error {
	class := r.classes[e.Class]
	if class == nil {
		return fmt.Errorf("stats of build %d: %w %q", e.Build, ErrUnknownClass, e.Class)
	}
	r.policy.StatsReported(now, policy.BuildStats{Build: e.Build, Class: class, Failures: e.Failures, Samples: e.Samples,
		MeanLatency: e.MeanLatency, Age: e.Age, Window: e.Window})
	return nil
}

func (r *Router) complaintReceived(now policy.Time, e ComplaintReceived) error {
	class := r.classes[e.Class]
	if class == nil {
		return fmt.Errorf("complaint about host %d: %w %q", e.Host, ErrUnknownClass, e.Class)
	}
	if h := r.hosts[e.Host]; h != nil {
		r.policy.ComplaintReceived(now, h.policy, class, e.Age)
	}
	return nil
}
