// Package journal stores the state of a build agent in a bbolt file, together with the reports that no controller has
// accepted yet. Each entry is saved atomically, before the agent carries out the effects that result from it.
package journal

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"dapplefront/agent"
	"dapplefront/internal/api"
)

// Entry is the content of a journal.
type Entry struct {
	State      agent.State       `json:"state"`
	Reports    []api.AgentReport `json:"reports,omitempty"` // in the order of their numbers; a controller may already have accepted the first ones
	LastReport uint64            `json:"number"`            // number of the last report
}

// Journal is a file with one entry. Only one process at a time can have it open.
type Journal struct {
	db *bbolt.DB
	// AfterSave, if not nil, is called in tests after an entry is on disk, with the number of entries saved so far.
	AfterSave func(n int)
	// BeforeSave, if not nil, is called in tests before an entry is saved, with the number of entries saved so far. If it
	// returns an error, the save fails.
	BeforeSave func(n int) error
	saved      int
}

const (
	schemaVersion = 1
	lockTimeout   = time.Second // how long Open waits for another process to close the file
)

// Names in the file. They must never change.
var (
	bucketName = []byte("agent")
	entryKey   = []byte("entry")
	schemaKey  = []byte("schema")
)

// ErrNewerSchema is returned for a file that was written by a later version of the program.
var ErrNewerSchema = errors.New("the journal is of a newer program")

// Open opens a journal and creates the file if it is missing. It waits up to lockTimeout for another process to close the
// file.
func Open(file string) (*Journal, error) {
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", file, err)
	}
	if err := db.Update(initialize); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("journal %s: %w", file, err)
	}
	return &Journal{db: db}, nil
}

// initialize writes the schema version of a new file or checks that of an existing file.
func initialize(tx *bbolt.Tx) error {
	b, err := tx.CreateBucketIfNotExists(bucketName)
	if err != nil {
		return err
	}
	version := b.Get(schemaKey)
	if version == nil {
		return b.Put(schemaKey, []byte{schemaVersion})
	}
	if len(version) != 1 || version[0] > schemaVersion {
		return ErrNewerSchema
	}
	return nil
}

// Load returns the last saved entry, or the zero Entry if there is none.
func (j *Journal) Load() (e Entry, err error) {
	err = j.db.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket(bucketName).Get(entryKey)
		if raw == nil {
			return nil
		}
		return json.Unmarshal(raw, &e)
	})
	if err != nil {
		return Entry{}, fmt.Errorf("journal: %w", err)
	}
	return e, nil
}

// Save replaces the entry and returns once it is on disk.
func (j *Journal) Save(e Entry) error {
	raw, err := json.Marshal(e)
	if err == nil && j.BeforeSave != nil {
		err = j.BeforeSave(j.saved)
	}
	if err == nil {
		err = j.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketName).Put(entryKey, raw) })
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if j.saved++; j.AfterSave != nil {
		j.AfterSave(j.saved)
	}
	return nil
}

// Close closes the file.
func (j *Journal) Close() error { return j.db.Close() }
