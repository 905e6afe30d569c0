// Package audit checks the five rules of the service against what clients, backends, endpoint discovery and release
// controllers observe at their sockets. It never reads a router's own state.
//
// Each observer of a socket adds events to a Recorder. When the run is complete, Recorder.Judge returns a Verdict for
// each rule:
//
//	answer    every request gets one final response in time
//	effect    the effect of a request is applied at most once
//	drain     no new attempt reaches a draining or removed backend after the grace period
//	cold      all routers together never send a backend in warm-up more work than its budget
//	exposure  a router's attempts at a canary build stay within the exposure cap, and the first stages get only idempotent
//	          requests
//
// When the machine stalls, events are observed late. The recorder runs a heartbeat to detect stalls. A finding that a stall
// may explain is reported as doubtful: it doesn't show that the rule was broken, and the rule doesn't count as kept.
package audit
