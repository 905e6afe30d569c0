package record

import (
	"errors"
	"fmt"

	"dapplefront/policy"
	"dapplefront/router"
)

// Entry is one event with the actions that the router returned for it.
type Entry struct {
	Number  uint64         // number of the entry among all entries of its writer, from 1
	At      policy.Time    // time of the event on the router's clock
	Config  *router.Config // configuration of the router; set instead of Event for the start of a router
	Event   router.Event
	Actions []router.Action
}

// Fields of the message Entry.
const (
	entryNumber               = 1
	entryTime                 = 2
	entryStart                = 3
	entryRequestArrived       = 4
	entryAttemptEnded         = 5
	entryResponseStarted      = 6
	entryClientDisconnected   = 7
	entryEndpointsChanged     = 8
	entryEndpointsUnavailable = 9
	entryReleaseChanged       = 10
	entryStatsReported        = 11
	entryComplaintReceived    = 12
	entryTimerFired           = 13 // the timer's number plus 1, so that the encoder doesn't omit timer 0
	entryPlanOffered          = 14
	entryAction               = 15
	entryConfigChanged        = 16
	entryGossipReceived       = 17
	entryHealthChecked        = 18
	entryShutdownStarted      = 19
)

// hashFunc returns the hash that is stored instead of an idempotency key or a tenant's name.
type hashFunc func(string) string

func encodeEntry(e *Entry, hash hashFunc) ([]byte, error) {
	var b encoder
	b.uint(entryNumber, e.Number)
	b.int(entryTime, int64(e.At))
	if e.Config != nil {
		if err := appendConfig(&b, entryStart, *e.Config, hash); err != nil {
			return nil, err
		}
	} else if err := appendEvent(&b, e.Event, hash); err != nil {
		return nil, err
	}
	for _, a := range e.Actions {
		b.message(entryAction, func(b *encoder) { appendAction(b, a) })
	}
	return b, nil
}

func decodeEntry(message []byte) (e Entry, err error) {
	err = eachField(message, func(f field) error {
		switch f.number {
		case entryNumber:
			e.Number = f.value
		case entryTime:
			e.At = f.time()
		case entryStart:
			e.Config, err = decodeConfig(f.bytes)
			return err
		case entryAction:
			a, err := decodeAction(f.bytes)
			e.Actions = append(e.Actions, a)
			return err
		default:
			event, err := decodeEvent(f)
			if event != nil {
				e.Event = event
			}
			return err
		}
		return nil
	})
	if err == nil && e.Config == nil && e.Event == nil {
		err = errors.New("entry has no event, or an event that this version doesn't know")
	}
	return e, err
}

// appendEvent appends an event as a field of an entry.
func appendEvent(b *encoder, event router.Event, hash hashFunc) error {
	switch e := event.(type) {
	case router.RequestArrived:
		b.message(entryRequestArrived, func(b *encoder) { appendRequestArrived(b, e, hash) })
	case router.AttemptEnded:
		b.message(entryAttemptEnded, func(b *encoder) { appendAttemptEnded(b, e) })
	case router.ResponseStarted:
		b.message(entryResponseStarted, func(b *encoder) { appendResponseStarted(b, e) })
	case router.ClientDisconnected:
		b.message(entryClientDisconnected, func(b *encoder) { appendClientDisconnected(b, e) })
	case router.EndpointsChanged:
		b.message(entryEndpointsChanged, func(b *encoder) { appendEndpointsChanged(b, e) })
	case router.EndpointsUnavailable:
		b.bool(entryEndpointsUnavailable, true)
	case router.ReleaseChanged:
		b.message(entryReleaseChanged, func(b *encoder) { appendReleaseChanged(b, e) })
	case router.StatsReported:
		b.message(entryStatsReported, func(b *encoder) { appendStatsReported(b, e) })
	case router.ComplaintReceived:
		b.message(entryComplaintReceived, func(b *encoder) { appendComplaintReceived(b, e) })
	case router.TimerFired:
		b.int(entryTimerFired, e.Timer+1)
	case router.ConfigChanged:
		return appendConfig(b, entryConfigChanged, e.Config, hash)
	case router.GossipReceived:
		b.message(entryGossipReceived, func(b *encoder) { appendGossipReceived(b, e) })
	case router.HealthChecked:
		b.message(entryHealthChecked, func(b *encoder) { appendHealthChecked(b, e) })
	case router.ShutdownStarted:
		b.message(entryShutdownStarted, func(b *encoder) { b.int(shutdownKillAfter, int64(e.KillAfter)) })
	case router.PlanOffered:
		b.message(entryPlanOffered, func(b *encoder) { appendPlanOffered(b, e) })
	default:
		return fmt.Errorf("events of type %T can't be recorded", event)
	}
	return nil
}

// decodeEvent returns the event in a field of an entry, or nil if this version doesn't know the field.
func decodeEvent(f field) (router.Event, error) {
	switch f.number {
	case entryRequestArrived:
		return decodeRequestArrived(f.bytes)
	case entryAttemptEnded:
		return decodeAttemptEnded(f.bytes)
	case entryResponseStarted:
		return decodeResponseStarted(f.bytes)
	case entryClientDisconnected:
		return decodeClientDisconnected(f.bytes)
	case entryEndpointsChanged:
		return decodeEndpointsChanged(f.bytes)
	case entryEndpointsUnavailable:
		return router.EndpointsUnavailable{}, nil
	case entryReleaseChanged:
		return decodeReleaseChanged(f.bytes)
	case entryStatsReported:
		return decodeStatsReported(f.bytes)
	case entryComplaintReceived:
		return decodeComplaintReceived(f.bytes)
	case entryTimerFired:
		return router.TimerFired{Timer: f.int64() - 1}, nil
	case entryConfigChanged:
		return decodeConfigChanged(f.bytes)
	case entryGossipReceived:
		return decodeGossipReceived(f.bytes)
	case entryHealthChecked:
		return decodeHealthChecked(f.bytes)
	case entryPlanOffered:
		return decodePlanOffered(f.bytes)
	case entryShutdownStarted:
		return decodeShutdownStarted(f.bytes)
	}
	return nil, nil
}
