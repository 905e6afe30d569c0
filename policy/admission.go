package policy

import "math"

// admissionState is the work that each locality completed recently.
type admissionState struct {
	completed [2]completedWork
}

// completedWork is the work that a locality completed recently. Its sums are cached until the router's time advances.
type completedWork struct {
	responses responseCounter

	computedAt Time
	span       Time    // length of the period in which the work was completed
	work       float64 // sum of the usual latencies of the responses in the span; at least the usual latency of the slowest class
	slowdown   float64 // ratio of actual to usual latencies over the last two seconds; infinite if there are too few responses
}

// responseCounter keeps the last successes of a locality, with running sums over those in a window. The sums are
// integers, so that the order of additions doesn't matter.
type responseCounter struct {
	responses             []countedResponse
	windowStart           int  // index of the first response in the window
	usualLatency, latency Time // sums over the responses in the window
}

// countedResponse is one success; sequence is its number among all ended attempts.
type countedResponse struct {
	sequence                  int
	at, usualLatency, latency Time
}

func (c *responseCounter) add(response countedResponse) {
	c.responses = append(c.responses, response)
	c.usualLatency, c.latency = c.usualLatency+response.usualLatency, c.latency+response.latency
}

// advance moves the start of the window forward to the time in its first argument. It drops responses that ended before
// oldest or whose sequence number is lower than firstKept. It returns the number of responses in the window.
func (c *responseCounter) advance(from, oldest Time, firstKept int) int {
	shrink := func() {
		leaving := &c.responses[c.windowStart]
		c.usualLatency, c.latency = c.usualLatency-leaving.usualLatency, c.latency-leaving.latency
		c.windowStart++
	}
	for c.windowStart < len(c.responses) && c.responses[c.windowStart].at < from {
		shrink()
	}
	dropped := 0
	for ; dropped < len(c.responses); dropped++ {
		if c.responses[dropped].at >= oldest && c.responses[dropped].sequence >= firstKept {
			break
		}
		if c.windowStart <= dropped {
			shrink()
		}
	}
	c.responses, c.windowStart = c.responses[dropped:], c.windowStart-dropped
	return len(c.responses) - c.windowStart
}

// recentWork is the work that a locality completed in the last two seconds. If too few responses ended in that time,
// the span is extended until it includes enough, up to eight seconds.
func (r *Router) recentWork(at locality) *completedWork {
	const short, long = 2 * Second, 8 * Second
	const minResponses, minForSlowdown = 20, 5
	completed := &r.admission.completed[at]
	if completed.computedAt == r.now {
		return completed
	}
	age := r.now - r.startedAt
	completed.computedAt, completed.span, completed.slowdown = r.now, min(short, age), math.Inf(1)
	n := completed.responses.advance(r.now-short, r.now-long, r.traffic.endedBase)
	completed.work = float64(completed.responses.usualLatency)
	if n >= minForSlowdown {
		completed.slowdown = float64(completed.responses.latency) / completed.work
	}
	for i := completed.responses.windowStart - 1; i >= 0; i-- {
		response := completed.responses.responses[i]
		elapsed := r.now - response.at
		if elapsed > completed.span && n >= minResponses {
			break
		}
		n, completed.work, completed.span = n+1, completed.work+float64(response.usualLatency), max(completed.span, elapsed)
	}
	if n < minResponses {
		completed.span = min(long, age)
	}
	for _, class := range r.classes {
		completed.work = max(completed.work, float64(class.usualLatency))
	}
	return completed
}

// meanInFlight is the mean number of attempts in flight at a locality's healthy baseline hosts over the span that ends
// now, and the number of these hosts. If the span is 0, it counts the attempts in flight now.
func (r *Router) meanInFlight(at locality, span Time) (inFlight, hosts float64) {
	if span == 0 {
		fleet := r.snapshot()
		return float64(fleet.inFlight[at]), float64(fleet.healthy[at])
	}
	share := func(t Time) float64 { return float64(max(0, min(t, span))) / float64(max(1, span)) }
	for _, host := range r.hosts {
		if host.health != healthy || !r.isBaseline(host) || r.localityOf(host) != at {
			continue
		}
		hosts++
		for _, attempt := range host.inFlight {
			inFlight += share(r.now - attempt.sentAt)
		}
	}
	for i := len(r.traffic.ended) - 1; i >= 0 && r.traffic.ended[i].at > r.now-span; i-- {
		if event := &r.traffic.ended[i]; event.locality == at {
			inFlight += share(min(event.latency, span-(r.now-event.at)))
		}
	}
	return inFlight, hosts
}

// Constants of the expected slowdown of a locality or a class.
const (
	chanceDeviations = 0.5 // standard deviations that are deducted from the number of attempts in flight, because it varies by chance
	maxSlowdownRatio = 3.0 // upper limit, as a multiple of the slowdown of responses: one of many routers can't detect hung hosts, where attempts stay in flight
)

// expectedSlowdown is how many times longer than usual the hosts of a locality are expected to take to respond: the
// attempts in flight at healthy hosts, divided by the rate at which work was completed. It falls as these attempts
// complete. It is 0 while the attempts in flight of all routers, extrapolated from those of this router, are at most
// one per host, so that no host is left idle. One of many routers has few attempts in flight, and their number varies
// by chance, so such a router uses the mean over the time in which several responses arrive.
func (r *Router) expectedSlowdown(at locality) float64 {
	const responses, longest = 10, Second // the mean covers the time in which this many responses arrive, up to the longest span
	const routersThatSeeAll = 4           // in a fleet of up to this many routers, each sees enough attempts at any time
	completed := r.recentWork(at)
	slowdown := completed.slowdown
	unseenShare := max(0, 1-routersThatSeeAll/float64(r.routers))
	span := Time(unseenShare * float64(min(longest, responses*r.meanCompletionInterval(responses))))
	inFlight, hosts := r.meanInFlight(at, span)
	if inFlight -= chanceDeviations * math.Sqrt(inFlight*unseenShare); inFlight*float64(r.routers) <= hosts {
		return 0
	}
	if unseenShare == 0 {
		slowdown = math.Inf(1)
	}
	return min(inFlight*float64(completed.span)/completed.work, maxSlowdownRatio*slowdown)
}

// expectedClassSlowdown is the expected slowdown of one class, from what this router and its peers observe together,
// because one of hundreds of routers has at most one attempt in flight. Each class has its own slowdown, because a
// class that is slow at all hosts for a reason of its own does not mean that the other classes are overloaded.
func (r *Router) expectedClassSlowdown(class *Class) float64 {
	const usualResponses = 10 // assumed responses of usual latency that are added to the observed ones
	inFlight, hosts := 0.0, float64(r.snapshot().healthy[localZone]+r.snapshot().healthy[remoteZones])
	r.countInFlight()
	for _, other := range r.classes {
		inFlight += float64(other.inFlight) + other.peerStats.decayedTo(r.now).inFlight
	}
	if inFlight*float64(r.routers)/(1+r.gossip.activePeers*decayFactor(r.now-r.gossip.receivedAt)) <= hosts {
		return 0
	}
	own, peers := class.ownStats.decayedTo(r.now), class.peerStats.decayedTo(r.now)
	usual := usualResponses * float64(class.usualLatency)
	work, latency := own.usualLatency+peers.usualLatency+usual, own.latency+peers.latency+usual
	inFlight = float64(class.inFlight) + peers.inFlight
	inFlight = max(0, inFlight-chanceDeviations*math.Sqrt(inFlight))
	return min((inFlight*float64(decayTime)+usual)/work, maxSlowdownRatio*latency/work)
}

// leastExpectedSlowdown is the expected slowdown of the class if gossip is enabled. Otherwise it is the lower one of
// the expected slowdowns of the localities that have healthy hosts.
func (r *Router) leastExpectedSlowdown(class *Class) float64 {
	if r.limits.MaxGossipBytes > 0 {
		return r.expectedClassSlowdown(class)
	}
	fleet := r.snapshot()
	switch {
	case fleet.healthy[localZone] == 0:
		return r.expectedSlowdown(remoteZones)
	case fleet.healthy[remoteZones] == 0:
		return r.expectedSlowdown(localZone)
	}
	return min(r.expectedSlowdown(localZone), r.expectedSlowdown(remoteZones))
}

// shedsLoad reports whether to reject a request early because hosts in the locality of the chosen host are expected to
// respond too late. With gossip, all routers have the same view, so requests near the limit are rejected at random:
// otherwise all routers would start to reject requests at once.
func (r *Router) shedsLoad(request *Request, host *Host) bool {
	const rejectFirstAt, rejectAllAt = 0.4, 0.8 // ratios of the expected latency to the limit at which the first requests and all requests are rejected
	class := request.Class
	limit := r.latencyLimit(request)
	if r.limits.MaxGossipBytes == 0 {
		return r.expectedSlowdown(r.localityOf(host))*float64(class.usualLatency) > limit
	}
	expected := r.expectedClassSlowdown(class) * float64(class.usualLatency)
	return r.random.chance(1000 * (expected/limit - rejectFirstAt) / (rejectAllAt - rejectFirstAt))
}

// latencyLimit is the expected latency beyond which a request is rejected. It is a share of the request's latency
// objective or timeout, whichever is shorter. The share is lower for a class whose priority is low relative to its
// usual latency and for a tenant beyond its quota, and it falls with the share of late attempts among the last ones.
func (r *Router) latencyLimit(request *Request) float64 {
	const highPriority, lowPriority = 1.0, 0.8 // shares of the objective or timeout; the tail of latencies is longer than their mean
	const overQuota = 0.5
	const quotaWindow, burst = 2 * Second, 1.2 // window in which a tenant's requests are counted; allowed multiple of the quota
	const lastEnded, minOnTime = 30, 0.4       // number of ended attempts considered; lowest factor that late attempts apply to the limit
	class, limit, ranksHigher := request.Class, highPriority, 0
	for _, other := range r.classes {
		if other.PriorityWeight*float64(class.usualLatency) > class.PriorityWeight*float64(other.usualLatency) {
			ranksHigher++
		}
	}
	if 2*ranksHigher >= len(r.classes) {
		limit = lowPriority
	}
	if tenant := request.Tenant; tenant != nil &&
		countSince(tenant.arrivals, r.now-quotaWindow, nil) > 2*burst*tenant.QuotaPerSecond/float64(r.routers) {
		limit *= overQuota
	}
	limit *= max(minOnTime, 1-r.lateShare(class, lastEnded))
	return limit * float64(min(class.LatencyObjective, request.Timeout))
}

// lateShare is the share of late attempts among the given number of most recently ended attempts. With gossip, it
// counts only the attempts of the class among them and adds some assumed attempts that were on time, because one of
// hundreds of routers sees few attempts of a class.
func (r *Router) lateShare(class *Class, last int) float64 {
	const attemptsPerOnTime = 3 // one assumed on-time attempt is added for this many of the last attempts
	if r.limits.MaxGossipBytes == 0 {
		return r.traffic.endedShare(last, func(event trafficEvent) bool { return event.late })
	}
	late, n := 0.0, float64(last)/attemptsPerOnTime
	for _, event := range r.traffic.ended[max(0, len(r.traffic.ended)-last):] {
		if event.class == class {
			if n++; event.late {
				late++
			}
		}
	}
	return late / n
}

// admissionStats are decayed sums over the attempts of a class: the number in flight, and the usual and actual latencies
// of successes.
type admissionStats struct {
	at                              Time
	inFlight, usualLatency, latency float64
}

func (s admissionStats) decayedTo(now Time) admissionStats {
	f := decayFactor(now - s.at)
	return admissionStats{now, s.inFlight * f, s.usualLatency * f, s.latency * f}
}

func (s *admissionStats) add(x admissionStats) {
	y := s.decayedTo(max(x.at, s.at))
	*s = admissionStats{y.at, y.inFlight + x.inFlight, y.usualLatency + x.usualLatency, y.latency + x.latency}
}

// countInFlight counts the attempts of each class that are in flight at healthy hosts over network paths that are not
// degraded: an attempt stuck on a degraded path is no sign of overload.
func (r *Router) countInFlight() {
	for _, class := range r.classes {
		class.inFlight = 0
	}
	merged := r.mergesZones()
	for _, host := range r.hosts {
		if host.health != healthy || !merged && r.localityOf(host) == remoteZones {
			continue
		}
		for _, attempt := range host.inFlight {
			attempt.Request.Class.inFlight++
		}
	}
}
