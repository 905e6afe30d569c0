package eventloop

import (
	"sync"
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
						t.Error("two at once")
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
