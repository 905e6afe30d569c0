// Package eventloop runs the work of one router in order, one piece at a time, on the goroutines that post it. The data
// that the pieces share needs no lock, and no goroutine has to be woken up. The package also provides the router's clock
// and timers.
//
// Post queues a piece of work. If no other goroutine is running work, Post runs the piece at once, and then the pieces
// that are posted in the meantime; otherwise the piece waits in the queue. Therefore the caller of Post must not hold a
// lock that any work takes, and work must not block.
package eventloop

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dapplefront/policy"
)

// closePollInterval is the interval at which Close checks whether the running work has ended.
const closePollInterval = 100 * time.Microsecond

// maxBorrowedTime is the time after which Post returns although there is more work in the queue.
const maxBorrowedTime = time.Millisecond

// Loop runs the work of one router.
type Loop struct {
	clock clock

	mu      sync.Mutex
	queue   []queuedWork
	running bool // a goroutine is running work
	closed  atomic.Bool
	done    chan struct{} // closed once the loop is closed

	// The fields below are accessed only by the loop's work, except that Close stops wakeup with mu held.
	timers   timerHeap
	wakeup   *time.Timer
	wakeupAt time.Duration // when wakeup fires, on the loop's clock; 0 if it is not set
	deferred []func()
	stats    Stats
	lag      lagPeak
	delay    time.Duration // from when the running work was due to its start

	testWallStep policy.Time // replaces the actual one in tests, unless it is 0
}

// queuedWork is a piece of work in the queue.
type queuedWork struct {
	run      func()
	postedAt time.Duration // on the loop's clock
}

// New returns a loop, which Close ends.
func New() *Loop {
	return &Loop{done: make(chan struct{}), clock: newClock()}
}

// Now returns the time of the loop's clock: the time since the Unix epoch when the loop was created, plus the time since
// then by a monotonic clock. It never steps back.
func (l *Loop) Now() policy.Time { return l.clock.now() }

// WallStep returns by how much the wall clock has been set forward since the loop was created. It must be called from the
// loop's work. Tests replace it by SetWallStep.
func (l *Loop) WallStep() policy.Time {
	if l.testWallStep != 0 {
		return l.testWallStep
	}
	return FromDuration(l.clock.wallStep())
}

// SetWallStep sets the result of WallStep for tests. It must be called from the loop's work.
func (l *Loop) SetWallStep(step policy.Time) { l.testWallStep = step }

// Post queues work, and runs the queue if no other goroutine does. After Close it does nothing.
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
	if !l.runQueue(posted.postedAt + maxBorrowedTime) {
		go func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.runQueue(math.MaxInt64)
		}()
	}
	l.mu.Unlock()
}

// runQueue runs the queue until it is empty or the loop is closed. It returns false, with running still set, if there is more
// work at a time on the loop's clock; the caller must then have another goroutine run the queue. The caller must hold mu,
// which is released while work runs, and must have set running.
func (l *Loop) runQueue(until time.Duration) (done bool) {
	var spare []queuedWork // memory of the previous batch, for reuse
	for len(l.queue) > 0 && !l.closed.Load() {
		if spare != nil && l.clock.elapsed() > until {
			return false
		}
		batch := l.queue
		l.queue = spare[:0]
		l.mu.Unlock()
		l.runBatch(batch)
		spare = batch
		l.mu.Lock()
	}
	l.running = false
	return true
}

// runBatch runs pieces of work in order until the loop is closed. Before each piece it calls the timers that are due;
// otherwise the delay of all the work queued before them would add to their own delay.
func (l *Loop) runBatch(batch []queuedWork) {
	now := l.clock.elapsed()
	for i := range batch {
		work := batch[i]
		batch[i] = queuedWork{}
		now = l.callDueTimers(now)
		if l.closed.Load() {
			return
		}
		now = l.runWork(work.run, &l.stats.QueueDelay, work.postedAt, now)
	}
}

// runWork runs a piece of work that was due at dueAt, and the work that it defers, and adds to the statistics. It returns
// the time at the end.
func (l *Loop) runWork(work func(), delays *Histogram, dueAt, now time.Duration) (end time.Duration) {
	delays.Add(now - dueAt)
	l.delay = now - dueAt
	work()
	for i := 0; i < len(l.deferred) && !l.closed.Load(); i++ { // deferred work may defer more
		l.deferred[i]()
	}
	clear(l.deferred)
	l.deferred = l.deferred[:0]
	end = l.clock.elapsed()
	l.stats.RunTime.Add(end - now)
	l.lag.add(end, end-dueAt)
	return end
}

// Defer schedules work to run after the current piece of work has returned and before any other piece. It must be called
// from the loop's work.
func (l *Loop) Defer(work func()) { l.deferred = append(l.deferred, work) }

// Stats returns the delays and run times of the work so far. It must be called from the loop's work.
func (l *Loop) Stats() Stats { return l.stats }

// Lag returns the longest recent time from when a piece of work or a timer was due to when it ended. Each value decreases
// with its age. Work that is due now may be late by that much. Lag must be called from the loop's work.
func (l *Loop) Lag() policy.Time { return FromDuration(l.lag.at(l.clock.elapsed())) }

// RecentDelay returns by how much the running work started late or, if that is longer, the lag. If the process was not
// scheduled for a while, it is long for the first work after that. RecentDelay must be called from the loop's work.
func (l *Loop) RecentDelay() policy.Time { return max(FromDuration(l.delay), l.Lag()) }

// QueueLength returns the number of queued pieces of work, not counting the batch that is running.
func (l *Loop) QueueLength() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Do runs work in the loop and waits for its end. It returns false if the loop is closed. It must not be called from the
// loop's work.
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

// Close ends the loop: it drops the queued work and waits until the running piece has ended. It must not be called from
// the loop's work.
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
