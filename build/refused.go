package build

import "fmt"

// Reason says why something was refused. Its strings are reported.
type Reason string

// The reasons.
const (
	TooFewSignatures Reason = "too few signatures"
	BadSignature     Reason = "a signature is wrong"
	UnknownKey       Reason = "no key of the ring signed it"
	KeyNotValid      Reason = "a key is not valid at this time"
	KeyRevoked       Reason = "a key is revoked"
	WrongGroup       Reason = "it is for another host group"
	BelowMinVersion  Reason = "it is older than the floor"
	StaleKeyRing     Reason = "the ring is not newer than the present one"
	Malformed        Reason = "it is malformed"
)

// RefusedError is the error of a verification that failed.
type RefusedError struct {
	Reason Reason
	Detail string // may be empty
}

// Error returns the reason and the detail.
func (e *RefusedError) Error() string {
	if e.Detail == "" {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Detail
}

func refused(r Reason, format string, values ...any) *RefusedError {
	return &RefusedError{r, fmt.Sprintf(format, values...)}
}
