package control

import (
	"errors"
	"fmt"
)

// Kinds of rejected commands, for errors.Is.
var (
	ErrInvalid         = errors.New("invalid command")                        // Field makes no sense
	ErrNotFound        = errors.New("no such object")                         // what Field names does not exist
	ErrConflict        = errors.New("command conflicts with the state")       // it may be accepted at another time
	ErrVersionMismatch = errors.New("release is not at the expected version") // Command.IfVersion
)

// Error is a command that was rejected.
type Error struct {
	Op      CommandKind // what was asked for
	Subject string      // of what: "build 2", "agent h1", "plan 7"
	Kind    error       // ErrInvalid, ErrNotFound, ErrConflict or ErrVersionMismatch
	Field   string      // of the request, as clients name it; may be empty
	Reason  string      // why, as clients see it
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.Op, e.Subject, e.Field, e.Reason)
}

// Unwrap is the kind.
func (e *Error) Unwrap() error { return e.Kind }

// reject makes an error without the command, which Apply adds.
func reject(kind error, field, format string, values ...any) *Error {
	return &Error{Kind: kind, Field: field, Reason: fmt.Sprintf(format, values...)}
}

// in adds the command that was rejected.
func (e *Error) in(c Command) *Error {
	e.Op = c.Kind
	switch c.Kind {
	case OrderAgent, AgentReport:
		e.Subject = "agent " + c.Name
	case PublishPlan, AckPlan:
		e.Subject = "plan"
		if c.Plan != nil {
			e.Subject = fmt.Sprintf("plan %d", c.Plan.Version)
		} else if c.PlanAck != nil {
			e.Subject = fmt.Sprintf("plan %d", c.PlanAck.Version)
		}
	default:
		e.Subject = fmt.Sprintf("build %d", c.Build)
	}
	return e
}
