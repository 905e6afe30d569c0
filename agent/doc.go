// Package agent is the state machine of the build agent of one host. It decides when to fetch a build, verify it, start
// it beside the stable build, wait until it has warmed up, retire the stable build once the newer build is released,
// and roll back. It performs no I/O and reads no clock: the caller passes in each input with the current time and
// executes the effects that Handle returns. Orders are numbered in ascending order, so one that arrives twice or late
// has no effect. The state is plain data. The caller saves it before it executes the effects:
//
//	m := agent.New(limits)
//	effects := m.Handle(now, agent.Order{Number: 1, Digest: d, Build: 7, Goal: agent.GoalServe})
//	save(m.State)
//	execute(effects)       // the outcome of each effect is passed to Handle as a further input
//
// After a crash of the agent, Resume takes the saved state and the processes that are still running, and returns the
// effects that may not have been executed.
//
// # Invariants
//
// The following holds for any sequence of inputs. A build is started only after it has been verified. The stable build
// is drained only after a candidate has been released and serves, or when an order rolls the stable build back.
//
// # Transitions
//
// An instance is one build on the host. This table lists the transitions between its phases; all other pairs of phase
// and event are ignored.
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
// The event "proceed" means that the goal allows the next step, "retire" that the build is to be removed from the host,
// "failed" that an operation failed, and "retry" that a backoff has elapsed. An idle build that is retired is removed
// immediately. A released build is restarted without limit, because no other build would serve in its place.
package agent
