package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"dapplefront/control"
)

// problem is an error that a request is answered with, as a problem document (RFC 9457).
type problem struct {
	status     int
	field      string // of the request that was wrong; empty for none
	detail     string
	retryAfter int // seconds; 0 for no header Retry-After
}

func (p *problem) Error() string {
	return fmt.Sprintf("%s: %s: %s", http.StatusText(p.status), p.field, p.detail)
}

// invalid is the problem of a field that makes no sense.
func invalid(field, format string, values ...any) *problem {
	return &problem{status: http.StatusBadRequest, field: field, detail: fmt.Sprintf(format, values...)}
}

func notFound(field, format string, values ...any) *problem {
	return &problem{status: http.StatusNotFound, field: field, detail: fmt.Sprintf(format, values...)}
}

// errAnswered is returned by handlers that have answered an error themselves.
var errAnswered = errors.New("the request has been answered")

// rejectionStatus is the status of a command that was rejected.
var rejectionStatus = map[error]int{
	control.ErrInvalid:         http.StatusBadRequest,
	control.ErrNotFound:        http.StatusNotFound,
	control.ErrConflict:        http.StatusConflict,
	control.ErrVersionMismatch: http.StatusPreconditionFailed,
}

// problemOf is the problem that an error of a handler is answered with.
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

// writeProblem answers with an error's problem document.
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
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs no answer
}

// writeJSON answers with a body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs no answer
}
