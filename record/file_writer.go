package record

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/klauspost/compress/zstd"
)

// writeFiles writes blocks to files until the channel of blocks is closed. It continues after an error and returns all
// errors at the end. If no file can be created for a block, that block is lost.
func (w *Writer) writeFiles() error {
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return err
	}
	files := rotatingFile{config: w.config}
	for b := range w.blocks {
		if !files.rotate() {
			continue
		}
		w.bytesWritten.Add(int64(files.write(b.encode(compressor))))
		select {
		case w.buffers <- b.entries:
		default:
		}
	}
	files.close()
	return errors.Join(files.errs...)
}

// rotatingFile is the file that blocks are appended to. A new file replaces it once it reaches the maximum size or age.
type rotatingFile struct {
	config Config
	sink   Sink // nil before the first file is created, and after a file could not be created
	size   int64
	opened time.Time
	count  int // number of files created, including failed attempts
	errs   []error
}

// rotate makes sure that a file is open to which another block may be appended. It reports whether there is such a file.
func (f *rotatingFile) rotate() bool {
	if f.sink != nil && (f.size >= f.config.MaxFileBytes || time.Since(f.opened) >= f.config.MaxFileAge) {
		f.close()
	}
	if f.sink != nil {
		return true
	}
	f.count++
	name := fmt.Sprintf("%s-%s-%06d.rec", f.config.Name, time.Now().UTC().Format(fileTimestamp), f.count)
	file, err := os.OpenFile(filepath.Join(f.config.Dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		f.errs = append(f.errs, err)
		return false
	}
	f.sink, f.size, f.opened = f.config.OpenSink(file), 0, time.Now()
	if _, err := f.sink.Write([]byte(magic)); err != nil {
		f.errs = append(f.errs, err)
	}
	f.removeOldest(name)
	return true
}

// write appends an encoded block and returns the number of bytes written.
func (f *rotatingFile) write(encoded []byte) int {
	n, err := f.sink.Write(encoded)
	if err != nil {
		f.errs = append(f.errs, err)
	}
	f.size += int64(n)
	return n
}

func (f *rotatingFile) close() {
	if f.sink != nil {
		f.errs = append(f.errs, f.sink.Close())
		f.sink = nil
	}
}

// removeOldest removes the oldest files of this router so that the remaining ones, together with MaxFileBytes reserved
// for the new file, don't exceed MaxBytes. newest is the name of the new file, which is never removed.
func (f *rotatingFile) removeOldest(newest string) {
	files, err := Files(f.config.Dir, f.config.Name)
	if err != nil {
		return
	}
	var sum int64
	for _, file := range slices.Backward(files) {
		s, err := os.Stat(file)
		if err != nil {
			continue
		}
		if sum += s.Size(); sum > f.config.MaxBytes-f.config.MaxFileBytes && !strings.HasSuffix(file, newest) {
			_ = os.Remove(file)
		}
	}
}
