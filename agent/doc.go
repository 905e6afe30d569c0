// Package agent decides what the build agent of one host does: fetch a build, verify it, start it beside the one that
// serves, wait until it has warmed up, replace the earlier build once the newer one is released, and roll back. It is a
// state machine without I/O and clock. Inputs go in with their time, effects come out. Orders are numbered goals, so that
// one that arrives twice or late does nothing. The state is plain data and is to be saved before its effects are carried
// out:
//
//	m := agent.New(limits)
//	effects := m.Handle(now, agent.Order{Number: 1, Digest: d, Build: 7, Goal: agent.GoalServe})
//	save(m.State)          // first
//	carryOut(effects)      // then; each outcome is handled as a further input
//
// After a crash of the agent, Resume takes the saved state and the processes that were found, and returns the effects
// that may not have been carried out.
//
// # Invariants
//
// Whatever comes in, in whatever order: no build is started that has not been verified, and the stable build isn't
// drained before a candidate has been released and serves, unless an order rolls it back.
//
// # Transitions
//
// An instance is one build on the host. Its phase changes by this table; all other pairs of phase and event are ignored.
//
//	phase       event        next phase  effects
//	idle        proceed      fetching    Fetch
//	fetching    fetched      verifying   Verify
//	fetching    failed       failed      Cancel
//	fetching    retire       removed     Cancel
//	verifying   verified     staged
//	verifying   failed       failed      Cancel
//	verifying   retire       removed     Cancel
//	staged      proceed      starting    Start
//	staged      retire       removed
//	starting    ready        warming up  PublishEndpoint serving, AwaitWarmUp
//	starting    exited       starting    Backoff, or failed with Stop after MaxCrashes
//	starting    failed       starting    Backoff, or failed with Stop after MaxCrashes
//	starting    retry        starting    Start
//	starting    retire       stopping    Stop
//	warming up  warmed up    serving
//	warming up  exited       starting    PublishEndpoint gone, then as in starting
//	warming up  retire       draining    PublishEndpoint draining, AwaitDrain
//	serving     exited       starting    PublishEndpoint gone, then as in starting
//	serving     retire       draining    PublishEndpoint draining, AwaitDrain
//	draining    drained      stopping    Stop
//	draining    exited       removed     PublishEndpoint gone
//	stopping    exited       removed     PublishEndpoint gone
//	stopping    failed       stopping    Stop
//	failed      retire       removed
//
// "proceed" means that the goal allows the next step, "retire" that the build is to leave the host, "failed" that an
// operation failed, "retry" that a backoff has elapsed. An idle build that is to leave is removed at once. A build that is
// released is never given up after crashes, as nothing else would serve.
package agent
