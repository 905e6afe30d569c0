// Package record stores the events that a router handled and the actions that it returned. It replays them with the
// router library to check that the library still makes the same decisions.
//
// A record file consists of blocks. A block is a checksummed, compressed sequence of entries. An entry is one event with
// its time and the resulting actions, encoded as the protobuf message Entry of api/record.proto.
//
//	w, err := record.Create(record.Config{Dir: "records", Name: "r1"})
//	err = w.WriteStart(now, config, actions) // the router's configuration and its first actions
//	err = w.WriteEvent(now, event, actions)  // each event
//	err = w.Close()
//
//	report, err := record.Replay(files, nil) // the report has the first difference, if any, with the entries before it
//
// A Writer does not wait for the disk, except in Close. If its queue is full, it drops a block and counts the dropped
// entries; the gap in the entry numbers shows which entries are missing. Idempotency keys and names of tenants are
// stored only as keyed hashes, and the contents of requests are not stored.
package record
