package controller

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"

	"github.com/hashicorp/raft"

	"dapplefront/control"
)

// fsm is the node's state as Raft's finite state machine.
type fsm struct{ node *Node }

// applyResult is what became of a command of the log.
type applyResult struct {
	reply control.Reply
	err   error // nil or *control.Error
}

// Apply applies a committed log entry. An entry that can't be read is skipped with the same error on every instance that
// has it so.
func (f fsm) Apply(entry *raft.Log) any {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	c, err := decodeEntry(entry.Data)
	if err != nil {
		n.log.Error("a log entry is damaged", "index", entry.Index, "error", err)
		return applyResult{err: &control.Error{Kind: control.ErrInvalid, Reason: err.Error()}}
	}
	reply, err := n.state.Apply(entry.Index, c)
	n.notifyChanged()
	return applyResult{reply, err}
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumLength is the bytes of a log entry before its JSON.
const checksumLength = 4

// encodeEntry is a command as the log stores it: a checksum, as neither bbolt nor Raft's log store have one for what they
// keep, and JSON.
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
