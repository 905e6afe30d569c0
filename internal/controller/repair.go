package controller

import (
	"errors"
	"fmt"
	"os"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// Repair copies the log of a damaged store into a new file, up to the first entry that can't be read, and returns the index of
// the last entry copied. The old file is kept with the suffix .damaged.
func Repair(dir string) (kept uint64, err error) {
	file := logFile(dir)
	damaged := file + ".damaged"
	if _, err := os.Stat(damaged); err == nil {
		return 0, fmt.Errorf("%s already exists, probably from an earlier repair; move it away", damaged)
	}
	if err := os.Rename(file, damaged); err != nil {
		return 0, err
	}
	defer func() { // bbolt panics on some kinds of damage
		if r := recover(); r != nil && err == nil {
			err = fmt.Errorf("%s: the first pages can't be read: %v", damaged, r)
		}
	}()
	to, err := openLogStore(file, nil)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, to.Close()) }()
	from, err := openLogStore(damaged, readOnly())
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, from.Close()) }()
	if err := copyTermAndVote(to, from); err != nil {
		return 0, err
	}
	return copyEntries(to, from)
}

// copyTermAndVote copies Raft's term and vote. It skips values that can't be read.
func copyTermAndVote(to, from *raftboltdb.BoltStore) error {
	for _, key := range []string{keyCurrentTerm, keyLastVoteTerm} {
		if v, err := from.GetUint64([]byte(key)); err == nil {
			if err := to.SetUint64([]byte(key), v); err != nil {
				return err
			}
		}
	}
	if v, err := from.Get([]byte(keyLastCandidate)); err == nil {
		return to.Set([]byte(keyLastCandidate), v)
	}
	return nil
}

// copyEntries copies log entries up to the first that can't be read, and returns the index of the last one copied.
func copyEntries(to, from raft.LogStore) (kept uint64, err error) {
	first, err := from.FirstIndex()
	if err != nil {
		return 0, err
	}
	for index := first; index > 0; index++ {
		entry, err := readEntry(from, index)
		if err != nil {
			break
		}
		if err := to.StoreLog(entry); err != nil {
			return kept, err
		}
		kept = index
	}
	return kept, nil
}
