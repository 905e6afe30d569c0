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
	mostFields = 100 // as net/http's clients send a few dozen at most
	mostChunk  = 256 // bytes of a chunk's size line: a size and some extension
	mostAhead  = 4   // empty lines before a request that are passed over (RFC 9112, 2.2)
)

type state int

const (
	inHead state = iota
	headDone
	inBody    // of a told length
	inSize    // of a chunk
	inChunk   // data
	inEnd     // the line end after a chunk
	inTrailer // fields after the last chunk, which are dropped
	inRest    // a response that its connection's end ends
	whole
)

// Reader puts messages together. The zero Reader is not ready: use NewReader.
type Reader struct {
	bounds   Limits
	budget   *Budget
	response bool
	bodyless bool // the response to a HEAD request

	state state
	buf   []byte // head, or the line in hand
	seen  int    // how far buf was searched for the head's end
	ahead int    // bytes of empty lines that were passed over before it
	left  int    // of body or chunk
	msg   *Message
}

// NewReader reads requests, or responses. Bodies hold bytes of the budget until Message.Drop.
func NewReader(bounds Limits, budget *Budget, response bool) *Reader {
	return &Reader{bounds: bounds, budget: budget, response: response}
}

// Expect says before a response arrives whether it answers a HEAD request and so has no body.
func (r *Reader) Expect(head bool) { r.bodyless = head }

// Idle tells whether no byte of a message has been read yet.
func (r *Reader) Idle() bool { return r.state == inHead && len(r.buf) == 0 }

// Peek is the message in hand after Head.
func (r *Reader) Peek() *Message { return r.msg }

// Take hands over a whole message; the next bytes start another one.
func (r *Reader) Take() *Message {
	m := r.msg
	r.msg, r.state, r.seen, r.ahead, r.buf = nil, inHead, 0, 0, r.buf[:0]
	return m
}

// Drop gives back what a message in hand holds.
func (r *Reader) Drop() {
	if r.msg != nil {
		r.msg.Drop()
	}
	r.msg, r.buf, r.state = nil, nil, inHead
}

// Ended says that the connection has ended; it reports whether that made a message whole.
func (r *Reader) Ended() bool {
	if r.state == inRest {
		r.state = whole
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
		case inHead:
			if used, err = r.head(data[n:]); err != nil {
				return n, More, err
			}
			if n += used; r.state != inHead {
				return n, Head, nil
			}
			return n, More, nil
		case headDone:
			if err := r.frame(); err != nil {
				return n, More, err
			}
		case whole:
			return n, Whole, nil
		case inBody, inChunk, inRest:
			take := data[n:]
			if r.state != inRest {
				take = take[:min(len(take), r.left)]
			}
			if err := r.keep(take); err != nil {
				return n, More, err
			}
			n += len(take)
			r.left -= len(take)
			switch {
			case r.state == inRest || r.left > 0:
				return n, More, nil
			case r.state == inBody:
				r.state = whole
			default:
				r.state = inEnd
			}
		default:
			line, used, err := r.line(data[n:])
			n += used
			if err != nil || line == nil {
				return n, More, err
			}
			if err := r.chunks(line); err != nil {
				return n, More, err
			}
		}
	}
}

// keep adds to the body, within the bounds of one body and of all.
func (r *Reader) keep(data []byte) error {
	m := r.msg
	need := len(m.Body) + len(data)
	if need > r.bounds.Body {
		return bad(413, "the body is larger than %d bytes", r.bounds.Body)
	}
	if need > cap(m.Body) {
		size := max(need, min(2*cap(m.Body), r.bounds.Body), 512)
		if r.state == inBody { // no more than was announced
			size = max(need, min(size, len(m.Body)+r.left))
		}
		if r.budget != nil && !r.budget.Reserve(size-m.reserved) {
			return bad(503, "too much is held for others just now")
		}
		m.reserved, m.budget = size, r.budget
		m.Body = append(make([]byte, 0, size), m.Body...)
	}
	m.Body = append(m.Body, data...)
	return nil
}

// line collects one line of the chunk framing, without its end; nil while it is not whole.
func (r *Reader) line(data []byte) (line []byte, used int, err error) {
	end := bytes.IndexByte(data, '\n')
	if used = end + 1; end < 0 {
		used = len(data)
	}
	r.buf = append(r.buf, data[:used]...)
	if len(r.buf) > mostChunk+2 {
		return nil, used, bad(400, "a line of the chunked body is longer than %d bytes", mostChunk)
	}
	if end < 0 {
		return nil, used, nil
	}
	line, r.buf = r.buf[:len(r.buf)-1], r.buf[:0]
	if len(line) == 0 || line[len(line)-1] != '\r' {
		return nil, used, bad(400, "a line of the chunked body ends without CR")
	}
	return line[:len(line)-1], used, nil
}

// chunks reads a line of the chunk framing (RFC 9112, 7.1).
func (r *Reader) chunks(line []byte) error {
	switch r.state {
	case inEnd:
		if len(line) > 0 {
			return bad(400, "a chunk is longer than it says")
		}
		r.state = inSize
	case inTrailer:
		if len(line) == 0 {
			r.state = whole
		} else if r.left += len(line); r.left > r.bounds.Head {
			return bad(431, "the trailer is larger than %d bytes", r.bounds.Head)
		}
	default:
		digits, _, _ := bytes.Cut(line, []byte(";"))
		digits = bytes.TrimRight(digits, " \t")
		for _, c := range digits {
			if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
				return bad(400, "a chunk's size is not a hexadecimal number")
			}
		}
		size, err := strconv.ParseInt(string(digits), 16, 32)
		if err != nil {
			return bad(400, "a chunk's size is not a hexadecimal number below 2^31")
		}
		if len(r.msg.Body)+int(size) > r.bounds.Body {
			return bad(413, "the body is larger than %d bytes", r.bounds.Body)
		}
		if r.left, r.state = int(size), inChunk; size == 0 {
			r.state = inTrailer
		}
	}
	return nil
}

// head collects a head and reads it once it is whole.
func (r *Reader) head(data []byte) (used int, err error) {
	if len(r.buf) == 0 && !r.response { // empty lines before a request
		for used < len(data) && r.ahead < 2*mostAhead && (data[used] == '\r' || data[used] == '\n') {
			used++
			r.ahead++
		}
		data = data[used:]
	}
	if len(r.buf) == 0 { // most heads come in one piece and need no copy of their own
		if end := bytes.Index(data, []byte("\r\n\r\n")); end >= 0 {
			if end > r.bounds.Head {
				return used, bad(431, "the head is larger than %d bytes", r.bounds.Head)
			}
			return used + end + 4, r.parse(data[:end])
		}
	}
	from := max(0, r.seen-3)
	room := r.bounds.Head + 4 - len(r.buf)
	take := min(len(data), max(0, room))
	before := len(r.buf)
	r.buf = append(r.buf, data[:take]...)
	if end := bytes.Index(r.buf[from:], []byte("\r\n\r\n")); end >= 0 {
		end += from
		used += end + 4 - before
		err := r.parse(r.buf[:end])
		r.buf, r.seen = r.buf[:0], 0
		return used, err
	}
	if r.seen = len(r.buf); r.seen >= r.bounds.Head+4 {
		return used, bad(431, "the head is larger than %d bytes", r.bounds.Head)
	}
	if r.seen > 0 && !r.plausible() {
		return used, bad(400, "this is no HTTP/1.1 message")
	}
	return used + take, nil
}

// plausible turns away at its first byte what can't become a head, as a TLS greeting on a plain port.
func (r *Reader) plausible() bool {
	c := r.buf[0]
	return r.response && c == 'H' || !r.response && token(c)
}

func (r *Reader) parse(raw []byte) error {
	text := string(raw) // one copy, which all parts share
	start, rest, _ := strings.Cut(text, "\r\n")
	m := &Message{}
	var err error
	if r.response {
		err = m.statusLine(start)
	} else {
		err = m.requestLine(start)
	}
	if err != nil {
		return err
	}
	m.Fields = make([]Field, 0, 8)
	for rest != "" {
		var line string
		if line, rest, _ = strings.Cut(rest, "\r\n"); len(m.Fields) == mostFields {
			return bad(431, "there are more than %d header fields", mostFields)
		}
		f, err := field(line)
		if err != nil {
			return err
		}
		m.Fields = append(m.Fields, f)
	}
	r.msg, r.state = m, headDone
	return nil
}

func (m *Message) requestLine(line string) error {
	var version string
	var ok1, ok2 bool
	m.Method, line, ok1 = strings.Cut(line, " ")
	m.Target, version, ok2 = strings.Cut(line, " ")
	if !ok1 || !ok2 || m.Method == "" || !all(m.Method, token) || m.Target == "" || !all(m.Target, visible) {
		return bad(400, "the request line is not METHOD TARGET HTTP/1.1")
	}
	if m.Target[0] != '/' && m.Target != "*" {
		return bad(400, "the request's target is no path")
	}
	return m.version(version)
}

func (m *Message) statusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return bad(502, "the status line is not HTTP/1.1 CODE REASON")
	}
	m.Status, m.Reason = status, reason
	if !all(reason, text) {
		return bad(502, "the status line holds control characters")
	}
	return m.version(version)
}

func (m *Message) version(v string) error {
	switch v {
	case "HTTP/1.1":
		m.Minor = 1
	case "HTTP/1.0":
	default:
		return bad(505, "the version is neither HTTP/1.1 nor HTTP/1.0")
	}
	return nil
}

func field(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || !all(name, token) {
		return Field{}, bad(400, "a header line is not NAME: VALUE")
	}
	value = strings.Trim(value, " \t")
	if !all(value, text) {
		return Field{}, bad(400, "the value of %s holds control characters", name)
	}
	return Field{name, value}, nil
}

// frame tells where the body ends (RFC 9112, 6.3).
func (r *Reader) frame() error {
	m := r.msg
	r.state, r.left = whole, 0
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
					return bad(400, "two different lengths are told")
				}
				length = f.Value
			}
		case len("transfer-encoding"):
			if strings.EqualFold(f.Name, "transfer-encoding") {
				if chunked || !strings.EqualFold(f.Value, "chunked") {
					return bad(501, "the transfer coding %q is not served", f.Value)
				}
				chunked = true
			}
		}
	}
	switch {
	case !r.response && (hosts > 1 || hosts == 0 && m.Minor > 0):
		return bad(400, "there must be one Host field")
	case chunked && lengths > 0:
		return bad(400, "both a length and a transfer coding are told")
	case chunked && m.Minor == 0:
		return bad(400, "HTTP/1.0 has no transfer codings")
	case r.response && (r.bodyless || m.Status < 200 || m.Status == 204 || m.Status == 304):
	case chunked:
		r.state = inSize
	case lengths > 0:
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil || length[0] == '+' {
			return bad(400, "the length is not a whole number")
		}
		if n > uint64(r.bounds.Body) {
			return bad(413, "the body is larger than %d bytes", r.bounds.Body)
		}
		if r.left = int(n); n > 0 {
			r.state = inBody
		}
	case r.response && r.bounds.Framed:
		return bad(502, "the answer tells no length")
	case r.response:
		r.state = inRest
	}
	return nil
}

func all(s string, is func(byte) bool) bool {
	for i := range len(s) {
		if !is(s[i]) {
			return false
		}
	}
	return true
}

var tokens = func() (t [256]bool) {
	for c := range 256 {
		t[c] = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c > 0 && c < 128 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return t
}()

func token(c byte) bool   { return tokens[c] }
func visible(c byte) bool { return c > ' ' && c != 0x7f }
func text(c byte) bool    { return c >= ' ' && c != 0x7f || c == '\t' }
