package policy

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Minimum numbers of events that are kept. Each is larger than the number of such events in any window over which they are
// counted.
const (
	keptFleetEvents  = 8192
	keptTenantEvents = 4096
	keptEndedEvents  = 4096
	keptRetryEvents  = 2048
	keptHostEvents   = 256
)

// trafficHistory keeps the most recent events of each kind, in the order of their times.
type trafficHistory struct {
	arrivals         []trafficEvent
	baselineAttempts []trafficEvent
	canaryAttempts   []trafficEvent
	retries          []trafficEvent // retries that count against the retry budget
	ended            []trafficEvent
	endedBase        int // sequence number of the first element of ended
}

// trafficEvent is the arrival of a request, or the start or end of an attempt. Fields other than at and class are set for
// ends only.
type trafficEvent struct {
	at           Time
	class        *Class
	locality     locality
	outcome      Outcome
	late         bool // ended later than the request's latency objective
	latency      Time // 0 if the host was not a healthy baseline host when the attempt ended
	usualLatency Time // usual latency of the class; 0 if the attempt did not succeed
}

// endedShare is the share of matching attempts among the given number of most recently ended attempts. If fewer have
// ended, the missing ones count as not matching.
func (t *trafficHistory) endedShare(last int, matches func(trafficEvent) bool) (share float64) {
	for _, event := range t.ended[max(0, len(t.ended)-last):] {
		if matches(event) {
			share += 1 / float64(last)
		}
	}
	return share
}

// meanCompletionInterval is the mean time between the ends of the most recently ended attempts. It considers at most
// the given number of attempts.
func (r *Router) meanCompletionInterval(last int) Time {
	last = min(last, len(r.traffic.ended))
	if last == 0 {
		return r.now - r.startedAt
	}
	return (r.now - r.traffic.ended[len(r.traffic.ended)-last].at) / Time(last)
}

// countSince counts the events after the given time. If class is not nil, it counts only events of that class.
func countSince(events []trafficEvent, from Time, class *Class) (n float64) {
	for i := len(events) - 1; i >= 0 && events[i].at > from; i-- {
		if class == nil || events[i].class == class {
			n++
		}
	}
	return n
}

// appendBounded appends x. Once there are 2*minKept elements, it first drops all but the last minKept.
func appendBounded[T any](all []T, x T, minKept int) []T {
	if len(all) >= 2*minKept {
		all = slices.Clone(all[len(all)-minKept:])
	}
	return append(all, x)
}

// withoutEvent returns the events without one that has the given time and class. The events are in the order of their
// times.
func withoutEvent(events []trafficEvent, at Time, class *Class) []trafficEvent {
	for i := len(events) - 1; i >= 0 && events[i].at >= at; i-- {
		if events[i].at == at && events[i].class == class {
			return slices.Delete(events, i, i+1)
		}
	}
	return events
}

// upperQuantile is the value above which the given share of all values lies.
func upperQuantile[T cmp.Ordered](all []T, share float64) T {
	all = slices.Clone(all)
	slices.Sort(all)
	return all[int(float64(len(all)-1)*(1-share))]
}

// recentMean is the mean of the last keptLoadReports values.
func recentMean(all []float64) float64 {
	return stat.Mean(all[max(0, len(all)-keptLoadReports):], nil)
}
