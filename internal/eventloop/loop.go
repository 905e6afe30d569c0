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
	queue   []func()
	running bool // a goroutine is running work
	closed  atomic.Bool
	done    chan struct{} // closed once the loop is closed

	timers   timerHeap // belongs to the loop's work
	wakeup   *time.Timer
	wakeupAt time.Time // when wakeup fires; zero while it is not set
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
	var spare []func() // the previous batch's memory
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
