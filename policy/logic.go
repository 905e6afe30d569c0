// All decisions, tables and tuned values of dapplefront. Make a Router with NewRouter, then tell it what
// happens (Listed, Take, Ended, Left, Due, Told, Counted, Complained, Heard), each with the clock; it answers
// through its Hands before the call returns. The interface, nouns and all, is in types.go; docs/design.md
// says why.
package policy

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// NewRouter starts a router that knows nothing but its place.
func NewRouter(now Time, p Config, hands Effects) *Router {
	r := &Router{effects: hands, seed: p.Seed, now: now, born: now, routers: max(1, p.Routers), rank: p.Rank,
		location: p.Zone, cats: p.Classes, limits: p.Limits, desk: p.Release, kept: map[string]int{},
		blames: map[int]int{}, unsaid: map[int]int{}, crowd: 0.3} // a fleet neither idle nor full, until known
	for _, c := range r.cats {
		c.mid = max(1, c.LatencyObjective/5) // until something is known
	}
	if hands.SetTimer(judgeEvery, &Timer{}); !p.Limits.PushedDiscovery { // many that start at once don't ask as one
		hands.SetTimer(Time(r.chance(int(min(2*Second, Time(r.routers-1)*Second/10))+1)), &Timer{list: true})
	}
	return r
}

// TimerFired rings an alarm: of a send that takes long, of the list, or of the regular look at the build on trial.
func (r *Router) TimerFired(now Time, a *Timer) {
	r.now = now
	switch {
	case a.list:
		r.asked = now
		r.effects.WatchEndpoints()
	case a.attempt == nil:
		r.crowding(40, 6, 0.02, 1.5) // few sends make no line, and one very long task says little
		r.review()
		r.gossip()
		r.scout()
		r.judge()
		r.effects.SetTimer(judgeEvery, a)
	case a.attempt.outcome == Pending && !a.attempt.began:
		r.step(a.attempt.Request, lingers)
	}
}

// ---- The host list ----

// EndpointsChanged takes in changes to the host list; ok is false when a call for it failed, or a watch that stood. The
// latter is asked for anew soon, inside the time after which what it misses counts as told; a call far slower
// and spread out, as a service with more callers than it can take answers none in time.
func (r *Router) EndpointsChanged(now Time, changes []EndpointUpdate, ok bool) {
	r.now = now
	if !ok {
		r.lost = max(r.lost, map[bool]int{true: 1}[now-r.asked < 3*Second]) // a call ends by then, a watch goes on
		wait := min(3*Second/8<<min(2*r.lost, 6), max(r.limits.PollInterval, Second)*2/5)
		r.lost++
		r.effects.SetTimer(wait+Time(r.chance(int(wait)+1)), &Timer{list: true})
		return
	}
	r.lost = 0
	for _, l := range changes {
		r.enter(l)
	}
}

// ---- Builds, exposure and cold hosts ----

// room tells whether one more send of the category at a build on trial keeps the rule on exposure. Sends are
// counted over a little more than the window and tasks over a little less. What an earlier life of this
// router sent is unknown after a start, so nothing goes there until one window has passed.
func (r *Router) room(build int, c *Class) bool {
	const edge = Second / 20 // several ticks of any clock
	on, stage, share := r.trial(build)
	if !on {
		return true
	}
	if share <= 0 || r.now-r.born < r.desk.ExposureWindow+edge || c.Idempotency != Idempotent && stage < r.desk.GuardedStages {
		return false
	}
	if !r.desk.ExposurePerClass {
		c = nil
	}
	tried, taken := since(r.tried, r.now-r.desk.ExposureWindow-edge, c), since(r.taken, r.now-r.desk.ExposureWindow+edge, c)
	return tried+1 <= r.desk.ExposureAllowance+share*taken
}

// mayWarm keeps a cold host from being pushed over by all routers together: each sends its part of what the
// rule allows, by what hosts get now. Where that is below one send, tasks go by chance, so often that all
// routers' sums keep to it however uneven they are: turns by rank left the work of one router in a hundred.
func (r *Router) mayWarm(h *Host) bool {
	const part = 0.5            // of the budget; the rest is for uneven routers, heavy tasks and bursts
	const flowOver = 4 * Second // long enough to even out bursts
	if r.warm(h) {
		return true
	}
	budget := part * r.limits.ColdOverloadFactor * r.strength(h) * float64(r.limits.ColdOverloadWindow) * r.rate(flowOver)
	if since(h.sent, r.now-r.limits.ColdOverloadWindow, nil)+1 > max(1, budget) {
		return false
	}
	due := since(r.taken, r.now-flowOver, nil) * float64(r.limits.ColdOverloadWindow) / float64(flowOver) *
		r.able(h) / max(r.able(h), r.oldAble()) // on trial too, where shares are those of earlier hosts
	return due <= budget || float64(r.chance(1000)) < 1000*budget/due
}

// ---- Choosing a host ----

// held is how many tasks a host seems to have in hand: what it reported, with what was sent since, which
// fades into what hosts hold on average; else this router's own open sends as a share of everyone's. A
// reported rate is no help: it calls all routers at once.
func (r *Router) held(h *Host) float64 {
	const fades = Second // about what it takes a queue to become another
	own := float64(len(h.open))
	if len(r.reports) == 0 && r.counting() {
		return r.laden + own // a router's own few, times their number, would be a host's load now and nothing then
	}
	if len(r.reports) == 0 {
		return own * float64(r.routers)
	}
	usual := mean(r.reports) + own
	if l := h.load; l != nil && l.ActiveRequests >= 0 {
		fresh := math.Exp(-float64(r.now-h.loadAt) / float64(fades))
		return max(own, usual+(l.ActiveRequests+since(h.sent, h.loadAt-1, nil)-usual)*fresh)
	}
	return usual
}

// pick draws two hosts at random among those nearby and two among the rest, and takes the less busy one; a
// far one only if the promised time is so much likelier to be kept there that it is worth half the price: a
// miss costs windows, classes and tails beyond its earnings. Most of a large fleet was heard of long ago, so
// some that reported just now, to this router alone, are drawn too. While many hosts take no connections, as
// after deaths that no list tells or where these are scarce, only links that work are used.
func (r *Router) pick(t *Request, fits func(*Host) bool) (best *Host) {
	const doubt, old = 8, 10 * Second // few sends prove little, and hosts change
	const lately, more = Second, 3    // as long as a report says much; few, lest one host draws all
	const barred, last = 0.2, 20      // of the last sends: more than a few hosts refuse
	here, there := r.parted(func(h *Host) bool { return fits(h) && r.mayGo(t, h) })
	if r.together() {
		here, there = append(here, there...), nil
		r.here = here // so that what it grew to is kept
	}
	busy := func(h *Host) float64 { return r.pace(h, doubt, old) * (1 + r.held(h)) }
	scarce := r.share(last, func(x moment) bool { return x.fate == ConnectFailed }) > barred
	draw := func(from []*Host) (best *Host) {
		known := r.lately(from, r.now-lately)
		try := func(n int, from []*Host) {
			w := r.shares(from)
			for range min(n, len(from)) {
				if h := r.lot(from, w, best == nil); best == nil || busy(h) < busy(best) {
					best = h
				}
			}
		}
		if !scarce || len(known) == 0 {
			try(2, from)
		}
		if scarce || len(r.reports) > 0 && 2*len(known) < len(from) {
			try(more, known)
		}
		return best
	}
	a, b := draw(here), draw(there)
	if a != nil && r.spreads() {
		return a // the way is poor: what may be lost there costs more than a wait
	}
	price := r.limits.CrossZonePrice * float64(25+r.chance(50)) / 100 // in a band, lest all cross at once
	if a != nil && b != nil && r.crosses() && r.misses(t, far)-r.misses(t, near) <= price {
		return b // as planned, as it is not much worse
	}
	if a == nil || b != nil && r.misses(t, near)-r.misses(t, far) > price {
		return b
	}
	return a
}

// spreads tells that crossing costs less than an uneven split of traffic or hosts over locations does,
// which a router with little traffic can't see.
func (r *Router) spreads() bool {
	const cheap = 0.015 // points of service: near sends alone lost five times that
	return r.limits.CrossZonePrice <= cheap
}

// together tells that hosts are drawn wherever they stand. Not while the way there is poor: of the last sends
// there far more failed or dragged than of those nearby.
func (r *Router) together() bool {
	const few, gap = 1.5, 0.3
	if !r.spreads() {
		return false
	}
	there, here := r.way(), r.ways[near].as(r.now)
	poor := there.bad >= few && there.bad/there.n >= here.bad/max(1, here.n)+gap
	// What fades is no good news: where probes tell, the way stays shut until something came through.
	r.shut = poor || r.shut && r.limits.HealthChecks && there.n-there.bad < few/2
	return !r.shut
}

// lot draws a host by the shares that are due, or the first of a draw by the parts of a plan that holds. The
// other stays drawn so, that a plan that has become wrong is corrected by how busy the two are.
func (r *Router) lot(from []*Host, due []float64, first bool) *Host {
	if first && r.now < r.course.Until && slices.ContainsFunc(from, func(h *Host) bool { return h.part > 0 }) {
		due = r.parts(from)
	}
	return r.drawBy(from, due)
}

// shares are what hosts are due, until it is asked for again: by what they can do, as the list hints at it
// and as they warm. Most routers meet a host too seldom to learn its speed: what peers tell of it counts
// here, where it moves shares, and not between two drawn, or all routers would take the same one at once.
func (r *Router) shares(from []*Host) []float64 {
	const doubt = 4 // usual sends
	r.weights = r.weights[:0]
	for _, h := range from {
		w := h.rumour(r.now, firsthand, passedOn)
		r.weights = append(r.weights, r.able(h)/max(1, (doubt+w.pace)/(doubt+w.n)))
	}
	return r.weights
}

// crosses draws whether a task starts far away, as a plan that holds has it.
func (r *Router) crosses() bool {
	return r.now < r.course.Until && r.course.Cross > 0 && float64(r.chance(1<<20)) < r.course.Cross*(1<<20)
}

// mayGo keeps repeats among the hosts that drop them, and off hosts that the task has already tried.
func (r *Router) mayGo(t *Request, h *Host) bool {
	const edge = Second / 20 // of a group's memory: the way to the host counts too
	if slices.ContainsFunc(t.Attempts, func(s *Attempt) bool { return s.Host == h }) || !r.mayWarm(h) ||
		h.health == shunned && r.now < h.until {
		return false
	}
	x, c := t.risky, t.Class
	switch {
	case x == nil || c.Idempotency == Idempotent:
		return true
	case c.Idempotency == NonIdempotent || r.now-x.at > c.DedupWindow-edge:
		return false
	}
	here := h.Zone == x.Host.Zone && (c.DedupScope == ZoneScope || h.Cell == x.Host.Cell)
	return here || c.DedupScope == FleetScope
}

// earlier picks a host for the ordinary way: of the newest build that is not on trial, else of an older one,
// else whatever the rule on exposure allows. Keys stay with the build that answered them where that is told.
func (r *Router) earlier(t *Request) *Host {
	sticks, m := 0, r.standing()
	if t.Key != "" && r.desk.StickyKeys && (r.news.Phase == Canary || r.news.Phase == Released) {
		sticks = r.kept[t.Key]
	}
	level, newest := 0, m.newest
	if 3*m.latest < m.all {
		level = 1 // too few to carry all, as when a list that is down has not told of the rest
	}
	for ; level < 3; level++ {
		if h := r.pick(t, func(h *Host) bool {
			return h.Build >= sticks && (level == 2 && r.room(h.Build, t.Class) ||
				level < 2 && r.old(h) && h.health != sick && (level == 1 || h.Build == newest))
		}); h != nil {
			return h
		}
	}
	return nil
}

// probation picks a sick host whose turn for a trickle has come; only repeatable tasks go there. Where peers
// tell what they meet, the trickle is that of all routers, or hundreds of them would keep a sick host busy.
func (r *Router) probation(t *Request) *Host {
	const wait, all = Second, 4.0 // slow enough to cost little, fast enough to find a recovery; of all, in it
	few := all * float64(r.standing().sick) / float64(r.routers)
	if r.standing().sick == 0 || r.limits.MaxGossipBytes > 0 &&
		float64(r.chance(1000)) >= 1000*few/max(1, since(r.taken, r.now-wait, nil)) {
		r.drawn++ // as pick does for whatever it finds
		return nil
	}
	return r.pick(t, func(h *Host) bool {
		return h.health == sick && t.Class.Idempotency == Idempotent && r.old(h) &&
			len(h.open) == 0 && since(h.sent, r.now-wait, nil) == 0
	})
}

// onTrial picks a host for a copy, or nil where one is not allowed or not wanted. A host on trial is given
// what one of the earlier build gets, by what it can do: one that fails under load must do so before the
// release, and what a good build serves early is worth its delay. Categories with an effect follow after
// the first stages, a few until they have been judged, and then all whose likely harm costs less than the
// delay of the rest.
func (r *Router) onTrial(t *Request) *Host {
	const taste = 0.25                          // of what earlier hosts get, effects not yet judged
	const cleared, guilty, fails = 0.1, 10, 0.3 // odds; what a bad build fails of a category, more or less
	const lately, least, all = 2 * Second, 2, 8 // a while, copies in it of each router at the least, and of all
	n, c := r.news, t.Class
	alone := r.ballot.voice == Rollback && r.desk.RollbackQuorum <= 1 // others may not agree, and more copies change a mind
	if !r.heard || n.Phase != Canary || alone || r.resting() || !r.room(n.Build, c) {
		return nil
	}
	both := r.together()
	by := func(h *Host) bool { return both || r.side(h) == near }
	here := func(h *Host) bool { return r.runs(h) && by(h) }
	on := here
	if well := func(h *Host) bool { return here(h) && h.health != sick }; r.counting() && r.count(well) > 0 {
		on = well // the desk tells no host from a build: a sick one's failures would be the build's
	}
	// Where others cross, those nearby alone say little of what a host gets.
	peer := func(h *Host) bool { return r.old(h) && (by(h) || r.spreads()) }
	each := since(r.taken, r.now-lately, nil) / max(1, r.allAble(peer))
	due := max(min(least, all/float64(r.routers)), each*r.allAble(on))
	if c.Idempotency != Idempotent && r.desk.HarmPrice*fails*c.odds >= r.desk.DelayPrice {
		if c.odds < cleared || c.odds > guilty || float64(r.chance(1000)) >= 1000*taste {
			return nil
		}
	}
	if due >= least {
		due -= since(r.tried, r.now-lately, nil) + 1
	} else { // less than a router can count: by chance, lest all of them send at once
		due = due/max(1, since(r.taken, r.now-lately, nil)) - float64(r.chance(1000))/1000
	}
	if due < 0 || c.Idempotency != Idempotent && n.Stage == 0 {
		return nil
	}
	most := r.holds() + 1                 // tasks: a line that copies make is no build's fault
	return r.pick(t, func(h *Host) bool { // a sick one is judged too, but not at the cost of an effect
		return on(h) && (h.health != sick || c.Idempotency == Idempotent) && r.held(h) <= most &&
			since(h.sent, r.now-lately, nil) < max(1, each*r.able(h)) // not what others are too cold for
	})
}

// ---- Tasks ----

// tasks says what follows for a task. One that can go nowhere is settled at once.
var tasks = []taskRow{
	{clean, arrives, clean, (*Router).place},
	{clean, neverRan, clean, (*Router).again},
	{clean, mayHaveRun, risky, (*Router).again},
	{clean, lingers, clean, (*Router).hedge},
	{clean, ends, over, (*Router).rest},
	{risky, neverRan, risky, (*Router).again},
	{risky, mayHaveRun, risky, (*Router).again},
	{risky, lingers, risky, (*Router).hedge},
	{risky, ends, over, (*Router).rest},
}

// place sends a new task on its ordinary way: to the earlier build, with a copy or a lone copy on trial.
func (r *Router) place(t *Request) {
	h := r.onTrial(t)
	if h != nil && t.Class.Idempotency == Idempotent && r.limits.AllowHedging {
		if first := r.earlier(t); first != nil && r.old(first) { // else both would go to the build on trial
			r.send(t, first, original)
		}
		r.send(t, h, copied)
		return
	}
	if h == nil {
		h = r.probation(t)
	}
	if h != nil {
		r.send(t, h, lone)
		return
	}
	if h = r.earlier(t); h == nil || r.tooLate(t, h) {
		r.settle(t)
		return
	}
	r.send(t, h, original)
}

// jam is how often longer than usual the hosts nearby or the rest take to answer: what is out at those that
// work, by the rate at which work was answered. As what is out drains it falls, and hosts are never left
// idle. One of many routers has little out, by chance more or less: it takes the mean of the time in which
// so many tasks are answered, and counts answers over longer. Nor can it see a host hang: where some answer
// nothing, while what others answer comes in time, there is no jam.
func (r *Router) jam(side int) float64 {
	const few, blink = 10, Second                          // answers to take the mean over, at the longest
	const luck, lag = 0.5, 3.0                             // spreads over its due; times as slow as answers are
	const short, long, enough = 2 * Second, 8 * Second, 20 // to count answers over
	work, span, strain := r.answered(side, short, long, enough/4, enough)
	rest := max(0, 1-4/float64(r.routers)) // each of up to four sees enough of all sends at each moment
	out, hosts := r.out(side, Time(rest*float64(min(blink, few*r.gap(few)))))
	if out -= luck * math.Sqrt(out*rest); out*float64(r.routers) <= hosts {
		return 0
	}
	if rest == 0 {
		strain = math.Inf(1)
	}
	return min(out*float64(span)/work, lag*strain)
}

// tooLate turns a task back early when the hosts around the one chosen would answer it too late. The less a
// task earns for its time, the sooner, and sooner yet beyond its customer's share.
func (r *Router) tooLate(t *Request, h *Host) bool {
	const high, low, beyond = 1.0, 0.8, 0.5 // of the promised time: the tail is longer than the mean
	const last, firm, least = 30, 1.0, 0.4  // of the last answers: as many as come late, the sooner
	const begin, end = 0.4, 0.8             // of the limit: what all know alike not all must do at once
	limit, better := high, 0
	for _, c := range r.cats {
		if c.PriorityWeight*float64(t.Class.mid) > t.Class.PriorityWeight*float64(c.mid) {
			better++
		}
	}
	if 2*better >= len(r.cats) {
		limit = low
	}
	if c := t.Tenant; c != nil && since(c.taken, r.now-2*Second, nil) > 2.4*c.QuotaPerSecond/float64(r.routers) {
		limit *= beyond
	}
	limit *= max(least, 1-firm*r.lateOf(t.Class, last))
	limit *= float64(min(t.Class.LatencyObjective, t.Timeout))
	if r.limits.MaxGossipBytes == 0 {
		return r.jam(r.side(h))*float64(t.Class.mid) > limit
	}
	took := r.rushed(t.Class) * float64(t.Class.mid)
	return float64(r.chance(1000)) < 1000*(took/limit-begin)/(end-begin)
}

// rushed is the jam of one category, as this router and its peers see it together: one alone of hundreds
// holds a send or none, and a category that waits by itself at all hosts is no jam of the others.
func (r *Router) rushed(c *Class) float64 {
	const few, luck, lag = 10, 0.5, 3.0 // usual answers to lean on; as in a jam seen alone
	out, hosts := 0.0, float64(r.standing().well[near]+r.standing().well[far])
	r.waits()
	for _, x := range r.cats {
		out += float64(x.out) + x.told.as(r.now).out
	}
	if out*float64(r.routers)/(1+r.voices*fade(r.now-r.heardAt)) <= hosts {
		return 0
	}
	own, told, lean := c.seen.as(r.now), c.told.as(r.now), few*float64(c.mid)
	work, took := own.work+told.work+lean, own.took+told.took+lean
	out = float64(c.out) + told.out
	out = max(0, out-luck*math.Sqrt(out))
	return min((out*float64(fading)+lean)/work, lag*took/work)
}

func (r *Router) send(t *Request, h *Host, how role) {
	s := r.enlist(t, h, how)
	within, slowest := t.at+t.Timeout-r.now, t.Class.LatencyObjective/2
	if len(t.Class.took) >= 40 { // fewer show no tail
		slowest = above(t.Class.took, 0.05)
	}
	lingersAt := max(slowest*3/2, t.Class.mid*2) // beyond 19 in 20, with some slack
	s.fair = min(within, Time(float64(max(lingersAt, t.Class.LatencyObjective/3))/r.strength(h)))
	switch {
	case !t.Class.mayRepeat():
	case r.limits.AllowHedging && how != copied:
		r.effects.SetTimer(lingersAt, &Timer{attempt: s})
	case r.limits.AllowHedging || len(t.Attempts) >= r.limits.MaxAttempts:
	case how == lone: // it leaves its original the time to answer; a cold host is slow
		within = s.fair
	case t.at+t.Class.LatencyObjective-r.now-t.Class.mid > lingersAt && r.spare(t.Class):
		within = min(within, lingersAt)
	}
	r.effects.Send(s, within)
}

// spare tells whether the budget has room for a further send, so that a slow fleet is not given more work.
// The few beyond the share are for a fleet of few routers: each of hundreds would add them.
func (r *Router) spare(c *Class) bool {
	const over, few, oneIn = 5 * Second, 4, 8 // one for every eight tasks taken lately, and a few
	const alone = 4.0                         // routers that each may have them
	const full = 3                            // times longer than usual: for want of hosts, not by bad luck
	owed := few*min(1, alone/float64(r.routers)) + since(r.taken, r.now-over, nil)/oneIn
	return r.strained(c) < full && since(r.extra, r.now-over, nil) < owed
}

// more sends a task once more where that is allowed, affordable and can still be in time. What follows a lone
// copy, or a send that this router cut short, no budget holds back: it was asked when that one was sent.
func (r *Router) more(t *Request) bool {
	left := t.at + t.Timeout - r.now
	last := t.Attempts[len(t.Attempts)-1]
	first := last.role == lone || last.outcome == TimedOut && !r.limits.AllowHedging // this router cut it short
	if len(t.Attempts) >= r.limits.MaxAttempts || left <= t.Class.mid/2 || !first && !r.spare(t.Class) {
		return false
	}
	h := r.earlier(t)
	if h == nil {
		return false
	}
	if last.role != lone {
		r.extra = keep(r.extra, moment{at: r.now, cat: t.Class}, 2048)
	}
	r.send(t, h, further)
	return true
}

// again answers a failed send: with a further one, with waiting for one still out, or with the final answer.
func (r *Router) again(t *Request) {
	out := func(s *Attempt) bool { return s.outcome == Pending }
	main := func(s *Attempt) bool { return s.outcome == Pending && s.role != copied }
	if !slices.ContainsFunc(t.Attempts, main) && !r.more(t) && !slices.ContainsFunc(t.Attempts, out) {
		r.settle(t)
	}
}

// hedge sends a second copy of a task that takes unusually long.
func (r *Router) hedge(t *Request) {
	if t.risky == nil {
		t.risky = t.Attempts[0] // still out, it may have run
	}
	r.more(t)
}

func (r *Router) rest(*Request) {} // the answer is given; copies still out are only evidence

// settle gives the final answer, at once: turned back where trying again is known to be harmless.
func (r *Router) settle(t *Request) {
	t.state = over
	if t.risky != nil && !t.Class.mayRepeat() {
		r.effects.Fail(t)
		return
	}
	r.effects.Reject(t, min(r.limits.MaxRetryAfter, Second/2)) // a short jam is over by then
}

// AttemptEnded says how a send ended, how long it took, whether its task is over, and what the host reported.
func (r *Router) AttemptEnded(now Time, s *Attempt, fate Outcome, took Time, done bool, load *LoadReport) {
	t := s.Request
	r.now = now
	r.close(s, fate, load)
	r.learn(s, took)
	in := mayHaveRun
	switch {
	case done || fate == Succeeded:
		in = ends
	case fate == Rejected || fate == ConnectFailed || fate == NotSent:
		in = neverRan
	case t.risky == nil || s.at < t.risky.at:
		t.risky = s
	}
	both := r.news.Phase == Canary || r.standing().latest < r.standing().all // builds a key could go between
	if fate == Succeeded && r.desk.StickyKeys && t.Key != "" && s.build >= r.news.Build && both {
		r.kept[t.Key] = s.build
	}
	r.step(t, in)
}

// ---- Health ----

// healths says how a host's health moves; a sick host only gets the trickle of probation.
var healths = []healthRow{
	{fit, fails, sick, 0},
	{fit, refuses, shunned, Second / 5}, // full or unreachable: others first for a moment
	{shunned, refuses, shunned, Second},
	{shunned, fails, sick, 0},
	{shunned, works, fit, 0},
	{sick, works, fit, 0},
}

// learn keeps what a send showed, of its host, its category and its build, and reviews the host's health.
func (r *Router) learn(s *Attempt, took Time) {
	h, c := s.Host, s.Request.Class
	if s.outcome == NotSent || s.outcome == Canceled || s.up != h.StartedAt || s.build != h.Build {
		return
	}
	x := r.sampled(s, took)
	r.usually(c, s, x)
	if h.past = append(h.past, x); len(h.past) > 8 { // enough to tell a slow host, few to forget one
		h.past = h.past[1:]
	}
	in := steady
	switch {
	case s.outcome == Rejected || s.outcome == ConnectFailed:
		in = refuses
	case h.health == sick: // two good answers in a row, whatever came before
		if n := len(h.past); x.well() && n > 1 && h.past[n-2].well() {
			in = works
		}
	case r.failing(h):
		in = fails
	case x.well():
		in = works
	}
	if on, _, _ := r.trial(s.build); in != refuses && (s.IsShadow() || !on) { // who had nowhere else is no copy
		if !s.IsShadow() && !r.limits.AllowHedging && c.mayRepeat() && took > s.fair { // a copy would have been cut
			x.fate = TimedOut
		}
		b := r.book(s.build)
		b.samples = keep(b.samples, x, 1500) // a trial's worth, or some ten seconds of a busy router's sends
	}
	r.move(h, in)
}

const tardy = 4 // usual times of a host that holds as much, after which a send seems stuck

// review looks at all hosts. One that takes tasks and answers none before these run out of time is sick; when
// half the fleet or more does so none is to blame. A sick one is tried again once what spoke against it has
// faded, where peers watch it too: the trickle of one router in hundreds would not find it well for minutes.
// While the list is out of reach, hosts of builds before one long released count as told to drain.
func (r *Router) review() {
	const few, trace = 3, 0.3 // sends; of a bad send
	const told = 6 * Second   // as the platform has it: what a list would have told counts by then
	hung := func(h *Host) bool { return h.health == fit && h.stuck(r.now, tardy) >= few }
	blame := 2*r.count(hung) < r.count(func(h *Host) bool { return h.health == fit })
	lost := r.lost > 0 && r.now-r.liveAt > told // where no later host is known there is none to send to
	for _, h := range r.hosts {
		switch {
		case lost && h.Build < r.live && h.State == Serving:
			h.State, h.left, r.muster.counted = Draining, r.now, false
		case blame && hung(h):
			r.move(h, fails)
		case h.health == sick && r.limits.MaxGossipBytes > 0 &&
			h.words[0].as(r.now).bad+h.rumour(r.now, firsthand, passedOn).bad < trace:
			r.move(h, works)
		}
	}
}

// well tells whether a send ended as one at a host that works.
func (x sample) well() bool { return x.fate == Succeeded && x.strain < 3 }

// failing compares a host's last sends with its peers of the same build: it must fail or drag far more than
// they do, so that neither a bad build nor a slow fleet empties the list.
func (r *Router) failing(h *Host) bool {
	const gap, drag, least = 0.35, 3.0, 6 // about three of the last eight; three times as slow as its peers
	share, strain := r.ails(h, least)
	if share <= gap && strain <= drag { // whatever its peers do
		return false
	}
	shares, strains := r.peersAil(h, least)
	return len(shares) > 1 && (share > gap+2*above(shares, 0.5) || strain > drag*max(1, above(strains, 0.5)))
}

// ---- Peers ----

const firsthand, passedOn = 0.5, 0.5 // of an own send, a peer's word weighs: its links are its own

// gossip tells a peer drawn by chance, nearby where any is known, what was met lately and what peers told of
// theirs: passed on once, so that no word comes back as new. Where hundreds meet a host once in ten seconds
// each, only so they know it before it has failed them all. Complaints are rare and go to all.
func (r *Router) gossip() {
	const oneIn, kin, many = 5, 3, 16 // looks; of those nearby but one in so many; words, the worst first
	const least = 0.3                 // of a send: older is forgotten
	if r.limits.MaxGossipBytes == 0 || r.routers < 2 || r.chance(oneIn) > 0 {
		return
	}
	for _, blame := range r.unsaidBlames() {
		r.effects.Gossip(Broadcast, blame)
	}
	d := r.lore(least)
	d.worst(many)
	peer := (r.rank + 1 + r.chance(r.routers-1)) % r.routers
	if len(r.fellows) > 0 && r.chance(kin) > 0 {
		peer = r.fellows[r.chance(len(r.fellows))]
	}
	r.effects.Gossip(peer, d.pack(r.limits.MaxGossipBytes))
}

// GossipReceived takes in a peer's word. It names no host that the own list has not and moves no bound of a rule; what
// can't be read is dropped whole. Of a way only those know who stand at the same end.
func (r *Router) GossipReceived(now Time, peer int, body []byte) {
	const known = 16 // fellows
	r.now = now
	if build, n, ok := unpackBlame(body); ok {
		r.blames[build] += n
		return
	}
	d, ok := r.unpack(body)
	if !ok || peer == r.rank {
		return
	}
	if r.crowdTold(d); d.stands == nil || r.side(d.stands) != near {
		return
	}
	if !slices.Contains(r.fellows, peer) {
		r.fellows = keep(r.fellows, peer, known)
	}
	r.nearTold(d)
	for _, w := range d.words {
		if w.host.health == fit && r.failing(w.host) {
			r.move(w.host, fails)
		}
	}
}

// scout probes a host far away now and then while the way there is poor, so that no task need try whether
// it still is; what comes of it is told like a send.
func (r *Router) scout() {
	const oneIn = 20 // looks: with what those nearby tell, enough to keep the way shut and to find it open
	if !r.limits.HealthChecks || !r.spreads() || r.together() || r.chance(oneIn) > 0 {
		return
	}
	if _, there := r.parted(func(*Host) bool { return true }); len(there) > 0 { // sick ones too
		r.effects.CheckHealth(there[r.chance(len(there))])
	}
}

// ---- Evidence ----

// spoken bounds the odds by the number of hosts that speak for them: each may at most quadruple them.
func spoken(o float64, hosts int) float64 { return min(o, math.Pow(4, float64(max(1, hosts)))) }

// drag weighs whether a build's hosts are slower than the ones before, host by host, as they differ. apart is
// the variance between two good sets, at two times; share is how many must be that slow. Or the desk speaks.
func (r *Router) drag(now, before []word, counts [2][]BuildStats, was int, apart, share float64) float64 {
	const differ, scatter = 0.2, 0.8              // variance: the one's square, and the other by sends
	const more = 0.6                              // log of 1.8: a fleet that is half full feels that
	fresh, a := paces(now, differ, scatter, 3, 1) // or 1, with so many hosts that none is met three times
	usual, b := paces(before, differ, scatter, 3, 1)
	hosts := len(fresh)
	if r.byDesk() {
		gap, n, of, on := countedGap(counts[0], counts[1])
		if calm, m := calmer(r.counts, nil, was, r.news.Build, r.offered, r.offered, 0); m > 0 {
			gap = min(gap, calm) // a trial that takes most of the traffic leaves the earlier hosts idle
		}
		fresh, usual, hosts = []float64{gap}, []float64{0}, on
		a, b = differ*differ/max(1, float64(on))+scatter/max(0.01, n), scatter/max(0.01, of)
	}
	if min(len(fresh), len(usual)) == 0 {
		return 1
	}
	gap := above(fresh, share) - above(usual, 0.5)
	return spoken(ratio(gap, more, a+b+apart, 6), hosts)
}

// resting tells whether copies rest, as the fleet has slowed during the trial.
func (r *Router) resting() bool { return r.swell == paused || r.swell == proven }

// unsure tells that the fleet has slowed for no known cause, or that the hosts known are too few to carry all
// after a release, or too cold: the more jammed the fleet, the warmer they must be.
func (r *Router) unsure() bool {
	need := min(0.95, 0.4+0.15*max(1, r.jam(near))) // it binds where answers take twice as long as usual
	return r.swell == paused || r.swell == watched || 2*r.count(r.runs) < r.count(r.old) ||
		r.strong(r.runs) < need*r.count(r.runs)
}

// swells says whether the build on trial slows old and new alike, which leaves no gap between them: copies
// rest while the earlier build is slower than before. Where routers see the desk's counts they rest together.
var swells = []swellRow{
	{level, swelling, paused},
	{paused, ebbing, watched},   // copies rest and it is quick again: so far that may be chance
	{paused, lasting, level},    // it is slow without copies too
	{watched, swelling, proven}, // with copies it was slow twice, and without them quick
	{watched, lasting, level},
	{proven, lasting, level},
}

// shared reads the table and weighs it; a category that waits alone is another trouble, so all must be slow.
func (r *Router) shared(before *book) float64 {
	const high, low = 0.4, 0.25  // log of half slower than before the trial; of little more than then
	const rest = 15 * Second     // by then what waits at hosts has gone and the desk has counted it
	const few, small = 60, 0.15  // sends, as these scatter; of the sends: what gets less can't slow a fleet so
	const proof, alone = 400, 20 // odds: enough among the other tests that find nothing, and with another's only
	slow, n := r.slowest(before, r.now-rest/6)
	switch {
	case n < few:
	case slow > high && r.tasted(r.now-rest/6) > small:
		r.surge(swelling)
	case slow < low:
		r.surge(ebbing)
	}
	if r.now-r.surged > rest {
		r.surge(lasting)
	}
	if r.swell == proven { // own sends alone swell by a trouble of the fleet as well
		return map[bool]float64{true: proof, false: alone}[r.byDesk()]
	}
	return 1
}

// counting tells whether the desk counts far more of all sends than a router sees: then its counts, though
// late and not by host, are judged; but after a release only own sends tell errors from a jam.
func (r *Router) counting() bool { return r.desk.SampledShare*float64(r.routers) > 2 }
func (r *Router) byDesk() bool   { return r.counting() && r.news.Phase == Canary }

// weight is the evidence that the newest build is bad, in odds; 1 is none. Copies are judged against the
// sends at the build before it: failures over all and by category, the desk's counts, slowness, complaints.
// The mean is what a vote back needs; what may still be wrong, test by test, is what a release needs to know.
func (r *Router) weight() (mean float64, doubts []float64) {
	const floor, worst, stray = 0.01, 0.25, 1                  // least usual failures; hosts left out
	const while, kin = 2 * Second, 5.0                         // one time; originals that the rest weigh
	const twice, lasting, begins = 0.4, 8 * Second, 5 * Second // log of it; so long, so soon after a release
	now, before := r.book(r.news.Build), r.before(r.news.Build, 20)
	if before == nil {
		return 1, nil
	}
	// Copies and originals of the same time are compared, or a trouble that begins or ends speaks for a build.
	fresh, peers := now.since(before.start()), before.since(now.start())
	if r.news.Phase == Released { // what was kept of the earlier build, against what happens now
		fresh, peers = now.since(r.now-10*Second), before.samples
	}
	// A cold host is slow whatever its build; time-outs of hasty clients or in a release's jam say nothing.
	warm := func(s sample) bool { return s.age > r.limits.WarmUp }
	fair := func(s sample) bool {
		return s.fate != TimedOut || warm(s) && !s.hasty && r.news.Phase == Canary
	}
	counts := r.heardOf(now.build, before.build)
	sum, shares := 0.0, 0.0
	add := func(share, guilt, doubt float64) {
		sum, shares, doubts = sum+share*guilt, shares+share, append(doubts, doubt)
	}
	test := func(share float64, cats []*Class, gaps ...float64) (doubt float64) {
		weigh := func(but float64) float64 {
			var parts []part
			most := 0
			for _, c := range cats { // each against its own originals: the mix may change
				is := func(s sample) bool { return s.cat == c && fair(s) }
				some, hosts := matched(fresh, peers, is, but, stray, while, kin)
				if r.byDesk() { // which does not tell hosts apart: this router's own copies do
					some, hosts = paired(counts[0], counts[1], c, kin), hosts+1
					some = floored(some, r.calmShare(before, c, floor, kin)) // a trial leaves earlier hosts idle
				}
				parts, most = append(parts, some...), max(most, hosts)
			}
			return spoken(odds(floored(parts, floor), gaps...), most)
		}
		doubt = weigh(0)
		add(share, weigh(worst), doubt)
		return doubt
	}
	small, large, whole, apart := 0.06, 0.15, 0.25, 0.04
	if r.news.Phase == Released { // the earlier machines are gone: a small harm is cheaper than going back
		small, large, whole, apart = 0.3, 0.5, 0.5, 0.16 // and a jam after the release is not the build's
	}
	test(1, r.cats, small, large, 0.6)
	for _, c := range r.cats {
		c.odds = test(1/float64(len(r.cats)), []*Class{c}, whole, 0.7)
		if r.desk.SampledShare > 0 && !r.byDesk() && c.Idempotency != Idempotent { // not told by host: far beyond one sick one
			o := r.tallied(c, now.build, before.build, 4, 0.1, 0.25, 0.6)
			add(1/float64(len(r.cats)), o, o)
		}
	}
	done := func(s sample) bool { // errors are quick
		return warm(s) && (s.fate == Succeeded || s.fate == TimedOut)
	}
	level := levels(peers, done, while, kin)
	all, usual := words(fresh, done, level), words(peers, done, level)
	slower := func(share float64) float64 { return r.drag(all, usual, counts, before.build, apart, share) }
	add(1, slower(0.75), slower(0.5)) // most hosts to convict, half to doubt
	if r.news.Phase == Canary {
		o := r.shared(before)
		add(1, o, o)
	}
	logs := now.slowness(r.now-3*Second, r.crowd)
	n := float64(len(logs)) // few of them scatter
	slow := stat.Mean(logs, nil) - 0.5/math.Sqrt(n)
	if r.counting() { // a router's own figures are against a third more than the middle
		slow, n = calmer(r.counts, nil, before.build, now.build, r.offered, r.now-3*Second, 0.3)
	}
	if r.news.Phase != Released || n < 5 || slow < twice {
		r.quickAt = r.now
	} else if r.now-r.quickAt > lasting && r.quickAt < r.staged+begins { // later, it is another trouble
		add(1, math.Inf(1), 1)
	}
	if r.desk.ComplaintShare > 0 {
		x := part{now.complaints(), float64(len(now.samples)), before.complaints() / float64(len(before.samples)+1)}
		if r.limits.MaxGossipBytes > 0 && r.byDesk() { // of all routers, against all sends
			y := r.blamed(before)
			x = r.blamed(now)
			x.usual = y.bad / y.n
		}
		o := odds(floored([]part{x}, 0.003), 0.01, 0.04) // now and then a client errs
		add(1, o, o)
	}
	return sum / shares, doubts
}

// ---- Votes ----

const judgeEvery = Second / 5 // a fraction of the shortest stage

var ballots = []ballotRow{
	{quiet, wants, asked, true},
	{stands, wants, asked, true},
	{asked, silent, quiet, false},
	{asked, counts, stands, false},
	{asked, drops, quiet, false},
}

// lean is what part of the proof each of so many routers owes whose votes must agree, on their own evidence.
func lean(votes int) float64 { return 1 / math.Sqrt(float64(max(1, votes-1))) }

// verdict turns the weight of the evidence into a vote. A move that exposes little needs no proof, as sends
// at the build stay few; the release does, and as waiting has its price, the demand falls as time goes on.
func (r *Router) verdict() (voice VoteChoice, w float64, doubts []float64) {
	const alarm, loud, several = 8.0, 30.0, 2.5 // one good build in so many goes back by chance; one host's odds
	const doubt, sure = 4.0, 0.3                // on in a stage unless in doubt; release when fairly sure
	const softer, bear, most = 0.02, 0.5, 8.0   // a second's wait of that, of the worst; while copies go on
	if !r.heard || r.news.Build == 0 || r.news.Phase == RollingBack || r.news.Phase == RolledBack {
		return Abstain, w, doubts
	}
	w, doubts = r.weight()
	limit, worst := doubt, math.Inf(1)
	final := r.news.Stage+1 >= len(r.desk.ExposureCaps)
	if final {
		waited := float64(max(0, r.now-r.staged-r.desk.MinStageTime)) / float64(Second)
		part := lean(r.desk.PromoteQuorum)
		limit, worst = min(1, math.Pow(sure, part)+softer*waited), min(most, 1+bear*waited)/part
	}
	limitBack := alarm
	if r.byDesk() || r.news.Phase == Released { // the desk tells no host from a build; a release is dear to undo
		limitBack = loud
	}
	switch {
	case w > max(several, math.Pow(limitBack, lean(r.desk.RollbackQuorum))):
		return Rollback, w, doubts
	case r.news.Phase == Canary && r.desk.Mode == Timed && w > doubt:
		return Hold, w, doubts
	case r.news.Phase == Released || r.desk.Mode == Timed || len(doubts) == 0 || final && r.unsure():
	case w < limit && slices.Max(doubts) <= worst:
		return Promote, w, doubts
	}
	return Abstain, w, doubts
}

// speaks tells whether it is this router's turn to vote. Where one vote decides, a few at a time do, by rank
// and a shared clock: were all to look, the one with the oddest luck would decide, and the desk be flooded.
func (r *Router) speaks() bool {
	const few, stretch = 3, 4 * Second // a vote that is lost is no harm, nor is a router that is down
	turn := r.rank + r.routers - int(r.now/stretch)*few%r.routers
	return r.desk.Mode != AnyRouter || r.routers <= few || turn%r.routers < few
}

func (r *Router) judge() {
	voice, w, doubts := r.verdict()
	if r.ballot.state == asked && r.now-r.ballot.at > r.desk.VoteTimeout+Second/2 {
		r.poll(silent, 0, 0, nil)
	}
	if !r.speaks() && (r.ballot.state != stands || r.ballot.voice != Promote || voice == Promote) {
		return // but what stands is taken back at any time: it would move the build on, whoever's turn it is
	}
	const pause = Second // before a vote that did not count is cast again: the desk is not flooded
	if voice != r.ballot.voice && (voice != Abstain || r.ballot.state == stands) || voice != Abstain &&
		(r.ballot.state == quiet && r.now-r.ballot.at > pause || r.now-r.ballot.at > r.desk.VoteTTL*7/10) {
		r.poll(wants, voice, w, doubts)
	}
}
