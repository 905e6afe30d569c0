package record

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"
)

// magic is at the start of every file. Its last character but one is the version of the format.
const magic = "dapplefront records 1\n"

// A block on disk is a header with big-endian numbers, followed by the compressed entries:
//
//	bytes  0 to 3   size of the compressed entries
//	bytes  4 to 7   size of the entries before compression
//	bytes  8 to 11  CRC-32C of the rest of the block
//	bytes 12 to 19  number of the block's first entry
//	bytes 20 to 27  number of entries that the writer dropped before that entry
//
// Each entry is a protobuf message preceded by its length.
const (
	checksumOffset = 8
	checksumEnd    = 12 // the checksum covers the rest of the block from this offset
	headerBytes    = 28
	maxBlockBytes  = 64 << 20 // largest size of a block's entries, compressed or not, that a reader accepts; a writer's blocks have about 100 KB
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// block is a sequence of entries that is to be written to a file.
type block struct {
	first   uint64 // number of the first entry
	dropped uint64 // number of entries that the writer dropped before the first entry
	entries []byte
}

// encode returns the block as it is written to a file.
func (b block) encode(compressor *zstd.Encoder) []byte {
	compressed := compressor.EncodeAll(b.entries, nil)
	frame := make([]byte, headerBytes, headerBytes+len(compressed))
	binary.BigEndian.PutUint32(frame, uint32(len(compressed)))
	binary.BigEndian.PutUint32(frame[4:], uint32(len(b.entries)))
	binary.BigEndian.PutUint64(frame[12:], b.first)
	binary.BigEndian.PutUint64(frame[20:], b.dropped)
	frame = append(frame, compressed...)
	binary.BigEndian.PutUint32(frame[checksumOffset:], crc32.Checksum(frame[checksumEnd:], castagnoli))
	return frame
}

// blockHeader is the header of a block on disk.
type blockHeader [headerBytes]byte

func (h *blockHeader) compressedBytes() uint32 { return binary.BigEndian.Uint32(h[:]) }
func (h *blockHeader) entryBytes() uint32      { return binary.BigEndian.Uint32(h[4:]) }

// matches reports whether the stored checksum matches the rest of the header and the compressed entries.
func (h *blockHeader) matches(compressed []byte) bool {
	sum := crc32.Update(crc32.Checksum(h[checksumEnd:], castagnoli), castagnoli, compressed)
	return sum == binary.BigEndian.Uint32(h[checksumOffset:])
}
