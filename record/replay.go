package record

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"dapplefront/router"
)

// Report is the result of a replay.
type Report struct {
	Entries, Actions int         // compared
	Starts           int         // of routers
	Differences      int         // entries whose actions differ
	First            *Difference // nil for none
	Skipped          int         // entries after a gap, up to the next start
	Gaps             []string    // why entries could not be compared
}

// Difference is the first entry whose actions differ.
type Difference struct {
	Entry    Entry
	Recorded []router.Action
	Replayed []router.Action
	Before   []Entry // the last entries before it, the oldest first
}

// String describes the difference on several lines.
func (d *Difference) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "entry %d at %.4f s: %s\n", d.Entry.Number, seconds(d.Entry.At), EventText(d.Entry.Event))
	for _, a := range d.Recorded {
		fmt.Fprintf(&b, "  recorded: %s\n", describeAction(a))
	}
	for _, a := range d.Replayed {
		fmt.Fprintf(&b, "  replayed: %s\n", describeAction(a))
	}
	fmt.Fprintf(&b, "before it:\n")
	for _, e := range d.Before {
		fmt.Fprintf(&b, "  %d at %.4f s: %s\n", e.Number, seconds(e.At), EventText(e.Event))
	}
	return b.String()
}

// Replay runs recorded events through the router library and compares the actions that it returns with those recorded.
// The files are one router's, in order. After a gap or damage nothing can be compared until the next start of a router.
// explain, if not nil, is called with every entry that was compared. An error is a file that can't be opened.
func Replay(files []string, explain func(Entry)) (*Report, error) {
	r := replayer{report: &Report{}, explain: explain}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return r.report, err
		}
		err = Read(f, r.replay)
		_ = f.Close() // it was only read
		if err != nil {
			r.gap(fmt.Sprintf("%s: %v", name, err))
		}
	}
	return r.report, nil
}

// replayer compares entries one after the other.
type replayer struct {
	report  *Report
	explain func(Entry)
	router  *router.Router // nil where a start is missing
	next    uint64         // the number that the next entry should have; 0 before the first
	before  []Entry
	actions []router.Action // a buffer
}

const entriesBefore = 12 // entries before a difference that are shown

// gap ends the comparison until the next start of a router.
func (r *replayer) gap(reason string) {
	r.router = nil
	r.report.Gaps = append(r.report.Gaps, reason)
}

func (r *replayer) replay(e Entry) error {
	if r.next != 0 && e.Number != r.next && e.Config == nil {
		r.gap(fmt.Sprintf("entries %d to %d were dropped", r.next, e.Number-1))
	}
	r.next = e.Number + 1
	var got []router.Action
	switch {
	case e.Config != nil:
		r.report.Starts++
		r.router, got = router.New(e.At, *e.Config)
	case r.router == nil:
		r.report.Skipped++
		return nil
	default:
		var err error
		r.actions, err = r.router.Handle(e.At, e.Event, r.actions[:0])
		if got = r.actions; err != nil {
			got = nil // the router's program went on as well, with no action
		}
	}
	r.compare(e, got)
	if r.explain != nil {
		r.explain(e)
	}
	if r.before = append(r.before, e); len(r.before) > entriesBefore {
		r.before = slices.Delete(r.before, 0, 1)
	}
	return nil
}

// compare counts an entry and keeps the first whose actions differ.
func (r *replayer) compare(e Entry, got []router.Action) {
	r.report.Entries++
	r.report.Actions += len(e.Actions)
	if slices.Equal(got, e.Actions) {
		return
	}
	if r.report.Differences++; r.report.First == nil {
		r.report.First = &Difference{Entry: e, Recorded: e.Actions, Replayed: slices.Clone(got), Before: slices.Clone(r.before)}
	}
}
