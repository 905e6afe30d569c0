package eventloop

import (
	"container/heap"
	"time"

	"dapplefront/policy"
)

// Timer is a call that is due at a time.
type Timer struct {
	dueAt    time.Duration // of the loop's clock
	callback func()
	index    int // in the loop's heap; -1 once it has fired or was stopped
}

// After calls callback in the loop after a time; it must itself be called from the loop's work.
func (l *Loop) After(delay policy.Time, callback func()) *Timer {
	t := &Timer{dueAt: l.clock.elapsed() + Duration(max(0, delay)), callback: callback}
	heap.Push(&l.timers, t)
	if t.index == 0 {
		l.schedule()
	}
	return t
}

// Stop stops a timer; one that has fired, or nil, is left alone. It must be called from the loop's work.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// schedule sets the wakeup for the first timer, unless it is early enough already.
func (l *Loop) schedule() {
	if len(l.timers) == 0 {
		return
	}
	first := l.timers[0].dueAt
	if l.wakeupAt != 0 && first >= l.wakeupAt {
		return
	}
	l.wakeupAt = first
	delay := first - l.clock.elapsed()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		return
	}
	if l.wakeup == nil {
		l.wakeup = time.AfterFunc(delay, func() { l.Post(l.wokenUp) })
	} else {
		l.wakeup.Reset(delay)
	}
}

// wokenUp sets the next wakeup. The timers that are due were called before it, as before any work.
func (l *Loop) wokenUp() {
	l.wakeupAt = 0
	l.schedule()
}

// callDueTimers calls the timers that are due at a time, the earliest first, and returns the time after them. Those that
// the calls set wait for the next call, so that they can't keep queued work from its turn.
func (l *Loop) callDueTimers(now time.Duration) (end time.Duration) {
	end = now
	for len(l.timers) > 0 && l.timers[0].dueAt <= now && !l.closed.Load() {
		timer := heap.Pop(&l.timers).(*Timer)
		end = l.measure(timer.callback, &l.stats.TimerDelay, timer.dueAt, end)
	}
	return end
}

// timerHeap is a heap by time (heap.Interface).
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *timerHeap) Push(x any)        { x.(*Timer).index = len(*h); *h = append(*h, x.(*Timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	t.index, old[len(old)-1] = -1, nil
	*h = old[:len(old)-1]
	return t
}
