// Package policy makes the routing decisions while a fleet moves from one build to the next: choice of host, admission,
// retries, shadow attempts, exposure of the canary and votes on its release. It is pure: a Router receives each event
// together with its time and calls its Effects before the call returns; it does no I/O and reads no clock. The same
// configuration and events give the same decisions, so recorded decisions can be replayed.
//
// RequestArrived dispatches a request: a shadow attempt goes to the canary if the exposure limit allows one and one is due,
// and the primary attempt goes to the baseline unless the fleet is overloaded. AttemptEnded decides whether to retry, and
// adds the outcome to the host's health, the class's usual latency and the build's sample window. TimerFired reviews the
// health of hosts, sends gossip and votes on the canary's release, depending on the evidence for and against the canary.
//
// The baseline is the set of builds whose exposure is not limited; the canary is the newest build while it is not released.
// Each file covers one concern: its state, its transition table if it has one, and its decisions.
package policy
