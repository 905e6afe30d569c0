package policy

// hostHealth is what the router makes of a host's last attempts:
//
//	state       event          next        for
//	healthy     hostFailing    ejected
//	healthy     hostRefused    backingOff  0.2 s, as it is full or can't be reached for a moment
//	backingOff  hostRefused    backingOff  1 s
//	backingOff  hostFailing    ejected
//	backingOff  hostRecovered  healthy
//	ejected     hostRecovered  healthy
//
// Any other pair changes nothing. An ejected host gets an idempotent request now and then; see pickEjected.
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

// healthTransition is a row of the table at hostHealth.
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
				host.samples = host.samples[max(0, len(host.samples)-1):] // none, where only peers reported it
			}
			host.health, host.backoffUntil = row.next, r.now+row.backoff
			r.fleet.valid = false
			return
		}
	}
}

// Samples that are kept.
const (
	keptHostSamples  = 8    // enough to find a slow host, few enough to forget that it was one
	keptBuildSamples = 1500 // those of a canary's time, or some ten seconds of a busy router
)

// recordOutcome keeps what an attempt showed of its host, class and build, and reviews the host's health.
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
	// Primary attempts at the canary had nowhere else to go: they don't count for it.
	if event != hostRefused && (attempt.IsShadow() || !r.release.exposureOf(attempt.build).applies) {
		if !attempt.IsShadow() && !r.limits.AllowHedging && attempt.Request.Class.repeatsSafely() && latency > attempt.shadowTimeout {
			sample.outcome = TimedOut // as a shadow attempt would have been
		}
		window := r.analysis.window(attempt.build)
		window.samples = appendBounded(window.samples, sample, keptBuildSamples)
	}
	r.transitionHealth(host, event)
}

// healthEventOf is what a host's last sample, already among its samples, says of its health. An ejected host recovers by two
// good responses in a row.
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

// stuckAttempts counts a host's attempts that have been in flight for far longer than usual, given the host's load, with no
// end of any attempt since they were sent.
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

// reviewHealth looks at all hosts. One that takes attempts and ends none is ejected before these time out, unless half of
// the healthy hosts or more do so: then none is at fault. An ejected one returns once what spoke against it has decayed,
// where peers watch it too: one router of hundreds would not find it recovered for minutes. While endpoint discovery fails,
// hosts of builds before one that was released a while ago count as draining.
func (r *Router) reviewHealth() {
	const minStuck = 3
	const forgottenFailures = 0.3 // decayed
	const drainAfter = 6 * Second // of a release; the endpoint list would have it by then
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

// isFailing compares a host's last attempts with those of its peers of the same build: it must fail or be slow far more
// than they do, so that neither a bad build nor a slow fleet empties the endpoint list.
func (r *Router) isFailing(host *Host) bool {
	const rateGap = 0.35      // of failures, above twice the peers' median: about three of the last eight
	const slowdownRatio = 3.0 // to the peers' median
	own := r.faultScoreOf(host)
	if own.failureRate <= rateGap && own.slowdown <= slowdownRatio { // whatever its peers do
		return false
	}
	rates, slowdowns := r.peerFaultScores(host)
	return len(rates) > 1 && (own.failureRate > rateGap+2*upperQuantile(rates, 0.5) ||
		own.slowdown > slowdownRatio*max(1, upperQuantile(slowdowns, 0.5)))
}

// faultScore is a host's failure rate and mean slowdown.
type faultScore struct{ failureRate, slowdown float64 }

// faultScoreOf scores a host by its last attempts and what peers report, as if over some attempts at the least.
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

// peerFaultScores are the scores of the other serving hosts of a host's build that enough is known of.
func (r *Router) peerFaultScores(host *Host) (rates, slowdowns []float64) {
	const enough = 2 // attempts, and some more
	for _, peer := range r.hosts {
		if peer != host && peer.Build == host.Build && peer.State == Serving &&
			float64(len(peer.samples))+peer.peerHealth(r.now).attempts > enough {
			score := r.faultScoreOf(peer)
			rates, slowdowns = append(rates, score.failureRate), append(slowdowns, score.slowdown)
		}
	}
	return rates, slowdowns
}

// pickEjected picks an ejected host that is due a request, so that its recovery is found; only idempotent requests go
// there. Where there is gossip, the rate is that of all routers, or hundreds would keep an ejected host busy.
func (r *Router) pickEjected(request *Request) *Host {
	const interval = Second   // long enough to cost little, short enough to find a recovery
	const fleetAttempts = 4.0 // of all routers in an interval, for each host
	ejectedHosts := r.snapshot().ejected
	due := fleetAttempts * float64(ejectedHosts) / float64(r.routers)
	if ejectedHosts == 0 || r.limits.MaxGossipBytes > 0 &&
		!r.random.chance(1000*due/max(1, countSince(r.traffic.arrivals, r.now-interval, nil))) {
		r.random.skip() // pickHost would have drawn once
		return nil
	}
	return r.pickHost(request, func(host *Host) bool {
		return host.health == ejected && request.Class.Idempotency == Idempotent && r.isBaseline(host) &&
			len(host.inFlight) == 0 && countSince(host.attempts, r.now-interval, nil) == 0
	})
}
