package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/register"
	"dapplefront/logic"
)

// However an object is laid out in lines, and wherever the bytes that carry it are cut, it is one list.
func TestIndentedListsAreReadAndEmptyLinesBetweenThemToo(t *testing.T) {
	d := newDesk(t)
	w, _, h := watch(t, d, List{})
	w.Ask()
	text := "\n\n{\n  \"revision\": 41,\n\n  \"complete\": true,\n  \"members\": [\n    " + entry("a", "up", 1) + "\n  ]\n}"
	for _, part := range []string{text[:1], text[1:9], text[9:60], text[60:]} {
		d.lines <- part
	}
	require.Len(t, <-h.lists, 1, "it is told as soon as it is whole, whatever comes behind")
	d.lines <- "\n\n" + strings.ReplaceAll(list(42, false, entry("b", "up", 1)), ",", ",\r\n\t")
	require.Len(t, <-h.lists, 1)
	require.Empty(t, h.turned)
}

func TestAnObjectWithoutEndIsNotHeldInMemory(t *testing.T) {
	d := newDesk(t)
	w, _, h := watch(t, d, List{})
	w.Ask()
	go func() {
		d.lines <- `{"revision":41,"complete":true,"members":["`
		for range 5 {
			d.lines <- strings.Repeat("x", 1<<20)
		}
	}()
	require.ErrorContains(t, <-h.failed, "longer than")
}

// The parts of the time until a silent watch is replaced add up to less than the time after which what it missed
// counts as told.
func TestASilentWatchIsReplacedBeforeWhatItMissedCountsAsTold(t *testing.T) {
	require.LessOrEqual(t, Within.Silence+wait+Within.First, told)
	require.Greater(t, Within.Silence, alive, "a sign of life that is a little late is no silence")
}

// A silent first answer, an empty line alone included, is no watch; every byte of one that has spoken is a sign of life.
func TestSilenceIsCountedFromTheLastByteAndTheFirstObject(t *testing.T) {
	kept := Within
	t.Cleanup(func() { Within = kept })
	Within.First, Within.Silence = 100*time.Millisecond, 100*time.Millisecond
	d := newDesk(t)
	w, _, h := watch(t, d, List{})
	w.Ask()
	d.lines <- "\n"
	require.ErrorContains(t, <-h.failed, "silent", "an empty line is no list")
	Within.First, Within.Silence = time.Minute, time.Second
	w, _, h = watch(t, d, List{})
	w.Ask()
	d.lines <- list(41, true, entry("a", "up", 1))
	<-h.lists
	began := time.Now()
	for range 10 {
		d.lines <- "\n"
		time.Sleep(200 * time.Millisecond) // the discovery's own pace
	}
	require.Empty(t, h.failed)
	require.ErrorContains(t, <-h.failed, "silent")
	require.Greater(t, time.Since(began), 2*time.Second)
}

func TestAWholeListThatIsOlderThanWhatIsHeldUndoesNothing(t *testing.T) {
	d := newDesk(t)
	w, _, h := watch(t, d, List{Revision: 40, Complete: true})
	w.Ask()
	d.lines <- list(42, true, entry("a", "draining", 1))
	require.Equal(t, logic.Draining, (<-h.lists)[0].Standing)
	d.lines <- list(41, true, entry("a", "up", 1)) // made before, and late
	<-h.stale
	d.lines <- list(43, false, entry("b", "up", 1))
	require.Len(t, <-h.lists, 1)
	require.Equal(t, int64(43), w.revision)
	d.lines <- "end"
	<-h.failed
	w.Ask()
	d.lines <- list(7, true, entry("a", "up", 1)) // discovery counts anew: it answers with less than was asked for
	require.Len(t, <-h.lists, 1)
	d.lines <- list(8, false, entry("a", "draining", 1))
	require.Equal(t, logic.Draining, (<-h.lists)[0].Standing)
}

// While a newer watch takes over, a whole list that it was answered with before the old one told more undoes nothing.
func TestAWatchThatTakesOverDoesNotUndoWhatTheOldOneToldMeanwhile(t *testing.T) {
	old, next := newDesk(t), newDesk(t)
	w, _, h := watch(t, old, List{})
	w.Ask()
	old.lines <- list(41, true, entry("a", "up", 1))
	<-h.lists
	w.Move(next.address())
	require.Eventually(t, func() bool { next.mu.Lock(); defer next.mu.Unlock(); return len(next.asked) == 1 }, 10*time.Second, time.Millisecond)
	old.lines <- list(42, false, entry("a", "removed", 1))
	require.Equal(t, logic.Gone, (<-h.lists)[0].Standing)
	next.lines <- "\n" // speaks, but tells nothing: the old one is heard on
	old.lines <- list(43, false, entry("b", "up", 1))
	require.Len(t, <-h.lists, 1)
	next.lines <- list(41, true, entry("a", "up", 1))
	<-h.stale
	require.Equal(t, int64(43), w.revision)
	require.Empty(t, h.lists)
}

// A router's life is long, and ids come and go: what can't be asked about any more is forgotten.
func TestChurnLeavesNothingBehind(t *testing.T) {
	w, _ := Open("127.0.0.1:1", List{Revision: 1, Complete: true}, register.Hear{})
	t.Cleanup(w.Close)
	one := func(n int, phase string) Entry {
		return Entry{ID: fmt.Sprint("h", n), HostPort: "127.0.0.1:1", Phase: phase, Build: 1}
	}
	for n := range 1000 {
		w.put(List{Revision: int64(2 * n), Members: []Entry{one(n, "up")}})
		w.put(List{Revision: int64(2*n + 1), Members: []Entry{one(n, "removed")}})
	}
	w.put(List{Revision: 3000, Complete: true, Members: []Entry{one(5000, "up")}})
	w.put(List{Revision: 3001, Complete: true, Members: []Entry{one(6000, "up")}}) // a whole list leaves one out
	_, known := w.Number("h999", time.Now())
	require.True(t, known, "complaints may still come")
	long := time.Now().Add(-time.Hour) // as if it were an hour later
	w.swept = long
	for _, x := range w.words {
		x.left = long
	}
	w.put(List{Revision: 3002, Members: []Entry{one(6000, "up")}})
	require.Len(t, w.words, 1)
	require.Len(t, w.owners, 1)
	n, known := w.Number("h6000", time.Now())
	require.True(t, known)
	require.Equal(t, "h6000 1", w.owners[n])
}
