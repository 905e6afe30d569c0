// Package policy decides where requests go while a fleet's build is being replaced: choice of host, admission, retries,
// shadow attempts, exposure of the canary and votes on its release. It is pure: a Router takes each event with its time
// and answers through its Effects before the call returns; it does no I/O and reads no clock.
package policy
