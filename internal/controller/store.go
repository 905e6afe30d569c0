package controller

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"dapplefront/control"
)

// CheckStore goes through a controller's store without changing it: every page of the log's file, every entry, and the
// newest snapshot. A missing store is no error. It tells all that is wrong.
func CheckStore(dir string, f control.Config) (err error) {
	file := filepath.Join(dir, "log.db")
	if _, e := os.Stat(file); os.IsNotExist(e) {
		return nil
	}
	defer func() { // bbolt panics on some damage
		if r := recover(); r != nil {
			err = fmt.Errorf("store %s is damaged: %v", file, r)
		}
	}()
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		return fmt.Errorf("store %s is damaged or in use: %w", file, err)
	}
	var all []error
	err = db.View(func(tx *bbolt.Tx) error {
		for e := range tx.Check() {
			all = append(all, e)
		}
		return nil
	})
	if e := db.Close(); err == nil {
		err = e
	}
	if err = errors.Join(append(all, err)...); err != nil {
		return fmt.Errorf("store %s is damaged: %w", file, err)
	}
	_, err = replay(dir, f, nil)
	return err
}

// replay reads snapshot and log in order and returns the state that they make; each command is passed to seen.
func replay(dir string, f control.Config, seen func(index uint64, c control.Command)) (*control.State, error) {
	s := control.New(f, 1)
	from := uint64(0)
	snaps, err := raft.NewFileSnapshotStore(dir, 2, io.Discard)
	if err != nil {
		return nil, err
	}
	list, err := snaps.List()
	if err != nil {
		return nil, err
	}
	if len(list) > 0 {
		_, r, err := snaps.Open(list[0].ID)
		if err != nil {
			return nil, fmt.Errorf("snapshot %s in %s: %w", list[0].ID, dir, err)
		}
		text, err := io.ReadAll(r)
		_ = r.Close()
		if err == nil {
			s, err = control.Load(f, text)
		}
		if err != nil {
			return nil, fmt.Errorf("snapshot %s in %s: %w", list[0].ID, dir, err)
		}
		from = list[0].Index
	}
	file := filepath.Join(dir, "log.db")
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: file, BoltOptions: &bbolt.Options{ReadOnly: true, Timeout: time.Second}, MsgpackUseNewTimeFormat: true})
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", file, err)
	}
	defer bolt.Close()
	first, err := bolt.FirstIndex()
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", file, err)
	}
	last, err := bolt.LastIndex()
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", file, err)
	}
	if first > from+1 {
		return nil, fmt.Errorf("store %s: entries %d to %d are missing", file, from+1, first-1)
	}
	for i := from + 1; i <= last && last > 0; i++ {
		var l raft.Log
		if err := bolt.GetLog(i, &l); err != nil || l.Index != i {
			return nil, fmt.Errorf("store %s is damaged: entry %d: %v", file, i, err)
		}
		if l.Type != raft.LogCommand {
			continue
		}
		c, err := decodeEntry(l.Data)
		if err != nil {
			return nil, fmt.Errorf("store %s is damaged: entry %d: %w", file, i, err)
		}
		if seen != nil {
			seen(i, c)
		}
		_, _ = s.Apply(i, c) // a rejected command is part of the log too
	}
	return s, nil
}

// Export writes the state that a store holds. The store must not be in use. Entries that were never accepted by most
// instances may be in it, as after any restart.
func Export(dir string, f control.Config, to io.Writer) error {
	if _, err := os.Stat(filepath.Join(dir, "log.db")); err != nil {
		return err
	}
	s, err := replay(dir, f, nil)
	if err != nil {
		return err
	}
	text, err := s.Save()
	if err != nil {
		return err
	}
	_, err = to.Write(append(text, '\n'))
	return err
}

// Import makes a new store of one member out of what Export wrote: a group that lost most of its members starts again
// from it. The directory must be empty or missing.
func Import(seat NodeConfig, from io.Reader) error {
	text, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	if _, err := control.Load(seat.Control, text); err != nil {
		return err
	}
	if some, err := os.ReadDir(seat.Dir); err == nil && len(some) > 0 {
		return fmt.Errorf("%s is not empty", seat.Dir)
	}
	if err := os.MkdirAll(seat.Dir, 0o700); err != nil {
		return err
	}
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(seat.Dir, "log.db"), MsgpackUseNewTimeFormat: true})
	if err != nil {
		return err
	}
	defer bolt.Close()
	snaps, err := raft.NewFileSnapshotStore(seat.Dir, 2, io.Discard)
	if err != nil {
		return err
	}
	group := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(seat.Name), Address: raft.ServerAddress(seat.Listen)}}}
	_, trans := raft.NewInmemTransport(raft.ServerAddress(seat.Listen))
	sink, err := snaps.Create(raft.SnapshotVersionMax, 1, 1, group, 1, trans)
	if err != nil {
		return err
	}
	if err := fsmSnapshot(text).Persist(sink); err != nil {
		return err
	}
	return bolt.SetUint64([]byte("CurrentTerm"), 1)
}

// Repair copies what can be read of a damaged store's log into a new one beside it, up to the first entry that can't be,
// and says how far it came. The old file is kept under another name.
func Repair(dir string) (kept uint64, err error) {
	file := filepath.Join(dir, "log.db")
	old := file + ".damaged"
	if _, err := os.Stat(old); err == nil {
		return 0, fmt.Errorf("%s is in the way", old)
	}
	if err := os.Rename(file, old); err != nil {
		return 0, err
	}
	defer func() {
		if r := recover(); r != nil && err == nil {
			err = fmt.Errorf("%s: not even its first pages can be read: %v", old, r)
		}
	}()
	to, err := raftboltdb.New(raftboltdb.Options{Path: file, MsgpackUseNewTimeFormat: true})
	if err != nil {
		return 0, err
	}
	defer to.Close()
	from, err := raftboltdb.New(raftboltdb.Options{Path: old, BoltOptions: &bbolt.Options{ReadOnly: true, Timeout: time.Second}, MsgpackUseNewTimeFormat: true})
	if err != nil {
		return 0, fmt.Errorf("%s: %w", old, err)
	}
	defer from.Close()
	for _, key := range []string{"CurrentTerm", "LastVoteTerm"} {
		if v, err := from.GetUint64([]byte(key)); err == nil {
			if err := to.SetUint64([]byte(key), v); err != nil {
				return 0, err
			}
		}
	}
	if v, err := from.Get([]byte("LastVoteCand")); err == nil {
		if err := to.Set([]byte("LastVoteCand"), v); err != nil {
			return 0, err
		}
	}
	first, err := from.FirstIndex()
	if err != nil {
		return 0, err
	}
	for i := first; i > 0; i++ {
		var l raft.Log
		if from.GetLog(i, &l) != nil || l.Index != i {
			break
		}
		if err := to.StoreLog(&l); err != nil {
			return kept, err
		}
		kept = i
	}
	return kept, nil
}
