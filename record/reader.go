package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
)

// Read calls each for every entry of one file and ends at its first error. At damage it returns an error that names the
// block and its offset; the entries before it have been passed to each.
func Read(from io.Reader, each func(Entry) error) error {
	in := bufio.NewReaderSize(from, 1<<16)
	if err := readMagic(in); err != nil {
		return err
	}
	decompressor, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockBytes))
	if err != nil {
		return err
	}
	defer decompressor.Close()
	r := blockReader{in: in, decompressor: decompressor, offset: int64(len(magic))}
	for {
		entries, err := r.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.eachEntry(entries, each); err != nil {
			return err
		}
	}
}

// readMagic checks that a file holds records of this version.
func readMagic(in io.Reader) error {
	const version = len(magic) - 2
	start := make([]byte, len(magic))
	if _, err := io.ReadFull(in, start); err == nil && string(start) == magic {
		return nil
	}
	if string(start[:version]) == magic[:version] {
		return fmt.Errorf("records of version %q, which this program doesn't read", start[version])
	}
	return fmt.Errorf("no records: %q expected at the start", magic)
}

// blockReader reads the blocks of one file.
type blockReader struct {
	in           io.Reader
	decompressor *zstd.Decoder
	header       blockHeader
	index        int    // of the next block
	offset       int64  // of the next block, in bytes
	where        string // the present block, for errors
}

// next returns the entries of the next block; io.EOF after the last.
func (r *blockReader) next() ([]byte, error) {
	r.where = fmt.Sprintf("block %d at byte %d", r.index, r.offset)
	if _, err := io.ReadFull(r.in, r.header[:]); err == io.EOF {
		return nil, io.EOF
	} else if err != nil {
		return nil, fmt.Errorf("%s is cut", r.where)
	}
	size, entryBytes := r.header.compressedBytes(), r.header.entryBytes()
	if size > maxBlockBytes || entryBytes > maxBlockBytes {
		return nil, fmt.Errorf("%s has %d bytes: damaged", r.where, size)
	}
	compressed := make([]byte, size)
	if _, err := io.ReadFull(r.in, compressed); err != nil {
		return nil, fmt.Errorf("%s is cut", r.where)
	}
	if !r.header.matches(compressed) {
		return nil, fmt.Errorf("%s is damaged: its checksum differs", r.where)
	}
	entries, err := r.decompressor.DecodeAll(compressed, make([]byte, 0, entryBytes))
	if err != nil {
		return nil, fmt.Errorf("%s is damaged: %w", r.where, err)
	}
	if len(entries) != int(entryBytes) {
		return nil, fmt.Errorf("%s is damaged: %d bytes of entries, %d expected", r.where, len(entries), entryBytes)
	}
	r.index++
	r.offset += int64(headerBytes) + int64(size)
	return entries, nil
}

// eachEntry decodes the entries of the present block.
func (r *blockReader) eachEntry(entries []byte, each func(Entry) error) error {
	for len(entries) > 0 {
		message, n := protowire.ConsumeBytes(entries)
		if n < 0 {
			return fmt.Errorf("%s: %w", r.where, errMalformed)
		}
		entries = entries[n:]
		e, err := decodeEntry(message)
		if err != nil {
			return fmt.Errorf("%s: %w", r.where, err)
		}
		if err := each(e); err != nil {
			return err
		}
	}
	return nil
}
