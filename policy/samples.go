package policy

// This file keeps what was seen and adds it up. Nothing is decided here.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// chance draws evenly from 0 up to n.
func (r *Router) chance(n int) int {
	r.drawn++
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], r.seed)
	binary.LittleEndian.PutUint64(b[8:], r.drawn)
	h.Write(b[:])
	x := h.Sum64()
	return int((x ^ x>>32) % uint64(n))
}

// keep appends and forgets all but the last n or more.
func keep[T any](all []T, x T, n int) []T {
	if len(all) >= 2*n {
		all = slices.Clone(all[len(all)-n:])
	}
	return append(all, x)
}

// since counts the moments after from; a category narrows the count.
func since(all []moment, from Time, c *Class) (n float64) {
	for i := len(all) - 1; i >= 0 && all[i].at > from; i-- {
		if c == nil || all[i].cat == c {
			n++
		}
	}
	return n
}

// above is the value that a share of all lies above.
func above[T cmp.Ordered](all []T, share float64) T {
	all = slices.Clone(all)
	slices.Sort(all)
	return all[int(float64(len(all)-1)*(1-share))]
}

// book is what is kept of a build.
func (r *Router) book(build int) *book {
	for _, b := range r.books {
		if b.build == build {
			return b
		}
	}
	r.books = keep(r.books, &book{build: build}, 4)
	return r.books[len(r.books)-1]
}

// words sums up samples by host, the ones with most bad last; how slow they were is told from a level.
func words(all []sample, of func(sample) bool, level func(sample) float64) (sums []word) {
	for _, s := range all {
		if !of(s) {
			continue
		}
		i := slices.IndexFunc(sums, func(x word) bool { return x.host == s.host })
		if i < 0 {
			i, sums = len(sums), append(sums, word{host: s.host})
		}
		sums[i].n, sums[i].slow = sums[i].n+1, sums[i].slow+s.slow()-level(s)
		if s.fate != Succeeded {
			sums[i].bad++
		}
	}
	slices.SortStableFunc(sums, func(a, b word) int { return int(a.bad - b.bad) })
	return sums
}

// enter takes a change to the host list into the hosts, which stand in an order that is the same everywhere.
func (r *Router) enter(l EndpointUpdate) {
	h := l.Host
	r.muster.counted = false
	if !h.listed {
		h.listed = true
		at, _ := slices.BinarySearchFunc(r.hosts, h, func(a, b *Host) int { return int(a.ID) - int(b.ID) })
		r.hosts = slices.Insert(r.hosts, at, h)
	}
	if h.StartedAt != l.StartedAt || h.Build != l.Build { // another process: what the last one did says nothing of it
		h.past, h.health, h.load, h.words = nil, fit, nil, [3]repute{}
	}
	if h.State == Serving && l.State != Serving {
		h.left = r.now
	}
	h.Zone, h.Cell, h.State, h.Build, h.Weight, h.StartedAt = l.Zone, l.Cell, l.State, l.Build, l.Weight, l.StartedAt
}

// PlanOffered tells shares worked out ahead; hosts that they don't name have none.
func (r *Router) PlanOffered(now Time, c WeightPlan) {
	r.now = now
	r.course = c
	for _, h := range r.hosts {
		h.part = c.Weights[h]
	}
}

// Forget drops a host that has long been gone and to which no send is out.
func (r *Router) Forget(h *Host) {
	if h.State == Removed && len(h.open) == 0 {
		h.listed, r.muster.counted = false, false
		r.hosts = slices.DeleteFunc(r.hosts, func(x *Host) bool { return x == h })
	}
}

// count is how many hosts there are of a kind.
func (r *Router) count(is func(*Host) bool) (n float64) {
	for _, h := range r.hosts {
		if is(h) {
			n++
		}
	}
	return n
}

// enlist notes a new send.
func (r *Router) enlist(t *Request, h *Host, how role) *Attempt {
	s := &Attempt{Request: t, Host: h, at: r.now, build: h.Build, up: h.StartedAt, held: r.held(h), role: how}
	t.Attempts, h.open = append(t.Attempts, s), append(h.open, s)
	if h.health == fit && r.old(h) {
		r.muster.out[r.side(h)]++
	}
	h.sent = keep(h.sent, moment{at: r.now, cat: t.Class}, 256)
	if r.old(h) {
		r.flow = keep(r.flow, moment{at: r.now, cat: t.Class}, 8192)
	} else {
		r.tried = keep(r.tried, moment{at: r.now, cat: t.Class}, 8192)
	}
	return s
}

// close notes the end of a send.
func (r *Router) close(s *Attempt, fate Outcome, load *LoadReport) {
	s.outcome = fate
	c := s.Request.Class
	if fate == Succeeded {
		c.seen.add(rush{at: r.now, work: float64(c.mid), took: float64(r.now - s.at)})
	}
	was := len(s.Host.open)
	s.Host.open = slices.DeleteFunc(s.Host.open, func(x *Attempt) bool { return x == s })
	if s.Host.health == fit && r.old(s.Host) {
		r.muster.out[r.side(s.Host)] -= was - len(s.Host.open)
	}
	if load != nil {
		if s.Host.load, s.Host.loadAt = load, r.now; load.ActiveRequests >= 0 {
			r.reports = keep(r.reports, load.ActiveRequests, 64)
		}
	}
	if s.Host.linkAt = r.now; fate == ConnectFailed {
		s.Host.linkAt = 0
	}
	x := moment{at: r.now, cat: s.Request.Class, side: r.side(s.Host), fate: fate,
		late: r.now-s.Request.at > s.Request.Class.LatencyObjective}
	way := repute{at: r.now, n: 1}
	if x.late || fate == TimedOut || fate == ConnectFailed || fate == ConnectionLost {
		way.bad = 1
	}
	r.ways[x.side].add(way)
	if fate == Succeeded {
		x.work = x.cat.mid
	}
	if s.Host.health == fit && r.old(s.Host) {
		x.took = r.now - s.at
	}
	before := len(r.done)
	r.done = keep(r.done, x, 4096)
	r.begun += before + 1 - len(r.done)
	if x.work > 0 {
		r.work[x.side].last.add(answer{r.begun + len(r.done) - 1, x.at, x.work, x.took})
	}
}

// add takes in one more answer.
func (t *tally) add(x answer) {
	t.all = append(t.all, x)
	t.work, t.took = t.work+x.work, t.took+x.took
}

// since moves the window's start to a moment and lets go of answers that are older than the oldest wanted or were
// dropped, those with lower numbers than the first kept. It returns how many lie in the window.
func (t *tally) since(from, oldest Time, kept int) int {
	out := func() {
		t.work, t.took = t.work-t.all[t.first].work, t.took-t.all[t.first].took
		t.first++
	}
	for t.first < len(t.all) && t.all[t.first].at < from {
		out()
	}
	n := 0
	for ; n < len(t.all) && (t.all[n].at < oldest || t.all[n].number < kept); n++ {
		if t.first <= n {
			out()
		}
	}
	t.all, t.first = t.all[n:], t.first-n
	return len(t.all) - t.first
}

// sampled is what an ended send showed.
func (r *Router) sampled(s *Attempt, took Time) sample {
	x := sample{at: r.now, took: took, age: s.at - s.up, host: s.Host, cat: s.Request.Class, fate: s.outcome,
		hasty: s.outcome == TimedOut && s.Request.Timeout < s.Request.Class.LatencyObjective, held: s.held,
		strain: float64(took) / float64(s.Request.Class.mid)}
	if r.limits.MaxGossipBytes > 0 { // where a category waits everywhere no host is to blame
		x.strain /= r.drags(s.Request.Class)
	}
	x.pace = x.strain / (1 + r.crowd*s.held)
	w := repute{at: r.now, n: 1, pace: min(x.strain, 8)} // one very long send says little
	if s.outcome != Succeeded {
		w.bad = 1
	}
	s.Host.words[0].add(w)
	if s.up == 0 {
		x.age = math.MaxInt32
	}
	return x
}

// ails is a host's share of failed sends and its mean strain, as if over least sends or more, with what peers
// tell of it and sends that seem stuck.
func (r *Router) ails(h *Host, least int) (share, strain float64) {
	for _, p := range h.past {
		if p.fate != Succeeded {
			share++
		}
		strain += p.strain
	}
	w := h.rumour(r.now, firsthand, passedOn)
	n := max(float64(len(h.past))+w.n, float64(least))
	return (share + w.bad) / n, (strain + w.pace) / n
}

// before is the latest earlier build that some sends are known of, if any; where the desk's counts are judged, by
// these: a router of hundreds has a few sends of its own.
func (r *Router) before(build, sends int) (last *book) {
	if r.counting() {
		for _, x := range r.counts {
			if x.Build < build && (last == nil || x.Build > last.build) && r.sendsAt(x.Build) > float64(sends) {
				last = r.book(x.Build)
			}
		}
	}
	if last != nil {
		return last
	}
	for _, b := range r.books {
		if b.build < build && len(b.samples) > sends && (last == nil || b.build > last.build) {
			last = b
		}
	}
	return last
}

// pickCounts are the counts of a kind.
func pickCounts(all []BuildStats, of func(BuildStats) bool) (some []BuildStats) {
	for _, x := range all {
		if of(x) {
			some = append(some, x)
		}
	}
	return some
}

// counted adds up what the desk counted of a category.
func counted(all []BuildStats, c *Class) (bad, n float64, hosts int) {
	for _, x := range all {
		if x.Class == c {
			bad, n, hosts = bad+float64(x.Failures), n+float64(x.Samples), x.hosts
		}
	}
	return bad, n, hosts
}

// countedGap is the log of how much longer the sends of one set of counts took than those of another, by
// category and period, with the sends behind each side and the hosts of the first.
func countedGap(now, before []BuildStats) (gap, n, of float64, hosts int) {
	for _, x := range now {
		y, good := beside(x, before), float64(x.Samples-x.Failures)
		if hosts = x.hosts; good > 0 && x.MeanLatency > 0 && y.MeanLatency > 0 {
			gap += good * (math.Log(float64(x.MeanLatency)/float64(y.MeanLatency)) - x.cold + y.cold)
			n, of = n+good, of+float64(y.Samples-y.Failures)
		}
	}
	return gap / max(1, n), n, of, hosts
}

// calmer is the log of how much longer the sends at a build take now than those at another before the newest
// was offered, less so much, as the desk counted them, and the number of the former; a category narrows it.
func calmer(all []BuildStats, c *Class, was, is int, offered, now Time, less float64) (gap, n float64) {
	for _, x := range all {
		if x.Build != is || x.MeanLatency <= 0 || x.at <= now || c != nil && x.Class != c {
			continue
		}
		took, sum := 0.0, 0.0
		for _, y := range all {
			if y.Build == was && y.MeanLatency > 0 && y.at <= offered && y.Class == x.Class {
				good := float64(y.Samples - y.Failures)
				took, sum = took+good*float64(y.MeanLatency), sum+good
			}
		}
		if good := float64(x.Samples - x.Failures); sum > 0 && took > 0 {
			gap, n = gap+good*(math.Log(float64(x.MeanLatency)*sum/took)-x.cold), n+good
		}
	}
	return gap/max(1, n) - less, n
}

// answered is the work that a side answered lately, in usual times and one task at the least, and the span:
// the short one, or as far back as the long one for enough answers; and how often longer than usual those of
// the short one took, if they are a few. It is worked out once for each moment.
func (r *Router) answered(side int, short, long Time, few, enough int) (float64, Time, float64) {
	w := &r.work[side]
	if w.at != r.now {
		w.at, w.span, w.strain = r.now, min(short, r.now-r.born), math.Inf(1)
		n := w.last.since(r.now-short, r.now-long, r.begun)
		w.done = float64(w.last.work)
		if n >= few && n > 0 {
			w.strain = float64(w.last.took) / w.done
		}
		for i := w.last.first - 1; i >= 0; i-- {
			x := w.last.all[i]
			age := r.now - x.at
			if age > w.span && n >= enough {
				break
			}
			n, w.done, w.span = n+1, w.done+float64(x.work), max(w.span, age)
		}
		if n < enough {
			w.span = min(long, r.now-r.born)
		}
		for _, c := range r.cats {
			w.done = max(w.done, float64(c.mid))
		}
	}
	return w.done, w.span, w.strain
}

// gap is the mean time between the last so many ended sends.
func (r *Router) gap(n int) Time {
	n = min(n, len(r.done))
	if n == 0 {
		return r.now - r.born
	}
	return (r.now - r.done[len(r.done)-n].at) / Time(n)
}

// standing counts hosts and the sends out at them, if anything but sends has changed since it was last done.
func (r *Router) standing() *muster {
	m := &r.muster
	if m.counted {
		return m
	}
	*m = muster{counted: true}
	for _, h := range r.hosts {
		if h.health == sick {
			m.sick++
		}
		if !r.old(h) {
			continue
		}
		if m.all++; h.Build > m.newest {
			m.newest, m.latest = h.Build, 0
		}
		if h.Build == m.newest {
			m.latest++
		}
		if h.health == fit {
			m.well[r.side(h)]++
			m.out[r.side(h)] += len(h.open)
		}
	}
	return m
}

// out is the sends out at a side's hosts that are well, as the mean over a span, and these hosts.
func (r *Router) out(side int, over Time) (out, hosts float64) {
	if over == 0 {
		m := r.standing()
		return float64(m.out[side]), float64(m.well[side])
	}
	part := func(t Time) float64 { return float64(max(0, min(t, over))) / float64(max(1, over)) }
	for _, h := range r.hosts {
		if h.health != fit || !r.old(h) || r.side(h) != side {
			continue
		}
		hosts++
		for _, s := range h.open {
			out += part(r.now - s.at)
		}
	}
	for i := len(r.done) - 1; i >= 0 && r.done[i].at > r.now-over; i-- {
		if x := &r.done[i]; x.side == side {
			out += part(min(x.took, over-(r.now-x.at)))
		}
	}
	return out, hosts
}

// odds weighs bad against n tries, part by part, as signs that a build fails more than the usual share: the
// mean likelihood ratio over a few sizes of the gap. Were the build good it would pass x with a chance of at
// most 1/x, however often it is looked at, and a mean of such odds keeps that bound; so many looks and tests
// raise no alarm.
func odds(parts []part, gaps ...float64) (mean float64) {
	for _, g := range gaps {
		sum := 0.0
		for _, x := range parts {
			p := x.usual + g*(1-x.usual)
			sum += x.bad*math.Log(p/x.usual) + (x.n-x.bad)*math.Log((1-p)/(1-x.usual))
		}
		mean += math.Exp(min(50, sum)) / float64(len(gaps))
	}
	return mean
}

// spared are all hosts but a share of them, those with most failures, and how many of these have any. So few
// failures of a host as are stray are no sign that it differs from the rest.
func spared(sums []word, but, stray float64) (some map[*Host]bool, failing int) {
	some = map[*Host]bool{}
	left := int(math.Ceil(but * float64(len(sums))))
	for i, x := range sums {
		if some[x.host] = i == 0 || i < len(sums)-left || x.bad <= stray; some[x.host] && x.bad > 0 {
			failing++
		}
	}
	return some, failing
}

// matched parts sends of a kind by the time when they were made, each with the share of the originals of that
// time that went bad; kin is how many of these all the others weigh as much as. Hosts are spared as told.
func matched(fresh, peers []sample, is func(sample) bool, but, stray float64, while Time, kin float64) (
	parts []part, hosts int) {
	flat := func(sample) float64 { return 0 }
	some, hosts := spared(words(fresh, is, flat), but, stray)
	same, _ := spared(words(peers, is, flat), but, stray)
	was, all := map[Time]part{}, part{0.5, 1, 0}
	for _, s := range peers {
		if is(s) && same[s.host] {
			w := was[s.slot(while)]
			w.add(s)
			all.add(s)
			was[s.slot(while)] = w
		}
	}
	where := map[Time]int{}
	for _, s := range fresh {
		if !is(s) || !some[s.host] {
			continue
		}
		t := s.slot(while)
		if _, ok := where[t]; !ok {
			where[t], parts = len(parts), append(parts, part{usual: was[t].share(all, kin)})
		}
		parts[where[t]].add(s)
	}
	return parts, hosts
}

// paired does the same with the desk's counts, period by period.
func paired(now, before []BuildStats, c *Class, kin float64) (parts []part) {
	bad, n, _ := counted(before, c)
	all := part{0.5 + bad, 1 + n, 0}
	of := func(x BuildStats) part { return part{bad: float64(x.Failures), n: float64(x.Samples)} }
	for _, x := range now {
		if x.Class == c {
			p := of(x)
			p.usual = of(beside(x, before)).share(all, kin)
			parts = append(parts, p)
		}
	}
	return parts
}

// beside is the count of the same category and period at the other build.
func beside(x BuildStats, others []BuildStats) BuildStats {
	for _, y := range others {
		if y.Class == x.Class && y.at == x.at {
			return y
		}
	}
	return BuildStats{}
}

func (p *part) add(s sample) {
	if p.n++; s.fate != Succeeded {
		p.bad++
	}
}

// share is how many went bad, leaning on all others as if these were kin.
func (p part) share(all part, kin float64) float64 { return (p.bad + kin*all.bad/all.n) / (p.n + kin) }

// floored has no part whose usual share is below a floor.
func floored(parts []part, floor float64) []part {
	for i := range parts {
		parts[i].usual = max(floor, parts[i].usual)
	}
	return parts
}

// levels tells how slow, as a log, sends of a kind were on average at the time of a sample, likewise.
func levels(all []sample, is func(sample) bool, while Time, kin float64) func(sample) float64 {
	type sum struct{ slow, n float64 }
	of, whole := map[Time]sum{}, sum{0, 0.01}
	for _, s := range all {
		if is(s) {
			t := of[s.slot(while)]
			of[s.slot(while)] = sum{t.slow + s.slow(), t.n + 1}
			whole = sum{whole.slow + s.slow(), whole.n + 1}
		}
	}
	return func(s sample) float64 {
		t := of[s.slot(while)]
		return (t.slow + kin*whole.slow/whole.n) / (t.n + kin)
	}
}

// slot is the span of the clock that a sample was sent in.
func (x sample) slot(while Time) Time { return (x.at - x.took) / while }

// slow is the log of a sample's pace.
func (x sample) slow() float64 { return math.Log(max(0.01, x.pace)) }

// paces are the logs of how slow hosts are, and the variance of their mean when hosts differ by so much among
// themselves and sends scatter by so much. Only hosts with the first of so many sends count, else the next.
func paces(hosts []word, differ, scatter float64, least ...float64) (logs []float64, variance float64) {
	for len(logs) == 0 && len(least) > 0 {
		for _, x := range hosts {
			if x.n >= least[0] {
				logs, variance = append(logs, x.slow/x.n), variance+differ*differ+scatter/x.n
			}
		}
		least = least[1:]
	}
	return logs, variance / max(1, float64(len(logs)*len(logs)))
}

// peersAil is how the other hosts of a host's build do.
func (r *Router) peersAil(h *Host, least int) (shares, strains []float64) {
	for _, p := range r.hosts {
		if p != h && p.Build == h.Build && p.State == Serving &&
			float64(len(p.past))+p.rumour(r.now, firsthand, passedOn).n > 2 {
			s, d := r.ails(p, least)
			shares, strains = append(shares, s), append(strains, d)
		}
	}
	return shares, strains
}

// rate is how many sends a host of the build with most hosts gets from this router, worked out once for each
// moment. Hosts that left within the span count, or a lone newcomer would be due all their work.
func (r *Router) rate(over Time) float64 {
	if r.usual.at != r.now {
		of, most := map[int]float64{}, 1.0
		for _, h := range r.hosts {
			if h.State == Serving || r.now-h.left < over {
				of[h.Build]++
				most = max(most, of[h.Build])
			}
		}
		r.usual.at, r.usual.rate = r.now, since(r.flow, r.now-over, nil)/float64(over)/most
	}
	return r.usual.rate
}

// parted are the hosts nearby and the rest, as far as they fit; until it is asked for again.
func (r *Router) parted(fits func(*Host) bool) (here, there []*Host) {
	here, there = r.here[:0], r.there[:0]
	for _, h := range r.hosts {
		switch {
		case h.State != Serving || !fits(h):
		case r.side(h) == near:
			here = append(here, h)
		default:
			there = append(there, h)
		}
	}
	r.here, r.there = here, there
	return here, there
}

// complaints are those about sends as late as the samples kept.
func (b *book) complaints() (n float64) {
	for _, x := range b.wrong {
		if len(b.samples) > 0 && x.at >= b.samples[0].at {
			n++
		}
	}
	return n
}

// slowness is the log of how slow the earlier build's answers since from are against the time before the
// trial, and their number.
func (b *book) slowness(from Time, crowd float64) (logs []float64) {
	for _, x := range b.since(from + 1) {
		if x.cat.calm > 0 {
			logs = append(logs, x.logPace(crowd))
		}
	}
	return logs
}

// logPace is the log of what a send took, less what the host's other tasks added, against the time before
// the trial.
func (x sample) logPace(crowd float64) float64 {
	return math.Log(float64(max(1, x.took)) / (1 + crowd*x.held) / float64(x.cat.calm))
}

// ClientGone says that a client has gone.
func (r *Router) ClientGone(now Time, t *Request) {
	r.now = now
	r.step(t, ends)
}

// HealthChecked takes in what a probe found: of the way, and what the host reports.
func (r *Router) HealthChecked(now Time, h *Host, fate Outcome, _ Time, load *LoadReport) {
	r.now = now
	way := repute{at: now, n: 1}
	if fate != Succeeded {
		way.bad = 1
	}
	r.ways[r.side(h)].add(way)
	if load != nil {
		h.load, h.loadAt = load, now
	}
}

// ResponseStarted says that a send's answer has started to stream.
func (r *Router) ResponseStarted(now Time, s *Attempt) { r.now, s.began = now, true }

// StatsReported takes in what the desk counted, with how many hosts ran the build and how many were warm by then.
func (r *Router) StatsReported(now Time, c BuildStats) {
	cold := 0.0
	r.now, c.at = now, now
	for _, h := range r.hosts {
		if h.Build == c.Build && h.State == Serving {
			c.hosts++
			cold += r.strengthAt(h, now-c.Age-c.Window/2)
			if now-c.Age-c.Window-h.StartedAt > r.limits.WarmUp {
				c.warm++
			}
		}
	}
	c.warm /= max(1, float64(c.hosts))
	c.cold = math.Log(max(1, float64(c.hosts)) / max(r.limits.ColdCapacity, cold))
	if len(r.counts) == 0 || r.counts[len(r.counts)-1].at != now {
		r.laden = 0 // what hosts hold: how much comes by how long it takes
	}
	if r.desk.SampledShare > 0 && c.Window > 0 {
		serve := r.count(func(h *Host) bool { return h.State == Serving })
		r.laden += float64(c.Samples) / r.desk.SampledShare / float64(c.Window) * float64(c.MeanLatency) / max(1, serve)
	}
	r.counts = keep(r.counts, c, 240)
	if on, _, _ := r.trial(c.Build); r.counting() && !on {
		r.reckon(c.Class)
	}
}

// reckon sets what a category usually takes by the calmest of the desk's periods kept: hundreds of routers
// have too few sends of their own to tell, and were apart by ten times; and a category that waits long is
// not usual.
func (r *Router) reckon(c *Class) {
	const few, calm = 10, 0.85
	var means []Time
	for _, x := range r.counts {
		if on, _, _ := r.trial(x.Build); !on && x.Class == c && x.Samples-x.Failures >= few {
			means = append(means, x.MeanLatency)
		}
	}
	if len(means) > 0 {
		c.mid = max(1, above(means, calm))
	}
}

// drags is how much longer than usual a category's answers take everywhere, by own ones and what peers told.
func (r *Router) drags(c *Class) float64 {
	lean := 5 * float64(c.mid)
	own, told := c.seen.as(r.now), c.told.as(r.now)
	return max(1, (own.took+told.took+lean)/(own.work+told.work+lean))
}

// lateOf is how many of the last ended sends of a category were late; where hundreds of routers see few,
// those of others are taken to be in time.
func (r *Router) lateOf(c *Class, last int) float64 {
	if r.limits.MaxGossipBytes == 0 {
		return r.share(last, func(x moment) bool { return x.late })
	}
	late, n := 0.0, float64(last)/3
	for _, x := range r.done[max(0, len(r.done)-last):] {
		if x.cat == c {
			if n++; x.late {
				late++
			}
		}
	}
	return late / n
}

// sendsAt is how many sends at a build the desk counted.
func (r *Router) sendsAt(build int) (n float64) {
	for _, x := range r.counts {
		if x.Build == build {
			n += float64(x.Samples)
		}
	}
	return n
}

// ComplaintReceived takes in that a client found an answer wrong.
func (r *Router) ComplaintReceived(now Time, h *Host, c *Class, age Time) {
	r.now = now
	if b := r.book(h.Build); h.StartedAt <= now-age {
		r.blames[b.build]++
		r.unsaid[b.build]++
		b.wrong = keep(b.wrong, sample{at: now, host: h, cat: c}, 240)
	}
}

// step reads the table of tasks.
func (r *Router) step(t *Request, in taskInput) {
	for _, row := range tasks {
		if row.state == t.state && row.input == in {
			t.state = row.next
			row.do(r, t)
			return
		}
	}
}

// turnTo takes over news, and at a new build remembers how quick the fleet was before it.
func (r *Router) turnTo(n ReleaseStatus) {
	if !r.heard || n.Build != r.news.Build || n.Stage != r.news.Stage || n.Phase != r.news.Phase {
		r.staged, r.ballot = r.now-n.Age, ballot{}
	}
	if n.Build != r.news.Build {
		for _, c := range r.cats {
			c.calm = c.mid
		}
		r.offered, r.swell, r.surged = r.now, level, r.now
		clear(r.kept) // no key stays with the build before, which serves them all or has gone back
	}
	if r.news, r.heard = n, true; n.Phase == Released {
		r.live, r.liveAt = n.Build, r.now-n.Age
	} else if n.Phase != Canary {
		if r.dropped = n.Build; r.live == n.Build {
			r.live = 0
		}
	}
	r.muster.counted = false
}

// laden lists what hosts held, and the strain of their answers up to a limit.
func laden(samples []sample, limit float64) (held, strains []float64) {
	for _, s := range samples {
		held, strains = append(held, s.held), append(strains, min(s.strain, limit))
	}
	return held, strains
}

// side tells hosts nearby from the rest.
func (r *Router) side(h *Host) int {
	if h.Zone == r.location {
		return near
	}
	return far
}

// start is when the samples kept of a build begin.
func (b *book) start() Time {
	if len(b.samples) == 0 {
		return 0
	}
	return b.samples[0].at
}

// since are the samples from a moment on.
func (b *book) since(from Time) []sample {
	i, _ := slices.BinarySearchFunc(b.samples, from, func(x sample, at Time) int { return int(x.at - at) })
	return b.samples[i:]
}

// trial tells whether a build is on trial for this router, and at which stage and cap. One that is not
// announced yet counts as in the first stage.
func (r *Router) trial(build int) (on bool, stage int, share float64) {
	switch {
	case build == r.dropped && build < r.news.Build: // its hosts may still be listed when the next is offered
		return true, 0, 0
	case !r.heard || build < r.news.Build || build == r.news.Build && r.news.Phase == Released:
		return false, 0, 1
	case build > r.news.Build && len(r.desk.ExposureCaps) > 0:
		return true, 0, r.desk.ExposureCaps[0]
	case build > r.news.Build || r.news.Phase != Canary:
		return true, 0, 0
	}
	return true, r.news.Stage, r.news.ExposureCap
}

// old tells hosts that serve with a build that is not on trial.
func (r *Router) old(h *Host) bool {
	on, _, _ := r.trial(h.Build)
	return !on && h.State == Serving
}

// mayRepeat tells whether a second run of the task does no harm anywhere.
func (c *Class) mayRepeat() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == FleetScope
}

// stuck counts a host's sends that have been out for longer than so many usual times with no answer since
// from it.
func (h *Host) stuck(now Time, times float64) (n int) {
	for _, s := range h.open {
		late := float64(now-s.at) > times*float64(s.Request.Class.mid)*(1+s.held)
		if late && (len(h.past) == 0 || h.past[len(h.past)-1].at < s.at) {
			n++
		}
	}
	return n
}

// RequestArrived accepts a task; from here on it is owed one final answer. More tasks are kept than any window holds.
func (r *Router) RequestArrived(now Time, t *Request) {
	r.now, t.at = now, now
	r.taken = keep(r.taken, moment{at: now, cat: t.Class}, 8192)
	if c := t.Tenant; c != nil {
		c.taken = keep(c.taken, moment{at: now, cat: t.Class}, 4096)
	}
	r.step(t, arrives)
}

// runs tells hosts that serve with the newest build told.
func (r *Router) runs(h *Host) bool { return h.Build == r.news.Build && h.State == Serving }

// misses is the chance that a task breaks its promised time on a side, as if answers took exponential times.
func (r *Router) misses(t *Request, side int) float64 {
	return math.Exp(-float64(t.Class.LatencyObjective) / max(1, r.jam(side)*float64(t.Class.mid)))
}

// move reads the table of healths.
func (r *Router) move(h *Host, in healthInput) {
	for _, row := range healths {
		if row.state == h.health && row.input == in {
			if h.health == sick {
				h.past = h.past[max(0, len(h.past)-1):] // none, where peers alone told of it
			}
			h.health, h.until = row.next, r.now+row.rest
			r.muster.counted = false
			return
		}
	}
}

// poll reads the table of ballots.
func (r *Router) poll(in ballotInput, voice VoteChoice, w float64, doubts []float64) {
	for _, row := range ballots {
		if row.state != r.ballot.state || row.input != in {
			continue
		}
		r.ballot.state = row.next
		if row.cast {
			r.ballot.voice, r.ballot.at = voice, r.now
			r.effects.Vote(r.news.Build, r.news.Stage, voice)
			r.effects.Log(fmt.Sprintf("votes %d on build %d in stage %d: odds of bad %.2g, mean of %.2g",
				voice, r.news.Build, r.news.Stage, w, doubts))
		}
		return
	}
}

// ReleaseChanged takes in the desk's news, or its answer to a vote.
func (r *Router) ReleaseChanged(now Time, n ReleaseStatus) {
	r.now = now
	if n.VoteResult == Unsolicited || n.VoteResult == VoteAccepted {
		r.turnTo(n)
	}
	if n.VoteResult == VoteAccepted {
		r.poll(counts, 0, 0, nil)
	} else if n.VoteResult != Unsolicited {
		r.poll(drops, 0, 0, nil)
	}
}

// crowding fits, by a line through the last finished sends, how much each task that a host holds adds to the
// time of the next: near 1 where hosts work on one task at a time, and little where they have cores to spare.
func (r *Router) crowding(least int, longest, low, high float64) {
	if len(r.recent) < least {
		return
	}
	held, strains := laden(r.recent, longest)
	if _, spread := stat.MeanStdDev(held, nil); spread > 0 {
		base, more := stat.LinearRegression(held, strains, nil, false)
		r.crowd = min(high, max(low, more/max(0.1, base)))
	}
}

// pace is how slow a host's last sends were against what is usual, given what it held; sends still out count
// with their age. Few sends prove little: so many usual ones are assumed as doubt says, old ones forgotten.
func (r *Router) pace(h *Host, doubt float64, old Time) float64 {
	pace, n := doubt, doubt
	for _, p := range h.past {
		if r.now-p.at < old {
			pace, n = pace+p.pace, n+1
		}
	}
	for _, s := range h.open {
		usual := float64(s.Request.Class.mid) * (1 + r.crowd*s.held)
		if x := float64(r.now-s.at) / usual; x > 2 {
			pace, n = pace+x, n+1
		}
	}
	return pace / n
}

// ratio is the likelihood ratio of a gap that is as large as more against none, for a gap measured with some
// variance; its log is at most as stated, for the model itself may be wrong.
func ratio(gap, more, variance, most float64) float64 {
	return math.Exp(max(-most, min(most, (gap*more-more*more/2)/variance)))
}

// strong is how many warm hosts the hosts of a kind are worth.
func (r *Router) strong(is func(*Host) bool) (sum float64) {
	for _, h := range r.hosts {
		if is(h) {
			sum += r.strength(h)
		}
	}
	return sum
}

// able is what a host can do against others: its size, as far as the list hints at it, and as it warms.
func (r *Router) able(h *Host) float64 {
	if h.Weight <= 0 {
		return r.strength(h)
	}
	return h.Weight * r.strength(h)
}

// allAble adds up what the hosts of a kind that serve can do.
func (r *Router) allAble(is func(*Host) bool) (sum float64) {
	for _, h := range r.hosts {
		if h.State == Serving && is(h) {
			sum += r.able(h)
		}
	}
	return sum
}

// oldAble is what all hosts whose build is not on trial can do, worked out once for each moment.
func (r *Router) oldAble() float64 {
	m := r.standing()
	if m.ableAt != r.now {
		m.able, m.ableAt = r.allAble(r.old), r.now
	}
	return m.able
}

// warm tells hosts that have been up for long enough to do all they can.
func (r *Router) warm(h *Host) bool { return r.warmAt(h, r.now) }

func (r *Router) warmAt(h *Host, at Time) bool {
	return h.StartedAt == 0 || at-h.StartedAt >= r.limits.WarmUp
}

// strength is the share of its capacity that a host has at the least, as it warms.
func (r *Router) strength(h *Host) float64 {
	return r.strengthAt(h, r.now)
}

func (r *Router) strengthAt(h *Host, at Time) float64 {
	if r.warmAt(h, at) {
		return 1
	}
	return r.limits.ColdCapacity + (1-r.limits.ColdCapacity)*float64(max(0, at-h.StartedAt))/float64(r.limits.WarmUp)
}

// lately are the hosts that have answered since, so that a link to them is up; until it is asked for again.
func (r *Router) lately(all []*Host, from Time) []*Host {
	some := r.known[:0]
	for _, h := range all {
		if h.linkAt > from {
			some = append(some, h)
		}
	}
	r.known = some
	return some
}

// holds is what most hosts hold at the most, as they reported or the desk counted, or as own sends say.
func (r *Router) holds() float64 {
	switch m := r.standing(); {
	case len(r.reports) > 0:
		return above(r.reports, 0.5)
	case r.counting():
		return r.laden
	default:
		return float64((m.out[near]+m.out[far])*r.routers) / float64(max(1, m.well[near]+m.well[far]))
	}
}

// share is how many of the last ended sends are of a kind.
func (r *Router) share(last int, is func(moment) bool) (share float64) {
	for _, x := range r.done[max(0, len(r.done)-last):] {
		if is(x) {
			share += 1 / float64(last)
		}
	}
	return share
}

// mean is the middle of the last figures kept.
func mean(all []float64) float64 { return stat.Mean(all[max(0, len(all)-64):], nil) }

// heardOf are the desk's counts to be judged, of the build and of the one before it, over the same time.
// Those of a time when no host of the build was warm speak of the cold.
func (r *Router) heardOf(now, before int) (of [2][]BuildStats) {
	of[0] = pickCounts(r.counts, func(x BuildStats) bool { return x.Build == now && x.warm > 0 })
	of[1] = pickCounts(r.counts, func(x BuildStats) bool {
		return x.Build == before && len(of[0]) > 0 && x.at >= of[0][0].at
	})
	return of
}

// tallied weighs what the desk counted of a category while so many hosts or more ran the build: by how much
// more than a least share and the usual one it failed.
func (r *Router) tallied(c *Class, now, before, few int, floor float64, gaps ...float64) float64 {
	wide := func(x BuildStats) bool { return x.Build == now && x.hosts >= few }
	bad, n, hosts := counted(pickCounts(r.counts, wide), c)
	was, of, _ := counted(pickCounts(r.counts, func(x BuildStats) bool { return x.Build == before }), c)
	return spoken(odds([]part{{bad, n, max(floor, (was+0.5)/(of+1))}}, gaps...), hosts)
}

// ConfigChanged takes over other settings while the router runs; what was sent and seen before counts on.
func (r *Router) ConfigChanged(now Time, routers, rank int, l Limits, d ReleaseConfig) {
	r.now = now
	if r.limits.PushedDiscovery && !l.PushedDiscovery { // from now on the list must be asked for
		r.effects.WatchEndpoints()
	}
	r.routers, r.rank, r.limits, r.desk = max(1, routers), rank, l, d
	r.muster.counted = false
}

// usually learns from an answer of the earlier build what a category takes.
func (r *Router) usually(c *Class, s *Attempt, x sample) {
	if s.outcome != Succeeded || !r.old(s.Host) {
		return
	}
	c.took = keep(c.took, x.took, 64)
	c.work = keep(c.work, float64(x.took)/(1+r.crowd*s.held), 64)
	if !r.counting() || len(r.counts) == 0 { // the middle and more, for the tail: slow hosts weigh little
		c.mid = max(1, Time(above(c.work, 0.5)*4/3))
	}
	r.recent = keep(r.recent, x, 200)
}

// calmShare is what share of a category the desk counted to go wrong at a build before the trial, when all
// load was its own; as if leaning on so many sends of a usual share.
func (r *Router) calmShare(before *book, c *Class, usual, kin float64) float64 {
	bad, n, _ := counted(pickCounts(r.counts, func(x BuildStats) bool {
		return x.Build == before.build && x.at <= r.offered
	}), c)
	return part{bad: bad, n: n}.share(part{0.5, 0.5 / usual, 0}, kin)
}

// blamed is how many answers of a build all routers heard complaints of, among the sends that the desk
// counted; these come later, so there are never fewer.
func (r *Router) blamed(b *book) part {
	bad := float64(r.blames[b.build])
	return part{bad: bad, n: max(1, bad, r.sendsAt(b.build)/max(0.01, r.desk.SampledShare))}
}

// strained is how jammed the side is that is the less so, of those that have hosts.
func (r *Router) strained(c *Class) float64 {
	if r.limits.MaxGossipBytes > 0 {
		return r.rushed(c)
	}
	m := r.standing()
	switch {
	case m.well[near] == 0:
		return r.jam(far)
	case m.well[far] == 0:
		return r.jam(near)
	}
	return min(r.jam(near), r.jam(far))
}

// parts are those of the plan, until it is asked for again.
func (r *Router) parts(from []*Host) []float64 {
	r.planned = r.planned[:0]
	for _, h := range from {
		r.planned = append(r.planned, h.part)
	}
	return r.planned
}

// drawBy draws a host, each as often as its weight says.
func (r *Router) drawBy(from []*Host, weights []float64) *Host {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	const grain = 1 << 20 // finer than any share that matters
	at := float64(r.chance(grain)) / grain * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return from[i]
		}
	}
	return from[len(from)-1]
}

// surge reads the table of swells.
func (r *Router) surge(in swellInput) {
	for _, row := range swells {
		if row.state == r.swell && row.input == in {
			r.swell, r.surged = row.next, r.now
			return
		}
	}
}

// slowest is how much longer than before the trial sends take since from: by the desk's counts of all, in the
// category that is the least so, or by own answers; and how many sends say so.
func (r *Router) slowest(before *book, from Time) (gap, n float64) {
	if !r.byDesk() {
		logs := before.slowness(from, r.crowd)
		return stat.Mean(logs, nil), float64(len(logs))
	}
	gap = math.Inf(1)
	for _, c := range r.cats {
		g, k := calmer(r.counts, c, before.build, before.build, r.offered, from, 0)
		h, l := calmer(r.counts, c, before.build, r.news.Build, r.offered, from, 0) // in the end it has most of the sends
		if k+l > 0 {
			gap, n = min(gap, (g*k+h*l)/(k+l)), n+k+l
		}
	}
	return gap, n
}

// tasted is the share of the sends since a moment that went on trial, as the desk counted them, or of the
// own.
func (r *Router) tasted(from Time) float64 {
	at, all := since(r.tried, from, nil), since(r.tried, from, nil)+since(r.flow, from, nil)
	if r.byDesk() {
		at, all = 0, 0
		for _, x := range r.counts {
			if x.at > from {
				if all += float64(x.Samples); x.Build == r.news.Build {
					at += float64(x.Samples)
				}
			}
		}
	}
	return at / max(1, all)
}
