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

// Config says where a router's records are written and how much of them is kept.
type Config struct {
	Dir          string
	Name         string              // of the router; files are called NAME-TIME-COUNT.rec
	MaxFileBytes int64               // of a file before the next is begun; 0 for 64 MiB
	MaxFileAge   time.Duration       // of a file before the next is begun; 0 for an hour
	MaxBytes     int64               // of all files of this name, beyond which the oldest are removed; 0 for 1 GiB
	Secret       []byte              // keys the hashes of idempotency keys and tenants; nil for a random one that isn't kept
	OpenSink     func(*os.File) Sink // wraps a new file; nil for the file itself
}

// Sink is what blocks are written to.
type Sink interface {
	Write([]byte) (int, error)
	Close() error
}

const (
	defaultMaxFileBytes = 64 << 20
	defaultMaxFileAge   = time.Hour
	defaultMaxBytes     = 1 << 30

	blockBytes    = 64 << 10    // of entries in a full block: some 600, which compress well and are lost together
	maxBlockAge   = time.Second // after which a block is handed on though it isn't full
	blockQueue    = 32          // blocks between the router and the disk: 2 MiB
	maxHashes     = 10_000      // names whose hashes are cached: those of some seconds
	hashBytes     = 12          // of a hash that are stored
	secretBytes   = 32
	fileTimestamp = "20060102T150405.000000" // in file names, UTC, so that names sort by time
)

// Writer writes one router's records. Its methods are for one goroutine; none but Close waits for the disk.
type Writer struct {
	config  Config
	current block
	begun   time.Time // when the current block got its first entry
	number  uint64    // of the last entry
	dropped uint64
	blocks  chan block  // to the goroutine that writes files
	buffers chan []byte // written blocks' buffers, to be used again
	done    chan error  // what the goroutine that writes files ended with
	bytes   atomic.Int64
	hash    hashFunc
	hashes  map[string]string // of names seen lately
}

// Create starts a writer and the goroutine that writes its files, which Close ends. The first file is created once there
// is a block to write.
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

// keyedHash returns a hash that is the same for the same name and can't be traced to it without the secret.
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

// WriteStart records a router's start: its configuration and its first actions.
func (w *Writer) WriteStart(now policy.Time, c router.Config, actions []router.Action) error {
	return w.write(&Entry{At: now, Config: &c, Actions: actions})
}

// WriteEvent records an event and the actions that followed. It fails for an event of a type that records don't know.
func (w *Writer) WriteEvent(now policy.Time, e router.Event, actions []router.Action) error {
	return w.write(&Entry{At: now, Event: e, Actions: actions})
}

func (w *Writer) write(e *Entry) error {
	w.number++
	e.Number = w.number
	if len(w.current.entries) == 0 {
		w.current.first, w.begun = e.Number, time.Now()
	}
	message, err := encodeEntry(e, w.hash)
	if err != nil {
		return err
	}
	w.current.entries = protowire.AppendBytes(w.current.entries, message)
	if len(w.current.entries) >= blockBytes || time.Since(w.begun) > maxBlockAge {
		w.Flush()
	}
	return nil
}

// Flush hands the current block to the goroutine that writes files, or drops it where that one's queue is full.
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

// Dropped is the number of entries that were dropped since the writer began.
func (w *Writer) Dropped() uint64 { return w.dropped }

// Written is the number of bytes of blocks that were written to files. It is safe for concurrent use.
func (w *Writer) Written() int64 { return w.bytes.Load() }

// Close writes what is left and ends the writer. It returns all errors of writing since Create.
func (w *Writer) Close() error {
	if len(w.current.entries) > 0 {
		w.current.dropped = w.dropped
		w.blocks <- w.current
		w.current = block{}
	}
	close(w.blocks)
	return <-w.done
}

// Files returns a router's record files in a directory, the oldest first.
func Files(dir, name string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, name+"-*.rec"))
	slices.Sort(files)
	return files, err
}
