package http1

import "fmt"

// Error is a message that can't be accepted, and the status that says so.
type Error struct {
	Status int
	Text   string // for the peer
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Text) }

func newError(status int, format string, values ...any) error {
	return &Error{status, fmt.Sprintf(format, values...)}
}
