package http1

import (
	"strings"
	"testing"
)

// BenchmarkReader_OneByteChunks reads a body of 60,000 chunks of one byte.
func BenchmarkReader_OneByteChunks(b *testing.B) {
	data := []byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 60000) + "0\r\n\r\n")
	for b.Loop() {
		r := NewReader(Limits{Head: 16 << 10, Body: 64 << 10}, nil, false)
		for rest := data; len(rest) > 0; {
			n, event, err := r.Read(rest)
			if err != nil {
				b.Fatal(err)
			}
			if rest = rest[n:]; event == MessageRead {
				r.Take().Drop()
			}
		}
	}
}
