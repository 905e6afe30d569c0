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
	epoch policy.Time // what the clock showed at start

	mu      sync.Mutex
	queue   []func()
	running bool
	closed  atomic.Bool
	done    chan struct{}

	timers   timerHeap
	wakeup   *time.Timer
	wakeupAt time.Time // when timer goes off; zero while it is not set
}

// New starts a loop whose clock shows the time since the epoch, and never steps back.
func New() *Loop {
	now := time.Now()
	return &Loop{done: make(chan struct{}), start: now, epoch: policy.Time(now.UnixMicro() / 100)}
}

// Now is the loop's clock: tenths of a millisecond since the epoch, as told when the loop was made, and since then
// by a clock that no one sets.
func (l *Loop) Now() policy.Time {
	return l.epoch + policy.Time(time.Since(l.start)/(100*time.Microsecond))
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
	l.queue = append(l.queue, work)
	if l.running {
		l.mu.Unlock()
		return
	}
	l.running = true
	var spare []func()
	for len(l.queue) > 0 && !l.closed.Load() {
		batch := l.queue
		l.queue = spare[:0]
		l.mu.Unlock()
		for i, work := range batch {
			if batch[i] = nil; !l.closed.Load() {
				work()
			}
		}
		spare = batch
		l.mu.Lock()
	}
	l.running = false
	l.mu.Unlock()
}

// Waiting is how many pieces of work stand in line, beside the one that runs.
func (l *Loop) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Do runs work in the loop and waits for it; it reports false if the loop is closed. It must not be called from
// work.
func (l *Loop) Do(work func()) bool {
	done := make(chan struct{})
	l.Post(func() { work(); close(done) })
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	}
}

// Close ends the loop; work in line is dropped, and the piece that runs is waited for. It must not be called from work.
func (l *Loop) Close() {
	if l.closed.Swap(true) {
		return
	}
	close(l.done)
	l.mu.Lock()
	l.queue = nil
	if l.wakeup != nil {
		l.wakeup.Stop()
	}
	for l.running {
		l.mu.Unlock()
		time.Sleep(100 * time.Microsecond)
		l.mu.Lock()
	}
	l.mu.Unlock()
}

// Timer is a call to come.
type Timer struct {
	at       time.Time
	callback func()
	index    int
}

// After calls do in the loop after a span; it must itself be called from the loop's work.
func (l *Loop) After(span policy.Time, do func()) *Timer {
	a := &Timer{at: time.Now().Add(Duration(max(0, span))), callback: do}
	heap.Push(&l.timers, a)
	if a.index == 0 {
		l.schedule()
	}
	return a
}

// Stop takes an alarm back; one that has rung is let be. It must be called from the loop's work.
func (l *Loop) Stop(a *Timer) {
	if a != nil && a.index >= 0 {
		heap.Remove(&l.timers, a.index)
	}
}

// schedule arms the timer for the first alarm unless it will ring early enough anyway.
func (l *Loop) schedule() {
	if len(l.timers) == 0 {
		return
	}
	first := l.timers[0].at
	if !l.wakeupAt.IsZero() && !first.Before(l.wakeupAt) {
		return
	}
	l.wakeupAt = first
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		return
	}
	if l.wakeup == nil {
		l.wakeup = time.AfterFunc(time.Until(first), func() { l.Post(l.fireTimers) })
	} else {
		l.wakeup.Reset(time.Until(first))
	}
}

func (l *Loop) fireTimers() {
	l.wakeupAt = time.Time{}
	now := time.Now()
	for len(l.timers) > 0 && !l.timers[0].at.After(now) {
		heap.Pop(&l.timers).(*Timer).callback()
	}
	l.schedule()
}

// timerHeap is a heap by time.
type timerHeap []*Timer

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i]; a[i].index, a[j].index = i, j }
func (a *timerHeap) Push(x any)        { x.(*Timer).index = len(*a); *a = append(*a, x.(*Timer)) }
func (a *timerHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	x.index, old[len(old)-1] = -1, nil
	*a = old[:len(old)-1]
	return x
}
