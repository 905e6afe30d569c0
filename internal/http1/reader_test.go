package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testLimits = Limits{Head: 1024, Body: 4096}

// readAll reads data in pieces of a given size. It returns the messages, and the error after which it stopped.
func readAll(r *Reader, data []byte, piece int) (all []*Message, err error) {
	for len(data) > 0 {
		part := data[:min(piece, len(data))]
		data = data[len(part):]
		for {
			n, event, err := r.Read(part)
			part = part[n:]
			if err != nil {
				return all, err
			}
			if event == NeedMore {
				break
			}
			if event == MessageRead {
				all = append(all, r.Take())
			}
		}
	}
	return all, nil
}

func TestReader_ReadsSameMessagesInPiecesOfAnySize(t *testing.T) {
	text := "\r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" +
		"POST /b HTTP/1.1\r\nhost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n" +
		"GET /c HTTP/1.0\r\nConnection: keep-alive\r\nEmpty:\r\n\r\n"
	for piece := 1; piece <= len(text); piece++ {
		all, err := readAll(NewReader(testLimits, NewBudget(1<<20), false), []byte(text), piece)
		require.NoError(t, err)
		require.Len(t, all, 3)
		require.Equal(t, "hello", string(all[0].Body))
		require.Equal(t, "abc0123456789", string(all[1].Body))
		require.Equal(t, "/c", all[2].Target)
		require.False(t, all[2].Closes())
		require.Equal(t, "h", all[1].Get("HOST"))
	}
}

func TestReader_FindsEndOfResponse(t *testing.T) {
	read := func(text string, head bool) (*Message, *Reader) {
		r := NewReader(testLimits, nil, true)
		r.Expect(head)
		all, err := readAll(r, []byte(text), 7)
		require.NoError(t, err)
		if len(all) == 0 {
			return nil, r
		}
		return all[0], r
	}
	m, _ := read("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", false)
	require.Equal(t, "ok", string(m.Body))
	m, _ = read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true)
	require.Empty(t, m.Body)
	m, _ = read("HTTP/1.1 204 \r\n\r\n", false)
	require.Equal(t, 204, m.Status)
	m, r := read("HTTP/1.1 200 OK\r\n\r\nto the end", false)
	require.Nil(t, m)
	require.True(t, r.Ended())
	require.Equal(t, "to the end", string(r.Take().Body))
	m, r = read("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nnot to the end", false)
	require.Nil(t, m)
	require.False(t, r.Ended(), "a response is incomplete if its connection is lost")
}

func TestReader_ReservesAndReleasesBudget(t *testing.T) {
	b := NewBudget(6000)
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("x", 4000)
	one, err := readAll(NewReader(testLimits, b, false), []byte(request), 100)
	require.NoError(t, err)
	require.Len(t, one, 1)
	r := NewReader(testLimits, b, false)
	_, err = readAll(r, []byte(request), 100)
	var refusal *Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, 503, refusal.Status)
	r.Drop()
	one[0].Drop()
	require.Zero(t, b.Used())
}

func TestMessage_AppendFieldsOmitsHopByHopFields(t *testing.T) {
	all, err := readAll(NewReader(testLimits, nil, false), []byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Mine\r\nx-mine: 1\r\n"+
		"Keep-Alive: 5\r\nTE: trailers\r\nUpgrade: h2c\r\nExpect: 100-continue\r\nX-Yours: 2\r\n\r\n"), 1000)
	require.NoError(t, err)
	require.Equal(t, "Host: h\r\nX-Yours: 2\r\n", string(all[0].AppendFields(nil, nil)))
	require.True(t, all[0].Closes())
}

// A request that net/http writes is read unchanged, in pieces of any size.
func TestReader_ReadsRequestsWrittenByNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "body")
		req, err := http.NewRequest(http.MethodPost, "http://h/"+rapid.StringMatching(`[a-z0-9/]{0,20}`).Draw(t, "path"), bytes.NewReader(body))
		if err != nil {
			t.Skip()
		}
		if rapid.Bool().Draw(t, "chunked") {
			req.ContentLength = -1
			req.Body = io.NopCloser(bytes.NewReader(body))
		}
		value := rapid.StringMatching(`[!-~]{1,30}`).Draw(t, "value")
		req.Header.Set("X-Value", value)
		var wire bytes.Buffer
		if err := req.Write(&wire); err != nil {
			t.Fatal(err)
		}
		all, err := readAll(NewReader(testLimits, nil, false), wire.Bytes(), rapid.IntRange(1, 700).Draw(t, "piece"))
		if err != nil || len(all) != 1 || !bytes.Equal(all[0].Body, body) || all[0].Get("x-value") != value {
			t.Fatalf("%v, %d messages of %q", err, len(all), wire.String())
		}
	})
}

// FuzzReader checks that no input makes the reader panic or exceed its limits, that the result does not depend on the
// pieces in which the input arrives, and that net/http reads the same body of a request that both accept.
func FuzzReader(f *testing.F) {
	for _, s := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "GET / HTTP/1.1\r\nHost:h\r\n a: b\r\n\r\n"} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		piece = max(1, piece%64)
		whole, err1 := readAll(NewReader(testLimits, nil, false), data, len(data)+1)
		parts, err2 := readAll(NewReader(testLimits, nil, false), data, piece)
		if len(whole) != len(parts) || (err1 == nil) != (err2 == nil) {
			t.Fatalf("%d messages (%v) in one piece, %d (%v) in pieces of %d", len(whole), err1, len(parts), err2, piece)
		}
		for i, m := range whole {
			if len(m.Body) > testLimits.Body || !bytes.Equal(m.Body, parts[i].Body) {
				t.Fatal("bodies differ")
			}
		}
		if len(whole) == 0 {
			return
		}
		got, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(bytes.TrimLeft(data, "\r\n"))))
		if err != nil {
			return // net/http is stricter than the reader, for example with odd Host values
		}
		body, err := io.ReadAll(got.Body)
		if err == nil && !bytes.Equal(body, whole[0].Body) {
			t.Fatalf("net/http reads the body %q, the reader %q", body, whole[0].Body)
		}
	})
}

// Guards against request smuggling with non-ASCII letters that case folding turns into ASCII ones: another program on the
// path would see a different end of the request.
func TestReader_ComparesTokensAsASCII(t *testing.T) {
	const kelvin, longS = "\u212a", "\u017f" // fold to k and s
	r := NewReader(testLimits, NewBudget(1<<10), false)
	request := []byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chun" + kelvin + "ed\r\n\r\n0\r\n\r\n")
	_, err := readAll(r, request, len(request))
	var refusal *Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, 501, refusal.Status)
	m := &Message{Minor: 1, Fields: []Field{{Name: "Connection", Value: "clo" + longS + "e"}}}
	require.False(t, m.Closes())
	m = &Message{Minor: 0, Fields: []Field{{Name: "Connection", Value: kelvin + "eep-alive"}}}
	require.True(t, m.Closes())
}
