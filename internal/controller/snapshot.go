package controller

import (
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"dapplefront/control"
)

// fsmSnapshot is an encoded state that is to be written to a snapshot file.
type fsmSnapshot []byte

// Snapshot encodes the state. Raft writes the encoded state to a file while the state goes on changing.
func (f fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	text, err := f.node.state.Save()
	return fsmSnapshot(text), err
}

// Restore replaces the state with the state in a snapshot.
func (f fsm) Restore(r io.ReadCloser) error {
	text, err := io.ReadAll(r)
	if err = errors.Join(err, r.Close()); err != nil {
		return err
	}
	state, err := control.Load(f.node.config.Control, text)
	if err != nil {
		return err
	}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.node.state = state
	f.node.notifyChanged()
	return nil
}

// Persist writes the complete snapshot, or cancels it on an error.
func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: there is nothing to release.
func (s fsmSnapshot) Release() {}

// loadNewestSnapshot returns the state in the newest snapshot of a store, and the snapshot's log index. Without a snapshot it
// returns the initial state and 0.
func loadNewestSnapshot(dir string, config control.Config) (*control.State, uint64, error) {
	snapshots, err := raft.NewFileSnapshotStore(dir, snapshotsKept, io.Discard)
	if err != nil {
		return nil, 0, err
	}
	list, err := snapshots.List()
	if err != nil {
		return nil, 0, err
	}
	if len(list) == 0 {
		return control.New(config, 1), 0, nil
	}
	newest := list[0]
	_, r, err := snapshots.Open(newest.ID)
	if err != nil {
		return nil, 0, fmt.Errorf("snapshot %s in %s: %w", newest.ID, dir, err)
	}
	text, err := io.ReadAll(r)
	if err = errors.Join(err, r.Close()); err != nil {
		return nil, 0, fmt.Errorf("snapshot %s in %s: %w", newest.ID, dir, err)
	}
	state, err := control.Load(config, text)
	if err != nil {
		return nil, 0, fmt.Errorf("snapshot %s in %s: %w", newest.ID, dir, err)
	}
	return state, newest.Index, nil
}
