package policy

// hostHealth is the router's view of a host's health, derived from the host's most recent attempts:
//
//	state       event          next        backoff
//	healthy     hostFailing    ejected
//	healthy     hostRefused    backingOff  0.2 s: the host is briefly full or unreachable
//	backingOff  hostRefused    backingOff  1 s
//	backingOff  hostFailing    ejected
//	backingOff  hostRecovered  healthy
//	ejected     hostRecovered  healthy
//
// Any other pair changes nothing. An ejected host occasionally gets an idempotent request; see pickEjected.
type hostHealth int

const (
	healthy hostHealth = iota
	ejected
	backingOff
)

type healthEvent int

const (
	hostFailing healthEvent = iota
	hostRecovered
	hostRefused
	hostUnchanged
)

// healthTransition is a row of the table that is documented at hostHealth.
type healthTransition struct {
	state   hostHealth
	event   healthEvent
	next    hostHealth
	backoff Time
}

var healthTransitions = []healthTransition{
	{healthy, hostFailing, ejected, 0},
	{healthy, hostRefused, backingOff, Second / 5},
	{backingOff, hostRefused, backingOff, Second},
	{backingOff, hostFailing, ejected, 0},
	{backingOff, hostRecovered, healthy, 0},
	{ejected, hostRecovered, healthy, 0},
}

func (r *Router) transitionHealth(host *Host, event healthEvent) {
	for _, row := range healthTransitions {
		if row.state == host.health && row.event == event {
			if host.health == ejected {
				host.samples = host.samples[max(0, len(host.samples)-1):] // there are none if only peers reported on the host
			}
			host.health, host.backoffUntil = row.next, r.now+row.backoff
			r.fleet.valid = false
			return
		}
	}
}

// Numbers of samples that are retained.
const (
	keptHostSamples  = 8    // enough to detect a slow host, few enough not to count a recovered host as slow for long
	keptBuildSamples = 1500 // enough for the duration of a canary, or for about ten seconds at a busy router
)

// recordOutcome records the result of an attempt for its host, class and build, and updates the host's health.
func (r *Router) recordOutcome(attempt *Attempt, latency Time) {
	host := attempt.Host
	replaced := attempt.hostStartedAt != host.StartedAt || attempt.build != host.Build
	if attempt.outcome == NotSent || attempt.outcome == Canceled || replaced {
		return
	}
	sample := r.newSample(attempt, latency)
	r.learnUsualLatency(sample)
	if host.samples = append(host.samples, sample); len(host.samples) > keptHostSamples {
		host.samples = host.samples[1:]
	}
	event := r.healthEventOf(sample)
	// Primary attempts go to the canary only if there is no other host. They don't count for the comparison of builds.
	if event != hostRefused && (attempt.IsShadow() || !r.release.exposureOf(attempt.build).applies) {
		if !attempt.IsShadow() && !r.limits.AllowHedging && attempt.Request.Class.repeatsSafely() && latency > attempt.shadowTimeout {
			sample.outcome = TimedOut // as the outcome of a shadow attempt would have been
		}
		window := r.analysis.window(attempt.build)
		window.samples = appendBounded(window.samples, sample, keptBuildSamples)
	}
	r.transitionHealth(host, event)
}

// healthEventOf returns the event that a host's last sample causes; the host's samples already include it. An ejected host
// recovers after two consecutive good responses.
func (r *Router) healthEventOf(last attemptSample) healthEvent {
	host := last.host
	switch {
	case last.outcome == Rejected || last.outcome == ConnectFailed:
		return hostRefused
	case host.health == ejected:
		if n := len(host.samples); last.ok() && n > 1 && host.samples[n-2].ok() {
			return hostRecovered
		}
	case r.isFailing(host):
		return hostFailing
	case last.ok():
		return hostRecovered
	}
	return hostUnchanged
}

// stuckAttempts returns the number of a host's attempts that have been in flight for far longer than usual at the host's
// load, while no attempt at the host has ended since they were sent.
func (h *Host) stuckAttempts(now Time) (n int) {
	const stuckAfter = 4 // times the usual latency
	for _, attempt := range h.inFlight {
		usual := stuckAfter * float64(attempt.Request.Class.usualLatency) * (1 + attempt.hostLoad)
		if float64(now-attempt.sentAt) > usual && (len(h.samples) == 0 || h.samples[len(h.samples)-1].at < attempt.sentAt) {
			n++
		}
	}
	return n
}

// reviewHealth reviews all hosts. A host that accepts attempts and completes none is ejected before these attempts time
// out, unless at least half of the healthy hosts do the same: then no single host is at fault. With gossip, an ejected
// host becomes healthy again once the failures counted against it have decayed, because one of hundreds of routers
// would need minutes to detect its recovery. While endpoint discovery fails, hosts of earlier builds count as draining
// some time after a build was released.
func (r *Router) reviewHealth() {
	const minStuck = 3
	const forgottenFailures = 0.3 // decayed number of failures below which an ejected host becomes healthy again
	const drainAfter = 6 * Second // after a release; by then the endpoint list would show that these hosts drain
	hung := func(host *Host) bool { return host.health == healthy && host.stuckAttempts(r.now) >= minStuck }
	ejects := 2*r.countHosts(hung) < r.countHosts(func(host *Host) bool { return host.health == healthy })
	drains := r.discovery.failedPolls > 0 && r.now-r.release.releasedAt > drainAfter
	for _, host := range r.hosts {
		switch {
		case drains && host.Build < r.release.releasedBuild && host.State == Serving:
			host.State, host.leftAt, r.fleet.valid = Draining, r.now, false
		case ejects && hung(host):
			r.transitionHealth(host, hostFailing)
		case host.health == ejected && r.limits.MaxGossipBytes > 0 &&
			host.healthByHops[0].decayedTo(r.now).failures+host.peerHealth(r.now).failures < forgottenFailures:
			r.transitionHealth(host, hostRecovered)
		}
	}
}

// isFailing compares a host's last attempts with those of the other hosts of the same build. It reports whether the host
// fails far more often or is far slower than they are, so that neither a bad build nor a slow fleet causes all hosts to be
// ejected.
func (r *Router) isFailing(host *Host) bool {
	const rateGap = 0.35      // a host's failure rate is too high if it exceeds twice the peers' median by this: about three of the last eight attempts
	const slowdownRatio = 3.0 // a host's slowdown is too high above this multiple of the peers' median
	own := r.faultScoreOf(host)
	if own.failureRate <= rateGap && own.slowdown <= slowdownRatio { // not failing, whatever the scores of its peers
		return false
	}
	rates, slowdowns := r.peerFaultScores(host)
	return len(rates) > 1 && (own.failureRate > rateGap+2*upperQuantile(rates, 0.5) ||
		own.slowdown > slowdownRatio*max(1, upperQuantile(slowdowns, 0.5)))
}

// faultScore is a host's failure rate and mean slowdown.
type faultScore struct{ failureRate, slowdown float64 }

// faultScoreOf returns the score of a host from its last attempts and the reports of other routers. If there are fewer
// than minAttempts attempts, the missing ones count with no failure and no latency.
func (r *Router) faultScoreOf(host *Host) faultScore {
	const minAttempts = 6
	var sum faultScore
	for _, sample := range host.samples {
		if sample.outcome != Succeeded {
			sum.failureRate++
		}
		sum.slowdown += sample.slowdown
	}
	peers := host.peerHealth(r.now)
	n := max(float64(len(host.samples))+peers.attempts, minAttempts)
	return faultScore{(sum.failureRate + peers.failures) / n, (sum.slowdown + peers.slowdown) / n}
}

// peerFaultScores returns the scores of the other serving hosts that run the same build as a host and have enough
// attempts.
func (r *Router) peerFaultScores(host *Host) (rates, slowdowns []float64) {
	const enough = 2 // a host must have more attempts than this
	for _, peer := range r.hosts {
		if peer != host && peer.Build == host.Build && peer.State == Serving &&
			float64(len(peer.samples))+peer.peerHealth(r.now).attempts > enough {
			score := r.faultScoreOf(peer)
			rates, slowdowns = append(rates, score.failureRate), append(slowdowns, score.slowdown)
		}
	}
	return rates, slowdowns
}

// pickEjected picks an ejected host that is due a request, so that its recovery is detected, or returns nil. Ejected
// hosts get only idempotent requests. With gossip, the rate is limited over all routers together, because hundreds of
// routers would otherwise keep an ejected host busy.
func (r *Router) pickEjected(request *Request) *Host {
	const interval = Second   // long enough to cost little, short enough to detect a recovery
	const fleetAttempts = 4.0 // at each ejected host in an interval, by all routers together
	ejectedHosts := r.snapshot().ejected
	due := fleetAttempts * float64(ejectedHosts) / float64(r.routers)
	if ejectedHosts == 0 || r.limits.MaxGossipBytes > 0 &&
		!r.random.chance(1000*due/max(1, countSince(r.traffic.arrivals, r.now-interval, nil))) {
		r.random.skip() // in place of the draw that pickHost would have made
		return nil
	}
	return r.pickHost(request, func(host *Host) bool {
		return host.health == ejected && request.Class.Idempotency == Idempotent && r.isBaseline(host) &&
			len(host.inFlight) == 0 && countSince(host.attempts, r.now-interval, nil) == 0
	})
}
