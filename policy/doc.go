// Package policy decides where requests go while a fleet's build is being replaced: choice of host, admission, retries,
// shadow attempts, exposure of the canary and votes on its release. It is pure: a Router takes each event with its time
// and answers through its Effects before the call returns; it does no I/O and reads no clock. The same configuration and
// events give the same decisions, so that recorded ones can be replayed.
//
// A request (RequestArrived) is dispatched: a shadow attempt goes to the canary if exposure allows it and one is due, the
// primary attempt to the baseline, unless the fleet is overloaded. How an attempt ends (AttemptEnded) decides on a retry
// and counts for the host's health, the class's usual latency and the build's sample window. A timer (TimerFired)
// reviews hosts, sends gossip and, by the evidence for and against the canary, votes on its release.
//
// The baseline is the builds whose exposure is not limited; the canary is the newest build while it is not released.
// A file holds one concern: its state, its table of transitions, where it has one, and its decisions.
package policy
