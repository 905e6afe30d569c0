// Package agentd runs the build agent of one host: it receives the controller's orders, has package agent decide, saves
// the state and carries the effects out, which are to fetch, verify, start, check and stop builds. It makes no decisions
// of its own, and while no controller can be reached it continues with the goals it has.
//
// The goroutine of (*Agent).run handles one input after the other: decide, save, carry out. Whatever takes time runs in
// a goroutine of its own and ends as a further input. Close and Stop cancel all of them and wait for them.
package agentd
