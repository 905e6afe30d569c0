package eventloop

import (
	"math/bits"
	"time"
)

// Stats is how late and how long a loop's work was since it was made. It belongs to the loop's work.
type Stats struct {
	QueueDelay Histogram // of a piece of work, from Post to its start
	TimerDelay Histogram // of a timer, from when it was due to its call
	RunTime    Histogram // of a piece of work or a timer's call
}

// Merge adds the counts of another loop.
func (s *Stats) Merge(other *Stats) {
	s.QueueDelay.Merge(&other.QueueDelay)
	s.TimerDelay.Merge(&other.TimerDelay)
	s.RunTime.Merge(&other.RunTime)
}

// histogramBuckets is one for each length of a count of microseconds in bits: the last holds 35 minutes and more.
const histogramBuckets = 32

// Histogram counts durations by their power of two in microseconds, and keeps the longest.
type Histogram struct {
	Buckets [histogramBuckets]uint64
	Longest time.Duration
}

// Add counts a duration; a negative one counts as 0.
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

// Count is how many durations were counted.
func (h *Histogram) Count() (n uint64) {
	for _, count := range h.Buckets {
		n += count
	}
	return n
}

// Quantile is a bound that a share of the durations, from 0 to 1, doesn't exceed; at most twice the exact value.
func (h *Histogram) Quantile(share float64) time.Duration {
	rest := share * float64(h.Count())
	for i, count := range h.Buckets {
		if rest -= float64(count); rest <= 0 {
			return min(h.Longest, time.Duration(1<<i)*time.Microsecond)
		}
	}
	return h.Longest
}

// lagMemory is how many times its own length a lag counts before it is forgotten.
const lagMemory = 4

// lagPeak is the greatest recent lag. Each lag counts for less as time passes, down to nothing.
type lagPeak struct {
	lag     time.Duration
	endedAt time.Duration
}

// add takes in a lag that ended at a time.
func (p *lagPeak) add(now, lag time.Duration) {
	if lag >= p.at(now) {
		p.lag, p.endedAt = lag, now
	}
}

// at is what the greatest lag counts for at a time.
func (p *lagPeak) at(now time.Duration) time.Duration {
	return max(0, p.lag-(now-p.endedAt)/lagMemory)
}
