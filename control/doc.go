// Package control is the state of the release controller as a state machine without I/O or clock: release objects with their
// steps, votes, member routers, plans and agents' orders. Commands go in, with the controllers' time; replies and events
// come out. The same commands in the same order give the same state, events and replies on every instance, so that the
// state can stand behind a replicated log:
//
//	s := control.New(config, 1) // build 1 serves
//	reply, err := s.Apply(index, control.Command{At: now, Kind: control.CreateRelease, Build: 2, Key: "k1"})
//	events, ok := s.EventsSince(last, "", limit) // what a watcher has missed
//
// How a release moves through its stages is release.Machine's. This package adds what a fleet of people and programs needs
// around it:
//
//   - release objects with versions, notes, labels and a history, and creation under an idempotency key;
//   - steps, which hold back the deployment of their stage until they are reported done;
//   - the set of member routers, by whose number quorums are measured;
//   - the plan in force and its acknowledgements; orders to agents and their reports;
//   - events with consecutive ids, so that a watch can be resumed.
//
// A command that is rejected gives an *Error, whose Kind is one of ErrInvalid, ErrNotFound, ErrConflict and
// ErrVersionMismatch. Nothing else changes with it but what the time that passed brings, the membership of a router whose
// vote is rejected, and the reports of an agent that come before a faulty one.
//
// The JSON names of commands, of the saved state and of events' bodies are stored and sent: they never change. Nor do the
// texts of reasons and history lines, which clients see.
package control
