package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// Event is what Read found.
type Event int

const (
	More  Event = iota // all was read; the message goes on
	Head               // the head of a message is known: Peek has it, its body is to come
	Whole              // the message is whole: Take it before reading on
)

// Limits of one message, in bytes; each is at least 1.
type Limits struct {
	Head   int // start line and fields
	Body   int
	Framed bool // a response must tell its length, or come in chunks: its connection's end may be a cut
}

const (
	maxFields     = 100 // as net/http's clients send a few dozen at most
	maxChunkLine  = 256 // bytes of a chunk's size line: a size and some extension
	maxEmptyLines = 4   // empty lines before a request that are passed over (RFC 9112, 2.2)
)

type readState int

const (
	readingHead readState = iota
	headComplete
	readingBody      // of a told length
	readingChunkSize // of a chunk
	readingChunk     // data
	readingChunkEnd  // the line end after a chunk
	readingTrailer   // fields after the last chunk, which are dropped
	readingToEnd     // a response that its connection's end ends
	messageComplete
)

// Reader puts messages together. The zero Reader is not ready: use NewReader.
type Reader struct {
	limits   Limits
	budget   *Budget
	response bool
	noBody   bool // the response to a HEAD request

	state     readState
	buffer    []byte // head, or the line in hand
	searched  int    // how far buf was searched for the head's end
	skipped   int    // bytes of empty lines that were passed over before it
	remaining int    // of body or chunk
	message   *Message
}

// NewReader reads requests, or responses. Bodies hold bytes of the budget until Message.Drop.
func NewReader(bounds Limits, budget *Budget, response bool) *Reader {
	return &Reader{limits: bounds, budget: budget, response: response}
}

// Expect says before a response arrives whether it answers a HEAD request and so has no body.
func (r *Reader) Expect(head bool) { r.noBody = head }

// Idle tells whether no byte of a message has been read yet.
func (r *Reader) Idle() bool { return r.state == readingHead && len(r.buffer) == 0 }

// Peek is the message in hand after Head.
func (r *Reader) Peek() *Message { return r.message }

// Take hands over a whole message; the next bytes start another one.
func (r *Reader) Take() *Message {
	m := r.message
	r.message, r.state, r.searched, r.skipped, r.buffer = nil, readingHead, 0, 0, r.buffer[:0]
	return m
}

// Drop gives back what a message in hand holds.
func (r *Reader) Drop() {
	if r.message != nil {
		r.message.Drop()
	}
	r.message, r.buffer, r.state = nil, nil, readingHead
}

// Ended says that the connection has ended; it reports whether that made a message whole.
func (r *Reader) Ended() bool {
	if r.state == readingToEnd {
		r.state = messageComplete
		return true
	}
	return false
}

// Read reads from data what belongs to the next event and reports how many bytes that were. After an error (a *Bad)
// nothing more can be read.
func (r *Reader) Read(data []byte) (n int, e Event, err error) {
	for {
		var used int
		switch r.state {
		case readingHead:
			if used, err = r.readHead(data[n:]); err != nil {
				return n, More, err
			}
			if n += used; r.state != readingHead {
				return n, Head, nil
			}
			return n, More, nil
		case headComplete:
			if err := r.startBody(); err != nil {
				return n, More, err
			}
		case messageComplete:
			return n, Whole, nil
		case readingBody, readingChunk, readingToEnd:
			take := data[n:]
			if r.state != readingToEnd {
				take = take[:min(len(take), r.remaining)]
			}
			if err := r.appendBody(take); err != nil {
				return n, More, err
			}
			n += len(take)
			r.remaining -= len(take)
			switch {
			case r.state == readingToEnd || r.remaining > 0:
				return n, More, nil
			case r.state == readingBody:
				r.state = messageComplete
			default:
				r.state = readingChunkEnd
			}
		default:
			line, used, err := r.readLine(data[n:])
			n += used
			if err != nil || line == nil {
				return n, More, err
			}
			if err := r.chunkLine(line); err != nil {
				return n, More, err
			}
		}
	}
}

// appendBody adds to the body, within the bounds of one body and of all.
func (r *Reader) appendBody(data []byte) error {
	m := r.message
	need := len(m.Body) + len(data)
	if need > r.limits.Body {
		return newError(413, "the body is larger than %d bytes", r.limits.Body)
	}
	if need > cap(m.Body) {
		size := max(need, min(2*cap(m.Body), r.limits.Body), 512)
		if r.state == readingBody { // no more than was announced
			size = max(need, min(size, len(m.Body)+r.remaining))
		}
		if r.budget != nil && !r.budget.Reserve(size-m.reserved) {
			return newError(503, "too much is held for others just now")
		}
		m.reserved, m.budget = size, r.budget
		m.Body = append(make([]byte, 0, size), m.Body...)
	}
	m.Body = append(m.Body, data...)
	return nil
}

// readLine collects one line of the chunk framing, without its end; nil while it is not whole.
func (r *Reader) readLine(data []byte) (line []byte, used int, err error) {
	end := bytes.IndexByte(data, '\n')
	if used = end + 1; end < 0 {
		used = len(data)
	}
	r.buffer = append(r.buffer, data[:used]...)
	if len(r.buffer) > maxChunkLine+2 {
		return nil, used, newError(400, "a line of the chunked body is longer than %d bytes", maxChunkLine)
	}
	if end < 0 {
		return nil, used, nil
	}
	line, r.buffer = r.buffer[:len(r.buffer)-1], r.buffer[:0]
	if len(line) == 0 || line[len(line)-1] != '\r' {
		return nil, used, newError(400, "a line of the chunked body ends without CR")
	}
	return line[:len(line)-1], used, nil
}

// chunkLine reads a line of the chunk framing (RFC 9112, 7.1).
func (r *Reader) chunkLine(line []byte) error {
	switch r.state {
	case readingChunkEnd:
		if len(line) > 0 {
			return newError(400, "a chunk is longer than it says")
		}
		r.state = readingChunkSize
	case readingTrailer:
		if len(line) == 0 {
			r.state = messageComplete
		} else if r.remaining += len(line); r.remaining > r.limits.Head {
			return newError(431, "the trailer is larger than %d bytes", r.limits.Head)
		}
	default:
		digits, _, _ := bytes.Cut(line, []byte(";"))
		digits = bytes.TrimRight(digits, " \t")
		for _, c := range digits {
			if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
				return newError(400, "a chunk's size is not a hexadecimal number")
			}
		}
		size, err := strconv.ParseInt(string(digits), 16, 32)
		if err != nil {
			return newError(400, "a chunk's size is not a hexadecimal number below 2^31")
		}
		if len(r.message.Body)+int(size) > r.limits.Body {
			return newError(413, "the body is larger than %d bytes", r.limits.Body)
		}
		if r.remaining, r.state = int(size), readingChunk; size == 0 {
			r.state = readingTrailer
		}
	}
	return nil
}

// readHead collects a head and reads it once it is whole.
func (r *Reader) readHead(data []byte) (used int, err error) {
	if len(r.buffer) == 0 && !r.response { // empty lines before a request
		for used < len(data) && r.skipped < 2*maxEmptyLines && (data[used] == '\r' || data[used] == '\n') {
			used++
			r.skipped++
		}
		data = data[used:]
	}
	if len(r.buffer) == 0 { // most heads come in one piece and need no copy of their own
		if end := bytes.Index(data, []byte("\r\n\r\n")); end >= 0 {
			if end > r.limits.Head {
				return used, newError(431, "the head is larger than %d bytes", r.limits.Head)
			}
			return used + end + 4, r.parseHead(data[:end])
		}
	}
	from := max(0, r.searched-3)
	room := r.limits.Head + 4 - len(r.buffer)
	take := min(len(data), max(0, room))
	before := len(r.buffer)
	r.buffer = append(r.buffer, data[:take]...)
	if end := bytes.Index(r.buffer[from:], []byte("\r\n\r\n")); end >= 0 {
		end += from
		used += end + 4 - before
		err := r.parseHead(r.buffer[:end])
		r.buffer, r.searched = r.buffer[:0], 0
		return used, err
	}
	if r.searched = len(r.buffer); r.searched >= r.limits.Head+4 {
		return used, newError(431, "the head is larger than %d bytes", r.limits.Head)
	}
	if r.searched > 0 && !r.maybeHead() {
		return used, newError(400, "this is no HTTP/1.1 message")
	}
	return used + take, nil
}

// maybeHead turns away at its first byte what can't become a head, as a TLS greeting on a plain port.
func (r *Reader) maybeHead() bool {
	c := r.buffer[0]
	return r.response && c == 'H' || !r.response && isToken(c)
}

func (r *Reader) parseHead(raw []byte) error {
	text := string(raw) // one copy, which all parts share
	start, rest, _ := strings.Cut(text, "\r\n")
	m := &Message{}
	var err error
	if r.response {
		err = m.parseStatusLine(start)
	} else {
		err = m.parseRequestLine(start)
	}
	if err != nil {
		return err
	}
	m.Fields = make([]Field, 0, 8)
	for rest != "" {
		var line string
		if line, rest, _ = strings.Cut(rest, "\r\n"); len(m.Fields) == maxFields {
			return newError(431, "there are more than %d header fields", maxFields)
		}
		f, err := parseField(line)
		if err != nil {
			return err
		}
		m.Fields = append(m.Fields, f)
	}
	r.message, r.state = m, headComplete
	return nil
}

func (m *Message) parseRequestLine(line string) error {
	var version string
	var ok1, ok2 bool
	m.Method, line, ok1 = strings.Cut(line, " ")
	m.Target, version, ok2 = strings.Cut(line, " ")
	if !ok1 || !ok2 || m.Method == "" || !every(m.Method, isToken) || m.Target == "" || !every(m.Target, isVisible) {
		return newError(400, "the request line is not METHOD TARGET HTTP/1.1")
	}
	if m.Target[0] != '/' && m.Target != "*" {
		return newError(400, "the request's target is no path")
	}
	return m.parseVersion(version)
}

func (m *Message) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return newError(502, "the status line is not HTTP/1.1 CODE REASON")
	}
	m.Status, m.Reason = status, reason
	if !every(reason, isText) {
		return newError(502, "the status line holds control characters")
	}
	return m.parseVersion(version)
}

func (m *Message) parseVersion(v string) error {
	switch v {
	case "HTTP/1.1":
		m.Minor = 1
	case "HTTP/1.0":
	default:
		return newError(505, "the version is neither HTTP/1.1 nor HTTP/1.0")
	}
	return nil
}

func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || !every(name, isToken) {
		return Field{}, newError(400, "a header line is not NAME: VALUE")
	}
	value = strings.Trim(value, " \t")
	if !every(value, isText) {
		return Field{}, newError(400, "the value of %s holds control characters", name)
	}
	return Field{name, value}, nil
}

// startBody tells where the body ends (RFC 9112, 6.3).
func (r *Reader) startBody() error {
	m := r.message
	r.state, r.remaining = messageComplete, 0
	length, lengths, chunked, hosts := "", 0, false, 0
	for _, f := range m.Fields {
		switch len(f.Name) {
		case len("host"):
			if strings.EqualFold(f.Name, "host") {
				hosts++
			}
		case len("content-length"):
			if strings.EqualFold(f.Name, "content-length") {
				if lengths++; lengths > 1 && f.Value != length {
					return newError(400, "two different lengths are told")
				}
				length = f.Value
			}
		case len("transfer-encoding"):
			if strings.EqualFold(f.Name, "transfer-encoding") {
				if chunked || !strings.EqualFold(f.Value, "chunked") {
					return newError(501, "the transfer coding %q is not served", f.Value)
				}
				chunked = true
			}
		}
	}
	switch {
	case !r.response && (hosts > 1 || hosts == 0 && m.Minor > 0):
		return newError(400, "there must be one Host field")
	case chunked && lengths > 0:
		return newError(400, "both a length and a transfer coding are told")
	case chunked && m.Minor == 0:
		return newError(400, "HTTP/1.0 has no transfer codings")
	case r.response && (r.noBody || m.Status < 200 || m.Status == 204 || m.Status == 304):
	case chunked:
		r.state = readingChunkSize
	case lengths > 0:
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil || length[0] == '+' {
			return newError(400, "the length is not a whole number")
		}
		if n > uint64(r.limits.Body) {
			return newError(413, "the body is larger than %d bytes", r.limits.Body)
		}
		if r.remaining = int(n); n > 0 {
			r.state = readingBody
		}
	case r.response && r.limits.Framed:
		return newError(502, "the answer tells no length")
	case r.response:
		r.state = readingToEnd
	}
	return nil
}

func every(s string, is func(byte) bool) bool {
	for i := range len(s) {
		if !is(s[i]) {
			return false
		}
	}
	return true
}

var tokenTable = func() (t [256]bool) {
	for c := range 256 {
		t[c] = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c > 0 && c < 128 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return t
}()

func isToken(c byte) bool   { return tokenTable[c] }
func isVisible(c byte) bool { return c > ' ' && c != 0x7f }
func isText(c byte) bool    { return c >= ' ' && c != 0x7f || c == '\t' }
