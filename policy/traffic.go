package policy

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Events that are kept at the least, more than any window that counts them has.
const (
	keptFleetEvents  = 8192
	keptTenantEvents = 4096
	keptEndedEvents  = 4096
	keptRetryEvents  = 2048
	keptHostEvents   = 256
)

// trafficHistory keeps the last events of each kind, in the order of their times.
type trafficHistory struct {
	arrivals         []trafficEvent
	baselineAttempts []trafficEvent
	canaryAttempts   []trafficEvent
	retries          []trafficEvent // that count in the budget
	ended            []trafficEvent
	endedBase        int // sequence number of the first of ended
}

// trafficEvent is an arrival, the start of an attempt or the end of one; all fields but at and class are only of ends.
type trafficEvent struct {
	at           Time
	class        *Class
	locality     locality
	outcome      Outcome
	late         bool // beyond the request's latency objective
	latency      Time // 0 where the host was ejected, backing off or not at the baseline
	usualLatency Time // of the class, 0 where the attempt failed
}

// endedShare is the share of a kind among the last attempts that ended.
func (t *trafficHistory) endedShare(last int, is func(trafficEvent) bool) (share float64) {
	for _, event := range t.ended[max(0, len(t.ended)-last):] {
		if is(event) {
			share += 1 / float64(last)
		}
	}
	return share
}

// meanCompletionInterval is the mean time between the ends of the last so many attempts.
func (r *Router) meanCompletionInterval(last int) Time {
	last = min(last, len(r.traffic.ended))
	if last == 0 {
		return r.now - r.startedAt
	}
	return (r.now - r.traffic.ended[len(r.traffic.ended)-last].at) / Time(last)
}

// countSince counts the events after a moment; a class other than nil narrows the count.
func countSince(events []trafficEvent, from Time, class *Class) (n float64) {
	for i := len(events) - 1; i >= 0 && events[i].at > from; i-- {
		if class == nil || events[i].class == class {
			n++
		}
	}
	return n
}

// appendBounded appends and, now and then, drops all but the last so many.
func appendBounded[T any](all []T, x T, least int) []T {
	if len(all) >= 2*least {
		all = slices.Clone(all[len(all)-least:])
	}
	return append(all, x)
}

// upperQuantile is the value that a share of all values lies above.
func upperQuantile[T cmp.Ordered](all []T, share float64) T {
	all = slices.Clone(all)
	slices.Sort(all)
	return all[int(float64(len(all)-1)*(1-share))]
}

// recentMean is the mean of the last values.
func recentMean(all []float64) float64 {
	return stat.Mean(all[max(0, len(all)-keptLoadReports):], nil)
}
