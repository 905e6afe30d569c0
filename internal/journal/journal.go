// Package journal keeps an agent's state on disk (bbolt), with the reports that the controller has not taken yet: each
// is there before the effects that follow from it are carried out, whole or not at all.
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

// Entry is what is kept.
type Entry struct {
	State      agent.State       `json:"state"`
	Reports    []api.AgentReport `json:"reports,omitempty"` // those taken last may be among them; their numbers tell
	LastReport uint64            `json:"number"`            // of the last report
}

// Journal is one file. Only one process may hold it.
type Journal struct {
	db *bbolt.DB
	// AfterSave is called after each state is on disk, with how many have been written; tests end the process there.
	AfterSave func(n int)
	// BeforeSave may make a write fail, by how many have been written; tests let the disk be full there.
	BeforeSave func(n int) error
	n          int
}

const schema = 1

var (
	bucket   = []byte("agent")
	entryKey = []byte("entry")
	formKey  = []byte("schema")
)

// ErrNewerSchema says that the file was written by a later program.
var ErrNewerSchema = errors.New("the journal is of a newer program")

// Open opens or makes a journal. It waits a second for another process to let go of the file.
func Open(file string) (*Journal, error) {
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("journal %s: %w", file, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		form := b.Get(formKey)
		switch {
		case form == nil:
			return b.Put(formKey, []byte{schema})
		case len(form) != 1 || form[0] > schema:
			return ErrNewerSchema
		}
		return nil
	})
	if err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("journal %s: %w", file, err)
	}
	return &Journal{db: db}, nil
}

// Load is the last entry that was saved; the zero Entry where there is none.
func (j *Journal) Load() (e Entry, err error) {
	err = j.db.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket(bucket).Get(entryKey)
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

// Save puts an entry on disk, in place of the last.
func (j *Journal) Save(e Entry) error {
	raw, err := json.Marshal(e)
	if err == nil && j.BeforeSave != nil {
		err = j.BeforeSave(j.n)
	}
	if err == nil {
		err = j.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(entryKey, raw) })
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if j.n++; j.AfterSave != nil {
		j.AfterSave(j.n)
	}
	return nil
}

// Close lets go of the file.
func (j *Journal) Close() error { return j.db.Close() }
