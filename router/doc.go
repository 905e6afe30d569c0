// Package router is one router instance as a library: events in, actions out. It owns one logic.Router, in which
// all decisions are made, and keeps the tables between ids and that module's nouns, so that whoever embeds it
// speaks of ids alone. It has no socket, clock or goroutine: each event carries the time, and the same events give
// the same actions.
//
//	r, actions := router.New(now, place)
//	for event := range events {
//		actions, err = r.Hear(now, event, actions[:0])
//		// carry out the actions in order, and report how each send ends with router.Ended
//	}
//
// Times are logic.Time, whole tenths of a millisecond, on one clock that never steps back. Where several routers
// serve one fleet, their clocks should show the same time to within some tenths of a second: routers take turns by
// it without a word. A Router is not safe for concurrent use.
//
// Every task taken gets one final answer: an Ended event with Done set (the first finished send answers the
// client), or a TurnBack or Scrap action. Whoever embeds the package ends each Send exactly once by an Ended event,
// also after its task is over: only then is the task forgotten.
package router
