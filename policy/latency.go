package policy

import (
	"math"
)

// attemptSample is one ended send, kept for the figures made of it.
type attemptSample struct {
	at, latency, hostAge Time
	host                 *Host
	class                *Class
	outcome              Outcome
	impatient            bool // its client waited less than the promised time
	hostLoad, slowdown   float64
	unqueuedSlowdown     float64 // strain, less what the host's other tasks added
}

// ok tells whether a send ended as one at a host that works.
func (x attemptSample) ok() bool { return x.outcome == Succeeded && x.slowdown < 3 }

// timeSlot is the span of the clock that a sample was sent in.
func (x attemptSample) timeSlot(slotLength Time) Time { return (x.at - x.latency) / slotLength }

// logSlowdown is the log of a sample's pace.
func (x attemptSample) logSlowdown() float64 { return math.Log(max(0.01, x.unqueuedSlowdown)) }

// logLatencyRatio is the log of what a send took, less what the host's other tasks added, against the time before
// the trial.
func (x attemptSample) logLatencyRatio(crowd float64) float64 {
	return math.Log(float64(max(1, x.latency)) / (1 + crowd*x.hostLoad) / float64(x.class.baselineLatency))
}

// newSample is what an ended send showed.
func (r *Router) newSample(attempt *Attempt, latency Time) attemptSample {
	x := attemptSample{at: r.now, latency: latency, hostAge: attempt.sentAt - attempt.hostStartedAt, host: attempt.Host, class: attempt.Request.Class, outcome: attempt.outcome,
		impatient: attempt.outcome == TimedOut && attempt.Request.Timeout < attempt.Request.Class.LatencyObjective, hostLoad: attempt.hostLoad,
		slowdown: float64(latency) / float64(attempt.Request.Class.usualLatency)}
	if r.limits.MaxGossipBytes > 0 { // where a category waits everywhere no host is to blame
		x.slowdown /= r.classSlowdown(attempt.Request.Class)
	}
	x.unqueuedSlowdown = x.slowdown / (1 + r.load.concurrencyCost*attempt.hostLoad)
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

// learnUsualLatency learns from an answer of the earlier build what a category takes.
func (r *Router) learnUsualLatency(class *Class, attempt *Attempt, x attemptSample) {
	if attempt.outcome != Succeeded || !r.isBaseline(attempt.Host) {
		return
	}
	class.latencies = appendBounded(class.latencies, x.latency, 64)
	class.serviceTimes = appendBounded(class.serviceTimes, float64(x.latency)/(1+r.load.concurrencyCost*attempt.hostLoad), 64)
	if !r.statsOutweighOwn() || len(r.analysis.stats) == 0 { // the middle and more, for the tail: slow hosts weigh little
		class.usualLatency = max(1, Time(upperQuantile(class.serviceTimes, 0.5)*4/3))
	}
	r.load.baselineSamples = appendBounded(r.load.baselineSamples, x, 200)
}

// learnUsualLatencyFromStats sets what a category usually takes by the calmest of the desk's periods kept: hundreds of routers
// have too few sends of their own to tell, and were apart by ten times; and a category that waits long is
// not usual.
func (r *Router) learnUsualLatencyFromStats(class *Class) {
	const few, calm = 10, 0.85
	var means []Time
	for _, x := range r.analysis.stats {
		if on, _, _ := r.release.exposureOf(x.Build); !on && x.Class == class && x.Samples-x.Failures >= few {
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
