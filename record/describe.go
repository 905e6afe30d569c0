package record

import (
	"fmt"
	"io"

	"dapplefront/policy"
	"dapplefront/router"
)

func seconds(t policy.Time) float64      { return float64(t) / 10_000 }
func milliseconds(t policy.Time) float64 { return float64(t) / 10 }

// outcomeTexts are the descriptions of the values of policy.Outcome, indexed by value.
var outcomeTexts = []string{"in flight", "succeeded", "failed", "rejected", "timed out", "connection failed", "connection lost", "canceled", "not sent", "revoked"}

func outcomeText(o policy.Outcome) string {
	return outcomeTexts[min(max(0, int(o)), len(outcomeTexts)-1)]
}

// EventText describes an event in one human-readable line. A nil event stands for the start of a router.
func EventText(e router.Event) string {
	switch e := e.(type) {
	case router.RequestArrived:
		return fmt.Sprintf("request %s arrived: class %s, timeout %.1f ms", e.RequestID, e.Class, milliseconds(e.Timeout))
	case router.AttemptEnded:
		return fmt.Sprintf("attempt %d of request %s ended: %s after %.1f ms", e.Attempt, e.RequestID, outcomeText(e.Outcome), milliseconds(e.Latency))
	case router.ClientDisconnected:
		return fmt.Sprintf("client of request %s disconnected", e.RequestID)
	case router.EndpointsChanged:
		return fmt.Sprintf("endpoint list received: %d hosts", len(e.Hosts))
	case router.EndpointsUnavailable:
		return "endpoint discovery failed"
	case router.ReleaseChanged:
		return fmt.Sprintf("release status received: build %d, stage %d, phase %d, exposure cap %.3g", e.Status.Build, e.Status.Stage, e.Status.Phase, e.Status.ExposureCap)
	case router.ShutdownStarted:
		return fmt.Sprintf("shutdown started, the process may be killed after %.1f ms", milliseconds(e.KillAfter))
	case router.TimerFired:
		return fmt.Sprintf("timer %d fired", e.Timer)
	case nil:
		return "router started"
	}
	return fmt.Sprintf("%T %+v", e, e)
}

// describeAction describes an action in one human-readable line.
func describeAction(a router.Action) string {
	switch a.Kind {
	case router.SendAttempt:
		kind := ""
		if a.IsShadow {
			kind = ", shadow attempt"
		}
		return fmt.Sprintf("send attempt %d of request %s to host %d, timeout %.1f ms%s", a.Attempt, a.RequestID, a.Host, milliseconds(a.Duration), kind)
	case router.Reject:
		return fmt.Sprintf("reject request %s", a.RequestID)
	case router.CancelUnsent:
		return fmt.Sprintf("end the attempts of request %s that are not sent", a.RequestID)
	case router.Fail:
		return fmt.Sprintf("fail request %s", a.RequestID)
	case router.SetTimer:
		return fmt.Sprintf("set timer %d for %.1f ms", a.Timer, milliseconds(a.Duration))
	case router.CastVote:
		return fmt.Sprintf("cast vote %d on build %d, stage %d", a.Choice, a.Build, a.Stage)
	}
	return fmt.Sprintf("%+v", a)
}

// TraceRequest returns a function for the parameter explain of Replay. The function writes a description of every entry
// that concerns the request with the given ID: its arrival, its attempts and their outcomes.
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

// isAbout reports whether an event is the arrival of a request, the end of one of its attempts or the disconnection of
// its client.
func isAbout(event router.Event, id string) bool {
	switch e := event.(type) {
	case router.RequestArrived:
		return e.RequestID == id
	case router.AttemptEnded:
		return e.RequestID == id
	case router.ClientDisconnected:
		return e.RequestID == id
	}
	return false
}
