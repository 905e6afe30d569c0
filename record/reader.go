package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
)

// Read calls handle for every entry of one file. It stops at the first error and returns it. If the file is damaged,
// the error names the block and its offset, and handle has been called for at least the entries before that block.
func Read(from io.Reader, handle func(Entry) error) error {
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
		if err := r.eachEntry(entries, handle); err != nil {
			return err
		}
	}
}

// readMagic checks that a file is a record file of this version of the format.
func readMagic(in io.Reader) error {
	const version = len(magic) - 2
	start := make([]byte, len(magic))
	if _, err := io.ReadFull(in, start); err == nil && string(start) == magic {
		return nil
	}
	if string(start[:version]) == magic[:version] {
		return fmt.Errorf("records have version %q, which this program doesn't support", start[version])
	}
	return fmt.Errorf("not a record file: it does not start with %q", magic)
}

// blockReader reads the blocks of one file.
type blockReader struct {
	in           io.Reader
	decompressor *zstd.Decoder
	header       blockHeader
	index        int    // index of the next block in the file
	offset       int64  // offset of the next block in the file, in bytes
	location     string // index and offset of the block that was read last, for error messages
}

// next returns the entries of the next block, or io.EOF after the last block.
func (r *blockReader) next() ([]byte, error) {
	r.location = fmt.Sprintf("block %d at byte %d", r.index, r.offset)
	if _, err := io.ReadFull(r.in, r.header[:]); err == io.EOF {
		return nil, io.EOF
	} else if err != nil {
		return nil, fmt.Errorf("%s is truncated", r.location)
	}
	size, entryBytes := r.header.compressedBytes(), r.header.entryBytes()
	if size > maxBlockBytes || entryBytes > maxBlockBytes {
		return nil, fmt.Errorf("%s is damaged: its size of %d bytes (%d before compression) exceeds the limit", r.location, size, entryBytes)
	}
	compressed := make([]byte, size)
	if _, err := io.ReadFull(r.in, compressed); err != nil {
		return nil, fmt.Errorf("%s is truncated", r.location)
	}
	if !r.header.matches(compressed) {
		return nil, fmt.Errorf("%s is damaged: checksum mismatch", r.location)
	}
	entries, err := r.decompressor.DecodeAll(compressed, make([]byte, 0, entryBytes))
	if err != nil {
		return nil, fmt.Errorf("%s is damaged: %w", r.location, err)
	}
	if len(entries) != int(entryBytes) {
		return nil, fmt.Errorf("%s is damaged: it has %d bytes of entries, expected %d", r.location, len(entries), entryBytes)
	}
	r.index++
	r.offset += int64(headerBytes) + int64(size)
	return entries, nil
}

// eachEntry decodes the entries of the block that was read last and calls handle for each.
func (r *blockReader) eachEntry(entries []byte, handle func(Entry) error) error {
	for len(entries) > 0 {
		message, n := protowire.ConsumeBytes(entries)
		if n < 0 {
			return fmt.Errorf("%s: %w", r.location, errMalformed)
		}
		entries = entries[n:]
		e, err := decodeEntry(message)
		if err != nil {
			return fmt.Errorf("%s: %w", r.location, err)
		}
		if err := handle(e); err != nil {
			return err
		}
	}
	return nil
}
