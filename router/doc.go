// Package router is one router as a library: events in, actions out. It owns one policy.Router, in which all decisions
// are made, and keeps the tables between ids and that package's objects, so that whoever embeds it speaks of ids alone.
// It has no socket, clock or goroutine: each event carries the time, and the same events give the same actions.
//
//	r, actions := router.New(now, config)
//	for event := range events {
//		actions, err = r.Handle(now, event, actions[:0])
//		// carry out the actions in order, and report how each attempt ends by an AttemptEnded event
//	}
//
// Times are policy.Time, whole tenths of a millisecond, on one clock that never steps back. Where several routers serve
// one fleet, their clocks should show the same time to within some tenths of a second, as routers take turns by it
// without messages. A Router is not safe for concurrent use.
//
// Every request that arrives gets one final response: by an AttemptEnded event with Done set (the first attempt that
// succeeds), or by a Reject or Fail action. Whoever embeds the package ends each attempt exactly once by an AttemptEnded
// event, also after its request is over: only then is the request forgotten.
package router
