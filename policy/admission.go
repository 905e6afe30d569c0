package policy

import (
	"math"
)

// admissionState is the work that each locality completed lately.
type admissionState struct {
	completed [2]completedWork
}

// completedWork is what a locality completed lately; the sums are worked out once for each moment.
type completedWork struct {
	responses responseCounter

	computedAt Time
	span       Time
	work       float64 // usual latencies of the responses of the span, added up
	slowdown   float64 // actual latencies over usual ones; infinite where too few responses tell
}

// responseCounter is one side's last answers, with running sums of those in a window: whole numbers, so that their order is no
// matter.
type responseCounter struct {
	responses             []countedResponse
	windowStart           int // of all that lies in the window
	usualLatency, latency Time
}

// countedResponse is one finished send, by its number among all that ended.
type countedResponse struct {
	sequence                  int
	at, usualLatency, latency Time
}

// add takes in one more answer.
func (t *responseCounter) add(x countedResponse) {
	t.responses = append(t.responses, x)
	t.usualLatency, t.latency = t.usualLatency+x.usualLatency, t.latency+x.latency
}

// advance moves the window's start to a moment and lets go of answers that are older than the oldest wanted or were
// dropped, those with lower numbers than the first kept. It returns how many lie in the window.
func (t *responseCounter) advance(from, oldest Time, kept int) int {
	out := func() {
		t.usualLatency, t.latency = t.usualLatency-t.responses[t.windowStart].usualLatency, t.latency-t.responses[t.windowStart].latency
		t.windowStart++
	}
	for t.windowStart < len(t.responses) && t.responses[t.windowStart].at < from {
		out()
	}
	n := 0
	for ; n < len(t.responses) && (t.responses[n].at < oldest || t.responses[n].sequence < kept); n++ {
		if t.windowStart <= n {
			out()
		}
	}
	t.responses, t.windowStart = t.responses[n:], t.windowStart-n
	return len(t.responses) - t.windowStart
}

// recentWork is the work that a side answered lately, in usual times and one task at the least, and the span:
// the short one, or as far back as the long one for enough answers; and how often longer than usual those of
// the short one took, if they are a few. It is worked out once for each moment.
func (r *Router) recentWork(side int, short, long Time, few, enough int) (float64, Time, float64) {
	w := &r.admission.completed[side]
	if w.computedAt != r.now {
		w.computedAt, w.span, w.slowdown = r.now, min(short, r.now-r.startedAt), math.Inf(1)
		n := w.responses.advance(r.now-short, r.now-long, r.traffic.endedBase)
		w.work = float64(w.responses.usualLatency)
		if n >= few && n > 0 {
			w.slowdown = float64(w.responses.latency) / w.work
		}
		for i := w.responses.windowStart - 1; i >= 0; i-- {
			x := w.responses.responses[i]
			age := r.now - x.at
			if age > w.span && n >= enough {
				break
			}
			n, w.work, w.span = n+1, w.work+float64(x.usualLatency), max(w.span, age)
		}
		if n < enough {
			w.span = min(long, r.now-r.startedAt)
		}
		for _, class := range r.classes {
			w.work = max(w.work, float64(class.usualLatency))
		}
	}
	return w.work, w.span, w.slowdown
}

// meanInFlight is the sends out at a side's hosts that are well, as the mean over a span, and these hosts.
func (r *Router) meanInFlight(side int, over Time) (out, hosts float64) {
	if over == 0 {
		m := r.snapshot()
		return float64(m.inFlight[side]), float64(m.healthy[side])
	}
	part := func(t Time) float64 { return float64(max(0, min(t, over))) / float64(max(1, over)) }
	for _, host := range r.hosts {
		if host.health != healthy || !r.isBaseline(host) || r.localityOf(host) != side {
			continue
		}
		hosts++
		for _, attempt := range host.inFlight {
			out += part(r.now - attempt.sentAt)
		}
	}
	for i := len(r.traffic.ended) - 1; i >= 0 && r.traffic.ended[i].at > r.now-over; i-- {
		if x := &r.traffic.ended[i]; x.locality == side {
			out += part(min(x.latency, over-(r.now-x.at)))
		}
	}
	return out, hosts
}

// expectedSlowdown is how often longer than usual the hosts nearby or the rest take to answer: what is out at those that
// work, by the rate at which work was answered. As what is out drains it falls, and hosts are never left
// idle. One of many routers has little out, by chance more or less: it takes the mean of the time in which
// so many tasks are answered, and counts answers over longer. Nor can it see a host hang: where some answer
// nothing, while what others answer comes in time, there is no jam.
func (r *Router) expectedSlowdown(side int) float64 {
	const few, blink = 10, Second                          // answers to take the mean over, at the longest
	const luck, lag = 0.5, 3.0                             // spreads over its due; times as slow as answers are
	const short, long, enough = 2 * Second, 8 * Second, 20 // to count answers over
	work, span, strain := r.recentWork(side, short, long, enough/4, enough)
	rest := max(0, 1-4/float64(r.routers)) // each of up to four sees enough of all sends at each moment
	out, hosts := r.meanInFlight(side, Time(rest*float64(min(blink, few*r.meanCompletionInterval(few)))))
	if out -= luck * math.Sqrt(out*rest); out*float64(r.routers) <= hosts {
		return 0
	}
	if rest == 0 {
		strain = math.Inf(1)
	}
	return min(out*float64(span)/work, lag*strain)
}

// expectedClassSlowdown is the jam of one category, as this router and its peers see it together: one alone of hundreds
// holds a send or none, and a category that waits by itself at all hosts is no jam of the others.
func (r *Router) expectedClassSlowdown(class *Class) float64 {
	const few, luck, lag = 10, 0.5, 3.0 // usual answers to lean on; as in a jam seen alone
	out, hosts := 0.0, float64(r.snapshot().healthy[localZone]+r.snapshot().healthy[remoteZones])
	r.countInFlight()
	for _, other := range r.classes {
		out += float64(other.inFlight) + other.peerStats.decayedTo(r.now).inFlight
	}
	if out*float64(r.routers)/(1+r.gossip.activePeers*decayFactor(r.now-r.gossip.receivedAt)) <= hosts {
		return 0
	}
	own, told, lean := class.ownStats.decayedTo(r.now), class.peerStats.decayedTo(r.now), few*float64(class.usualLatency)
	work, took := own.usualLatency+told.usualLatency+lean, own.latency+told.latency+lean
	out = float64(class.inFlight) + told.inFlight
	out = max(0, out-luck*math.Sqrt(out))
	return min((out*float64(decayTime)+lean)/work, lag*took/work)
}

// leastExpectedSlowdown is how jammed the side is that is the less so, of those that have hosts.
func (r *Router) leastExpectedSlowdown(class *Class) float64 {
	if r.limits.MaxGossipBytes > 0 {
		return r.expectedClassSlowdown(class)
	}
	m := r.snapshot()
	switch {
	case m.healthy[localZone] == 0:
		return r.expectedSlowdown(remoteZones)
	case m.healthy[remoteZones] == 0:
		return r.expectedSlowdown(localZone)
	}
	return min(r.expectedSlowdown(localZone), r.expectedSlowdown(remoteZones))
}

// shedsLoad turns a task back early when the hosts around the one chosen would answer it too late. The less a
// task earns for its time, the sooner, and sooner yet beyond its customer's share.
func (r *Router) shedsLoad(request *Request, host *Host) bool {
	const high, low, beyond = 1.0, 0.8, 0.5 // of the promised time: the tail is longer than the mean
	const last, firm, least = 30, 1.0, 0.4  // of the last answers: as many as come late, the sooner
	const begin, end = 0.4, 0.8             // of the limit: what all know alike not all must do at once
	limit, better := high, 0
	for _, class := range r.classes {
		if class.PriorityWeight*float64(request.Class.usualLatency) > request.Class.PriorityWeight*float64(class.usualLatency) {
			better++
		}
	}
	if 2*better >= len(r.classes) {
		limit = low
	}
	if c := request.Tenant; c != nil && countSince(c.arrivals, r.now-2*Second, nil) > 2.4*c.QuotaPerSecond/float64(r.routers) {
		limit *= beyond
	}
	limit *= max(least, 1-firm*r.lateShare(request.Class, last))
	limit *= float64(min(request.Class.LatencyObjective, request.Timeout))
	if r.limits.MaxGossipBytes == 0 {
		return r.expectedSlowdown(r.localityOf(host))*float64(request.Class.usualLatency) > limit
	}
	took := r.expectedClassSlowdown(request.Class) * float64(request.Class.usualLatency)
	return float64(r.random.intN(1000)) < 1000*(took/limit-begin)/(end-begin)
}

// lateShare is how many of the last ended sends of a category were late; where hundreds of routers see few,
// those of others are taken to be in time.
func (r *Router) lateShare(class *Class, last int) float64 {
	if r.limits.MaxGossipBytes == 0 {
		return r.traffic.endedShare(last, func(x trafficEvent) bool { return x.late })
	}
	late, n := 0.0, float64(last)/3
	for _, x := range r.traffic.ended[max(0, len(r.traffic.ended)-last):] {
		if x.class == class {
			if n++; x.late {
				late++
			}
		}
	}
	return late / n
}

// admissionStats sums up a category's sends: how many are out, and of those answered their usual and their real times.
type admissionStats struct {
	at                              Time
	inFlight, usualLatency, latency float64
}

func (p admissionStats) decayedTo(now Time) admissionStats {
	f := decayFactor(now - p.at)
	return admissionStats{now, p.inFlight * f, p.usualLatency * f, p.latency * f}
}

func (p *admissionStats) add(x admissionStats) {
	y := p.decayedTo(max(x.at, p.at))
	*p = admissionStats{y.at, y.inFlight + x.inFlight, y.usualLatency + x.usualLatency, y.latency + x.latency}
}

// countInFlight counts the sends of each category that are out at hosts that do well, over ways that do: a cut is
// no jam.
func (r *Router) countInFlight() {
	for _, class := range r.classes {
		class.inFlight = 0
	}
	both := r.mergesZones()
	for _, host := range r.hosts {
		if host.health != healthy || !both && r.localityOf(host) == remoteZones {
			continue
		}
		for _, attempt := range host.inFlight {
			attempt.Request.Class.inFlight++
		}
	}
}
