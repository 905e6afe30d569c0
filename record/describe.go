package record

import (
	"fmt"
	"io"

	"dapplefront/policy"
	"dapplefront/router"
)

func seconds(t policy.Time) float64      { return float64(t) / 10_000 }
func milliseconds(t policy.Time) float64 { return float64(t) / 10 }

// outcomeTexts are the texts of policy.Outcome by its values.
var outcomeTexts = []string{"out", "finished", "failed", "turned back", "no answer", "no link", "cut", "called off", "never sent"}

func outcomeText(o policy.Outcome) string {
	return outcomeTexts[min(max(0, int(o)), len(outcomeTexts)-1)]
}

// EventText describes an event in one line for people. nil is a router's start.
func EventText(e router.Event) string {
	switch e := e.(type) {
	case router.RequestArrived:
		return fmt.Sprintf("task %s taken: %s, patience %.1f ms", e.RequestID, e.Class, milliseconds(e.Timeout))
	case router.AttemptEnded:
		return fmt.Sprintf("send %d of task %s: %s after %.1f ms", e.Attempt, e.RequestID, outcomeText(e.Outcome), milliseconds(e.Latency))
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

// describeAction describes an action in one line for people.
func describeAction(a router.Action) string {
	switch a.Kind {
	case router.SendAttempt:
		kind := ""
		if a.IsShadow {
			kind = ", a copy"
		}
		return fmt.Sprintf("send %d of task %s to host %d, waiting %.1f ms%s", a.Attempt, a.RequestID, a.Host, milliseconds(a.Duration), kind)
	case router.Reject:
		return fmt.Sprintf("turn task %s back", a.RequestID)
	case router.Fail:
		return fmt.Sprintf("scrap task %s", a.RequestID)
	case router.SetTimer:
		return fmt.Sprintf("alarm %d in %.1f ms", a.Timer, milliseconds(a.Duration))
	case router.CastVote:
		return fmt.Sprintf("vote %d on build %d, stage %d", a.Choice, a.Build, a.Stage)
	}
	return fmt.Sprintf("%+v", a)
}

// TraceRequest returns a function for Replay that writes the entries about one request: its arrival, its attempts and
// their outcomes.
func TraceRequest(id string, to io.Writer) func(Entry) {
	return func(e Entry) {
		var lines string
		for _, a := range e.Actions {
			if a.RequestID == id {
				lines += fmt.Sprintf("    %s\n", describeAction(a))
			}
		}
		if lines != "" || isAbout(e.Event, id) {
			_, _ = fmt.Fprintf(to, "%.4f s: %s\n%s", seconds(e.At), EventText(e.Event), lines)
		}
	}
}

// isAbout reports whether an event is the arrival of a request, the end of one of its attempts or of its client.
func isAbout(event router.Event, id string) bool {
	switch e := event.(type) {
	case router.RequestArrived:
		return e.RequestID == id
	case router.AttemptEnded:
		return e.RequestID == id
	case router.ClientGone:
		return e.RequestID == id
	}
	return false
}
