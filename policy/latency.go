package policy

import "math"

// attemptSample is what one attempt that ended showed.
type attemptSample struct {
	at        Time // when it ended
	latency   Time
	hostAge   Time // of the host's process, when the attempt was sent
	host      *Host
	class     *Class
	outcome   Outcome
	impatient bool    // timed out, and its client waited less than the latency objective
	hostLoad  float64 // when it was sent

	slowdown         float64 // latency over the class's usual one
	unqueuedSlowdown float64 // the same, less the part that the host's load added
}

// ok reports whether the attempt is evidence of a host that works.
func (x attemptSample) ok() bool {
	const slow = 3
	return x.outcome == Succeeded && x.slowdown < slow
}

// timeSlot is the span of the clock that the attempt was sent in.
func (x attemptSample) timeSlot() Time { return (x.at - x.latency) / slotLength }

func (x attemptSample) logSlowdown() float64 { return math.Log(max(0.01, x.unqueuedSlowdown)) }

// logLatencyRatio is the log of the latency, less the part that the host's load added, over the class's usual one before
// the canary.
func (x attemptSample) logLatencyRatio(concurrencyCost float64) float64 {
	return math.Log(float64(max(1, x.latency)) / (1 + concurrencyCost*x.hostLoad) / float64(x.class.baselineLatency))
}

// newSample makes a sample of an attempt that ended and adds it to what the router knows of its host.
func (r *Router) newSample(attempt *Attempt, latency Time) attemptSample {
	const slowdownLimit = 8 // one very long attempt says little of a host
	host, class := attempt.Host, attempt.Request.Class
	sample := attemptSample{at: r.now, latency: latency, hostAge: attempt.sentAt - attempt.hostStartedAt, host: host, class: class,
		outcome: attempt.outcome, hostLoad: attempt.hostLoad,
		impatient: attempt.outcome == TimedOut && attempt.Request.Timeout < class.LatencyObjective,
		slowdown:  float64(latency) / float64(class.usualLatency)}
	if r.limits.MaxGossipBytes > 0 { // where a class is slow at all hosts none is at fault
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

// learnUsualLatency learns from a success at the baseline what a class usually takes.
func (r *Router) learnUsualLatency(sample attemptSample) {
	const kept, keptForFit = 64, 200
	class := sample.class
	if sample.outcome != Succeeded || !r.isBaseline(sample.host) {
		return
	}
	serviceTime := float64(sample.latency) / (1 + r.load.concurrencyCost*sample.hostLoad)
	class.latencies = appendBounded(class.latencies, sample.latency, kept)
	class.serviceTimes = appendBounded(class.serviceTimes, serviceTime, kept)
	if !r.statsOutweighOwn() || len(r.analysis.stats) == 0 { // the median, so that slow hosts weigh little, and more for the tail
		class.usualLatency = max(1, Time(upperQuantile(class.serviceTimes, 0.5)*4/3))
	}
	r.load.baselineSamples = appendBounded(r.load.baselineSamples, sample, keptForFit)
}

// learnUsualLatencyFromStats learns it from the fastest of the release controller's periods: hundreds of routers have too
// few attempts of their own, and what a class takes while it waits long is not usual.
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

// classSlowdown is how many times longer than usual a class's responses take at all hosts, by own attempts and peers'.
func (r *Router) classSlowdown(class *Class) float64 {
	const usualAttempts = 5 // as if so many more were as usual
	usual := usualAttempts * float64(class.usualLatency)
	own, peers := class.ownStats.decayedTo(r.now), class.peerStats.decayedTo(r.now)
	return max(1, (own.latency+peers.latency+usual)/(own.usualLatency+peers.usualLatency+usual))
}
