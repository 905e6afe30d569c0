package record

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"dapplefront/policy"
	"dapplefront/router"
)

// Config determines where a router's records are written and how many bytes of them are retained.
type Config struct {
	Dir          string
	Name         string              // name of the router; files are named NAME-TIME-COUNT.rec
	MaxFileBytes int64               // size at which a new file replaces the current one; 0 means 64 MiB
	MaxFileAge   time.Duration       // age at which a new file replaces the current one; 0 means one hour
	MaxBytes     int64               // total size of the router's files, above which the oldest are removed; 0 means 1 GiB
	Secret       []byte              // key for the hashes of idempotency keys and tenants; nil means a random key that is not stored
	OpenSink     func(*os.File) Sink // returns the sink to which the blocks of a new file are written; nil means the file itself
}

// Sink is a destination that blocks are written to.
type Sink interface {
	Write([]byte) (int, error)
	Close() error
}

const (
	defaultMaxFileBytes = 64 << 20
	defaultMaxFileAge   = time.Hour
	defaultMaxBytes     = 1 << 30

	blockBytes    = 64 << 10    // size of the entries in a full block: about 600 entries, which compress well together but are lost together if the block is dropped
	maxBlockAge   = time.Second // age at which a block is queued with the next entry even if it is not full
	blockQueue    = 32          // capacity of the queue of blocks to the file writer: 2 MiB
	maxHashes     = 10_000      // number of cached hashes: enough for the names of a few seconds
	hashBytes     = 12          // length of a hash that is stored, before hex encoding
	secretBytes   = 32
	fileTimestamp = "20060102T150405.000000" // in file names, in UTC, so that the names sort by time
)

// Writer writes one router's records. Its methods, except Written, must not be called concurrently. Only Close waits
// for the disk.
type Writer struct {
	config         Config
	current        block
	blockStartedAt time.Time   // when the first entry was added to the current block
	number         uint64      // number of the last entry
	dropped        uint64      // number of entries dropped since Create
	blocks         chan block  // queue to the goroutine that writes files
	buffers        chan []byte // buffers of written blocks, for reuse
	done           chan error  // result of the goroutine that writes files
	bytesWritten   atomic.Int64
	hash           hashFunc
	hashes         map[string]string // cached hashes by name
}

// Create returns a writer and starts the goroutine that writes its files, which Close ends. The first file is created
// when there is a block to write.
func Create(c Config) (*Writer, error) {
	if c.MaxFileBytes == 0 {
		c.MaxFileBytes = defaultMaxFileBytes
	}
	if c.MaxFileAge == 0 {
		c.MaxFileAge = defaultMaxFileAge
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	if c.OpenSink == nil {
		c.OpenSink = func(f *os.File) Sink { return f }
	}
	if c.Secret == nil {
		c.Secret = make([]byte, secretBytes)
		if _, err := rand.Read(c.Secret); err != nil {
			return nil, err
		}
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	w := &Writer{
		config: c, blocks: make(chan block, blockQueue), buffers: make(chan []byte, blockQueue), done: make(chan error, 1),
		hashes: map[string]string{},
	}
	w.hash = w.keyedHash
	go func() { w.done <- w.writeFiles() }()
	return w, nil
}

// keyedHash returns a hash of a name. Equal names have equal hashes, and the name can't be found from the hash without
// the secret.
func (w *Writer) keyedHash(name string) string {
	if name == "" {
		return ""
	}
	if h, ok := w.hashes[name]; ok {
		return h
	}
	if len(w.hashes) > maxHashes {
		clear(w.hashes)
	}
	m := hmac.New(sha256.New, w.config.Secret)
	m.Write([]byte(name))
	h := hex.EncodeToString(m.Sum(nil)[:hashBytes])
	w.hashes[name] = h
	return h
}

// WriteStart records the start of a router with its configuration and its first actions.
func (w *Writer) WriteStart(now policy.Time, c router.Config, actions []router.Action) error {
	return w.write(&Entry{At: now, Config: &c, Actions: actions})
}

// WriteEvent records an event and the resulting actions. It returns an error if events of this type can't be recorded.
func (w *Writer) WriteEvent(now policy.Time, e router.Event, actions []router.Action) error {
	return w.write(&Entry{At: now, Event: e, Actions: actions})
}

func (w *Writer) write(e *Entry) error {
	w.number++
	e.Number = w.number
	if len(w.current.entries) == 0 {
		w.current.first, w.blockStartedAt = e.Number, time.Now()
	}
	message, err := encodeEntry(e, w.hash)
	if err != nil {
		return err
	}
	w.current.entries = protowire.AppendBytes(w.current.entries, message)
	if len(w.current.entries) >= blockBytes || time.Since(w.blockStartedAt) > maxBlockAge {
		w.Flush()
	}
	return nil
}

// Flush queues the current block for the goroutine that writes files. It drops the block if the queue is full.
func (w *Writer) Flush() {
	if len(w.current.entries) == 0 {
		return
	}
	w.current.dropped = w.dropped
	select {
	case w.blocks <- w.current:
		w.current = block{}
		select {
		case buffer := <-w.buffers:
			w.current.entries = buffer[:0]
		default:
		}
	default:
		w.dropped += w.number - w.current.first + 1
		w.current.entries = w.current.entries[:0]
	}
}

// Dropped returns the number of entries that the writer has dropped.
func (w *Writer) Dropped() uint64 { return w.dropped }

// Written returns the number of bytes of blocks that were written to files. It is safe for concurrent use.
func (w *Writer) Written() int64 { return w.bytesWritten.Load() }

// Close writes the remaining entries and stops the writer. It returns all errors in writing files since Create.
func (w *Writer) Close() error {
	if len(w.current.entries) > 0 {
		w.current.dropped = w.dropped
		w.blocks <- w.current
		w.current = block{}
	}
	close(w.blocks)
	return <-w.done
}

// Files returns the record files of the router with the given name in a directory, the oldest first.
func Files(dir, name string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, name+"-*.rec"))
	slices.Sort(files)
	return files, err
}
