package build

import "fmt"

// Reason says why a build or key ring was refused. The strings are reported to the controller.
type Reason string

// Reasons of a refusal.
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

// RefusedError is returned when a manifest or key ring fails its verification.
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
