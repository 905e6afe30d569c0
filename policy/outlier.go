package policy

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

type healthTransition struct {
	state   hostHealth
	event   healthEvent
	next    hostHealth
	backoff Time
}

// healthTransitions says how a host's health moves; a sick host only gets the trickle of probation.
var healthTransitions = []healthTransition{
	{healthy, hostFailing, ejected, 0},
	{healthy, hostRefused, backingOff, Second / 5}, // full or unreachable: others first for a moment
	{backingOff, hostRefused, backingOff, Second},
	{backingOff, hostFailing, ejected, 0},
	{backingOff, hostRecovered, healthy, 0},
	{ejected, hostRecovered, healthy, 0},
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

// recordOutcome keeps what a send showed, of its host, its category and its build, and reviews the host's health.
func (r *Router) recordOutcome(attempt *Attempt, latency Time) {
	host, class := attempt.Host, attempt.Request.Class
	if attempt.outcome == NotSent || attempt.outcome == Canceled || attempt.hostStartedAt != host.StartedAt || attempt.build != host.Build {
		return
	}
	x := r.newSample(attempt, latency)
	r.learnUsualLatency(class, attempt, x)
	if host.samples = append(host.samples, x); len(host.samples) > 8 { // enough to tell a slow host, few to forget one
		host.samples = host.samples[1:]
	}
	event := hostUnchanged
	switch {
	case attempt.outcome == Rejected || attempt.outcome == ConnectFailed:
		event = hostRefused
	case host.health == ejected: // two good answers in a row, whatever came before
		if n := len(host.samples); x.ok() && n > 1 && host.samples[n-2].ok() {
			event = hostRecovered
		}
	case r.isFailing(host):
		event = hostFailing
	case x.ok():
		event = hostRecovered
	}
	if on, _, _ := r.release.exposureOf(attempt.build); event != hostRefused && (attempt.IsShadow() || !on) { // who had nowhere else is no copy
		if !attempt.IsShadow() && !r.limits.AllowHedging && class.repeatsSafely() && latency > attempt.shadowTimeout { // a copy would have been cut
			x.outcome = TimedOut
		}
		b := r.analysis.window(attempt.build)
		b.samples = appendBounded(b.samples, x, 1500) // a trial's worth, or some ten seconds of a busy router's sends
	}
	r.transitionHealth(host, event)
}

const stuckFactor = 4 // usual times of a host that holds as much, after which a send seems stuck

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

// reviewHealth looks at all hosts. One that takes tasks and answers none before these run out of time is sick; when
// half the fleet or more does so none is to blame. A sick one is tried again once what spoke against it has
// faded, where peers watch it too: the trickle of one router in hundreds would not find it well for minutes.
// While the list is out of reach, hosts of builds before one long released count as told to drain.
func (r *Router) reviewHealth() {
	const few, trace = 3, 0.3 // sends; of a bad send
	const told = 6 * Second   // as the platform has it: what a list would have told counts by then
	hung := func(host *Host) bool { return host.health == healthy && host.stuckAttempts(r.now, stuckFactor) >= few }
	blame := 2*r.countHosts(hung) < r.countHosts(func(host *Host) bool { return host.health == healthy })
	lost := r.discovery.failedPolls > 0 && r.now-r.release.releasedAt > told // where no later host is known there is none to send to
	for _, host := range r.hosts {
		switch {
		case lost && host.Build < r.release.releasedBuild && host.State == Serving:
			host.State, host.leftAt, r.fleet.valid = Draining, r.now, false
		case blame && hung(host):
			r.transitionHealth(host, hostFailing)
		case host.health == ejected && r.limits.MaxGossipBytes > 0 &&
			host.healthByHops[0].decayedTo(r.now).failures+host.peerHealth(r.now, firstHandWeight, secondHandWeight).failures < trace:
			r.transitionHealth(host, hostRecovered)
		}
	}
}

// isFailing compares a host's last sends with its peers of the same build: it must fail or drag far more than
// they do, so that neither a bad build nor a slow fleet empties the list.
func (r *Router) isFailing(host *Host) bool {
	const gap, drag, least = 0.35, 3.0, 6 // about three of the last eight; three times as slow as its peers
	share, strain := r.faultScore(host, least)
	if share <= gap && strain <= drag { // whatever its peers do
		return false
	}
	shares, strains := r.peerFaultScores(host, least)
	return len(shares) > 1 && (share > gap+2*upperQuantile(shares, 0.5) || strain > drag*max(1, upperQuantile(strains, 0.5)))
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

// pickEjected picks a sick host whose turn for a trickle has come; only repeatable tasks go there. Where peers
// tell what they meet, the trickle is that of all routers, or hundreds of them would keep a sick host busy.
func (r *Router) pickEjected(request *Request) *Host {
	const wait, all = Second, 4.0 // slow enough to cost little, fast enough to find a recovery; of all, in it
	few := all * float64(r.snapshot().ejected) / float64(r.routers)
	if r.snapshot().ejected == 0 || r.limits.MaxGossipBytes > 0 &&
		float64(r.random.intN(1000)) >= 1000*few/max(1, countSince(r.traffic.arrivals, r.now-wait, nil)) {
		r.random.skip() // as pickHost does for whatever it finds
		return nil
	}
	return r.pickHost(request, func(host *Host) bool {
		return host.health == ejected && request.Class.Idempotency == Idempotent && r.isBaseline(host) &&
			len(host.inFlight) == 0 && countSince(host.attempts, r.now-wait, nil) == 0
	})
}
