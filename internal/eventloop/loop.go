// Package eventloop runs one router's work in order, one piece at a time, on whichever goroutine posts it: there is no
// lock on what the pieces share and no goroutine to wake. It also keeps the router's clock and timers.
//
// Post queues a piece of work. If no other goroutine is running work, it is run at once, with whatever is posted
// meanwhile; otherwise it waits in the queue. So whoever posts must not hold a lock that any work takes, and work must
// not block.
package eventloop

import (
	"sync"
	"sync/atomic"
	"time"

	"dapplefront/policy"
)

// closePollInterval is how often Close looks whether the running work has ended.
const closePollInterval = 100 * time.Microsecond

// Loop runs one router's work. New makes one; Close ends it.
type Loop struct {
	clock clock

	mu      sync.Mutex
	queue   []queuedWork
	running bool // a goroutine is running work
	closed  atomic.Bool
	done    chan struct{} // closed once the loop is closed

	// These belong to the loop's work.
	timers   timerHeap
	wakeup   *time.Timer
	wakeupAt time.Duration // of the loop's clock, when wakeup fires; 0 while it is not set
	deferred []func()
	stats    Stats
	lag      lagPeak
}

// queuedWork is a piece of work that waits.
type queuedWork struct {
	run      func()
	postedAt time.Duration // of the loop's clock
}

// New starts a loop.
func New() *Loop {
	return &Loop{done: make(chan struct{}), clock: newClock()}
}

// Now is the loop's clock: the time since the Unix epoch as it was when the loop was made, counted on from there by a
// monotonic clock. It never steps back.
func (l *Loop) Now() policy.Time { return l.clock.now() }

// Post queues work. After Close it does nothing.
func (l *Loop) Post(work func()) {
	posted := queuedWork{work, l.clock.elapsed()}
	l.mu.Lock()
	if l.closed.Load() {
		l.mu.Unlock()
		return
	}
	l.queue = append(l.queue, posted)
	if l.running {
		l.mu.Unlock()
		return
	}
	l.running = true
	var spare []queuedWork // the previous batch's memory
	for len(l.queue) > 0 && !l.closed.Load() {
		batch := l.queue
		l.queue = spare[:0]
		l.mu.Unlock()
		l.runBatch(batch)
		spare = batch
		l.mu.Lock()
	}
	l.running = false
	l.mu.Unlock()
}

// runBatch runs pieces of work in order until the loop is closed. Timers that are due go before each piece, as their
// delay would come on top of that of all the work that was queued first.
func (l *Loop) runBatch(batch []queuedWork) {
	now := l.clock.elapsed()
	for i := range batch {
		work := batch[i]
		batch[i] = queuedWork{}
		now = l.callDueTimers(now)
		if l.closed.Load() {
			return
		}
		now = l.measure(work.run, &l.stats.QueueDelay, work.postedAt, now)
	}
}

// measure runs a piece of work that was due at a time, and returns the time after it.
func (l *Loop) measure(work func(), delays *Histogram, dueAt, now time.Duration) (end time.Duration) {
	delays.Add(now - dueAt)
	work()
	for i := 0; i < len(l.deferred) && !l.closed.Load(); i++ { // which may grow
		l.deferred[i]()
	}
	clear(l.deferred)
	l.deferred = l.deferred[:0]
	end = l.clock.elapsed()
	l.stats.RunTime.Add(end - now)
	l.lag.add(end, end-dueAt)
	return end
}

// Defer has work run once the present piece of work has returned, before any other. It must be called from the loop's work.
func (l *Loop) Defer(work func()) { l.deferred = append(l.deferred, work) }

// Stats is how late and how long the work was so far. It must be called from the loop's work.
func (l *Loop) Stats() Stats { return l.stats }

// Lag is the longest that a piece of work or a timer recently took from when it was due to its end; the longer ago, the
// less it counts. What falls due now may be that late. It must be called from the loop's work.
func (l *Loop) Lag() policy.Time { return FromDuration(l.lag.at(l.clock.elapsed())) }

// Waiting is how many pieces of work are queued, beside the batch that runs.
func (l *Loop) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Do runs work in the loop and waits for it; it reports false if the loop is closed. It must not be called from work.
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

// Close ends the loop: queued work is dropped, and the piece that runs is waited for. It must not be called from work.
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
		time.Sleep(closePollInterval)
		l.mu.Lock()
	}
	l.mu.Unlock()
}
