// Package agent decides what a host's build agent does: fetch a build, check it, start it beside the one that serves,
// hand over, take back. It is a state machine without I/O and clock: inputs with their time in, effects out, by a
// table. Orders are numbered goals, so that one heard twice or late does nothing; the machine's state is plain data,
// to be written down before its effects are carried out:
//
//	m := agent.New(rules)
//	effects := m.Hear(now, agent.Order{Number: 1, Digest: d, Build: 7, Goal: agent.Serve})
//	save(m.State)          // first
//	carry(out, effects)    // then; what comes of them is heard in turn
//
// After a crash, agent.Resume takes the state that was saved and what was found of the processes, and gives the
// effects again that may not have been carried out.
//
// Two things never happen, whatever comes in which order: a build is started whose check has not passed, and the
// earlier build is drained while the newer one has not been released and serves.
package agent
