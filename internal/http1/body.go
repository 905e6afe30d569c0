package http1

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
)

const (
	maxChunkLine = 256 // maximum bytes of a line of the chunk framing; a size line has a size and possibly extensions
	minBodySize  = 512 // minimum number of bytes reserved for a body whose length is not known
)

// framing contains what a head says about the length of the body, and the number of Host fields.
type framing struct {
	length  string // value of Content-Length
	lengths int    // number of Content-Length fields
	chunked bool
	hosts   int // number of Host fields
}

func (m *Message) framing() (f framing, err error) {
	for _, field := range m.Fields {
		switch {
		case sameToken(field.Name, "host"):
			f.hosts++
		case sameToken(field.Name, "content-length"):
			if f.lengths++; f.lengths > 1 && field.Value != f.length {
				return f, newError(http.StatusBadRequest, "two different lengths are told")
			}
			f.length = field.Value
		case sameToken(field.Name, "transfer-encoding"):
			if f.chunked || !sameToken(field.Value, "chunked") {
				return f, newError(http.StatusNotImplemented, "the transfer coding %q is not served", field.Value)
			}
			f.chunked = true
		}
	}
	return f, nil
}

// startBody determines how the body is framed (RFC 9112, 6.3).
func (r *Reader) startBody() error {
	m := r.message
	r.state, r.remaining = messageComplete, 0
	f, err := m.framing()
	switch {
	case err != nil:
		return err
	case !r.response && (f.hosts > 1 || f.hosts == 0 && m.Minor > 0):
		return newError(http.StatusBadRequest, "there must be one Host field")
	case f.chunked && f.lengths > 0:
		return newError(http.StatusBadRequest, "both a length and a transfer coding are told")
	case f.chunked && m.Minor == 0:
		return newError(http.StatusBadRequest, "HTTP/1.0 has no transfer codings")
	case r.response && (r.noBody || m.Status < http.StatusOK || m.Status == http.StatusNoContent || m.Status == http.StatusNotModified):
	case f.chunked:
		r.state = readingChunkSize
	case f.lengths > 0:
		return r.startSizedBody(f.length)
	case r.response && r.limits.RequireFraming:
		return newError(http.StatusBadGateway, "the response has no length")
	case r.response:
		r.state = readingToEnd
	}
	return nil
}

func (r *Reader) startSizedBody(length string) error {
	n, err := strconv.ParseUint(length, 10, 62)
	if err != nil || length[0] == '+' {
		return newError(http.StatusBadRequest, "the length is not a whole number")
	}
	if n > uint64(r.limits.Body) {
		return newError(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", r.limits.Body)
	}
	if r.remaining = int(n); n > 0 {
		r.state = readingBody
	}
	return nil
}

// readBody reads data of a body or chunk. needMore means that all data was read and the body or chunk is not complete.
func (r *Reader) readBody(data []byte) (used int, needMore bool, err error) {
	if r.state != readingToEnd {
		data = data[:min(len(data), r.remaining)]
	}
	if err := r.appendBody(data); err != nil {
		return 0, false, err
	}
	r.remaining -= len(data)
	switch {
	case r.state == readingToEnd || r.remaining > 0:
		return len(data), true, nil
	case r.state == readingBody:
		r.state = messageComplete
	default:
		r.state = readingChunkEnd
	}
	return len(data), false, nil
}

// appendBody appends data to the body, within the limit for one body and the budget for all bodies.
func (r *Reader) appendBody(data []byte) error {
	m := r.message
	need := len(m.Body) + len(data)
	if need > r.limits.Body {
		return newError(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", r.limits.Body)
	}
	if need > cap(m.Body) {
		size := max(need, min(2*cap(m.Body), r.limits.Body), minBodySize)
		if r.state == readingBody { // not more than Content-Length
			size = max(need, min(size, len(m.Body)+r.remaining))
		}
		if err := m.reserve(size-cap(m.Body), cap(r.buffer)); err != nil {
			return err
		}
		m.Body = append(make([]byte, 0, size), m.Body...)
	}
	m.Body = append(m.Body, data...)
	return nil
}

// readChunkLine reads a line of the chunk framing (RFC 9112, 7.1). needMore means that the line is not complete yet.
func (r *Reader) readChunkLine(data []byte) (used int, needMore bool, err error) {
	line, used, err := r.readLine(data)
	if err != nil || line == nil {
		return used, true, err
	}
	switch r.state {
	case readingChunkEnd:
		if len(line) > 0 {
			return used, false, newError(http.StatusBadRequest, "a chunk is longer than it says")
		}
		r.state = readingChunkSize
	case readingTrailer:
		if len(line) == 0 {
			r.state = messageComplete
		} else if r.remaining += len(line); r.remaining > r.limits.Head {
			return used, false, newError(http.StatusRequestHeaderFieldsTooLarge, "the trailer is larger than %d bytes", r.limits.Head)
		}
	default:
		err = r.startChunk(line)
	}
	return used, false, err
}

// startChunk parses the size line of a chunk.
func (r *Reader) startChunk(line []byte) error {
	size, digits := 0, 0
	for digits < len(line) && isHexDigit(line[digits]) {
		if size = size<<4 | hexValue(line[digits]); size > math.MaxInt32 {
			return newError(http.StatusBadRequest, "a chunk's size is not a hexadecimal number below 2^31")
		}
		digits++
	}
	if rest := bytes.TrimLeft(line[digits:], " \t"); digits == 0 || len(rest) > 0 && rest[0] != ';' {
		return newError(http.StatusBadRequest, "a chunk's size is not a hexadecimal number")
	}
	if len(r.message.Body)+size > r.limits.Body {
		return newError(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", r.limits.Body)
	}
	if r.remaining, r.state = size, readingChunk; size == 0 {
		r.state = readingTrailer
	}
	return nil
}

// readLine returns one line of the chunk framing without its line end, or nil if it is not complete yet. Only the parts of a
// line that arrives in pieces are copied.
func (r *Reader) readLine(data []byte) (line []byte, used int, err error) {
	end := bytes.IndexByte(data, '\n')
	if used = end + 1; end < 0 {
		used = len(data)
	}
	if len(r.buffer)+used > maxChunkLine+2 {
		return nil, used, newError(http.StatusBadRequest, "a line of the chunked body is longer than %d bytes", maxChunkLine)
	}
	line = data[:used]
	if len(r.buffer) > 0 || end < 0 {
		if err := r.appendBuffer(line, maxChunkLine+2); err != nil {
			return nil, used, err
		}
		line = r.buffer
	}
	if end < 0 {
		return nil, used, nil
	}
	line, r.buffer = line[:len(line)-1], r.buffer[:0]
	if len(line) == 0 || line[len(line)-1] != '\r' {
		return nil, used, newError(http.StatusBadRequest, "a line of the chunked body ends without CR")
	}
	return line[:len(line)-1], used, nil
}
