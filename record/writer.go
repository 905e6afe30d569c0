package record

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"

	"dapplefront/policy"
	"dapplefront/router"
)

// Config is where records go and how much of them.
type Config struct {
	Dir          string
	Name         string        // of the router; files are NAME-TIME.rec
	MaxFileBytes int64         // of a file before the next is begun; 0 for 64 MiB
	MaxFileAge   time.Duration // likewise; 0 for an hour
	MaxBytes     int64         // bytes of all files of this name; the oldest go; 0 for 1 GiB
	Secret       []byte        // hashes keys and customers; nil for one that is made up and forgotten
	OpenSink     func(*os.File) Sink
}

// Sink is what blocks are written to.
type Sink interface {
	Write([]byte) (int, error)
	Close() error
}

const (
	magic    = "dapplefront records 1\n"
	blockOf  = 64 << 10    // bytes of entries: some 600, which compress well and are lost together
	oldest   = time.Second // of a block that is not full
	waiting  = 32          // blocks between the router and the disk: 2 MiB
	headerOf = 4 + 4 + 4 + 8 + 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// block is a run of entries on its way to the disk.
type block struct {
	first uint64 // the number of its first entry
	lost  uint64 // entries dropped before it since the writer began
	text  []byte
}

// Writer writes one router's records. Its methods are for one goroutine; none of them waits for the disk.
type Writer struct {
	shelf  Config
	now    block
	since  time.Time
	number uint64
	lost   uint64
	blocks chan block
	spare  chan []byte
	done   chan error
	failed atomic.Pointer[error]
	bytes  atomic.Int64
	hide   hidden
	known  map[string]string // hashes of names seen lately
}

// Create starts a writer; its files come when there is something to write.
func Create(s Config) (*Writer, error) {
	if s.MaxFileBytes == 0 {
		s.MaxFileBytes = 64 << 20
	}
	if s.MaxFileAge == 0 {
		s.MaxFileAge = time.Hour
	}
	if s.MaxBytes == 0 {
		s.MaxBytes = 1 << 30
	}
	if s.OpenSink == nil {
		s.OpenSink = func(f *os.File) Sink { return f }
	}
	if s.Secret == nil {
		s.Secret = make([]byte, 32)
		if _, err := rand.Read(s.Secret); err != nil {
			return nil, err
		}
	}
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	w := &Writer{shelf: s, blocks: make(chan block, waiting), spare: make(chan []byte, waiting), done: make(chan error, 1), known: map[string]string{}}
	w.hide = w.hash
	go w.write()
	return w, nil
}

// hash stands for a key or a customer: nobody without the secret can tell which, but the same one is the same.
func (w *Writer) hash(name string) string {
	if name == "" {
		return ""
	}
	if h, ok := w.known[name]; ok {
		return h
	}
	if len(w.known) > 10_000 { // as many as are told apart in some seconds
		clear(w.known)
	}
	m := hmac.New(sha256.New, w.shelf.Secret)
	m.Write([]byte(name))
	h := hex.EncodeToString(m.Sum(nil)[:12])
	w.known[name] = h
	return h
}

// WriteStart notes a router's start: all that it was told, and its first actions.
func (w *Writer) WriteStart(now policy.Time, p router.Config, actions []router.Action) error {
	return w.add(&Entry{At: now, Config: &p, Actions: actions})
}

// WriteEvent notes an event and the actions that followed.
func (w *Writer) WriteEvent(now policy.Time, e router.Event, actions []router.Action) error {
	return w.add(&Entry{At: now, Event: e, Actions: actions})
}

func (w *Writer) add(e *Entry) error {
	w.number++
	e.Number = w.number
	if len(w.now.text) == 0 {
		w.now.first, w.since = e.Number, time.Now()
	}
	b := out(w.now.text)
	var err error
	var entry out
	if entry, err = appendEntry(entry, e, w.hide); err != nil {
		return err
	}
	b = protowire.AppendBytes(b, entry)
	if w.now.text = b; len(b) >= blockOf || time.Since(w.since) > oldest {
		w.Flush()
	}
	return nil
}

// Flush hands the present block on, or drops it where the disk is too far behind.
func (w *Writer) Flush() {
	if len(w.now.text) == 0 {
		return
	}
	w.now.lost = w.lost
	select {
	case w.blocks <- w.now:
		w.now = block{}
		select {
		case old := <-w.spare:
			w.now.text = old[:0]
		default:
		}
	default:
		w.lost += w.number - w.now.first + 1
		w.now.text = w.now.text[:0]
	}
}

// Dropped is how many entries were dropped.
func (w *Writer) Dropped() uint64 { return w.lost }

// Written is how many bytes went to the disk.
func (w *Writer) Written() int64 { return w.bytes.Load() }

// Close writes what is left and ends.
func (w *Writer) Close() error {
	if len(w.now.text) > 0 {
		w.now.lost = w.lost
		w.blocks <- w.now
		w.now = block{}
	}
	close(w.blocks)
	return <-w.done
}

// write is the disk's side.
func (w *Writer) write() {
	pack, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		w.done <- err
		return
	}
	var file Sink
	var size int64
	var begun time.Time
	var all []error
	count := 0
	for b := range w.blocks {
		if file != nil && (size >= w.shelf.MaxFileBytes || time.Since(begun) >= w.shelf.MaxFileAge) {
			all = append(all, file.Close())
			file = nil
		}
		if file == nil {
			count++
			name := fmt.Sprintf("%s-%s-%06d.rec", w.shelf.Name, time.Now().UTC().Format("20060102T150405.000000"), count)
			f, err := os.OpenFile(filepath.Join(w.shelf.Dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
			if err != nil {
				all = append(all, err)
				continue
			}
			file, size, begun = w.shelf.OpenSink(f), 0, time.Now()
			if _, err := file.Write([]byte(magic)); err != nil {
				all = append(all, err)
			}
			w.tidy(name)
		}
		packed := pack.EncodeAll(b.text, nil)
		head := make([]byte, headerOf, headerOf+len(packed))
		binary.BigEndian.PutUint32(head, uint32(len(packed)))
		binary.BigEndian.PutUint32(head[4:], uint32(len(b.text)))
		binary.BigEndian.PutUint64(head[12:], b.first)
		binary.BigEndian.PutUint64(head[20:], b.lost)
		whole := append(head, packed...)
		binary.BigEndian.PutUint32(whole[8:], crc32.Checksum(whole[12:], castagnoli))
		n, err := file.Write(whole)
		if err != nil {
			all = append(all, err)
		}
		size += int64(n)
		w.bytes.Add(int64(n))
		select {
		case w.spare <- b.text:
		default:
		}
	}
	if file != nil {
		all = append(all, file.Close())
	}
	w.done <- errors.Join(all...)
}

// tidy removes the oldest files of this name beyond what is kept.
func (w *Writer) tidy(newest string) {
	files, err := Files(w.shelf.Dir, w.shelf.Name)
	if err != nil {
		return
	}
	var sum int64
	for _, f := range slices.Backward(files) {
		s, err := os.Stat(f)
		if err != nil {
			continue
		}
		if sum += s.Size(); sum > w.shelf.MaxBytes-w.shelf.MaxFileBytes && !strings.HasSuffix(f, newest) {
			_ = os.Remove(f)
		}
	}
}

// Files are a router's records in a directory, the oldest first.
func Files(dir, name string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, name+"-*.rec"))
	slices.Sort(files)
	return files, err
}
