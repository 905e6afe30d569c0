package policy

import (
	"errors"
	"slices"
)

// Errors of CheckSend: why an attempt must not be sent although it was decided on.
var (
	ErrHedgingNotAllowed = errors.New("another attempt of the request is in flight, and two at once are no longer allowed")
	ErrTooManyAttempts   = errors.New("the request may no longer have so many attempts")
	ErrHostNotServing    = errors.New("the host drains or was removed")
	ErrHostReplaced      = errors.New("the host has restarted or runs another build")
	ErrBuildNotAllowed   = errors.New("the build may no longer get requests of this class")
)

// CheckSend returns an error if an attempt must not be sent any more, because what it was decided on has changed. It is
// called immediately before the attempt is written, which may be long after Effects.Send if a connection had to be opened.
// otherInFlight reports whether another attempt of the same request has been written and has not ended. CheckSend changes
// nothing: an attempt that is not sent ends as Revoked.
func (r *Router) CheckSend(attempt *Attempt, otherInFlight bool) error {
	host, class := attempt.Host, attempt.Request.Class
	switch {
	case host.State != Serving:
		return ErrHostNotServing
	case host.StartedAt != attempt.hostStartedAt || host.Build != attempt.build:
		return ErrHostReplaced
	case r.release.exposureOf(attempt.build).forbids(class, r.release.config.GuardedStages):
		return ErrBuildNotAllowed
	case otherInFlight && !r.limits.AllowHedging:
		return ErrHedgingNotAllowed
	case slices.Index(attempt.Request.Attempts, attempt) >= r.limits.MaxAttempts:
		return ErrTooManyAttempts
	}
	return nil
}
