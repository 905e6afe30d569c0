// Package router implements one router as a library: it takes events and returns actions. It owns one policy.Router,
// which makes all decisions, and maps IDs to the objects of that package, so that the embedding program uses only IDs.
// It has no socket, clock or goroutine: each event is handled at a time that the caller passes, and the same events at
// the same times give the same actions.
//
//	r, actions := router.New(now, config)
//	for event := range events {
//		actions, err = r.Handle(now, event, actions[:0])
//		// carry out the actions in order, and report the end of each attempt by an AttemptEnded event
//	}
//
// Times are policy.Time, integers in units of 0.1 ms, on one clock that never steps back. If several routers serve one
// fleet, their clocks should agree to within a few tenths of a second, because the routers take turns by the clock
// without exchanging messages. A Router is not safe for concurrent use.
//
// Every request that arrives gets exactly one final response, unless its client disconnects first: by an AttemptEnded
// event with Done set (the first attempt that succeeds), or by a Reject or Fail action. The embedding program reports
// the end of each attempt exactly once by an AttemptEnded event, even after its request is complete: the request is
// forgotten only when all its attempts have ended.
package router
