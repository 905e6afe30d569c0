package eventloop

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

func TestLoop_RunsWorkOneAtATimeInOrder(t *testing.T) {
	l := New()
	defer l.Close()
	inside, order := 0, map[int][]int{}
	var wait sync.WaitGroup
	for g := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range 500 {
				l.Post(func() {
					inside++
					if inside != 1 {
						t.Error("two pieces of work run at once")
					}
					order[g] = append(order[g], i)
					inside--
				})
			}
		}()
	}
	wait.Wait()
	l.Do(func() {
		for g := range 8 {
			require.Len(t, order[g], 500)
			require.IsIncreasing(t, order[g])
		}
	})
}

func TestLoop_FiresTimersInOrderUnlessStopped(t *testing.T) {
	l := New()
	defer l.Close()
	fired := make(chan string, 4)
	l.Do(func() {
		l.After(300, func() { fired <- "third" })
		l.After(200, func() { fired <- "second" })
		l.After(100, func() { fired <- "first" })
		stopped := l.After(50, func() { fired <- "stopped" })
		l.Stop(stopped)
		l.Stop(stopped)
	})
	for _, want := range []string{"first", "second", "third"} {
		select {
		case got := <-fired:
			require.Equal(t, want, got)
		case <-time.After(10 * time.Second):
			t.Fatal("no timer fired")
		}
	}
}

func TestLoop_RunsWorkPostedByWorkAfterIt(t *testing.T) {
	l := New()
	var order []string
	l.Post(func() {
		l.Post(func() { order = append(order, "second") })
		order = append(order, "first")
	})
	require.Equal(t, []string{"first", "second"}, order)
	l.Close()
	l.Post(func() { order = append(order, "never") })
	require.False(t, l.Do(func() {}))
	require.Len(t, order, 2)
}

func TestLoop_ConvertsDurations(t *testing.T) {
	require.Equal(t, policy.Second, FromDuration(time.Second))
	require.Equal(t, 1500*time.Millisecond, Duration(15_000))
}

// Guards against late responses: a timer must not wait for all the work that was queued before the timer was due.
func TestLoop_CallsDueTimerBeforeQueuedWork(t *testing.T) {
	l := New()
	defer l.Close()
	var order []string
	l.Do(func() {
		for _, name := range []string{"first", "second"} {
			l.Post(func() { order = append(order, name) })
		}
		l.After(policy.Second/1000, func() { order = append(order, "timer") })
		time.Sleep(5 * time.Millisecond)
	})
	l.Do(func() {}) // returns after all queued work has run
	require.Equal(t, []string{"timer", "first", "second"}, order)
}

// Guards against extra latency: the effect of a decision must not wait for all the work that is already queued.
func TestLoop_RunsDeferredWorkBeforeQueuedWork(t *testing.T) {
	l := New()
	defer l.Close()
	var order []string
	l.Do(func() {
		l.Post(func() { order = append(order, "queued") })
		l.Defer(func() {
			l.Defer(func() { order = append(order, "deferred by deferred work") })
			order = append(order, "deferred")
		})
		order = append(order, "running")
	})
	l.Do(func() {}) // returns after all queued work has run
	require.Equal(t, []string{"running", "deferred", "deferred by deferred work", "queued"}, order)
}

func TestLoop_MeasuresLagAndForgetsIt(t *testing.T) {
	l := New()
	defer l.Close()
	const delay = 40 * time.Millisecond
	l.Do(func() {
		l.Post(func() {})
		time.Sleep(delay)
	})
	var lag policy.Time
	var stats Stats
	l.Do(func() { lag, stats = l.Lag(), l.Stats() })
	require.GreaterOrEqual(t, lag, FromDuration(delay/2), "the queued piece of work ran late")
	require.GreaterOrEqual(t, stats.QueueDelay.Longest, delay)
	require.GreaterOrEqual(t, stats.RunTime.Longest, delay)
	require.Eventually(t, func() bool {
		lag := FromDuration(delay)
		l.Do(func() { lag = l.Lag() })
		return lag < FromDuration(delay/4)
	}, 10*time.Second, time.Millisecond)
}

func TestHistogram_BoundsQuantiles(t *testing.T) {
	var h, other Histogram
	require.Zero(t, h.Quantile(0.5))
	for range 90 {
		h.Add(100 * time.Microsecond)
	}
	for range 10 {
		other.Add(30 * time.Millisecond)
	}
	other.Add(-time.Second)
	h.Merge(&other)
	require.EqualValues(t, 101, h.Count())
	require.Equal(t, 30*time.Millisecond, h.Longest)
	require.Equal(t, 128*time.Microsecond, h.Quantile(0.5))
	require.Equal(t, 30*time.Millisecond, h.Quantile(0.99), "a quantile does not exceed the longest duration")
}

// Guards against a connection that is not read because its reader runs the work of all others.
func TestLoop_PostReturnsWhileOthersKeepPosting(t *testing.T) {
	l := New()
	defer l.Close()
	var stop atomic.Bool
	var post func()
	post = func() {
		time.Sleep(100 * time.Microsecond)
		if !stop.Load() {
			go l.Post(post)
			go l.Post(post)
			time.Sleep(time.Millisecond) // until they have posted
		}
	}
	returned := make(chan struct{})
	go func() { l.Post(post); close(returned) }()
	select {
	case <-returned:
	case <-time.After(5 * time.Second):
		t.Error("the poster still runs the work of others")
	}
	require.Positive(t, l.QueueLength()+1)
	stop.Store(true)
	require.True(t, l.Do(func() {}), "the rest of the queue is run")
}
