package http1

import (
	"fmt"
	"net/http"
)

// Error says why a message can't be accepted. A server can respond with it.
type Error struct {
	Status int    // of the response
	Text   string // sent to the peer
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Text) }

// errBudgetExhausted is the error of a message for which the budget has no room.
var errBudgetExhausted = &Error{http.StatusServiceUnavailable, "too much is held for others just now"}

func newError(status int, format string, values ...any) error {
	return &Error{status, fmt.Sprintf(format, values...)}
}
