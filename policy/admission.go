package policy

import "math"

// admissionState is the work that each locality completed lately.
type admissionState struct {
	completed [2]completedWork
}

// completedWork is what a locality completed lately; the sums are worked out once for each moment.
type completedWork struct {
	responses responseCounter

	computedAt Time
	span       Time    // that work was completed in
	work       float64 // usual latencies of the responses of the span, added up; one request's at the least
	slowdown   float64 // actual latencies over usual ones; infinite where there are too few responses
}

// responseCounter keeps a locality's last successes, with running sums of those in a window. The sums are of integers,
// so that their order doesn't matter.
type responseCounter struct {
	responses             []countedResponse
	windowStart           int // index of the first response in the window
	usualLatency, latency Time
}

// countedResponse is one success; sequence is its number among all attempts that ended.
type countedResponse struct {
	sequence                  int
	at, usualLatency, latency Time
}

func (c *responseCounter) add(response countedResponse) {
	c.responses = append(c.responses, response)
	c.usualLatency, c.latency = c.usualLatency+response.usualLatency, c.latency+response.latency
}

// advance moves the window's start to a moment and drops responses that ended before the oldest moment or have a lower
// sequence number than the first one kept. It returns the number of responses in the window.
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

// recentWork is the work that a locality completed in the last two seconds, or in up to eight as far as that takes to find
// enough responses.
func (r *Router) recentWork(at locality) *completedWork {
	const short, long = 2 * Second, 8 * Second
	const enough, enoughForSlowdown = 20, 5
	completed := &r.admission.completed[at]
	if completed.computedAt == r.now {
		return completed
	}
	age := r.now - r.startedAt
	completed.computedAt, completed.span, completed.slowdown = r.now, min(short, age), math.Inf(1)
	n := completed.responses.advance(r.now-short, r.now-long, r.traffic.endedBase)
	completed.work = float64(completed.responses.usualLatency)
	if n >= enoughForSlowdown {
		completed.slowdown = float64(completed.responses.latency) / completed.work
	}
	for i := completed.responses.windowStart - 1; i >= 0; i-- {
		response := completed.responses.responses[i]
		since := r.now - response.at
		if since > completed.span && n >= enough {
			break
		}
		n, completed.work, completed.span = n+1, completed.work+float64(response.usualLatency), max(completed.span, since)
	}
	if n < enough {
		completed.span = min(long, age)
	}
	for _, class := range r.classes {
		completed.work = max(completed.work, float64(class.usualLatency))
	}
	return completed
}

// meanInFlight is the mean number of attempts in flight at a locality's healthy baseline hosts over a span that ends now,
// or their number now for no span, and the number of these hosts.
func (r *Router) meanInFlight(at locality, over Time) (inFlight, hosts float64) {
	if over == 0 {
		fleet := r.snapshot()
		return float64(fleet.inFlight[at]), float64(fleet.healthy[at])
	}
	share := func(t Time) float64 { return float64(max(0, min(t, over))) / float64(max(1, over)) }
	for _, host := range r.hosts {
		if host.health != healthy || !r.isBaseline(host) || r.localityOf(host) != at {
			continue
		}
		hosts++
		for _, attempt := range host.inFlight {
			inFlight += share(r.now - attempt.sentAt)
		}
	}
	for i := len(r.traffic.ended) - 1; i >= 0 && r.traffic.ended[i].at > r.now-over; i-- {
		if event := &r.traffic.ended[i]; event.locality == at {
			inFlight += share(min(event.latency, over-(r.now-event.at)))
		}
	}
	return inFlight, hosts
}

// Of the expected slowdown, by one locality or by one class.
const (
	chanceSpreads    = 0.5 // standard deviations of the number in flight that are put down to chance
	maxLagOfSlowdown = 3.0 // times the slowdown of responses, at the most: this router can't see a host hang
)

// expectedSlowdown is how many times longer than usual a locality's hosts take to answer: what is in flight at healthy
// ones, by the rate at which work was completed. It falls as that drains, and is 0 while this router's attempts are fewer
// than its share of the hosts, so that these are never left idle. One of many routers has little in flight, by chance more
// or less: it takes a mean over the time of some responses.
func (r *Router) expectedSlowdown(at locality) float64 {
	const responses, longest = 10, Second // to take the mean over
	const routersThatSeeAll = 4           // each of so few sees enough at each moment
	completed := r.recentWork(at)
	slowdown := completed.slowdown
	unseen := max(0, 1-routersThatSeeAll/float64(r.routers))
	over := Time(unseen * float64(min(longest, responses*r.meanCompletionInterval(responses))))
	inFlight, hosts := r.meanInFlight(at, over)
	if inFlight -= chanceSpreads * math.Sqrt(inFlight*unseen); inFlight*float64(r.routers) <= hosts {
		return 0
	}
	if unseen == 0 {
		slowdown = math.Inf(1)
	}
	return min(inFlight*float64(completed.span)/completed.work, maxLagOfSlowdown*slowdown)
}

// expectedClassSlowdown is the same for one class, as this router and its peers see it together: one of hundreds has one
// attempt in flight or none, and a class that waits by itself at all hosts is no overload of the others.
func (r *Router) expectedClassSlowdown(class *Class) float64 {
	const usualResponses = 10 // as if so many more were as usual
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
	inFlight = max(0, inFlight-chanceSpreads*math.Sqrt(inFlight))
	return min((inFlight*float64(decayTime)+usual)/work, maxLagOfSlowdown*latency/work)
}

// leastExpectedSlowdown is that of the class where there is gossip, else that of the less busy locality of those with hosts.
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

// shedsLoad rejects a request early when the hosts of the chosen one's locality would answer it too late. Where all routers
// know the same by gossip, requests are rejected by chance around the limit, as not all must do so at once.
func (r *Router) shedsLoad(request *Request, host *Host) bool {
	const firstAt, allAt = 0.4, 0.8 // of the limit: latency at which the first and all requests are rejected
	class := request.Class
	limit := r.latencyLimit(request)
	if r.limits.MaxGossipBytes == 0 {
		return r.expectedSlowdown(r.localityOf(host))*float64(class.usualLatency) > limit
	}
	expected := r.expectedClassSlowdown(class) * float64(class.usualLatency)
	return r.random.chance(1000 * (expected/limit - firstAt) / (allAt - firstAt))
}

// latencyLimit is the expected latency beyond which a request is rejected: a share of its latency objective or timeout that
// falls with its class's priority by the time it takes, beyond its tenant's quota and as more of the last responses came
// late.
func (r *Router) latencyLimit(request *Request) float64 {
	const highPriority, lowPriority = 1.0, 0.8 // the tail is longer than the mean
	const overQuota = 0.5
	const quotaWindow, burst = 2 * Second, 1.2 // that requests are counted over; times the quota
	const lastEnded, leastOnTime = 30, 0.4     // attempts; share that the limit keeps at the least
	class, limit, better := request.Class, highPriority, 0
	for _, other := range r.classes {
		if other.PriorityWeight*float64(class.usualLatency) > class.PriorityWeight*float64(other.usualLatency) {
			better++
		}
	}
	if 2*better >= len(r.classes) {
		limit = lowPriority
	}
	if tenant := request.Tenant; tenant != nil &&
		countSince(tenant.arrivals, r.now-quotaWindow, nil) > 2*burst*tenant.QuotaPerSecond/float64(r.routers) {
		limit *= overQuota
	}
	limit *= max(leastOnTime, 1-r.lateShare(class, lastEnded))
	return limit * float64(min(class.LatencyObjective, request.Timeout))
}

// lateShare is the share of late ones among the last attempts that ended: of the class where there is gossip, with others that
// were on time, as one of hundreds of routers sees few.
func (r *Router) lateShare(class *Class, last int) float64 {
	const onTimeShare = 3 // the last by so much, as on time
	if r.limits.MaxGossipBytes == 0 {
		return r.traffic.endedShare(last, func(event trafficEvent) bool { return event.late })
	}
	late, n := 0.0, float64(last)/onTimeShare
	for _, event := range r.traffic.ended[max(0, len(r.traffic.ended)-last):] {
		if event.class == class {
			if n++; event.late {
				late++
			}
		}
	}
	return late / n
}

// admissionStats adds up a class's attempts, decayed: those in flight, and the usual and actual latencies of successes.
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

// countInFlight counts each class's attempts in flight at healthy hosts, over network paths that are not degraded: what is
// stuck on these is no overload.
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
