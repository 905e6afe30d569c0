package controller

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/hashicorp/raft"

	"dapplefront/control"
)

// Keys of Raft's term and vote in its stable store.
const (
	keyCurrentTerm   = "CurrentTerm"
	keyLastVoteTerm  = "LastVoteTerm"
	keyLastCandidate = "LastVoteCand"
)

// Export writes the state that a store holds, as JSON. The store must not be in use. Entries that were never committed may
// be in it, as after any restart.
func Export(dir string, config control.Config, to io.Writer) error {
	if _, err := os.Stat(logFile(dir)); err != nil {
		return err
	}
	state, err := replay(dir, config, nil)
	if err != nil {
		return err
	}
	text, err := state.Save()
	if err != nil {
		return err
	}
	_, err = to.Write(append(text, '\n'))
	return err
}

// Import makes a new store of one member out of what Export wrote, so that a group that lost its majority can start again.
// The directory must be empty or missing.
func Import(config NodeConfig, from io.Reader) (err error) {
	text, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	if _, err := control.Load(config.Control, text); err != nil {
		return err
	}
	if files, err := os.ReadDir(config.Dir); err == nil && len(files) > 0 {
		return fmt.Errorf("%s is not empty", config.Dir)
	}
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return err
	}
	store, err := openLogStore(logFile(config.Dir), nil)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	if err := writeSnapshot(config, text); err != nil {
		return err
	}
	return store.SetUint64([]byte(keyCurrentTerm), 1)
}

// writeSnapshot writes the first snapshot of a group of one: index 1 of term 1.
func writeSnapshot(config NodeConfig, text []byte) error {
	snapshots, err := raft.NewFileSnapshotStore(config.Dir, snapshotsKept, io.Discard)
	if err != nil {
		return err
	}
	address := raft.ServerAddress(config.Listen)
	group := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(config.Name), Address: address}}}
	_, transport := raft.NewInmemTransport(address) // encodes the address only
	sink, err := snapshots.Create(raft.SnapshotVersionMax, 1, 1, group, 1, transport)
	if err != nil {
		return err
	}
	return fsmSnapshot(text).Persist(sink)
}
