// Package record stores the events that a router handled and the actions that it returned, and replays them against the
// router library to show whether it still decides the same.
//
// A record is a file of blocks. A block is a checksummed, compressed run of entries. An entry is one event with its time
// and the actions that followed, encoded as the protobuf message Entry of api/record.proto.
//
//	w, err := record.Create(record.Config{Dir: "records", Name: "r1"})
//	err = w.WriteStart(now, config, actions) // the router's configuration and its first actions
//	err = w.WriteEvent(now, event, actions)  // each event
//	err = w.Close()
//
//	report, err := record.Replay(files, nil) // the first difference, if any, with the entries before it
//
// A Writer never waits for the disk: when its queue is full a block is dropped and counted, and the gap in the entry
// numbers shows which entries are missing. Idempotency keys and tenants are stored as keyed hashes only; the contents of
// requests aren't stored at all.
package record
