// Package simadapter connects the router library to the simulator: events of the simulator's wire become the router's
// events, and the router's actions become lines of the wire. It takes no decisions.
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

// Run answers batches from in on out until input ends between two batches. An error of the input names its line.
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

// handleBatch hands the events of a batch to their instances. Events of an instance that is not running are dropped.
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

// instance is a running router, with the settings that its events are read by.
type instance struct {
	id           int
	out          *simwire.Writer
	router       *router.Router
	actions      []router.Action // of the last event; its memory is used again
	reportFields platformsettings.ReportFields
	statsWindow  policy.Time // the time that statistics cover
}

func launch(id int, out *simwire.Writer, now policy.Time, l simwire.Launch) *instance {
	s := platformsettings.Read(l.Params, l.Prng)
	i := &instance{id: id, out: out, reportFields: s.Report, statsWindow: s.StatsWindow}
	i.router, i.actions = router.New(now, s.Router)
	i.printActions()
	return i
}

// handle hands an event to the router and prints the actions that follow.
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

// printActions prints the router's actions as lines of the wire, by "Requests" in the operators' page.
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
