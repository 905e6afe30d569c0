package record

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"

	"dapplefront/router"
)

// Guards against changes of the stored form: entries that an earlier version wrote must be encoded to the same bytes.
func TestEntry_ReencodesStoredEntriesByteForByte(t *testing.T) {
	files, err := filepath.Glob("testdata/*.rec")
	require.NoError(t, err)
	require.Len(t, files, 3)
	decompressor, err := zstd.NewReader(nil)
	require.NoError(t, err)
	t.Cleanup(decompressor.Close)
	count := 0
	for _, file := range files {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		r := blockReader{in: bytes.NewReader(raw[len(magic):]), decompressor: decompressor}
		for {
			entries, err := r.next()
			if errors.Is(err, io.EOF) {
				break
			}
			require.NoError(t, err)
			for len(entries) > 0 {
				message, n := protowire.ConsumeBytes(entries)
				require.Positive(t, n)
				entries = entries[n:]
				e, err := decodeEntry(message)
				require.NoError(t, err)
				again, err := encodeEntry(&e, func(s string) string { return s })
				require.NoError(t, err)
				require.Equal(t, message, again, "entry %d of %s", e.Number, file)
				count++
			}
		}
	}
	require.Greater(t, count, 9000)
}

func FuzzEntry(f *testing.F) {
	b, err := encodeEntry(&Entry{Number: 1, At: 5, Event: router.RequestArrived{RequestID: "a", Key: "k"}, Actions: []router.Action{{Kind: router.SendAttempt, RequestID: "a"}}},
		func(s string) string { return s })
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := decodeEntry(text)
		if err != nil || e.Config != nil {
			return
		}
		b, err := encodeEntry(&e, func(s string) string { return s })
		require.NoError(t, err)
		again, err := decodeEntry(b)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("%+v", e), fmt.Sprintf("%+v", again))
	})
}
