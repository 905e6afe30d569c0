package record

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"dapplefront/policy"
)

// encoder appends the fields of a protobuf message. It omits zero values, as proto3 requires.
type encoder []byte

func (b *encoder) uint(number protowire.Number, v uint64) {
	if v != 0 {
		*b = protowire.AppendVarint(protowire.AppendTag(*b, number, protowire.VarintType), v)
	}
}

func (b *encoder) int(number protowire.Number, v int64) { b.uint(number, uint64(v)) }

func (b *encoder) bool(number protowire.Number, v bool) {
	if v {
		b.uint(number, 1)
	}
}

func (b *encoder) float(number protowire.Number, v float64) {
	if v != 0 {
		*b = protowire.AppendFixed64(protowire.AppendTag(*b, number, protowire.Fixed64Type), math.Float64bits(v))
	}
}

func (b *encoder) text(number protowire.Number, v string) {
	if v != "" {
		*b = protowire.AppendString(protowire.AppendTag(*b, number, protowire.BytesType), v)
	}
}

// message appends a nested message, even if it is empty. It inserts the length once it is known, which moves the message;
// this is cheap because most messages are short.
func (b *encoder) message(number protowire.Number, fill func(b *encoder)) {
	*b = protowire.AppendTag(*b, number, protowire.BytesType)
	start := len(*b)
	fill(b)
	n := len(*b) - start
	prefix := protowire.SizeVarint(uint64(n))
	*b = append(*b, make([]byte, prefix)...)
	copy((*b)[start+prefix:], (*b)[start:start+n])
	protowire.AppendVarint((*b)[start:start], uint64(n))
}

// field is one decoded field. value is set for varint and fixed64 fields, bytes for length-delimited fields.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

func (f field) uint32() uint32    { return uint32(f.value) }
func (f field) int() int          { return int(int64(f.value)) }
func (f field) int64() int64      { return int64(f.value) }
func (f field) bool() bool        { return f.value != 0 }
func (f field) time() policy.Time { return policy.Time(f.value) }
func (f field) float() float64    { return math.Float64frombits(f.value) }
func (f field) text() string      { return string(f.bytes) }

// errMalformed is returned for bytes that are not a protobuf message.
var errMalformed = errors.New("malformed protobuf message")

// eachField calls decode for every field of a message, including fields that this version doesn't know. It stops at the
// first error and returns it.
func eachField(message []byte, decode func(f field) error) error {
	for len(message) > 0 {
		number, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return errMalformed
		}
		message = message[n:]
		f := field{number: number}
		switch kind {
		case protowire.VarintType:
			f.value, n = protowire.ConsumeVarint(message)
		case protowire.Fixed64Type:
			f.value, n = protowire.ConsumeFixed64(message)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(message)
		default:
			n = protowire.ConsumeFieldValue(number, kind, message)
		}
		if n < 0 {
			return errMalformed
		}
		message = message[n:]
		if err := decode(f); err != nil {
			return err
		}
	}
	return nil
}
