// Package audit judges the five rules of the service from what clients, backends, endpoint discovery and release
// controllers saw at their sockets. It never reads a router's own state.
//
// Whoever stands at a socket adds events to a Recorder. When everything is over, Recorder.Judge returns a Verdict for each
// rule:
//
//	answer    one final answer in time for every request
//	effect    no effect of a request takes place twice
//	drain     no new attempt reaches a draining or removed backend after the grace period
//	cold      a backend that warms up never gets more than its budget from all routers together
//	exposure  a router's attempts at a canary build stay within the exposure cap
//
// A machine that stalls makes events late that were not. The recorder has a heartbeat of its own, and a finding that a
// missed heartbeat may explain is reported as doubtful: neither as kept nor as broken.
package audit
