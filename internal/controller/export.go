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

// Export writes the state in a store as JSON. The store must not be in use. As after any restart, the state includes every log
// entry in the store, even entries that were never committed.
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

// Import creates the store of a new group of one member from the output of Export, so that a group that lost its majority can
// be restarted. The directory must be empty or missing.
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

// writeSnapshot writes the first snapshot of a group of one member, at index 1 of term 1.
func writeSnapshot(config NodeConfig, text []byte) error {
	snapshots, err := raft.NewFileSnapshotStore(config.Dir, snapshotsKept, io.Discard)
	if err != nil {
		return err
	}
	address := raft.ServerAddress(config.Listen)
	group := raft.Configuration{Servers: []raft.Server{{ID: raft.ServerID(config.Name), Address: address}}}
	_, transport := raft.NewInmemTransport(address) // needed only to encode the address
	sink, err := snapshots.Create(raft.SnapshotVersionMax, 1, 1, group, 1, transport)
	if err != nil {
		return err
	}
	return fsmSnapshot(text).Persist(sink)
}
