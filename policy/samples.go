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

// randomN draws evenly from 0 up to n.
func (r *Router) randomN(n int) int {
	r.draws++
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], r.seed)
	binary.LittleEndian.PutUint64(b[8:], r.draws)
	h.Write(b[:])
	x := h.Sum64()
	return int((x ^ x>>32) % uint64(n))
}

// appendBounded appends and forgets all but the last n or more.
func appendBounded[T any](all []T, x T, n int) []T {
	if len(all) >= 2*n {
		all = slices.Clone(all[len(all)-n:])
	}
	return append(all, x)
}

// countSince counts the moments after from; a category narrows the count.
func countSince(all []trafficEvent, from Time, class *Class) (n float64) {
	for i := len(all) - 1; i >= 0 && all[i].at > from; i-- {
		if class == nil || all[i].class == class {
			n++
		}
	}
	return n
}

// upperQuantile is the value that a share of all lies above.
func upperQuantile[T cmp.Ordered](all []T, share float64) T {
	all = slices.Clone(all)
	slices.Sort(all)
	return all[int(float64(len(all)-1)*(1-share))]
}

// window is what is kept of a build.
func (r *Router) window(build int) *buildWindow {
	for _, b := range r.windows {
		if b.build == build {
			return b
		}
	}
	r.windows = appendBounded(r.windows, &buildWindow{build: build}, 4)
	return r.windows[len(r.windows)-1]
}

// summarizeByHost sums up samples by host, the ones with most bad last; how slow they were is told from a level.
func summarizeByHost(all []attemptSample, of func(attemptSample) bool, level func(attemptSample) float64) (sums []hostSummary) {
	for _, s := range all {
		if !of(s) {
			continue
		}
		i := slices.IndexFunc(sums, func(x hostSummary) bool { return x.host == s.host })
		if i < 0 {
			i, sums = len(sums), append(sums, hostSummary{host: s.host})
		}
		sums[i].attempts, sums[i].logSlowdown = sums[i].attempts+1, sums[i].logSlowdown+s.logSlowdown()-level(s)
		if s.outcome != Succeeded {
			sums[i].failures++
		}
	}
	slices.SortStableFunc(sums, func(a, b hostSummary) int { return int(a.failures - b.failures) })
	return sums
}

// applyEndpoint takes a change to the host list into the hosts, which stand in an order that is the same everywhere.
func (r *Router) applyEndpoint(l EndpointUpdate) {
	host := l.Host
	r.fleet.valid = false
	if !host.listed {
		host.listed = true
		at, _ := slices.BinarySearchFunc(r.hosts, host, func(a, b *Host) int { return int(a.ID) - int(b.ID) })
		r.hosts = slices.Insert(r.hosts, at, host)
	}
	if host.StartedAt != l.StartedAt || host.Build != l.Build { // another process: what the last one did says nothing of it
		host.samples, host.health, host.load, host.healthByHops = nil, healthy, nil, [3]healthStats{}
	}
	if host.State == Serving && l.State != Serving {
		host.leftAt = r.now
	}
	host.Zone, host.Cell, host.State, host.Build, host.Weight, host.StartedAt = l.Zone, l.Cell, l.State, l.Build, l.Weight, l.StartedAt
}

// PlanOffered tells shares worked out ahead; hosts that they don't name have none.
func (r *Router) PlanOffered(now Time, c WeightPlan) {
	r.now = now
	r.plan = c
	for _, host := range r.hosts {
		host.planWeight = c.Weights[host]
	}
}

// Forget drops a host that has long been gone and to which no send is out.
func (r *Router) Forget(host *Host) {
	if host.State == Removed && len(host.inFlight) == 0 {
		host.listed, r.fleet.valid = false, false
		r.hosts = slices.DeleteFunc(r.hosts, func(x *Host) bool { return x == host })
	}
}

// countHosts is how many hosts there are of a kind.
func (r *Router) countHosts(is func(*Host) bool) (n float64) {
	for _, host := range r.hosts {
		if is(host) {
			n++
		}
	}
	return n
}

// startAttempt notes a new send.
func (r *Router) startAttempt(request *Request, host *Host, role attemptRole) *Attempt {
	attempt := &Attempt{Request: request, Host: host, sentAt: r.now, build: host.Build, hostStartedAt: host.StartedAt, hostLoad: r.hostLoad(host), role: role}
	request.Attempts, host.inFlight = append(request.Attempts, attempt), append(host.inFlight, attempt)
	if host.health == healthy && r.isBaseline(host) {
		r.fleet.inFlight[r.localityOf(host)]++
	}
	host.attempts = appendBounded(host.attempts, trafficEvent{at: r.now, class: request.Class}, 256)
	if r.isBaseline(host) {
		r.baselineAttempts = appendBounded(r.baselineAttempts, trafficEvent{at: r.now, class: request.Class}, 8192)
	} else {
		r.canaryAttempts = appendBounded(r.canaryAttempts, trafficEvent{at: r.now, class: request.Class}, 8192)
	}
	return attempt
}

// finishAttempt notes the end of a send.
func (r *Router) finishAttempt(attempt *Attempt, outcome Outcome, load *LoadReport) {
	attempt.outcome = outcome
	class := attempt.Request.Class
	if outcome == Succeeded {
		class.ownStats.add(admissionStats{at: r.now, usualLatency: float64(class.usualLatency), latency: float64(r.now - attempt.sentAt)})
	}
	was := len(attempt.Host.inFlight)
	attempt.Host.inFlight = slices.DeleteFunc(attempt.Host.inFlight, func(x *Attempt) bool { return x == attempt })
	if attempt.Host.health == healthy && r.isBaseline(attempt.Host) {
		r.fleet.inFlight[r.localityOf(attempt.Host)] -= was - len(attempt.Host.inFlight)
	}
	if load != nil {
		if attempt.Host.load, attempt.Host.loadAt = load, r.now; load.ActiveRequests >= 0 {
			r.reportedLoads = appendBounded(r.reportedLoads, load.ActiveRequests, 64)
		}
	}
	if attempt.Host.connectedAt = r.now; outcome == ConnectFailed {
		attempt.Host.connectedAt = 0
	}
	x := trafficEvent{at: r.now, class: attempt.Request.Class, locality: r.localityOf(attempt.Host), outcome: outcome,
		late: r.now-attempt.Request.arrivedAt > attempt.Request.Class.LatencyObjective}
	way := healthStats{at: r.now, attempts: 1}
	if x.late || outcome == TimedOut || outcome == ConnectFailed || outcome == ConnectionLost {
		way.failures = 1
	}
	r.paths[x.locality].add(way)
	if outcome == Succeeded {
		x.usualLatency = x.class.usualLatency
	}
	if attempt.Host.health == healthy && r.isBaseline(attempt.Host) {
		x.latency = r.now - attempt.sentAt
	}
	before := len(r.ended)
	r.ended = appendBounded(r.ended, x, 4096)
	r.endedBase += before + 1 - len(r.ended)
	if x.usualLatency > 0 {
		r.completedWork[x.locality].last.add(countedResponse{r.endedBase + len(r.ended) - 1, x.at, x.usualLatency, x.latency})
	}
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

// newSample is what an ended send showed.
func (r *Router) newSample(attempt *Attempt, latency Time) attemptSample {
	x := attemptSample{at: r.now, latency: latency, hostAge: attempt.sentAt - attempt.hostStartedAt, host: attempt.Host, class: attempt.Request.Class, outcome: attempt.outcome,
		impatient: attempt.outcome == TimedOut && attempt.Request.Timeout < attempt.Request.Class.LatencyObjective, hostLoad: attempt.hostLoad,
		slowdown: float64(latency) / float64(attempt.Request.Class.usualLatency)}
	if r.limits.MaxGossipBytes > 0 { // where a category waits everywhere no host is to blame
		x.slowdown /= r.classSlowdown(attempt.Request.Class)
	}
	x.unqueuedSlowdown = x.slowdown / (1 + r.concurrencyCost*attempt.hostLoad)
	w := healthStats{at: r.now, attempts: 1, slowdown: min(x.slowdown, 8)} // one very long send says little
	if attempt.outcome != Succeeded {
		w.failures = 1
	}
	attempt.Host.healthByHops[0].add(w)
	if attempt.hostStartedAt == 0 {
		x.hostAge = math.MaxInt32
	}
	return x
}

// faultScore is a host's share of failed sends and its mean strain, as if over least sends or more, with what peers
// tell of it and sends that seem stuck.
func (r *Router) faultScore(host *Host, least int) (share, strain float64) {
	for _, p := range host.samples {
		if p.outcome != Succeeded {
			share++
		}
		strain += p.slowdown
	}
	w := host.peerHealth(r.now, firstHandWeight, secondHandWeight)
	n := max(float64(len(host.samples))+w.attempts, float64(least))
	return (share + w.failures) / n, (strain + w.slowdown) / n
}

// baselineWindow is the latest earlier build that some sends are known of, if any; where the desk's counts are judged, by
// these: a router of hundreds has a few sends of its own.
func (r *Router) baselineWindow(build, sends int) (last *buildWindow) {
	if r.statsOutweighOwn() {
		for _, x := range r.stats {
			if x.Build < build && (last == nil || x.Build > last.build) && r.countedAttempts(x.Build) > float64(sends) {
				last = r.window(x.Build)
			}
		}
	}
	if last != nil {
		return last
	}
	for _, b := range r.windows {
		if b.build < build && len(b.samples) > sends && (last == nil || b.build > last.build) {
			last = b
		}
	}
	return last
}

// filterStats are the counts of a kind.
func filterStats(all []BuildStats, of func(BuildStats) bool) (some []BuildStats) {
	for _, x := range all {
		if of(x) {
			some = append(some, x)
		}
	}
	return some
}

// sumStats adds up what the desk counted of a category.
func sumStats(all []BuildStats, class *Class) (bad, n float64, hosts int) {
	for _, x := range all {
		if x.Class == class {
			bad, n, hosts = bad+float64(x.Failures), n+float64(x.Samples), x.hosts
		}
	}
	return bad, n, hosts
}

// logLatencyGap is the log of how much longer the sends of one set of counts took than those of another, by
// category and period, with the sends behind each side and the hosts of the first.
func logLatencyGap(now, before []BuildStats) (gap, n, of float64, hosts int) {
	for _, x := range now {
		y, good := samePeriod(x, before), float64(x.Samples-x.Failures)
		if hosts = x.hosts; good > 0 && x.MeanLatency > 0 && y.MeanLatency > 0 {
			gap += good * (math.Log(float64(x.MeanLatency)/float64(y.MeanLatency)) - x.warmUpBias + y.warmUpBias)
			n, of = n+good, of+float64(y.Samples-y.Failures)
		}
	}
	return gap / max(1, n), n, of, hosts
}

// logLatencyGapToPast is the log of how much longer the sends at a build take now than those at another before the newest
// was offered, less so much, as the desk counted them, and the number of the former; a category narrows it.
func logLatencyGapToPast(all []BuildStats, class *Class, was, is int, offered, now Time, less float64) (gap, n float64) {
	for _, x := range all {
		if x.Build != is || x.MeanLatency <= 0 || x.receivedAt <= now || class != nil && x.Class != class {
			continue
		}
		took, sum := 0.0, 0.0
		for _, y := range all {
			if y.Build == was && y.MeanLatency > 0 && y.receivedAt <= offered && y.Class == x.Class {
				good := float64(y.Samples - y.Failures)
				took, sum = took+good*float64(y.MeanLatency), sum+good
			}
		}
		if good := float64(x.Samples - x.Failures); sum > 0 && took > 0 {
			gap, n = gap+good*(math.Log(float64(x.MeanLatency)*sum/took)-x.warmUpBias), n+good
		}
	}
	return gap/max(1, n) - less, n
}

// recentWork is the work that a side answered lately, in usual times and one task at the least, and the span:
// the short one, or as far back as the long one for enough answers; and how often longer than usual those of
// the short one took, if they are a few. It is worked out once for each moment.
func (r *Router) recentWork(side int, short, long Time, few, enough int) (float64, Time, float64) {
	w := &r.completedWork[side]
	if w.at != r.now {
		w.at, w.span, w.strain = r.now, min(short, r.now-r.startedAt), math.Inf(1)
		n := w.last.advance(r.now-short, r.now-long, r.endedBase)
		w.done = float64(w.last.usualLatency)
		if n >= few && n > 0 {
			w.strain = float64(w.last.latency) / w.done
		}
		for i := w.last.windowStart - 1; i >= 0; i-- {
			x := w.last.responses[i]
			age := r.now - x.at
			if age > w.span && n >= enough {
				break
			}
			n, w.done, w.span = n+1, w.done+float64(x.usualLatency), max(w.span, age)
		}
		if n < enough {
			w.span = min(long, r.now-r.startedAt)
		}
		for _, class := range r.classes {
			w.done = max(w.done, float64(class.usualLatency))
		}
	}
	return w.done, w.span, w.strain
}

// meanCompletionInterval is the mean time between the last so many ended sends.
func (r *Router) meanCompletionInterval(n int) Time {
	n = min(n, len(r.ended))
	if n == 0 {
		return r.now - r.startedAt
	}
	return (r.now - r.ended[len(r.ended)-n].at) / Time(n)
}

// snapshot counts hosts and the sends out at them, if anything but sends has changed since it was last done.
func (r *Router) snapshot() *fleetSnapshot {
	m := &r.fleet
	if m.valid {
		return m
	}
	*m = fleetSnapshot{valid: true}
	for _, host := range r.hosts {
		if host.health == ejected {
			m.ejected++
		}
		if !r.isBaseline(host) {
			continue
		}
		if m.baselineHosts++; host.Build > m.newestBaseline {
			m.newestBaseline, m.newestBaselineHosts = host.Build, 0
		}
		if host.Build == m.newestBaseline {
			m.newestBaselineHosts++
		}
		if host.health == healthy {
			m.healthy[r.localityOf(host)]++
			m.inFlight[r.localityOf(host)] += len(host.inFlight)
		}
	}
	return m
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
	for i := len(r.ended) - 1; i >= 0 && r.ended[i].at > r.now-over; i-- {
		if x := &r.ended[i]; x.locality == side {
			out += part(min(x.latency, over-(r.now-x.at)))
		}
	}
	return out, hosts
}

// failureEvidence weighs bad against n tries, part by part, as signs that a build fails more than the usual share: the
// mean likelihood ratio over a few sizes of the gap. Were the build good it would pass x with a chance of at
// most 1/x, however often it is looked at, and a mean of such odds keeps that bound; so many looks and tests
// raise no alarm.
func failureEvidence(parts []stratum, gaps ...float64) (mean float64) {
	for _, g := range gaps {
		sum := 0.0
		for _, x := range parts {
			p := x.expectedRate + g*(1-x.expectedRate)
			sum += x.failures*math.Log(p/x.expectedRate) + (x.attempts-x.failures)*math.Log((1-p)/(1-x.expectedRate))
		}
		mean += math.Exp(min(50, sum)) / float64(len(gaps))
	}
	return mean
}

// excludeWorstHosts are all hosts but a share of them, those with most failures, and how many of these have any. So few
// failures of a host as are stray are no sign that it differs from the rest.
func excludeWorstHosts(sums []hostSummary, but, stray float64) (some map[*Host]bool, failing int) {
	some = map[*Host]bool{}
	left := int(math.Ceil(but * float64(len(sums))))
	for i, x := range sums {
		if some[x.host] = i == 0 || i < len(sums)-left || x.failures <= stray; some[x.host] && x.failures > 0 {
			failing++
		}
	}
	return some, failing
}

// strataByTime parts sends of a kind by the time when they were made, each with the share of the originals of that
// time that went bad; kin is how many of these all the others weigh as much as. Hosts are spared as told.
func strataByTime(fresh, peers []attemptSample, is func(attemptSample) bool, but, stray float64, slotLength Time, priorWeight float64) (
	parts []stratum, hosts int) {
	flat := func(attemptSample) float64 { return 0 }
	some, hosts := excludeWorstHosts(summarizeByHost(fresh, is, flat), but, stray)
	same, _ := excludeWorstHosts(summarizeByHost(peers, is, flat), but, stray)
	was, all := map[Time]stratum{}, stratum{0.5, 1, 0}
	for _, s := range peers {
		if is(s) && same[s.host] {
			w := was[s.timeSlot(slotLength)]
			w.add(s)
			all.add(s)
			was[s.timeSlot(slotLength)] = w
		}
	}
	where := map[Time]int{}
	for _, s := range fresh {
		if !is(s) || !some[s.host] {
			continue
		}
		t := s.timeSlot(slotLength)
		if _, ok := where[t]; !ok {
			where[t], parts = len(parts), append(parts, stratum{expectedRate: was[t].failureRate(all, priorWeight)})
		}
		parts[where[t]].add(s)
	}
	return parts, hosts
}

// strataByPeriod does the same with the desk's counts, period by period.
func strataByPeriod(now, before []BuildStats, class *Class, priorWeight float64) (parts []stratum) {
	bad, n, _ := sumStats(before, class)
	all := stratum{0.5 + bad, 1 + n, 0}
	of := func(x BuildStats) stratum {
		return stratum{failures: float64(x.Failures), attempts: float64(x.Samples)}
	}
	for _, x := range now {
		if x.Class == class {
			p := of(x)
			p.expectedRate = of(samePeriod(x, before)).failureRate(all, priorWeight)
			parts = append(parts, p)
		}
	}
	return parts
}

// samePeriod is the count of the same category and period at the other build.
func samePeriod(x BuildStats, others []BuildStats) BuildStats {
	for _, y := range others {
		if y.Class == x.Class && y.receivedAt == x.receivedAt {
			return y
		}
	}
	return BuildStats{}
}

func (p *stratum) add(s attemptSample) {
	if p.attempts++; s.outcome != Succeeded {
		p.failures++
	}
}

// failureRate is how many went bad, leaning on all others as if these were kin.
func (p stratum) failureRate(all stratum, priorWeight float64) float64 {
	return (p.failures + priorWeight*all.failures/all.attempts) / (p.attempts + priorWeight)
}

// withRateFloor has no part whose usual share is below a floor.
func withRateFloor(parts []stratum, floor float64) []stratum {
	for i := range parts {
		parts[i].expectedRate = max(floor, parts[i].expectedRate)
	}
	return parts
}

// logSlowdownByTime tells how slow, as a log, sends of a kind were on average at the time of a sample, likewise.
func logSlowdownByTime(all []attemptSample, is func(attemptSample) bool, slotLength Time, priorWeight float64) func(attemptSample) float64 {
	type sum struct{ slow, n float64 }
	of, whole := map[Time]sum{}, sum{0, 0.01}
	for _, s := range all {
		if is(s) {
			t := of[s.timeSlot(slotLength)]
			of[s.timeSlot(slotLength)] = sum{t.slow + s.logSlowdown(), t.n + 1}
			whole = sum{whole.slow + s.logSlowdown(), whole.n + 1}
		}
	}
	return func(s attemptSample) float64 {
		t := of[s.timeSlot(slotLength)]
		return (t.slow + priorWeight*whole.slow/whole.n) / (t.n + priorWeight)
	}
}

// timeSlot is the span of the clock that a sample was sent in.
func (x attemptSample) timeSlot(slotLength Time) Time { return (x.at - x.latency) / slotLength }

// logSlowdown is the log of a sample's pace.
func (x attemptSample) logSlowdown() float64 { return math.Log(max(0.01, x.unqueuedSlowdown)) }

// hostLogSlowdowns are the logs of how slow hosts are, and the variance of their mean when hosts differ by so much among
// themselves and sends scatter by so much. Only hosts with the first of so many sends count, else the next.
func hostLogSlowdowns(hosts []hostSummary, differ, scatter float64, least ...float64) (logs []float64, variance float64) {
	for len(logs) == 0 && len(least) > 0 {
		for _, x := range hosts {
			if x.attempts >= least[0] {
				logs, variance = append(logs, x.logSlowdown/x.attempts), variance+differ*differ+scatter/x.attempts
			}
		}
		least = least[1:]
	}
	return logs, variance / max(1, float64(len(logs)*len(logs)))
}

// peerFaultScores is how the other hosts of a host's build do.
func (r *Router) peerFaultScores(host *Host, least int) (shares, strains []float64) {
	for _, p := range r.hosts {
		if p != host && p.Build == host.Build && p.State == Serving &&
			float64(len(p.samples))+p.peerHealth(r.now, firstHandWeight, secondHandWeight).attempts > 2 {
			s, d := r.faultScore(p, least)
			shares, strains = append(shares, s), append(strains, d)
		}
	}
	return shares, strains
}

// baselineAttemptRate is how many sends a host of the build with most hosts gets from this router, worked out once for each
// moment. Hosts that left within the span count, or a lone newcomer would be due all their work.
func (r *Router) baselineAttemptRate(over Time) float64 {
	if r.baselineRate.at != r.now {
		of, most := map[int]float64{}, 1.0
		for _, host := range r.hosts {
			if host.State == Serving || r.now-host.leftAt < over {
				of[host.Build]++
				most = max(most, of[host.Build])
			}
		}
		r.baselineRate.at, r.baselineRate.rate = r.now, countSince(r.baselineAttempts, r.now-over, nil)/float64(over)/most
	}
	return r.baselineRate.rate
}

// splitByLocality are the hosts nearby and the rest, as far as they fit; until it is asked for again.
func (r *Router) splitByLocality(fits func(*Host) bool) (here, there []*Host) {
	here, there = r.localHosts[:0], r.remoteHosts[:0]
	for _, host := range r.hosts {
		switch {
		case host.State != Serving || !fits(host):
		case r.localityOf(host) == localZone:
			here = append(here, host)
		default:
			there = append(there, host)
		}
	}
	r.localHosts, r.remoteHosts = here, there
	return here, there
}

// complaintCount are those about sends as late as the samples kept.
func (b *buildWindow) complaintCount() (n float64) {
	for _, x := range b.complaints {
		if len(b.samples) > 0 && x.at >= b.samples[0].at {
			n++
		}
	}
	return n
}

// logLatencyRatiosSince is the log of how slow the earlier build's answers since from are against the time before the
// trial, and their number.
func (b *buildWindow) logLatencyRatiosSince(from Time, crowd float64) (logs []float64) {
	for _, x := range b.since(from + 1) {
		if x.class.baselineLatency > 0 {
			logs = append(logs, x.logLatencyRatio(crowd))
		}
	}
	return logs
}

// logLatencyRatio is the log of what a send took, less what the host's other tasks added, against the time before
// the trial.
func (x attemptSample) logLatencyRatio(crowd float64) float64 {
	return math.Log(float64(max(1, x.latency)) / (1 + crowd*x.hostLoad) / float64(x.class.baselineLatency))
}

// ClientGone says that a client has gone.
func (r *Router) ClientGone(now Time, request *Request) {
	r.now = now
	r.handleRequestEvent(request, requestEnded)
}

// HealthChecked takes in what a probe found: of the way, and what the host reports.
func (r *Router) HealthChecked(now Time, host *Host, outcome Outcome, _ Time, load *LoadReport) {
	r.now = now
	way := healthStats{at: now, attempts: 1}
	if outcome != Succeeded {
		way.failures = 1
	}
	r.paths[r.localityOf(host)].add(way)
	if load != nil {
		host.load, host.loadAt = load, now
	}
}

// ResponseStarted says that a send's answer has started to stream.
func (r *Router) ResponseStarted(now Time, attempt *Attempt) {
	r.now, attempt.responseStarted = now, true
}

// StatsReported takes in what the desk counted, with how many hosts ran the build and how many were warm by then.
func (r *Router) StatsReported(now Time, c BuildStats) {
	cold := 0.0
	r.now, c.receivedAt = now, now
	for _, host := range r.hosts {
		if host.Build == c.Build && host.State == Serving {
			c.hosts++
			cold += r.capacityFactorAt(host, now-c.Age-c.Window/2)
			if now-c.Age-c.Window-host.StartedAt > r.limits.WarmUp {
				c.warmShare++
			}
		}
	}
	c.warmShare /= max(1, float64(c.hosts))
	c.warmUpBias = math.Log(max(1, float64(c.hosts)) / max(r.limits.ColdCapacity, cold))
	if len(r.stats) == 0 || r.stats[len(r.stats)-1].receivedAt != now {
		r.countedLoad = 0 // what hosts hold: how much comes by how long it takes
	}
	if r.releaseConfig.SampledShare > 0 && c.Window > 0 {
		serve := r.countHosts(func(host *Host) bool { return host.State == Serving })
		r.countedLoad += float64(c.Samples) / r.releaseConfig.SampledShare / float64(c.Window) * float64(c.MeanLatency) / max(1, serve)
	}
	r.stats = appendBounded(r.stats, c, 240)
	if on, _, _ := r.exposureOf(c.Build); r.statsOutweighOwn() && !on {
		r.learnUsualLatencyFromStats(c.Class)
	}
}

// learnUsualLatencyFromStats sets what a category usually takes by the calmest of the desk's periods kept: hundreds of routers
// have too few sends of their own to tell, and were apart by ten times; and a category that waits long is
// not usual.
func (r *Router) learnUsualLatencyFromStats(class *Class) {
	const few, calm = 10, 0.85
	var means []Time
	for _, x := range r.stats {
		if on, _, _ := r.exposureOf(x.Build); !on && x.Class == class && x.Samples-x.Failures >= few {
			means = append(means, x.MeanLatency)
		}
	}
	if len(means) > 0 {
		class.usualLatency = max(1, upperQuantile(means, calm))
	}
}

// classSlowdown is how much longer than usual a category's answers take everywhere, by own ones and what peers told.
func (r *Router) classSlowdown(class *Class) float64 {
	lean := 5 * float64(class.usualLatency)
	own, told := class.ownStats.decayedTo(r.now), class.peerStats.decayedTo(r.now)
	return max(1, (own.latency+told.latency+lean)/(own.usualLatency+told.usualLatency+lean))
}

// lateShare is how many of the last ended sends of a category were late; where hundreds of routers see few,
// those of others are taken to be in time.
func (r *Router) lateShare(class *Class, last int) float64 {
	if r.limits.MaxGossipBytes == 0 {
		return r.endedShare(last, func(x trafficEvent) bool { return x.late })
	}
	late, n := 0.0, float64(last)/3
	for _, x := range r.ended[max(0, len(r.ended)-last):] {
		if x.class == class {
			if n++; x.late {
				late++
			}
		}
	}
	return late / n
}

// countedAttempts is how many sends at a build the desk counted.
func (r *Router) countedAttempts(build int) (n float64) {
	for _, x := range r.stats {
		if x.Build == build {
			n += float64(x.Samples)
		}
	}
	return n
}

// ComplaintReceived takes in that a client found an answer wrong.
func (r *Router) ComplaintReceived(now Time, host *Host, class *Class, age Time) {
	r.now = now
	if b := r.window(host.Build); host.StartedAt <= now-age {
		r.complaints[b.build]++
		r.unsentComplaints[b.build]++
		b.complaints = appendBounded(b.complaints, attemptSample{at: now, host: host, class: class}, 240)
	}
}

// handleRequestEvent reads the table of tasks.
func (r *Router) handleRequestEvent(request *Request, event requestEvent) {
	for _, row := range requestTransitions {
		if row.state == request.state && row.event == event {
			request.state = row.next
			row.action(r, request)
			return
		}
	}
}

// applyReleaseStatus takes over news, and at a new build remembers how quick the fleet was before it.
func (r *Router) applyReleaseStatus(n ReleaseStatus) {
	if !r.releaseKnown || n.Build != r.releaseStatus.Build || n.Stage != r.releaseStatus.Stage || n.Phase != r.releaseStatus.Phase {
		r.stageStartedAt, r.vote = r.now-n.Age, voteRecord{}
	}
	if n.Build != r.releaseStatus.Build {
		for _, class := range r.classes {
			class.baselineLatency = class.usualLatency
		}
		r.offeredAt, r.surge, r.surgeSince = r.now, surgeNone, r.now
		clear(r.stickyBuilds) // no key stays with the build before, which serves them all or has gone back
	}
	if r.releaseStatus, r.releaseKnown = n, true; n.Phase == Released {
		r.releasedBuild, r.releasedAt = n.Build, r.now-n.Age
	} else if n.Phase != Canary {
		if r.rolledBackBuild = n.Build; r.releasedBuild == n.Build {
			r.releasedBuild = 0
		}
	}
	r.fleet.valid = false
}

// loadsAndSlowdowns lists what hosts held, and the strain of their answers up to a limit.
func loadsAndSlowdowns(samples []attemptSample, limit float64) (held, strains []float64) {
	for _, s := range samples {
		held, strains = append(held, s.hostLoad), append(strains, min(s.slowdown, limit))
	}
	return held, strains
}

// localityOf tells hosts nearby from the rest.
func (r *Router) localityOf(host *Host) int {
	if host.Zone == r.zone {
		return localZone
	}
	return remoteZones
}

// start is when the samples kept of a build begin.
func (b *buildWindow) start() Time {
	if len(b.samples) == 0 {
		return 0
	}
	return b.samples[0].at
}

// since are the samples from a moment on.
func (b *buildWindow) since(from Time) []attemptSample {
	i, _ := slices.BinarySearchFunc(b.samples, from, func(x attemptSample, at Time) int { return int(x.at - at) })
	return b.samples[i:]
}

// exposureOf tells whether a build is on trial for this router, and at which stage and cap. One that is not
// announced yet counts as in the first stage.
func (r *Router) exposureOf(build int) (on bool, stage int, share float64) {
	switch {
	case build == r.rolledBackBuild && build < r.releaseStatus.Build: // its hosts may still be listed when the next is offered
		return true, 0, 0
	case !r.releaseKnown || build < r.releaseStatus.Build || build == r.releaseStatus.Build && r.releaseStatus.Phase == Released:
		return false, 0, 1
	case build > r.releaseStatus.Build && len(r.releaseConfig.ExposureCaps) > 0:
		return true, 0, r.releaseConfig.ExposureCaps[0]
	case build > r.releaseStatus.Build || r.releaseStatus.Phase != Canary:
		return true, 0, 0
	}
	return true, r.releaseStatus.Stage, r.releaseStatus.ExposureCap
}

// isBaseline tells hosts that serve with a build that is not on trial.
func (r *Router) isBaseline(host *Host) bool {
	on, _, _ := r.exposureOf(host.Build)
	return !on && host.State == Serving
}

// repeatsSafely tells whether a second run of the task does no harm anywhere.
func (c *Class) repeatsSafely() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == FleetScope
}

// stuckAttempts counts a host's sends that have been out for longer than so many usual times with no answer since
// from it.
func (h *Host) stuckAttempts(now Time, times float64) (n int) {
	for _, attempt := range h.inFlight {
		late := float64(now-attempt.sentAt) > times*float64(attempt.Request.Class.usualLatency)*(1+attempt.hostLoad)
		if late && (len(h.samples) == 0 || h.samples[len(h.samples)-1].at < attempt.sentAt) {
			n++
		}
	}
	return n
}

// RequestArrived accepts a task; from here on it is owed one final answer. More tasks are kept than any window holds.
func (r *Router) RequestArrived(now Time, request *Request) {
	r.now, request.arrivedAt = now, now
	r.arrivals = appendBounded(r.arrivals, trafficEvent{at: now, class: request.Class}, 8192)
	if c := request.Tenant; c != nil {
		c.arrivals = appendBounded(c.arrivals, trafficEvent{at: now, class: request.Class}, 4096)
	}
	r.handleRequestEvent(request, requestArrived)
}

// runsNewestBuild tells hosts that serve with the newest build told.
func (r *Router) runsNewestBuild(host *Host) bool {
	return host.Build == r.releaseStatus.Build && host.State == Serving
}

// missProbability is the chance that a task breaks its promised time on a side, as if answers took exponential times.
func (r *Router) missProbability(request *Request, side int) float64 {
	return math.Exp(-float64(request.Class.LatencyObjective) / max(1, r.expectedSlowdown(side)*float64(request.Class.usualLatency)))
}

// transitionHealth reads the table of healths.
func (r *Router) transitionHealth(host *Host, event healthEvent) {
	for _, row := range healthTransitions {
		if row.state == host.health && row.event == event {
			if host.health == ejected {
				host.samples = host.samples[max(0, len(host.samples)-1):] // none, where peers alone told of it
			}
			host.health, host.backoffUntil = row.next, r.now+row.backoff
			r.fleet.valid = false
			return
		}
	}
}

// transitionVote reads the table of ballots.
func (r *Router) transitionVote(event voteEvent, choice VoteChoice, w float64, testOdds []float64) {
	for _, row := range voteTransitions {
		if row.state != r.vote.state || row.event != event {
			continue
		}
		r.vote.state = row.next
		if row.castsVote {
			r.vote.choice, r.vote.castAt = choice, r.now
			r.effects.Vote(r.releaseStatus.Build, r.releaseStatus.Stage, choice)
			r.effects.Log(fmt.Sprintf("votes %d on build %d in stage %d: odds of bad %.2g, mean of %.2g",
				choice, r.releaseStatus.Build, r.releaseStatus.Stage, w, testOdds))
		}
		return
	}
}

// ReleaseChanged takes in the desk's news, or its answer to a vote.
func (r *Router) ReleaseChanged(now Time, n ReleaseStatus) {
	r.now = now
	if n.VoteResult == Unsolicited || n.VoteResult == VoteAccepted {
		r.applyReleaseStatus(n)
	}
	if n.VoteResult == VoteAccepted {
		r.transitionVote(voteCounted, 0, 0, nil)
	} else if n.VoteResult != Unsolicited {
		r.transitionVote(voteDropped, 0, 0, nil)
	}
}

// fitConcurrencyCost fits, by a line through the last finished sends, how much each task that a host holds adds to the
// time of the next: near 1 where hosts work on one task at a time, and little where they have cores to spare.
func (r *Router) fitConcurrencyCost(least int, longest, low, high float64) {
	if len(r.recentBaseline) < least {
		return
	}
	held, strains := loadsAndSlowdowns(r.recentBaseline, longest)
	if _, spread := stat.MeanStdDev(held, nil); spread > 0 {
		base, more := stat.LinearRegression(held, strains, nil, false)
		r.concurrencyCost = min(high, max(low, more/max(0.1, base)))
	}
}

// hostSlowdown is how slow a host's last sends were against what is usual, given what it held; sends still out count
// with their age. Few sends prove little: so many usual ones are assumed as doubt says, old ones forgotten.
func (r *Router) hostSlowdown(host *Host, doubt float64, old Time) float64 {
	pace, n := doubt, doubt
	for _, p := range host.samples {
		if r.now-p.at < old {
			pace, n = pace+p.unqueuedSlowdown, n+1
		}
	}
	for _, attempt := range host.inFlight {
		usual := float64(attempt.Request.Class.usualLatency) * (1 + r.concurrencyCost*attempt.hostLoad)
		if x := float64(r.now-attempt.sentAt) / usual; x > 2 {
			pace, n = pace+x, n+1
		}
	}
	return pace / n
}

// likelihoodRatio is the likelihood ratio of a gap that is as large as more against none, for a gap measured with some
// variance; its log is at most as stated, for the model itself may be wrong.
func likelihoodRatio(gap, more, variance, most float64) float64 {
	return math.Exp(max(-most, min(most, (gap*more-more*more/2)/variance)))
}

// totalCapacityFactor is how many warm hosts the hosts of a kind are worth.
func (r *Router) totalCapacityFactor(is func(*Host) bool) (sum float64) {
	for _, host := range r.hosts {
		if is(host) {
			sum += r.capacityFactor(host)
		}
	}
	return sum
}

// capacity is what a host can do against others: its size, as far as the list hints at it, and as it warms.
func (r *Router) capacity(host *Host) float64 {
	if host.Weight <= 0 {
		return r.capacityFactor(host)
	}
	return host.Weight * r.capacityFactor(host)
}

// totalCapacity adds up what the hosts of a kind that serve can do.
func (r *Router) totalCapacity(is func(*Host) bool) (sum float64) {
	for _, host := range r.hosts {
		if host.State == Serving && is(host) {
			sum += r.capacity(host)
		}
	}
	return sum
}

// baselineCapacity is what all hosts whose build is not on trial can do, worked out once for each moment.
func (r *Router) baselineCapacity() float64 {
	m := r.snapshot()
	if m.capacityAt != r.now {
		m.baselineCapacity, m.capacityAt = r.totalCapacity(r.isBaseline), r.now
	}
	return m.baselineCapacity
}

// isWarm tells hosts that have been up for long enough to do all they can.
func (r *Router) isWarm(host *Host) bool { return r.isWarmAt(host, r.now) }

func (r *Router) isWarmAt(host *Host, at Time) bool {
	return host.StartedAt == 0 || at-host.StartedAt >= r.limits.WarmUp
}

// capacityFactor is the share of its capacity that a host has at the least, as it warms.
func (r *Router) capacityFactor(host *Host) float64 {
	return r.capacityFactorAt(host, r.now)
}

func (r *Router) capacityFactorAt(host *Host, at Time) float64 {
	if r.isWarmAt(host, at) {
		return 1
	}
	return r.limits.ColdCapacity + (1-r.limits.ColdCapacity)*float64(max(0, at-host.StartedAt))/float64(r.limits.WarmUp)
}

// recentlyConnected are the hosts that have answered since, so that a link to them is up; until it is asked for again.
func (r *Router) recentlyConnected(all []*Host, from Time) []*Host {
	some := r.connectedHosts[:0]
	for _, host := range all {
		if host.connectedAt > from {
			some = append(some, host)
		}
	}
	r.connectedHosts = some
	return some
}

// typicalLoad is what most hosts hold at the most, as they reported or the desk counted, or as own sends say.
func (r *Router) typicalLoad() float64 {
	switch m := r.snapshot(); {
	case len(r.reportedLoads) > 0:
		return upperQuantile(r.reportedLoads, 0.5)
	case r.statsOutweighOwn():
		return r.countedLoad
	default:
		return float64((m.inFlight[localZone]+m.inFlight[remoteZones])*r.routers) / float64(max(1, m.healthy[localZone]+m.healthy[remoteZones]))
	}
}

// endedShare is how many of the last ended sends are of a kind.
func (r *Router) endedShare(last int, is func(trafficEvent) bool) (share float64) {
	for _, x := range r.ended[max(0, len(r.ended)-last):] {
		if is(x) {
			share += 1 / float64(last)
		}
	}
	return share
}

// recentMean is the middle of the last figures kept.
func recentMean(all []float64) float64 { return stat.Mean(all[max(0, len(all)-64):], nil) }

// comparableStats are the desk's counts to be judged, of the build and of the one before it, over the same time.
// Those of a time when no host of the build was warm speak of the cold.
func (r *Router) comparableStats(now, before int) (of [2][]BuildStats) {
	of[0] = filterStats(r.stats, func(x BuildStats) bool { return x.Build == now && x.warmShare > 0 })
	of[1] = filterStats(r.stats, func(x BuildStats) bool {
		return x.Build == before && len(of[0]) > 0 && x.receivedAt >= of[0][0].receivedAt
	})
	return of
}

// countedFailureEvidence weighs what the desk counted of a category while so many hosts or more ran the build: by how much
// more than a least share and the usual one it failed.
func (r *Router) countedFailureEvidence(class *Class, now, before, few int, floor float64, gaps ...float64) float64 {
	wide := func(x BuildStats) bool { return x.Build == now && x.hosts >= few }
	bad, n, hosts := sumStats(filterStats(r.stats, wide), class)
	was, of, _ := sumStats(filterStats(r.stats, func(x BuildStats) bool { return x.Build == before }), class)
	return boundByHosts(failureEvidence([]stratum{{bad, n, max(floor, (was+0.5)/(of+1))}}, gaps...), hosts)
}

// ConfigChanged takes over other settings while the router runs; what was sent and seen before counts on.
func (r *Router) ConfigChanged(now Time, routers, rank int, l Limits, d ReleaseConfig) {
	r.now = now
	if r.limits.PushedDiscovery && !l.PushedDiscovery { // from now on the list must be asked for
		r.effects.WatchEndpoints()
	}
	r.routers, r.rank, r.limits, r.releaseConfig = max(1, routers), rank, l, d
	r.fleet.valid = false
}

// learnUsualLatency learns from an answer of the earlier build what a category takes.
func (r *Router) learnUsualLatency(class *Class, attempt *Attempt, x attemptSample) {
	if attempt.outcome != Succeeded || !r.isBaseline(attempt.Host) {
		return
	}
	class.latencies = appendBounded(class.latencies, x.latency, 64)
	class.serviceTimes = appendBounded(class.serviceTimes, float64(x.latency)/(1+r.concurrencyCost*attempt.hostLoad), 64)
	if !r.statsOutweighOwn() || len(r.stats) == 0 { // the middle and more, for the tail: slow hosts weigh little
		class.usualLatency = max(1, Time(upperQuantile(class.serviceTimes, 0.5)*4/3))
	}
	r.recentBaseline = appendBounded(r.recentBaseline, x, 200)
}

// pretrialFailureRate is what share of a category the desk counted to go wrong at a build before the trial, when all
// load was its own; as if leaning on so many sends of a usual share.
func (r *Router) pretrialFailureRate(before *buildWindow, class *Class, usual, priorWeight float64) float64 {
	bad, n, _ := sumStats(filterStats(r.stats, func(x BuildStats) bool {
		return x.Build == before.build && x.receivedAt <= r.offeredAt
	}), class)
	return stratum{failures: bad, attempts: n}.failureRate(stratum{0.5, 0.5 / usual, 0}, priorWeight)
}

// complaintStratum is how many answers of a build all routers heard complaints of, among the sends that the desk
// counted; these come later, so there are never fewer.
func (r *Router) complaintStratum(b *buildWindow) stratum {
	bad := float64(r.complaints[b.build])
	return stratum{failures: bad, attempts: max(1, bad, r.countedAttempts(b.build)/max(0.01, r.releaseConfig.SampledShare))}
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

// hostPlanWeights are those of the plan, until it is asked for again.
func (r *Router) hostPlanWeights(from []*Host) []float64 {
	r.planWeights = r.planWeights[:0]
	for _, host := range from {
		r.planWeights = append(r.planWeights, host.planWeight)
	}
	return r.planWeights
}

// drawWeighted draws a host, each as often as its weight says.
func (r *Router) drawWeighted(from []*Host, weights []float64) *Host {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	const grain = 1 << 20 // finer than any share that matters
	at := float64(r.randomN(grain)) / grain * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return from[i]
		}
	}
	return from[len(from)-1]
}

// transitionSurge reads the table of swells.
func (r *Router) transitionSurge(event surgeEvent) {
	for _, row := range surgeTransitions {
		if row.state == r.surge && row.event == event {
			r.surge, r.surgeSince = row.next, r.now
			return
		}
	}
}

// surgeMagnitude is how much longer than before the trial sends take since from: by the desk's counts of all, in the
// category that is the least so, or by own answers; and how many sends say so.
func (r *Router) surgeMagnitude(before *buildWindow, from Time) (gap, n float64) {
	if !r.judgesByStats() {
		logs := before.logLatencyRatiosSince(from, r.concurrencyCost)
		return stat.Mean(logs, nil), float64(len(logs))
	}
	gap = math.Inf(1)
	for _, class := range r.classes {
		g, k := logLatencyGapToPast(r.stats, class, before.build, before.build, r.offeredAt, from, 0)
		h, l := logLatencyGapToPast(r.stats, class, before.build, r.releaseStatus.Build, r.offeredAt, from, 0) // in the end it has most of the sends
		if k+l > 0 {
			gap, n = min(gap, (g*k+h*l)/(k+l)), n+k+l
		}
	}
	return gap, n
}

// canaryShare is the share of the sends since a moment that went on trial, as the desk counted them, or of the
// own.
func (r *Router) canaryShare(from Time) float64 {
	at, all := countSince(r.canaryAttempts, from, nil), countSince(r.canaryAttempts, from, nil)+countSince(r.baselineAttempts, from, nil)
	if r.judgesByStats() {
		at, all = 0, 0
		for _, x := range r.stats {
			if x.receivedAt > from {
				if all += float64(x.Samples); x.Build == r.releaseStatus.Build {
					at += float64(x.Samples)
				}
			}
		}
	}
	return at / max(1, all)
}
