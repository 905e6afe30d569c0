package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against clients that fill the budget with large messages and leave no room for the small ones of others.
func TestBudget_KeepsRoomForSmallMessages(t *testing.T) {
	const limit = 64 << 10
	b := NewBudget(limit)
	large := 0
	for b.Reserve(smallMessage, 2*smallMessage) {
		large += smallMessage
	}
	require.LessOrEqual(t, large, limit-limit/largeShare)
	require.Greater(t, large, limit/2)
	require.True(t, b.LargeExhausted())
	small := 0
	for b.Reserve(1<<10, 1<<10) {
		small += 1 << 10
	}
	require.Equal(t, limit, large+small)
	b.Release(large + small)
	require.Zero(t, b.Used())
	require.False(t, b.LargeExhausted())
}

// Guards against memory that no limit counts: a partial head holds its buffer, a message its text, its fields and its body.
func TestReader_ReservesAllThatMessagesHold(t *testing.T) {
	fields := strings.Repeat("a: b\r\n", 90)
	head := "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: 3000\r\n\r\n"
	for name, text := range map[string]string{"partial head": head[:len(head)-4], "head": head, "partial body": head + strings.Repeat("x", 2500)} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(1 << 20)
			r := NewReader(testLimits, b, false)
			for rest := []byte(text); len(rest) > 0; {
				piece := min(100, len(rest))
				for data := rest[:piece]; len(data) > 0; {
					n, _, err := r.Read(data)
					require.NoError(t, err)
					data = data[n:]
				}
				rest = rest[piece:]
			}
			held := cap(r.buffer)
			if m := r.Peek(); m != nil {
				held += len(head) - len(headEnd) + cap(m.Fields)*fieldSize + cap(m.Body)
			}
			require.GreaterOrEqual(t, held, len(text)-len(headEnd))
			require.EqualValues(t, held, b.Used())
			require.Equal(t, held, r.Held())
			r.Drop()
			require.Zero(t, b.Used())
		})
	}
}

func TestReader_ReleasesBudgetOfCompleteAndInvalidMessages(t *testing.T) {
	for name, text := range map[string]string{
		"complete":        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: t\r\n\r\n",
		"invalid field":   "GET / HTTP/1.1\r\nHost: h\r\nno field\r\n\r\n",
		"invalid framing": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
		"invalid chunk":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabcd\r\n",
	} {
		for _, piece := range []int{1, 7, 1000} {
			b := NewBudget(1 << 20)
			r := NewReader(testLimits, b, false)
			all, _ := readAll(r, []byte(text), piece)
			for _, m := range all {
				m.Drop()
			}
			r.Drop()
			require.Zero(t, b.Used(), "%s in pieces of %d", name, piece)
		}
	}
}

// Guards against heads of thousands of fields that are held until they are complete.
func TestReader_RefusesTooManyFieldsBeforeHeadIsComplete(t *testing.T) {
	for _, piece := range []int{1, 100, 1000} {
		r := NewReader(Limits{Head: 16 << 10, Body: 100}, NewBudget(1<<20), false)
		_, err := readAll(r, []byte("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3900)), piece)
		var refusal *Error
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, 431, refusal.Status)
		require.Less(t, r.Held(), 4<<10)
	}
	r := NewReader(Limits{Head: 16 << 10, Body: 100}, nil, false)
	all, err := readAll(r, []byte("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", maxFields-1)+"\r\n"), 10)
	require.NoError(t, err)
	require.Len(t, all, 1)
}
