package proxy

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"dapplefront/internal/downstream"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/upstream"
	"dapplefront/policy"
	"dapplefront/router"
)

const (
	headCapacity        = 512 // bytes reserved for the part of the head that all attempts of a request share
	attemptHeadCapacity = 96  // bytes reserved for the header fields that each attempt adds to it
)

// sendAttempt starts an attempt of a request on a host.
func (p *Proxy) sendAttempt(r *request, a router.Action) {
	m := r.downstream.Message
	if r.commonHead == nil {
		r.commonHead = p.requestHead(m, r.downstream)
	}
	head := append(make([]byte, 0, len(r.commonHead)+attemptHeadCapacity), r.commonHead...)
	if name := p.protocol.Attempt; name != "" {
		head = append(append(head, name...), ": "...)
		head = append(strconv.AppendInt(head, int64(a.Attempt), 10), "\r\n"...)
	}
	r.outstanding++
	p.counts.Attempts++
	if a.IsShadow {
		p.counts.ShadowAttempts++
	} else {
		r.host = a.Host
	}
	r.hosts = append(r.hosts, a.Host)
	number, host := a.Attempt, a.Host
	request := upstream.Request{Head: head, Body: m.Body, NoBody: m.Method == http.MethodHead,
		Ready:   func() bool { return p.inputHandled() && p.clientInputRead(r) },
		Overdue: func() { p.inputOverdue(r, number, host) },
		Allowed: func() error { return p.mayWrite(r, number) }}
	r.attempts = append(r.attempts, p.pool.Send(host, request, a.Duration,
		func(result upstream.Result) { p.attemptEnded(r, number, host, result) }))
}

// Why an attempt is revoked: its client has disconnected, or may have.
var (
	errClientDisconnected = errors.New("the client has disconnected")
	errClientInputUnread  = errors.New("the client has sent more than could be read, and may have disconnected")
)

// mayWrite returns an error if an attempt of a request must not be written any more, because what it was decided on has
// changed. Time has passed since the decision if the attempt's connection had to be opened or the process was held up.
func (p *Proxy) mayWrite(r *request, number int) error {
	switch {
	case r.responseDue && r.downstream.ClientDisconnected():
		return errClientDisconnected
	case !p.clientInputRead(r):
		return errClientInputUnread
	}
	return p.router.CheckSend(r.id, number, slices.ContainsFunc(r.attempts, (*upstream.Attempt).InFlight))
}

// heldUpDelay is the event loop's delay from which the process counts as having been held up. It is below the shortest drain
// grace, so that no host can be beyond its grace before attempts wait for input.
const heldUpDelay = 50 * policy.Second / 1000

// heartbeatInterval is the interval of a timer that does nothing. It is short enough for the loop to notice each standstill that
// is twice as long as heldUpDelay.
const heartbeatInterval = heldUpDelay

func (p *Proxy) heartbeat() { p.loop.After(heartbeatInterval, p.heartbeat) }

// wasHeldUp reports whether the process was held up a short time ago, so that input that arrived meanwhile may be unread.
func (p *Proxy) wasHeldUp() bool { return p.loop.RecentDelay() >= heldUpDelay }

// inputHandled reports whether attempts may be written without waiting for input from endpoint discovery or the release
// controllers: it returns false while the process has been held up and input has arrived meanwhile that was not handled.
func (p *Proxy) inputHandled() bool {
	return p.inputPending == nil || !p.wasHeldUp() || !p.inputPending()
}

// inputOverdue counts and logs an attempt that has waited for input and waits no longer. It is written, unless mayWrite returns
// an error.
func (p *Proxy) inputOverdue(r *request, number int, host uint32) {
	p.inputsOverdue++
	p.limited.Log(slog.LevelWarn, "attempt waits no longer for input", "request", r.downstream.ID, "router_id", r.id, "attempt", number, "host", host,
		"control_plane_unread", !p.inputHandled(), "client_unread", !p.clientInputRead(r), "delay", eventloop.Duration(p.loop.RecentDelay()))
}

// clientInputRead reports whether it is certain that the client was connected when it last sent something: it returns false
// while the process has been held up and the client has sent bytes meanwhile that were not read. The end of its stream can't
// arrive before them if they fill the receive window.
func (p *Proxy) clientInputRead(r *request) bool {
	return !r.responseDue || !p.wasHeldUp() || r.downstream.InputSettled()
}

// attemptEnded reports the result of an attempt to the router. The first attempt that succeeds provides the client's
// response.
func (p *Proxy) attemptEnded(r *request, number int, host uint32, result upstream.Result) {
	r.outstanding--
	r.timedOut = result.Outcome == policy.TimedOut
	r.mayHaveRun = r.mayHaveRun || result.Outcome.MayHaveRun()
	if result.Revoked != nil {
		p.attemptRevoked(r, number, host, result.Revoked)
	} else if result.Reason != "" && p.log.Enabled(context.Background(), slog.LevelDebug) {
		p.log.Debug("attempt ended", "request", r.id, "attempt", number, "host", host, "outcome", int(result.Outcome), "reason", result.Reason)
	}
	if result.Outcome == policy.Succeeded && r.responseDue {
		r.responseDue = false
		p.counts.Succeeded++
		p.countIfLate(r.downstream)
		r.host = host
		p.countOutcome(reportedSucceeded, r)
		if p.faults == nil || !p.faults.WithholdsResponse(r.id) {
			r.delivered = !r.downstream.ClientDisconnected()
			r.downstream.Respond(result.Response, host)
		}
		r.cancelAttempts()
	}
	if result.Response != nil {
		result.Response.Drop()
	}
	p.handleEvent(router.AttemptEnded{RequestID: r.id, Attempt: number, Outcome: result.Outcome, Latency: result.Latency,
		Done: !r.responseDue, Load: result.Load})
	p.removeIfComplete(r)
}

// attemptRevoked counts and logs an attempt that was not sent because what it was decided on had changed. If the client has
// disconnected, the request ends as if the loop had been told so before.
func (p *Proxy) attemptRevoked(r *request, number int, host uint32, reason error) {
	p.revoked++
	p.limited.Log(slog.LevelInfo, "attempt revoked", "request", r.downstream.ID, "router_id", r.id, "class", r.downstream.Class, "attempt", number, "host", host,
		"reason", reason, "age", eventloop.Duration(p.loop.Now()-r.downstream.ArrivedAt))
	if errors.Is(reason, errClientDisconnected) {
		r.downstream.Abandon()
	}
}

// requestHead returns the part of the head that all attempts of a request share: everything except the attempt's number
// and its timeout.
func (p *Proxy) requestHead(m *http1.Message, d *downstream.Request) []byte {
	b := make([]byte, 0, headCapacity)
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	if m.Minor == 0 && m.Get("Host") == "" {
		b = http1.AppendField(b, "Host", p.address.String())
	}
	b = m.AppendFields(b, p.isOwnHeader)
	if p.protocol.ForwardedHeaders {
		b = http1.AppendField(b, "Via", "1.1 "+p.config.Name)
	}
	if p.protocol.Router != "" {
		b = http1.AppendField(b, p.protocol.Router, p.config.Name)
	}
	if p.protocol.Class != "" {
		b = http1.AppendField(b, p.protocol.Class, d.Class)
	}
	if p.protocol.ForwardedHeaders && d.RemoteIP.IsValid() {
		b = http1.AppendField(b, "X-Forwarded-For", d.RemoteIP.String())
	}
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, '\r', '\n')
	}
	return b
}

// isOwnHeader reports whether the router sets a header of forwarded requests itself. The client's value is not forwarded.
func (p *Proxy) isOwnHeader(name string) bool {
	for _, own := range [...]string{p.protocol.Timeout, p.protocol.Attempt, p.protocol.Router, p.protocol.Class} {
		if len(name) == len(own) && strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// errHealthChecksOff is why a health check is revoked that a new configuration does not allow.
var errHealthChecksOff = errors.New("health checks are no longer allowed")

// mayCheckHealth returns an error if health checks are not allowed any more.
func (p *Proxy) mayCheckHealth() error {
	if !p.config.Router.Limits.HealthChecks {
		return errHealthChecksOff
	}
	return nil
}

// checkHealth sends a health check to a host, if a path is configured for it. The result does not count toward any
// request.
func (p *Proxy) checkHealth(host uint32) {
	check := p.config.HealthCheck
	if check.Path == "" {
		return
	}
	head := http1.AppendField([]byte("GET "+check.Path+" HTTP/1.1\r\n"), "Host", p.address.String())
	head = http1.AppendField(head, upstream.RouterHeader, p.config.Name)
	request := upstream.Request{Head: head, Ready: p.inputHandled, Allowed: p.mayCheckHealth}
	p.pool.Send(host, request, eventloop.FromDuration(check.Timeout), func(result upstream.Result) {
		if result.Outcome == policy.Revoked {
			return
		}
		if result.Response != nil {
			result.Response.Drop()
		}
		p.handleEvent(router.HealthChecked{Host: host, Outcome: result.Outcome, Latency: result.Latency, Load: result.Load})
	})
}
