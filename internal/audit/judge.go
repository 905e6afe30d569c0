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
	Most     float64   `json:"Most"` // of cold: the largest share of a budget that was used
}

// Kept tells whether the rule was surely kept.
func (v Verdict) Kept() bool { return len(v.Broken)+len(v.Doubtful) == 0 }

// Judge reads the book. It must be closed.
func (b *Book) Judge(f Figures) []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	slices.SortStableFunc(b.events, func(x, y event) int { return cmp.Compare(x.at, y.at) })
	j := &judge{figures: f, book: b, tries: map[string]*try{}, routers: map[string]*routerLife{},
		verdicts: map[string]*Verdict{}, hosts: map[*Host]*hostLife{}, logicals: map[string]*logical{}}
	for _, r := range Rules {
		j.verdicts[r] = &Verdict{Rule: r}
	}
	for i := range b.events {
		j.see(&b.events[i])
	}
	for _, t := range j.order {
		j.overdue(t)
	}
	var out []Verdict
	for _, r := range Rules {
		out = append(out, *j.verdicts[r])
	}
	return out
}

type judge struct {
	figures  Figures
	book     *Book
	tries    map[string]*try
	order    []*try
	logicals map[string]*logical
	routers  map[string]*routerLife
	hosts    map[*Host]*hostLife
	verdicts map[string]*Verdict
}

// try is one request of a client.
type try struct {
	event
	life     *routerLife
	lived    int           // which life of the router it was asked of
	down     bool          // there was none just then
	over     time.Duration // when the client had its answer, lost it or left; 0 for not yet
	how      kind
	outcome  string
	arrivals []*event
	unseen   map[*Host]bool
	first    *event // the first arrival that may have run
}

// logical is a task over all its tries.
type logical struct{ runs int }

// routerLife is what one router was told since it started.
type routerLife struct {
	lives  int
	ended  []time.Duration // when each life ended
	down   bool
	stood  []span // made to stand still
	drains map[uint32]time.Duration
	news   []toldAt
	asked  []moment
	trial  []moment
	fresh  time.Duration // since when sends on trial are counted afresh
}

type toldAt struct {
	at time.Duration
	News
}

type moment struct {
	at       time.Duration
	category string
	build    int
}

type hostLife struct{ arrivals []event }

func (j *judge) router(name string) *routerLife {
	r := j.routers[name]
	if r == nil {
		r = &routerLife{drains: map[uint32]time.Duration{}}
		j.routers[name] = r
	}
	return r
}

// find notes a finding. What happened in from..to decides; if the machine stood still meanwhile it is doubtful.
func (j *judge) find(rule string, from, to time.Duration, format string, values ...any) {
	f := Finding{Rule: rule, At: to, Text: fmt.Sprintf(format, values...)}
	v := j.verdicts[rule]
	for _, s := range j.book.stalls {
		if s.from <= to+j.figures.Way && s.to >= from {
			f.Doubtful = true
		}
	}
	if f.Doubtful {
		v.Doubtful = append(v.Doubtful, f)
	} else {
		v.Broken = append(v.Broken, f)
	}
}

func (j *judge) see(e *event) {
	t := j.tries[e.task]
	switch e.kind {
	case routerUp:
		r := j.router(e.router)
		*r = routerLife{lives: r.lives, ended: r.ended, stood: r.stood, drains: map[uint32]time.Duration{}, fresh: e.at}
	case routerDown:
		r := j.router(e.router)
		r.lives, r.down = r.lives+1, true
		r.ended = append(r.ended, e.at)
	case asked:
		r := j.router(e.router)
		t = &try{event: *e, life: r, lived: r.lives, down: r.down, unseen: map[*Host]bool{}}
		j.tries[e.task] = t
		j.order = append(j.order, t)
		if j.logicals[e.logical] == nil {
			j.logicals[e.logical] = &logical{}
		}
		r.asked = append(r.asked, moment{at: e.at, category: e.category})
	case answered, lost, left, unreached:
		if t != nil && t.over == 0 {
			t.over, t.how, t.outcome = e.at, e.kind, e.outcome
			j.turnedBack(t, e)
		} else if t != nil && e.kind == answered {
			j.find("answer", t.over, e.at, "task %s had a second answer", e.task)
		}
	case listed:
		r := j.router(e.router)
		for id, s := range e.standing {
			if s == policy.Serving {
				delete(r.drains, id)
			} else if _, known := r.drains[id]; !known {
				r.drains[id] = e.at
			}
		}
	case stood:
		r := j.router(e.router)
		r.stood = append(r.stood, span{e.at, e.at + e.patience})
	case told:
		r := j.router(e.router)
		r.news = append(r.news, toldAt{e.at, e.news})
	case unseen:
		if t != nil {
			t.unseen[e.host] = true
		}
	case ran:
		if t != nil {
			j.effect(t, e)
		}
	case arrived:
		j.arrived(t, e)
	}
}

// overdue judges a try that had no answer in time, of a router that went on running.
func (j *judge) overdue(t *try) {
	v := j.verdicts["answer"]
	due := t.at + t.patience + j.figures.Slack
	for _, s := range t.life.stood { // one that is not let run can't answer
		if s.from < due && s.to > t.at-j.figures.Slack {
			due += s.to - s.from
		}
	}
	if t.down || t.how == unreached || len(t.life.ended) > t.lived && t.life.ended[t.lived] <= due {
		return // its router ended; what it held is no longer its duty
	}
	end := j.book.events[len(j.book.events)-1].at
	switch v.Checked++; {
	case t.how == answered && t.over > due:
		j.find("answer", t.at, t.over, "task %s was answered %v after its client's patience", t.task, t.over-due)
	case t.over == 0 && end > due:
		j.find("answer", t.at, due, "task %s was never answered", t.task)
	case t.how == lost && t.over != 0:
		j.find("answer", t.at, t.over, "the connection of task %s ended with no answer", t.task)
	case t.how == left && t.over > due:
		j.find("answer", t.at, t.over, "task %s was not answered before its client left", t.task)
	}
}

// turnedBack judges a turn-back: it says that trying again is harmless.
func (j *judge) turnedBack(t *try, e *event) {
	c := j.figures.Categories[t.category]
	if e.outcome != "turned-back" || c.Repeat == policy.Idempotent || c.Repeat == policy.IdempotentWithKey && c.Group == policy.FleetScope {
		return
	}
	j.verdicts["effect"].Checked++
	for _, a := range t.arrivals {
		if !t.unseen[a.host] {
			j.find("effect", a.at, e.at, "%s task %s was turned back though host %d may have run it", t.category, t.task, a.host.ID)
			return
		}
	}
}

// effect judges that no effect takes place twice.
func (j *judge) effect(t *try, e *event) {
	c, l := j.figures.Categories[t.category], j.logicals[t.logical]
	if l.runs++; c.Repeat != policy.Idempotent {
		if j.verdicts["effect"].Checked++; l.runs > 1 {
			j.find("effect", e.at, e.at, "%s task %s had its effect %d times", t.category, t.logical, l.runs)
		}
	}
}

func (j *judge) arrived(t *try, e *event) {
	r := j.router(e.router)
	if t != nil {
		j.again(t, e)
		if v := j.verdicts["answer"]; t.over != 0 && e.at > t.over+j.figures.Way && t.how == answered {
			j.find("answer", t.over, e.at, "host %d was sent task %s %v after its answer", e.host.ID, t.task, e.at-t.over)
		} else {
			v.Checked++
		}
	}
	j.drain(r, e)
	j.cold(e)
	j.exposure(r, e)
}

// again judges a further send of a task that may have run.
func (j *judge) again(t *try, e *event) {
	c := j.figures.Categories[t.category]
	defer func() { t.arrivals = append(t.arrivals, e) }()
	if c.Repeat == policy.Idempotent {
		return
	}
	var first *event
	for _, a := range t.arrivals {
		if !t.unseen[a.host] {
			first = a
			break
		}
	}
	j.verdicts["effect"].Checked++
	switch {
	case first == nil:
	case c.Repeat == policy.NonIdempotent:
		j.find("effect", first.at, e.at, "binding task %s was sent to host %d after host %d may have run it", t.task,
			e.host.ID, first.host.ID)
	case c.Group == policy.ZoneScope && e.host.Location != first.host.Location,
		c.Group == policy.CellScope && e.host.Cell != first.host.Cell:
		j.find("effect", first.at, e.at, "task %s was sent outside the group of host %d", t.task, first.host.ID)
	case e.at-first.at > c.Memory+j.figures.Way:
		j.find("effect", first.at, e.at, "task %s was sent %v after host %d may have run it", t.task, e.at-first.at, first.host.ID)
	}
}

// drain judges a send to a host that the router was told is draining or gone.
func (j *judge) drain(r *routerLife, e *event) {
	j.verdicts["drain"].Checked++
	at, drains := r.drains[e.host.ID]
	if by := at + j.figures.Grace + j.figures.Way; drains && e.at > by {
		j.find("drain", at, e.at, "router %s sent to host %d %v after it was told that it drains", e.router, e.host.ID, e.at-at)
	}
}

// cold judges what a cold host is sent by all routers together, over every window that ends with an arrival.
func (j *judge) cold(e *event) {
	h := e.host
	if h.Up == 0 || e.at > h.Up+h.Cold || h.Capacity == nil {
		return
	}
	l := j.hosts[h]
	if l == nil {
		l = &hostLife{}
		j.hosts[h] = l
	}
	l.arrivals = append(l.arrivals, *e)
	from := e.at - j.figures.TipFor + j.figures.Way // as arrivals are bunched on the way
	sum, most := 0.0, 0.0
	for _, a := range l.arrivals {
		if a.at > from {
			sum += a.work
			most = max(most, a.work)
		}
	}
	// Its capacity grows: the window's least is the strictest reading, and one task more is a matter of chance.
	budget := j.figures.Tip * h.Capacity(max(from, h.Up)) * j.figures.TipFor.Seconds()
	j.verdicts["cold"].Most = max(j.verdicts["cold"].Most, sum/(budget+most))
	if j.verdicts["cold"].Checked++; sum > budget+most {
		j.find("cold", max(from, h.Up), e.at, "cold host %d was sent %.2f s of work in %v, %.2f s allowed", h.ID, sum, j.figures.TipFor, budget)
	}
}

// exposure judges a send at a build on trial against what the router was told and took.
func (j *judge) exposure(r *routerLife, e *event) {
	build, f := e.host.Build, j.figures
	// A router that was told nothing can't know what is on trial; what it sent then may arrive a little after its first news.
	if len(r.news) == 0 || e.at <= r.news[0].at+f.Way {
		return
	}
	onTrial, stage, limit := false, math.MaxInt, 0.0
	now := r.news[len(r.news)-1]
	if build < now.Build || build == now.Build && now.Released {
		// It may have been on trial a moment ago for the router, which is no looser.
		return
	}
	// The loosest of what it may still go by: what it was told last, and what bound within the grace before.
	for i := len(r.news) - 1; i >= 0; i-- {
		n := r.news[i]
		on, s, c := n.of(build, f.FirstCap)
		onTrial = onTrial || on
		if !on {
			limit, stage = 1, math.MaxInt-1
		}
		limit = max(limit, c)
		if on && (stage == math.MaxInt || s > stage) {
			stage = s
		}
		if n.at < e.at-f.Grace-f.Way {
			break
		}
	}
	if !onTrial {
		return
	}
	v := j.verdicts["exposure"]
	v.Checked++
	r.trial = append(r.trial, moment{e.at, e.category, build})
	if c := f.Categories[e.category]; c.Repeat != policy.Idempotent && stage < f.Guarded {
		j.find("exposure", e.at-f.Grace, e.at, "router %s sent a %s task to build %d in guarded stage %d", e.router, e.category, build, stage)
		return
	}
	from := max(r.fresh, e.at-f.Window+f.Way) // as arrivals are bunched on the way
	sends := count(r.trial, from, e, build, f.ByCategory)
	taken := count(r.asked, e.at-f.Window-f.Way, e, 0, f.ByCategory)
	if allowed := f.Free + limit*taken; sends > allowed+0.5 {
		j.find("exposure", from, e.at, "router %s sent %.0f tasks to build %d in %v, %.1f allowed (cap %.1f%%, %.0f taken)", e.router,
			sends, build, f.Window, allowed, 100*limit, taken)
	}
}

// of is what a router that was told n goes by for a build.
func (n News) of(build int, first float64) (onTrial bool, stage int, limit float64) {
	switch {
	case build < n.Build || build == n.Build && n.Released:
		return false, 0, 1
	case build > n.Build:
		return true, 0, first
	}
	return true, n.Stage, n.Cap
}

func count(all []moment, from time.Duration, e *event, build int, byCategory bool) (n float64) {
	for i := len(all) - 1; i >= 0 && all[i].at > from; i-- {
		if m := all[i]; (build == 0 || m.build == build) && (!byCategory || m.category == e.category) {
			n++
		}
	}
	return n
}
