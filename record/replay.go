package record

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"dapplefront/router"
)

// Report is what a replay found.
type Report struct {
	Entries, Actions int
	Starts           int // starts of routers
	Differences      int
	First            *Difference
	Skipped          int // entries after a gap, up to the next start
	Gaps             []string
}

// Difference is the first entry whose actions differ.
type Difference struct {
	Entry    Entry
	Recorded []router.Action
	Replayed []router.Action
	Before   []Entry // the last entries that led to it
}

func (d *Difference) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "entry %d at %.4f s: %s\n", d.Entry.Number, float64(d.Entry.At)/10_000, EventText(d.Entry.Event))
	for _, a := range d.Recorded {
		fmt.Fprintf(&b, "  recorded: %s\n", deed(a))
	}
	for _, a := range d.Replayed {
		fmt.Fprintf(&b, "  replayed: %s\n", deed(a))
	}
	fmt.Fprintf(&b, "before it:\n")
	for _, e := range d.Before {
		fmt.Fprintf(&b, "  %d at %.4f s: %s\n", e.Number, float64(e.At)/10_000, EventText(e.Event))
	}
	return b.String()
}

// Replay runs recorded events through the library and compares what it does with what was done, action by action. Files
// are one router's, in order. After a gap or damage nothing can be compared until a router starts anew. explain, if not
// nil, is told every entry that was compared.
func Replay(files []string, explain func(Entry)) (*Report, error) {
	r := &Report{}
	p := player{report: r, explain: explain}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return r, err
		}
		err = Read(f, p.entry)
		_ = f.Close()
		if err != nil {
			p.gap(fmt.Sprintf("%s: %v", name, err))
		}
	}
	return r, nil
}

type player struct {
	report  *Report
	explain func(Entry)
	mind    *router.Router
	next    uint64
	last    []Entry
	actions []router.Action
}

const remembered = 12 // entries before a difference that are shown

func (p *player) gap(why string) {
	p.mind = nil
	p.report.Gaps = append(p.report.Gaps, why)
}

func (p *player) entry(e Entry) error {
	r := p.report
	if p.next != 0 && e.Number != p.next && e.Config == nil {
		p.gap(fmt.Sprintf("entries %d to %d were dropped", p.next, e.Number-1))
	}
	p.next = e.Number + 1
	var got []router.Action
	switch {
	case e.Config != nil:
		r.Starts++
		p.mind, got = router.New(e.At, *e.Config)
	case p.mind == nil:
		r.Skipped++
		return nil
	default:
		var err error
		p.actions, err = p.mind.Handle(e.At, e.Event, p.actions[:0])
		if got = p.actions; err != nil {
			got = nil // the daemon went on, with no action
		}
	}
	r.Entries++
	r.Actions += len(e.Actions)
	if !slices.Equal(got, e.Actions) {
		if r.Differences++; r.First == nil {
			r.First = &Difference{Entry: e, Recorded: e.Actions, Replayed: slices.Clone(got), Before: slices.Clone(p.last)}
		}
	}
	if p.explain != nil {
		p.explain(e)
	}
	if p.last = append(p.last, e); len(p.last) > remembered {
		p.last = slices.Delete(p.last, 0, 1)
	}
	return nil
}

// EventText say an event for people.
func EventText(e router.Event) string {
	switch e := e.(type) {
	case router.RequestArrived:
		return fmt.Sprintf("task %s taken: %s, patience %.1f ms", e.RequestID, e.Class, float64(e.Timeout)/10)
	case router.AttemptEnded:
		fates := []string{"out", "finished", "failed", "turned back", "no answer", "no link", "cut", "called off", "never sent"}
		return fmt.Sprintf("send %d of task %s: %s after %.1f ms", e.Attempt, e.RequestID, fates[min(max(0, int(e.Outcome)), len(fates)-1)], float64(e.Latency)/10)
	case router.ClientGone:
		return fmt.Sprintf("the client of task %s has gone", e.RequestID)
	case router.EndpointsChanged:
		return fmt.Sprintf("%d hosts listed", len(e.Hosts))
	case router.EndpointsUnavailable:
		return "the list is out of reach"
	case router.ReleaseChanged:
		return fmt.Sprintf("told of build %d, stage %d, phase %d, cap %.3g", e.Status.Build, e.Status.Stage, e.Status.Phase, e.Status.ExposureCap)
	case router.TimerFired:
		return fmt.Sprintf("alarm %d", e.Timer)
	case nil:
		return "start"
	}
	return fmt.Sprintf("%T %+v", e, e)
}

func deed(a router.Action) string {
	switch a.Kind {
	case router.SendAttempt:
		kind := ""
		if a.IsShadow {
			kind = ", a copy"
		}
		return fmt.Sprintf("send %d of task %s to host %d, waiting %.1f ms%s", a.Attempt, a.RequestID, a.Host, float64(a.Duration)/10, kind)
	case router.Reject:
		return fmt.Sprintf("turn task %s back", a.RequestID)
	case router.Fail:
		return fmt.Sprintf("scrap task %s", a.RequestID)
	case router.SetTimer:
		return fmt.Sprintf("alarm %d in %.1f ms", a.Timer, float64(a.Duration)/10)
	case router.CastVote:
		return fmt.Sprintf("vote %d on build %d, stage %d", a.Choice, a.Build, a.Stage)
	}
	return fmt.Sprintf("%+v", a)
}

// TraceRequest tells a task's story out of a stream of entries: when it came, which sends it got and what became of them.
func TraceRequest(task string, to io.Writer) func(Entry) {
	return func(e Entry) {
		about := false
		switch x := e.Event.(type) {
		case router.RequestArrived:
			about = x.RequestID == task
		case router.AttemptEnded:
			about = x.RequestID == task
		case router.ClientGone:
			about = x.RequestID == task
		}
		said := false
		for _, a := range e.Actions {
			if a.RequestID == task {
				if !said {
					fmt.Fprintf(to, "%.4f s: %s\n", float64(e.At)/10_000, EventText(e.Event))
					said = true
				}
				fmt.Fprintf(to, "    %s\n", deed(a))
			}
		}
		if about && !said {
			fmt.Fprintf(to, "%.4f s: %s\n", float64(e.At)/10_000, EventText(e.Event))
		}
	}
}
