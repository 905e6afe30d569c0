package eventloop

import (
	"math/bits"
	"time"
)

// Stats counts the delays and run times of a loop's work since the loop was created. Only the loop's work may access it.
type Stats struct {
	QueueDelay Histogram // of pieces of work, from Post to the start
	TimerDelay Histogram // of timers, from when they were due to the call
	RunTime    Histogram // of pieces of work and calls of timers
}

// Merge adds the counts of another loop.
func (s *Stats) Merge(other *Stats) {
	s.QueueDelay.Merge(&other.QueueDelay)
	s.TimerDelay.Merge(&other.TimerDelay)
	s.RunTime.Merge(&other.RunTime)
}

// histogramBuckets is the number of buckets of a histogram. The bucket of a duration is the bit length of its number of
// microseconds. The last bucket counts durations of about 18 minutes and more.
const histogramBuckets = 32

// Histogram counts durations in buckets whose bounds are powers of two in microseconds, and keeps the longest duration.
type Histogram struct {
	Buckets [histogramBuckets]uint64
	Longest time.Duration
}

// Add counts a duration. A negative duration counts as 0.
func (h *Histogram) Add(d time.Duration) {
	d = max(0, d)
	h.Buckets[min(histogramBuckets-1, bits.Len64(uint64(d.Microseconds())))]++
	h.Longest = max(h.Longest, d)
}

// Merge adds the counts of another histogram.
func (h *Histogram) Merge(other *Histogram) {
	for i, count := range other.Buckets {
		h.Buckets[i] += count
	}
	h.Longest = max(h.Longest, other.Longest)
}

// Count returns the number of durations counted.
func (h *Histogram) Count() (n uint64) {
	for _, count := range h.Buckets {
		n += count
	}
	return n
}

// Quantile returns an upper bound of a quantile, which is given as a fraction from 0 to 1: 0.99 means the 99th percentile.
// The bound is at most twice the exact value.
func (h *Histogram) Quantile(share float64) time.Duration {
	rest := share * float64(h.Count())
	for i, count := range h.Buckets {
		if rest -= float64(count); rest <= 0 {
			return min(h.Longest, time.Duration(1<<i)*time.Microsecond)
		}
	}
	return h.Longest
}

// lagDecayRatio determines the decay of a lag: it decreases linearly to 0 over lagDecayRatio times its own length.
const lagDecayRatio = 4

// lagPeak is the greatest recent lag. The value of each lag decreases with time, down to 0.
type lagPeak struct {
	lag     time.Duration
	endedAt time.Duration // when the work with that lag ended, on the loop's clock
}

// add counts a lag that ended at the given time.
func (p *lagPeak) add(now, lag time.Duration) {
	if lag >= p.at(now) {
		p.lag, p.endedAt = lag, now
	}
}

// at returns the decayed value of the greatest lag at the given time.
func (p *lagPeak) at(now time.Duration) time.Duration {
	return max(0, p.lag-(now-p.endedAt)/lagDecayRatio)
}
