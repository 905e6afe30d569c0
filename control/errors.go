package control

import (
	"errors"
	"fmt"
)

// Kinds of rejections, for errors.Is.
var (
	ErrInvalid         = errors.New("invalid command")                        // the value of Field is invalid
	ErrNotFound        = errors.New("no such object")                         // the object that Field identifies does not exist
	ErrConflict        = errors.New("command conflicts with the state")       // the same command may be accepted in another state
	ErrVersionMismatch = errors.New("release is not at the expected version") // Command.IfVersion differs from the release's version
)

// Error describes the rejection of a command.
type Error struct {
	Op      CommandKind // the requested operation
	Subject string      // the object of the operation: "build 2", "agent h1", "plan 7"
	Kind    error       // ErrInvalid, ErrNotFound, ErrConflict or ErrVersionMismatch
	Field   string      // field of the request under its name in the REST interface; may be empty
	Reason  string      // reason for the rejection, as clients see it
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.Op, e.Subject, e.Field, e.Reason)
}

// Unwrap returns the kind.
func (e *Error) Unwrap() error { return e.Kind }

// reject returns an error without Op and Subject; Apply sets them from the command.
func reject(kind error, field, format string, values ...any) *Error {
	return &Error{Kind: kind, Field: field, Reason: fmt.Sprintf(format, values...)}
}

// withCommand sets Op and Subject from the command that was rejected, and returns the error.
func (e *Error) withCommand(c Command) *Error {
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
