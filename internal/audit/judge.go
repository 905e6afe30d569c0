package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"dapplefront/policy"
)

// Rules are the five, in order.
var Rules = []string{"answer", "effect", "drain", "cold", "exposure"}

// Finding is a moment at which a rule was broken, or seems so.
type Finding struct {
	Rule     string        `json:"Rule"`
	At       time.Duration `json:"At"`
	Text     string        `json:"Text"`
	Doubtful bool          `json:"Doubtful"` // a stall of the machine may explain it
}

// Verdict is what became of one rule.
type Verdict struct {
	Rule     string    `json:"Rule"`
	Checked  int       `json:"Checked"` // moments at which it could have been broken
	Broken   []Finding `json:"Broken"`
	Doubtful []Finding `json:"Doubtful"`
	MaxShare float64   `json:"Most"` // of cold: the largest share of a budget that was used
}

// Kept tells whether the rule was surely kept.
func (v Verdict) Kept() bool { return len(v.Broken)+len(v.Doubtful) == 0 }

// Judge reads the book. It must be closed.
func (b *Recorder) Judge(f Limits) []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	slices.SortStableFunc(b.events, func(x, y event) int { return cmp.Compare(x.at, y.at) })
	j := &evaluation{limits: f, recorder: b, requests: map[string]*request{}, routers: map[string]*routerState{},
		verdicts: map[string]*Verdict{}, hosts: map[*Host]*hostState{}, operations: map[string]*operation{}}
	for _, r := range Rules {
		j.verdicts[r] = &Verdict{Rule: r}
	}
	for i := range b.events {
		j.handle(&b.events[i])
	}
	for _, t := range j.order {
		j.judgeAnswer(t)
	}
	var out []Verdict
	for _, r := range Rules {
		out = append(out, *j.verdicts[r])
	}
	return out
}

type evaluation struct {
	limits     Limits
	recorder   *Recorder
	requests   map[string]*request
	order      []*request
	operations map[string]*operation
	routers    map[string]*routerState
	hosts      map[*Host]*hostState
	verdicts   map[string]*Verdict
}

// request is one request of a client.
type request struct {
	event
	router      *routerState
	incarnation int           // which life of the router it was asked of
	routerDown  bool          // there was none just then
	endedAt     time.Duration // when the client had its answer, lost it or left; 0 for not yet
	ending      eventKind
	outcome     string
	arrivals    []*event
	rejectedBy  map[*Host]bool
	first       *event // the first arrival that may have run
}

// operation is a task over all its tries.
type operation struct{ runs int }

// routerState is what one router was told since it started.
type routerState struct {
	incarnation    int
	stoppedAt      []time.Duration // when each life ended
	down           bool
	pauses         []interval // made to stand still
	drainingSince  map[uint32]time.Duration
	releases       []announcement
	requests       []arrival
	canaryAttempts []arrival
	startedAt      time.Duration // since when sends on trial are counted afresh
}

type announcement struct {
	at time.Duration
	ReleaseStatus
}

type arrival struct {
	at    time.Duration
	class string
	build int
}

type hostState struct{ arrivals []event }

func (j *evaluation) router(name string) *routerState {
	r := j.routers[name]
	if r == nil {
		r = &routerState{drainingSince: map[uint32]time.Duration{}}
		j.routers[name] = r
	}
	return r
}

// report notes a finding. What happened in from..to decides; if the machine stood still meanwhile it is doubtful.
func (j *evaluation) report(rule string, from, to time.Duration, format string, values ...any) {
	f := Finding{Rule: rule, At: to, Text: fmt.Sprintf(format, values...)}
	v := j.verdicts[rule]
	for _, s := range j.recorder.stalls {
		if s.from <= to+j.limits.TransitTime && s.to >= from {
			f.Doubtful = true
		}
	}
	if f.Doubtful {
		v.Doubtful = append(v.Doubtful, f)
	} else {
		v.Broken = append(v.Broken, f)
	}
}

func (j *evaluation) handle(e *event) {
	t := j.requests[e.requestID]
	switch e.kind {
	case routerStarting:
		r := j.router(e.router)
		*r = routerState{incarnation: r.incarnation, stoppedAt: r.stoppedAt, pauses: r.pauses, drainingSince: map[uint32]time.Duration{}, startedAt: e.at}
	case routerStopping:
		r := j.router(e.router)
		r.incarnation, r.down = r.incarnation+1, true
		r.stoppedAt = append(r.stoppedAt, e.at)
	case requestSent:
		r := j.router(e.router)
		t = &request{event: *e, router: r, incarnation: r.incarnation, routerDown: r.down, rejectedBy: map[*Host]bool{}}
		j.requests[e.requestID] = t
		j.order = append(j.order, t)
		if j.operations[e.operationID] == nil {
			j.operations[e.operationID] = &operation{}
		}
		r.requests = append(r.requests, arrival{at: e.at, class: e.class})
	case responseReceived, connectionLost, clientLeft, connectFailed:
		if t != nil && t.endedAt == 0 {
			t.endedAt, t.ending, t.outcome = e.at, e.kind, e.outcome
			j.judgeRejection(t, e)
		} else if t != nil && e.kind == responseReceived {
			j.report("answer", t.endedAt, e.at, "task %s had a second answer", e.requestID)
		}
	case endpointsAcknowledged:
		r := j.router(e.router)
		for id, s := range e.states {
			if s == policy.Serving {
				delete(r.drainingSince, id)
			} else if _, known := r.drainingSince[id]; !known {
				r.drainingSince[id] = e.at
			}
		}
	case routerPaused:
		r := j.router(e.router)
		r.pauses = append(r.pauses, interval{e.at, e.at + e.timeout})
	case releaseAnnounced:
		r := j.router(e.router)
		r.releases = append(r.releases, announcement{e.at, e.release})
	case attemptRejected:
		if t != nil {
			t.rejectedBy[e.host] = true
		}
	case effectRan:
		if t != nil {
			j.judgeEffect(t, e)
		}
	case attemptArrived:
		j.judgeAttempt(t, e)
	}
}

// judgeAnswer judges a try that had no answer in time, of a router that went on running.
func (j *evaluation) judgeAnswer(t *request) {
	v := j.verdicts["answer"]
	due := t.at + t.timeout + j.limits.AnswerSlack
	for _, s := range t.router.pauses { // one that is not let run can't answer
		if s.from < due && s.to > t.at-j.limits.AnswerSlack {
			due += s.to - s.from
		}
	}
	if t.routerDown || t.ending == connectFailed || len(t.router.stoppedAt) > t.incarnation && t.router.stoppedAt[t.incarnation] <= due {
		return // its router ended; what it held is no longer its duty
	}
	end := j.recorder.events[len(j.recorder.events)-1].at
	switch v.Checked++; {
	case t.ending == responseReceived && t.endedAt > due:
		j.report("answer", t.at, t.endedAt, "task %s was answered %v after its client's patience", t.requestID, t.endedAt-due)
	case t.endedAt == 0 && end > due:
		j.report("answer", t.at, due, "task %s was never answered", t.requestID)
	case t.ending == connectionLost && t.endedAt != 0:
		j.report("answer", t.at, t.endedAt, "the connection of task %s ended with no answer", t.requestID)
	case t.ending == clientLeft && t.endedAt > due:
		j.report("answer", t.at, t.endedAt, "task %s was not answered before its client left", t.requestID)
	}
}

// judgeRejection judges a turn-back: it says that trying again is harmless.
func (j *evaluation) judgeRejection(t *request, e *event) {
	c := j.limits.Classes[t.class]
	if e.outcome != "turned-back" || c.Idempotency == policy.Idempotent || c.Idempotency == policy.IdempotentWithKey && c.DedupScope == policy.FleetScope {
		return
	}
	j.verdicts["effect"].Checked++
	for _, a := range t.arrivals {
		if !t.rejectedBy[a.host] {
			j.report("effect", a.at, e.at, "%s task %s was turned back though host %d may have run it", t.class, t.requestID, a.host.ID)
			return
		}
	}
}

// judgeEffect judges that no effect takes place twice.
func (j *evaluation) judgeEffect(t *request, e *event) {
	c, l := j.limits.Classes[t.class], j.operations[t.operationID]
	if l.runs++; c.Idempotency != policy.Idempotent {
		if j.verdicts["effect"].Checked++; l.runs > 1 {
			j.report("effect", e.at, e.at, "%s task %s had its effect %d times", t.class, t.operationID, l.runs)
		}
	}
}

func (j *evaluation) judgeAttempt(t *request, e *event) {
	r := j.router(e.router)
	if t != nil {
		j.judgeFurtherAttempt(t, e)
		if v := j.verdicts["answer"]; t.endedAt != 0 && e.at > t.endedAt+j.limits.TransitTime && t.ending == responseReceived {
			j.report("answer", t.endedAt, e.at, "host %d was sent task %s %v after its answer", e.host.ID, t.requestID, e.at-t.endedAt)
		} else {
			v.Checked++
		}
	}
	j.judgeDrain(r, e)
	j.judgeCold(e)
	j.judgeExposure(r, e)
}

// judgeFurtherAttempt judges a further send of a task that may have run.
func (j *evaluation) judgeFurtherAttempt(t *request, e *event) {
	c := j.limits.Classes[t.class]
	defer func() { t.arrivals = append(t.arrivals, e) }()
	if c.Idempotency == policy.Idempotent {
		return
	}
	var first *event
	for _, a := range t.arrivals {
		if !t.rejectedBy[a.host] {
			first = a
			break
		}
	}
	j.verdicts["effect"].Checked++
	switch {
	case first == nil:
	case c.Idempotency == policy.NonIdempotent:
		j.report("effect", first.at, e.at, "binding task %s was sent to host %d after host %d may have run it", t.requestID,
			e.host.ID, first.host.ID)
	case c.DedupScope == policy.ZoneScope && e.host.Zone != first.host.Zone,
		c.DedupScope == policy.CellScope && e.host.Cell != first.host.Cell:
		j.report("effect", first.at, e.at, "task %s was sent outside the group of host %d", t.requestID, first.host.ID)
	case e.at-first.at > c.DedupWindow+j.limits.TransitTime:
		j.report("effect", first.at, e.at, "task %s was sent %v after host %d may have run it", t.requestID, e.at-first.at, first.host.ID)
	}
}

// judgeDrain judges a send to a host that the router was told is draining or gone.
func (j *evaluation) judgeDrain(r *routerState, e *event) {
	j.verdicts["drain"].Checked++
	at, drains := r.drainingSince[e.host.ID]
	if by := at + j.limits.DrainGrace + j.limits.TransitTime; drains && e.at > by {
		j.report("drain", at, e.at, "router %s sent to host %d %v after it was told that it drains", e.router, e.host.ID, e.at-at)
	}
}

// judgeCold judges what a cold host is sent by all routers together, over every window that ends with an arrival.
func (j *evaluation) judgeCold(e *event) {
	h := e.host
	if h.StartedAt == 0 || e.at > h.StartedAt+h.WarmUp || h.Capacity == nil {
		return
	}
	l := j.hosts[h]
	if l == nil {
		l = &hostState{}
		j.hosts[h] = l
	}
	l.arrivals = append(l.arrivals, *e)
	from := e.at - j.limits.ColdOverloadWindow + j.limits.TransitTime // as arrivals are bunched on the way
	sum, most := 0.0, 0.0
	for _, a := range l.arrivals {
		if a.at > from {
			sum += a.work
			most = max(most, a.work)
		}
	}
	// Its capacity grows: the window's least is the strictest reading, and one task more is a matter of chance.
	budget := j.limits.ColdOverloadFactor * h.Capacity(max(from, h.StartedAt)) * j.limits.ColdOverloadWindow.Seconds()
	j.verdicts["cold"].MaxShare = max(j.verdicts["cold"].MaxShare, sum/(budget+most))
	if j.verdicts["cold"].Checked++; sum > budget+most {
		j.report("cold", max(from, h.StartedAt), e.at, "cold host %d was sent %.2f s of work in %v, %.2f s allowed", h.ID, sum, j.limits.ColdOverloadWindow, budget)
	}
}

// judgeExposure judges a send at a build on trial against what the router was told and took.
func (j *evaluation) judgeExposure(r *routerState, e *event) {
	build, f := e.host.Build, j.limits
	// A router that was told nothing can't know what is on trial; what it sent then may arrive a little after its first news.
	if len(r.releases) == 0 || e.at <= r.releases[0].at+f.TransitTime {
		return
	}
	onTrial, stage, limit := false, math.MaxInt, 0.0
	now := r.releases[len(r.releases)-1]
	if build < now.Build || build == now.Build && now.Released {
		// It may have been on trial a moment ago for the router, which is no looser.
		return
	}
	// The loosest of what it may still go by: what it was told last, and what bound within the grace before.
	for i := len(r.releases) - 1; i >= 0; i-- {
		n := r.releases[i]
		on, s, c := n.exposureOf(build, f.FirstStageCap)
		onTrial = onTrial || on
		if !on {
			limit, stage = 1, math.MaxInt-1
		}
		limit = max(limit, c)
		if on && (stage == math.MaxInt || s > stage) {
			stage = s
		}
		if n.at < e.at-f.DrainGrace-f.TransitTime {
			break
		}
	}
	if !onTrial {
		return
	}
	v := j.verdicts["exposure"]
	v.Checked++
	r.canaryAttempts = append(r.canaryAttempts, arrival{e.at, e.class, build})
	if c := f.Classes[e.class]; c.Idempotency != policy.Idempotent && stage < f.GuardedStages {
		j.report("exposure", e.at-f.DrainGrace, e.at, "router %s sent a %s task to build %d in guarded stage %d", e.router, e.class, build, stage)
		return
	}
	from := max(r.startedAt, e.at-f.ExposureWindow+f.TransitTime) // as arrivals are bunched on the way
	sends := count(r.canaryAttempts, from, e, build, f.ExposurePerClass)
	taken := count(r.requests, e.at-f.ExposureWindow-f.TransitTime, e, 0, f.ExposurePerClass)
	if allowed := f.ExposureAllowance + limit*taken; sends > allowed+0.5 {
		j.report("exposure", from, e.at, "router %s sent %.0f tasks to build %d in %v, %.1f allowed (cap %.1f%%, %.0f taken)", e.router,
			sends, build, f.ExposureWindow, allowed, 100*limit, taken)
	}
}

// exposureOf is what a router that was told n goes by for a build.
func (n ReleaseStatus) exposureOf(build int, first float64) (onTrial bool, stage int, limit float64) {
	switch {
	case build < n.Build || build == n.Build && n.Released:
		return false, 0, 1
	case build > n.Build:
		return true, 0, first
	}
	return true, n.Stage, n.ExposureCap
}

func count(all []arrival, from time.Duration, e *event, build int, byCategory bool) (n float64) {
	for i := len(all) - 1; i >= 0 && all[i].at > from; i-- {
		if m := all[i]; (build == 0 || m.build == build) && (!byCategory || m.class == e.class) {
			n++
		}
	}
	return n
}
