// Package control implements the state of the release controller as a state machine without I/O or clock: release objects
// with their steps, votes, member routers, plans and orders to agents. Its inputs are commands with the controllers' time; its
// outputs are replies and events. The same commands in the same order give the same state, events and replies on every
// instance, so that the state can be replicated through a log:
//
//	s := control.New(config, 1) // build 1 serves
//	reply, err := s.Apply(index, control.Command{At: now, Kind: control.CreateRelease, Build: 2, Key: "k1"})
//	events, ok := s.EventsSince(last, "", limit) // the events that a watcher has missed
//
// release.Machine decides how a release moves through its stages. This package adds what operators and other programs need
// to work with releases:
//
//   - release objects with versions, notes, labels and a history, and creation under an idempotency key;
//   - steps, which delay the deployment of their stage until they are reported done;
//   - the set of member routers, whose number determines the quorums;
//   - the plan in force and its acknowledgements; orders to agents and their reports;
//   - events with consecutive ids, so that a watch can be resumed after any of them.
//
// A rejected command returns an *Error, whose Kind is one of ErrInvalid, ErrNotFound, ErrConflict and ErrVersionMismatch. It
// changes the state only in three ways. Unless it is an AckPlan, it applies the changes that are due with time. A vote that the
// release machine rejects still renews the router's membership. An agent's reports before an invalid one take effect.
//
// The JSON names of commands, of the saved state and of event bodies are stored and sent, so they never change. The texts of
// reasons and history entries, which clients see, don't change either.
package control
