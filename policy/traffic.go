package policy

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"
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

type trafficEvent struct {
	at                    Time
	class                 *Class
	locality              int
	outcome               Outcome
	late                  bool // beyond the promised time
	latency, usualLatency Time // how long a send was out, and its usual time where it was answered
}

// appendBounded appends and forgets all but the last n or more.
func appendBounded[T any](all []T, x T, n int) []T {
	if len(all) >= 2*n {
		all = slices.Clone(all[len(all)-n:])
	}
	return append(all, x)
}

// countSince counts the moments after from; a category narrows the count.
func countSince(all []trafficEvent, from Time, class *Class) (n float64) {
	for i := len(all) - 1; i >= 0 && all[i].at > from; i-- {
		if class == nil || all[i].class == class {
			n++
		}
	}
	return n
}

// upperQuantile is the value that a share of all lies above.
func upperQuantile[T cmp.Ordered](all []T, share float64) T {
	all = slices.Clone(all)
	slices.Sort(all)
	return all[int(float64(len(all)-1)*(1-share))]
}

// recentMean is the middle of the last figures kept.
func recentMean(all []float64) float64 { return stat.Mean(all[max(0, len(all)-64):], nil) }

// endedShare is how many of the last ended sends are of a kind.
func (t *trafficHistory) endedShare(last int, is func(trafficEvent) bool) (share float64) {
	for _, x := range t.ended[max(0, len(t.ended)-last):] {
		if is(x) {
			share += 1 / float64(last)
		}
	}
	return share
}

// meanCompletionInterval is the mean time between the last so many ended sends.
func (r *Router) meanCompletionInterval(n int) Time {
	n = min(n, len(r.traffic.ended))
	if n == 0 {
		return r.now - r.startedAt
	}
	return (r.now - r.traffic.ended[len(r.traffic.ended)-n].at) / Time(n)
}
