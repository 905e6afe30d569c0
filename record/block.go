package record

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"
)

// magic starts every file; the character before its last is the version of the format.
const magic = "dapplefront records 1\n"

// A block on disk is a header, big endian, and the compressed entries:
//
//	bytes  0 to 3   size of the compressed entries
//	bytes  4 to 7   size of the entries
//	bytes  8 to 11  CRC-32C of all that follows in the block
//	bytes 12 to 19  number of the first entry
//	bytes 20 to 27  entries dropped before it since the writer began
//
// The entries are protobuf messages, each with its length before it.
const (
	checksumOffset = 8
	checksumEnd    = 12 // the checksum covers what starts here
	headerBytes    = 28
	maxBlockBytes  = 64 << 20 // of the entries, compressed or not, that a reader accepts; a writer's have some 100 KB
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// block is a run of entries on its way to the disk.
type block struct {
	first   uint64 // number of its first entry
	dropped uint64 // entries dropped before it since the writer began
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

// matches reports whether the checksum is that of the header and the compressed entries.
func (h *blockHeader) matches(compressed []byte) bool {
	sum := crc32.Update(crc32.Checksum(h[checksumEnd:], castagnoli), castagnoli, compressed)
	return sum == binary.BigEndian.Uint32(h[checksumOffset:])
}
