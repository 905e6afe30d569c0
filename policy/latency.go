package policy

import "math"

// attemptSample is the observation from one ended attempt.
type attemptSample struct {
	at           Time // when it ended
	latency      Time
	hostAge      Time // age of the host's process when the attempt was sent
	host         *Host
	class        *Class
	outcome      Outcome
	shortTimeout bool    // the attempt timed out, and the request's timeout is shorter than the latency objective
	hostLoad     float64 // estimated number of requests in flight at the host when the attempt was sent

	slowdown         float64 // latency divided by the class's usual latency
	unqueuedSlowdown float64 // slowdown without the part added by the host's load
}

// ok reports whether the attempt is evidence of a working host.
func (x attemptSample) ok() bool {
	const slow = 3
	return x.outcome == Succeeded && x.slowdown < slow
}

// timeSlot is the number of the time slot in which the attempt was sent.
func (x attemptSample) timeSlot() Time { return (x.at - x.latency) / slotLength }

func (x attemptSample) logSlowdown() float64 { return math.Log(max(0.01, x.unqueuedSlowdown)) }

// logLatencyRatio is the logarithm of the latency, without the part added by the host's load, divided by the class's
// usual latency before the canary.
func (x attemptSample) logLatencyRatio(concurrencyCost float64) float64 {
	return math.Log(float64(max(1, x.latency)) / (1 + concurrencyCost*x.hostLoad) / float64(x.class.baselineLatency))
}

// newSample makes a sample of an ended attempt and adds it to the health statistics of its host.
func (r *Router) newSample(attempt *Attempt, latency Time) attemptSample {
	const slowdownLimit = 8 // a single very long attempt is little evidence against a host
	host, class := attempt.Host, attempt.Request.Class
	sample := attemptSample{at: r.now, latency: latency, hostAge: attempt.sentAt - attempt.hostStartedAt, host: host, class: class,
		outcome: attempt.outcome, hostLoad: attempt.hostLoad,
		shortTimeout: attempt.outcome == TimedOut && attempt.Request.Timeout < class.LatencyObjective,
		slowdown:     float64(latency) / float64(class.usualLatency)}
	if r.limits.MaxGossipBytes > 0 { // if a class is slow at all hosts, no single host is at fault
		sample.slowdown /= r.classSlowdown(class)
	}
	sample.unqueuedSlowdown = sample.slowdown / (1 + r.load.concurrencyCost*attempt.hostLoad)
	stats := healthStats{at: r.now, attempts: 1, slowdown: min(sample.slowdown, slowdownLimit)}
	if attempt.outcome != Succeeded {
		stats.failures = 1
	}
	host.healthByHops[0].add(stats)
	if attempt.hostStartedAt == 0 {
		sample.hostAge = math.MaxInt32
	}
	return sample
}

// learnUsualLatency updates the usual latency of a class from a success at the baseline.
func (r *Router) learnUsualLatency(sample attemptSample) {
	const kept, keptForFit = 64, 200
	class := sample.class
	if sample.outcome != Succeeded || !r.isBaseline(sample.host) {
		return
	}
	serviceTime := float64(sample.latency) / (1 + r.load.concurrencyCost*sample.hostLoad)
	class.latencies = appendBounded(class.latencies, sample.latency, kept)
	class.serviceTimes = appendBounded(class.serviceTimes, serviceTime, kept)
	if !r.statsOutweighOwn() || len(r.analysis.stats) == 0 { // the median, so that slow hosts weigh little, plus a third for the tail
		class.usualLatency = max(1, Time(upperQuantile(class.serviceTimes, 0.5)*4/3))
	}
	r.load.baselineSamples = appendBounded(r.load.baselineSamples, sample, keptForFit)
}

// learnUsualLatencyFromStats sets the usual latency of a class from the release controller's statistics, because one of
// hundreds of routers has too few attempts of its own. It uses the fastest reporting periods, because the latency of a
// class while its requests wait long is not its usual one.
func (r *Router) learnUsualLatencyFromStats(class *Class) {
	const minSuccesses, slowerShare = 10, 0.85
	var means []Time
	for _, stats := range r.analysis.stats {
		if !r.release.exposureOf(stats.Build).applies && stats.Class == class && stats.Samples-stats.Failures >= minSuccesses {
			means = append(means, stats.MeanLatency)
		}
	}
	if len(means) > 0 {
		class.usualLatency = max(1, upperQuantile(means, slowerShare))
	}
}

// classSlowdown is how many times longer than usual the responses of a class take over all hosts, from attempts of this
// router and its peers.
func (r *Router) classSlowdown(class *Class) float64 {
	const usualAttempts = 5 // assumed responses of usual latency that are added to the observed ones
	usual := usualAttempts * float64(class.usualLatency)
	own, peers := class.ownStats.decayedTo(r.now), class.peerStats.decayedTo(r.now)
	return max(1, (own.latency+peers.latency+usual)/(own.usualLatency+peers.usualLatency+usual))
}
