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
	Entries, Actions int         // numbers of entries and actions compared
	Starts           int         // number of starts of a router
	Differences      int         // number of entries whose actions differ
	First            *Difference // nil if no entry differs
	Skipped          int         // number of entries that were not compared, from a gap to the next start of a router
	Gaps             []string    // for each gap, why entries were missing or could not be read, in the order of the files
}

// Difference is the first entry whose actions differ.
type Difference struct {
	Entry     Entry
	Recorded  []router.Action
	Replayed  []router.Action
	Preceding []Entry // the entries just before Entry, the oldest first
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
	fmt.Fprintf(&b, "preceding entries:\n")
	for _, e := range d.Preceding {
		fmt.Fprintf(&b, "  %d at %.4f s: %s\n", e.Number, seconds(e.At), EventText(e.Event))
	}
	return b.String()
}

// Replay passes recorded events to the router library and compares the actions that it returns with the recorded ones.
// files are the record files of one router, the oldest first. After a gap or a damaged block, entries are not compared
// until the next start of a router. If explain is not nil, it is called for every entry that was compared. Replay
// returns an error if a file can't be opened.
func Replay(files []string, explain func(Entry)) (*Report, error) {
	r := replayer{report: &Report{}, explain: explain}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return r.report, err
		}
		err = Read(f, r.replay)
		_ = f.Close() // nothing was written, so an error loses no data
		if err != nil {
			r.gap(fmt.Sprintf("%s: %v", name, err))
		}
	}
	return r.report, nil
}

// replayer replays entries one after the other and compares their actions.
type replayer struct {
	report     *Report
	explain    func(Entry)
	router     *router.Router // nil until the first start, and from a gap to the next start
	nextNumber uint64         // expected number of the next entry; 0 before the first entry
	preceding  []Entry
	actions    []router.Action // reused buffer
}

const precedingEntries = 12 // number of entries before a difference that are shown with it

// gap adds the reason for a gap to the report and stops the comparison until the next start of a router.
func (r *replayer) gap(reason string) {
	r.router = nil
	r.report.Gaps = append(r.report.Gaps, reason)
}

func (r *replayer) replay(e Entry) error {
	if r.nextNumber != 0 && e.Number != r.nextNumber && e.Config == nil {
		r.gap(fmt.Sprintf("entries %d to %d were dropped", r.nextNumber, e.Number-1))
	}
	r.nextNumber = e.Number + 1
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
			got = nil // the recording program also carried out no actions after an error
		}
	}
	r.compare(e, got)
	if r.explain != nil {
		r.explain(e)
	}
	if r.preceding = append(r.preceding, e); len(r.preceding) > precedingEntries {
		r.preceding = slices.Delete(r.preceding, 0, 1)
	}
	return nil
}

// compare counts an entry and its actions, and records the first difference.
func (r *replayer) compare(e Entry, got []router.Action) {
	r.report.Entries++
	r.report.Actions += len(e.Actions)
	if slices.Equal(got, e.Actions) {
		return
	}
	if r.report.Differences++; r.report.First == nil {
		r.report.First = &Difference{Entry: e, Recorded: e.Actions, Replayed: slices.Clone(got), Preceding: slices.Clone(r.preceding)}
	}
}
