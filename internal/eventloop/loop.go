// Package eventloop runs one instance's work in order, one piece at a time, on whichever goroutine brings it: there is no
// lock on what the pieces share and no goroutine to wake. It also keeps the instance's clock and alarms.
//
// Post hands in a piece of work. If no other goroutine is at work it is run at once, with whatever is posted
// meanwhile; otherwise it waits in line. So whoever posts must not hold a lock that any work takes, and work must not
// block.
package eventloop

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"dapplefront/policy"
)

// Loop is one instance's line of work.
type Loop struct {
	start time.Time
	zero  policy.Time // what the clock showed at start

	mu     sync.Mutex
	line   []func()
	busy   bool
	closed atomic.Bool
	ended  chan struct{}

	alarms alarms
	timer  *time.Timer
	rings  time.Time // when timer goes off; zero while it is not set
}

// New starts a loop whose clock shows the time since the epoch, and never steps back.
func New() *Loop {
	now := time.Now()
	return &Loop{ended: make(chan struct{}), start: now, zero: policy.Time(now.UnixMicro() / 100)}
}

// Now is the loop's clock: tenths of a millisecond since the epoch, as told when the loop was made, and since then
// by a clock that no one sets.
func (l *Loop) Now() policy.Time {
	return l.zero + policy.Time(time.Since(l.start)/(100*time.Microsecond))
}

// FromDuration turns a duration into the loop's units.
func FromDuration(d time.Duration) policy.Time { return policy.Time(d / (100 * time.Microsecond)) }

// Duration is the reverse of Span.
func Duration(t policy.Time) time.Duration { return time.Duration(t) * 100 * time.Microsecond }

// Post hands in work. After Close it does nothing.
func (l *Loop) Post(work func()) {
	l.mu.Lock()
	if l.closed.Load() {
		l.mu.Unlock()
		return
	}
	l.line = append(l.line, work)
	if l.busy {
		l.mu.Unlock()
		return
	}
	l.busy = true
	var spare []func()
	for len(l.line) > 0 && !l.closed.Load() {
		batch := l.line
		l.line = spare[:0]
		l.mu.Unlock()
		for i, work := range batch {
			if batch[i] = nil; !l.closed.Load() {
				work()
			}
		}
		spare = batch
		l.mu.Lock()
	}
	l.busy = false
	l.mu.Unlock()
}

// Waiting is how many pieces of work stand in line, beside the one that runs.
func (l *Loop) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.line)
}

// Do runs work in the loop and waits for it; it reports false if the loop is closed. It must not be called from
// work.
func (l *Loop) Do(work func()) bool {
	done := make(chan struct{})
	l.Post(func() { work(); close(done) })
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

// Close ends the loop; work in line is dropped, and the piece that runs is waited for. It must not be called from work.
func (l *Loop) Close() {
	if l.closed.Swap(true) {
		return
	}
	close(l.ended)
	l.mu.Lock()
	l.line = nil
	if l.timer != nil {
		l.timer.Stop()
	}
	for l.busy {
		l.mu.Unlock()
		time.Sleep(100 * time.Microsecond)
		l.mu.Lock()
	}
	l.mu.Unlock()
}

// Timer is a call to come.
type Timer struct {
	at   time.Time
	do   func()
	rank int
}

// After calls do in the loop after a span; it must itself be called from the loop's work.
func (l *Loop) After(span policy.Time, do func()) *Timer {
	a := &Timer{at: time.Now().Add(Duration(max(0, span))), do: do}
	heap.Push(&l.alarms, a)
	if a.rank == 0 {
		l.set()
	}
	return a
}

// Stop takes an alarm back; one that has rung is let be. It must be called from the loop's work.
func (l *Loop) Stop(a *Timer) {
	if a != nil && a.rank >= 0 {
		heap.Remove(&l.alarms, a.rank)
	}
}

// set arms the timer for the first alarm unless it will ring early enough anyway.
func (l *Loop) set() {
	if len(l.alarms) == 0 {
		return
	}
	first := l.alarms[0].at
	if !l.rings.IsZero() && !first.Before(l.rings) {
		return
	}
	l.rings = first
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		return
	}
	if l.timer == nil {
		l.timer = time.AfterFunc(time.Until(first), func() { l.Post(l.ring) })
	} else {
		l.timer.Reset(time.Until(first))
	}
}

func (l *Loop) ring() {
	l.rings = time.Time{}
	now := time.Now()
	for len(l.alarms) > 0 && !l.alarms[0].at.After(now) {
		heap.Pop(&l.alarms).(*Timer).do()
	}
	l.set()
}

// alarms is a heap by time.
type alarms []*Timer

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i]; a[i].rank, a[j].rank = i, j }
func (a *alarms) Push(x any)        { x.(*Timer).rank = len(*a); *a = append(*a, x.(*Timer)) }
func (a *alarms) Pop() any {
	old := *a
	x := old[len(old)-1]
	x.rank, old[len(old)-1] = -1, nil
	*a = old[:len(old)-1]
	return x
}
