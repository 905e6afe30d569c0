package eventloop

import (
	"container/heap"
	"time"

	"dapplefront/policy"
)

// Timer is a call that is scheduled for a time.
type Timer struct {
	dueAt    time.Duration // on the loop's clock
	callback func()
	index    int // in the loop's heap; -1 after the timer has fired or was stopped
}

// After schedules a call of callback in the loop after delay. It must be called from the loop's work.
func (l *Loop) After(delay policy.Time, callback func()) *Timer {
	t := &Timer{dueAt: l.clock.elapsed() + Duration(max(0, delay)), callback: callback}
	heap.Push(&l.timers, t)
	if t.index == 0 {
		l.schedule()
	}
	return t
}

// Stop stops a timer. It does nothing if the timer has fired, was stopped already or is nil. It must be called from the
// loop's work.
func (l *Loop) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// schedule sets the wakeup to the time of the first timer, unless it is already set to that time or an earlier one.
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
		l.wakeup = time.AfterFunc(delay, func() { l.Post(l.onWakeup) })
	} else {
		l.wakeup.Reset(delay)
	}
}

// onWakeup sets the next wakeup. It need not call the timers that are due, because they are called before each piece of
// work, including this one.
func (l *Loop) onWakeup() {
	l.wakeupAt = 0
	l.schedule()
}

// callDueTimers calls the timers that are due at the given time, the earliest first, and returns the time after the calls.
// Timers that are set during the calls wait for the next call of callDueTimers, so that they can't delay queued work
// indefinitely.
func (l *Loop) callDueTimers(now time.Duration) (end time.Duration) {
	end = now
	for len(l.timers) > 0 && l.timers[0].dueAt <= now && !l.closed.Load() {
		timer := heap.Pop(&l.timers).(*Timer)
		end = l.runWork(timer.callback, &l.stats.TimerDelay, timer.dueAt, end)
	}
	return end
}

// timerHeap implements heap.Interface; the earliest timer is the first.
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
