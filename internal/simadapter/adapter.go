// Package simadapter connects the router library to the simulator: it converts events of the simulator's wire to the
// router's events, and the router's actions to lines of the wire. It makes no decisions.
package simadapter

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"

	"dapplefront/internal/platformsettings"
	"dapplefront/internal/simwire"
	"dapplefront/policy"
	"dapplefront/router"
)

// Run reads batches from in and writes their replies to out, until the input ends between two batches. The error for
// malformed input names the line.
func Run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	instances := map[int]*instance{}
	for {
		b, err := r.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := handleBatch(instances, w, b); err != nil {
			return fmt.Errorf("batch %d: %w", b.Number, err)
		}
		if err := w.End(b.Number); err != nil {
			return err
		}
	}
}

// handleBatch passes the events of a batch to their instances. Events of an instance that is not running are dropped.
func handleBatch(instances map[int]*instance, out *simwire.Writer, b simwire.Batch) error {
	now := platformsettings.FromMicroseconds(b.Now)
	for _, e := range b.Events {
		switch body := e.Body.(type) {
		case simwire.Launch:
			instances[e.Instance] = launch(e.Instance, out, now, body)
		case simwire.Kill:
			delete(instances, e.Instance)
		default:
			i := instances[e.Instance]
			if i == nil {
				continue
			}
			if err := i.handle(now, body); err != nil {
				return err
			}
		}
	}
	return nil
}

// instance is a running router, with the settings that the adapter needs to convert its events.
type instance struct {
	id           int
	out          *simwire.Writer
	router       *router.Router
	actions      []router.Action // the router's actions in response to the last event; the slice is reused
	reportFields platformsettings.ReportFields
	statsWindow  policy.Time // the period that statistics cover
}

func launch(id int, out *simwire.Writer, now policy.Time, l simwire.Launch) *instance {
	s := platformsettings.Read(l.Params, l.Prng)
	i := &instance{id: id, out: out, reportFields: s.Report, statsWindow: s.StatsWindow}
	i.router, i.actions = router.New(now, s.Router)
	i.printActions()
	return i
}

// handle passes an event to the router and prints the resulting actions.
func (i *instance) handle(now policy.Time, body any) error {
	e := i.routerEvent(body)
	if e == nil {
		return nil
	}
	var err error
	i.actions, err = i.router.Handle(now, e, i.actions[:0])
	i.printActions()
	return err
}

// printActions prints the router's actions as lines of the wire. The section "Requests" of the operators' page defines them.
func (i *instance) printActions() {
	for _, a := range i.actions {
		switch a.Kind {
		case router.SendAttempt:
			i.out.Act(i.id, "TRY", a.RequestID, a.Host, platformsettings.ToMicroseconds(a.Duration))
		case router.Reject:
			i.out.Act(i.id, "DECLINE", a.RequestID, platformsettings.ToMicroseconds(a.Duration))
		case router.Fail:
			i.out.Act(i.id, "FINISH_ERROR", a.RequestID)
		case router.SetTimer:
			i.out.Act(i.id, "SET_ALARM", platformsettings.ToMicroseconds(a.Duration), a.Timer)
		case router.WatchEndpoints:
			i.out.Act(i.id, "STREAM_CHANGES", 1)
		case router.CastVote:
			i.out.Act(i.id, "JUDGE", a.Build, a.Stage, int(a.Choice))
		case router.SendGossip:
			i.out.Act(i.id, "PUBLISH", a.Peer, base64.StdEncoding.EncodeToString([]byte(a.Body)))
		case router.CheckHealth:
			i.out.Act(i.id, "PING", a.Host)
		case router.Log:
			i.out.Act(i.id, "LOG", a.Text)
		}
	}
}
