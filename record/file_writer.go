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

// maxErrors is the number of errors that a writer keeps for its end.
const maxErrors = 20

// writeFiles writes blocks to files until the channel of blocks is closed. It continues after an error and returns the
// first errors at the end. A block that can't be written completely is lost; a replay reports the gap.
func (w *Writer) writeFiles() error {
	compressor, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return err
	}
	files := rotatingFile{config: w.config, now: time.Now}
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
	now    func() time.Time // the wall clock
	sink   Sink             // nil before the first file is created, and after a file could not be created
	path   string
	size   int64 // of the complete blocks
	opened time.Time
	count  int     // number of files created, including failed attempts
	errs   []error // the first maxErrors
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
	name := fmt.Sprintf("%s-%s-%06d.rec", f.config.Name, f.nextTimestamp(), f.count)
	file, err := os.OpenFile(filepath.Join(f.config.Dir, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		f.addError(err)
		return false
	}
	f.path = file.Name()
	f.sink, f.size, f.opened = f.config.OpenSink(file), 0, time.Now()
	f.removeOldest(name)
	f.write([]byte(magic))
	return f.sink != nil
}

// nextTimestamp returns the timestamp of a new file's name. It is later than those of all files of this router, also after the
// wall clock was set back, because the order of the names is the order of the records.
func (f *rotatingFile) nextTimestamp() string {
	next := f.now().UTC()
	if files, err := Files(f.config.Dir, f.config.Name); err == nil && len(files) > 0 {
		text := strings.TrimPrefix(filepath.Base(files[len(files)-1]), f.config.Name+"-")
		newest, err := time.Parse(fileTimestamp, text[:min(len(text), len(fileTimestamp))])
		if err == nil && !next.After(newest) {
			next = newest.Add(time.Microsecond)
		}
	}
	return next.Format(fileTimestamp)
}

// write appends an encoded block and returns the number of bytes written. If that fails, it removes the part that was
// written and closes the file, so that the next block, in another file, can be read.
func (f *rotatingFile) write(encoded []byte) int {
	n, err := f.sink.Write(encoded)
	if err == nil {
		f.size += int64(n)
		return n
	}
	f.addError(err)
	f.close()
	if f.size == 0 {
		err = os.Remove(f.path)
	} else {
		err = os.Truncate(f.path, f.size)
	}
	f.addError(err)
	return 0
}

func (f *rotatingFile) close() {
	if f.sink != nil {
		f.addError(f.sink.Close())
		f.sink = nil
	}
}

// addError keeps an error, unless it is nil or there are too many already.
func (f *rotatingFile) addError(err error) {
	if err != nil && len(f.errs) < maxErrors {
		f.errs = append(f.errs, err)
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
