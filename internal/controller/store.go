package controller

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"dapplefront/control"
)

// lockTimeout is how long opening a store waits for another process to release it.
const lockTimeout = time.Second

func logFile(dir string) string { return filepath.Join(dir, "log.db") }

func readOnly() *bbolt.Options { return &bbolt.Options{ReadOnly: true, Timeout: lockTimeout} }

// openLogStore opens the file with Raft's log, term and vote. Nil options select bbolt's defaults.
func openLogStore(file string, options *bbolt.Options) (*raftboltdb.BoltStore, error) {
	store, err := raftboltdb.New(raftboltdb.Options{Path: file, BoltOptions: options, MsgpackUseNewTimeFormat: true})
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", file, err)
	}
	return store, nil
}

// CheckStore checks a controller's store without changing it: every page of the log file, every log entry after the newest
// snapshot, and the newest snapshot. A missing store is not an error. The error describes all damaged pages. If no page is
// damaged, it describes the snapshot or the first log entry that can't be read.
func CheckStore(dir string, config control.Config) (err error) {
	file := logFile(dir)
	if _, statErr := os.Stat(file); os.IsNotExist(statErr) {
		return nil
	}
	defer func() { // bbolt panics on some kinds of damage
		if r := recover(); r != nil {
			err = fmt.Errorf("store %s is damaged: %v", file, r)
		}
	}()
	if err := checkPages(file); err != nil {
		return err
	}
	_, err = replay(dir, config, nil)
	return err
}

func checkPages(file string) error {
	db, err := bbolt.Open(file, 0o600, readOnly())
	if err != nil {
		return fmt.Errorf("store %s is damaged or in use: %w", file, err)
	}
	var found []error
	err = db.View(func(tx *bbolt.Tx) error {
		for e := range tx.Check() {
			found = append(found, e)
		}
		return nil
	})
	if err := errors.Join(append(found, err, db.Close())...); err != nil {
		return fmt.Errorf("store %s is damaged: %w", file, err)
	}
	return nil
}

// replay reads the newest snapshot and the log after it, and returns the resulting state. It passes each command to visit,
// which may be nil, before it applies the command.
func replay(dir string, config control.Config, visit func(index uint64, c control.Command)) (state *control.State, err error) {
	state, snapshotIndex, err := loadNewestSnapshot(dir, config)
	if err != nil {
		return nil, err
	}
	file := logFile(dir)
	logs, err := openLogStore(file, readOnly())
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, logs.Close()) }()
	first, last, err := logBounds(logs)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", file, err)
	}
	if first > snapshotIndex+1 {
		return nil, fmt.Errorf("store %s: entries %d to %d are missing", file, snapshotIndex+1, first-1)
	}
	for index := snapshotIndex + 1; index <= last && last > 0; index++ {
		c, isCommand, err := readCommand(logs, index)
		if err != nil {
			return nil, fmt.Errorf("store %s is damaged: entry %d: %w", file, index, err)
		}
		if !isCommand {
			continue
		}
		if visit != nil {
			visit(index, c)
		}
		_, _ = state.Apply(index, c) // an error means that the command was rejected, which is normal
	}
	return state, nil
}

func logBounds(logs raft.LogStore) (first, last uint64, err error) {
	if first, err = logs.FirstIndex(); err != nil {
		return 0, 0, err
	}
	last, err = logs.LastIndex()
	return first, last, err
}

// readEntry reads the log entry at an index.
func readEntry(logs raft.LogStore, index uint64) (*raft.Log, error) {
	var entry raft.Log
	if err := logs.GetLog(index, &entry); err != nil {
		return nil, err
	}
	if entry.Index != index {
		return nil, fmt.Errorf("the stored entry has the index %d", entry.Index)
	}
	return &entry, nil
}

// readCommand reads the command at an index. isCommand is false for Raft's internal entries.
func readCommand(logs raft.LogStore, index uint64) (c control.Command, isCommand bool, err error) {
	entry, err := readEntry(logs, index)
	if err != nil || entry.Type != raft.LogCommand {
		return c, false, err
	}
	c, err = decodeEntry(entry.Data)
	return c, err == nil, err
}
