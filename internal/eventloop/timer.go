package eventloop

import (
	"container/heap"
	"time"

	"dapplefront/policy"
)

// Timer is a call that is due at a time.
type Timer struct {
	at       time.Time
	callback func()
	index    int // in the loop's heap; -1 once it has fired or was stopped
}

// After calls callback in the loop after a time; it must itself be called from the loop's work.
func (l *Loop) After(delay policy.Time, callback func()) *Timer {
	t := &Timer{at: time.Now().Add(Duration(max(0, delay))), callback: callback}
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

// fireTimers calls the timers that are due, the earliest first.
func (l *Loop) fireTimers() {
	l.wakeupAt = time.Time{}
	now := time.Now()
	for len(l.timers) > 0 && !l.timers[0].at.After(now) {
		heap.Pop(&l.timers).(*Timer).callback()
	}
	l.schedule()
}

// timerHeap is a heap by time (heap.Interface).
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *timerHeap) Push(x any)        { x.(*Timer).index = len(*h); *h = append(*h, x.(*Timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	t.index, old[len(old)-1] = -1, nil
	*h = old[:len(old)-1]
	return t
}
