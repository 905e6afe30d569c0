package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"dapplefront/control"
)

// problem is an error that is returned to the client as a problem document (RFC 9457).
type problem struct {
	status     int
	field      string // invalid field of the request; empty if the problem is not in a field
	detail     string
	retryAfter int // value of the header Retry-After in seconds; 0 means no header
}

func (p *problem) Error() string {
	return fmt.Sprintf("%s: %s: %s", http.StatusText(p.status), p.field, p.detail)
}

// invalid returns a problem for a field with an invalid value.
func invalid(field, format string, values ...any) *problem {
	return &problem{status: http.StatusBadRequest, field: field, detail: fmt.Sprintf(format, values...)}
}

func notFound(field, format string, values ...any) *problem {
	return &problem{status: http.StatusNotFound, field: field, detail: fmt.Sprintf(format, values...)}
}

// errResponseWritten is returned by handlers that have written the response themselves. The middleware then writes no problem
// document.
var errResponseWritten = errors.New("the response has already been written")

// rejectionStatus maps the kinds of rejected commands to HTTP statuses.
var rejectionStatus = map[error]int{
	control.ErrInvalid:         http.StatusBadRequest,
	control.ErrNotFound:        http.StatusNotFound,
	control.ErrConflict:        http.StatusConflict,
	control.ErrVersionMismatch: http.StatusPreconditionFailed,
}

// problemOf returns the problem for an error that a handler returned.
func problemOf(err error) *problem {
	var p *problem
	var rejected *control.Error
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &rejected):
		return &problem{status: rejectionStatus[rejected.Kind], field: rejected.Field, detail: rejected.Reason}
	case errors.Is(err, ErrNoLeader):
		return &problem{status: http.StatusServiceUnavailable, detail: err.Error(), retryAfter: 1}
	}
	return &problem{status: http.StatusGatewayTimeout, detail: err.Error()}
}

// writeProblem writes the problem document of an error as the response.
func writeProblem(w http.ResponseWriter, err error) {
	p := problemOf(err)
	body := map[string]any{"type": "about:blank", "title": http.StatusText(p.status), "status": p.status, "detail": p.detail}
	if p.field != "" {
		body["field"] = p.field
	}
	if p.retryAfter != 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.retryAfter))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
