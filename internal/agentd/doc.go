// Package agentd runs the build agent of one host. It receives orders from the controller, passes them to the state
// machine of package agent, saves the state and executes the effects: it fetches, verifies, starts, checks and stops
// builds. All decisions are made by package agent. While no controller is reachable, the agent continues with the goals
// from the last orders.
//
// The goroutine of (*Agent).run handles inputs one at a time: it passes the input to the state machine, saves the state
// and executes the effects. Each effect that takes time runs in its own goroutine, which queues its outcome as a
// further input. Close and Stop cancel these goroutines and wait for them.
package agentd
