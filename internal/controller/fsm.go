package controller

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"

	"github.com/hashicorp/raft"

	"dapplefront/control"
)

// fsm implements raft.FSM with the node's state.
type fsm struct{ node *Node }

// applyResult is the result of applying a command from the log.
type applyResult struct {
	reply control.Reply
	err   error // nil or *control.Error
}

// Apply applies a committed log entry. An entry that can't be decoded is skipped. Every instance that has the same damaged
// entry skips it with the same error.
func (f fsm) Apply(entry *raft.Log) any {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	c, err := decodeEntry(entry.Data)
	if err != nil {
		n.log.Error("skipping damaged log entry", "index", entry.Index, "error", err)
		return applyResult{err: &control.Error{Kind: control.ErrInvalid, Reason: err.Error()}}
	}
	reply, err := n.state.Apply(entry.Index, c)
	n.notifyChanged()
	return applyResult{reply, err}
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumLength is the length in bytes of the checksum that precedes the JSON of a log entry.
const checksumLength = 4

// encodeEntry encodes a command as a log entry: a checksum, because neither bbolt nor Raft's log store has checksums for its
// data, followed by JSON.
func encodeEntry(c control.Command) ([]byte, error) {
	text, err := json.Marshal(c)
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, castagnoli)), text...), err
}

func decodeEntry(data []byte) (c control.Command, err error) {
	if len(data) < checksumLength || crc32.Checksum(data[checksumLength:], castagnoli) != binary.BigEndian.Uint32(data) {
		return c, errors.New("its checksum differs")
	}
	return c, json.Unmarshal(data[checksumLength:], &c)
}
