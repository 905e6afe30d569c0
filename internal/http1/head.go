package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	headEnd       = "\r\n\r\n"
	maxFields     = 100 // maximum number of header fields; clients that use net/http send a few dozen at most
	typicalFields = 8   // number of fields for which memory is reserved at first
	maxHeadLines  = maxFields + 2
	maxEmptyLines = 4  // maximum number of empty lines that are skipped before a request (RFC 9112, 2.2)
	fieldSize     = 32 // bytes of a Field, without the text
)

// readHead collects a head and parses it when it is complete.
func (r *Reader) readHead(data []byte) (used int, err error) {
	if len(r.buffer) == 0 && !r.response { // empty lines before a request
		for used < len(data) && r.skipped < 2*maxEmptyLines && (data[used] == '\r' || data[used] == '\n') {
			used++
			r.skipped++
		}
		data = data[used:]
	}
	if len(r.buffer) == 0 { // most heads arrive in one piece and need not be copied to the buffer
		if end := bytes.Index(data, []byte(headEnd)); end >= 0 {
			if end > r.limits.Head {
				return used, newError(http.StatusRequestHeaderFieldsTooLarge, "the head is larger than %d bytes", r.limits.Head)
			}
			return used + end + len(headEnd), r.parseHead(data[:end])
		}
	}
	from := max(0, r.searched-len(headEnd)+1)
	available := r.limits.Head + len(headEnd) - len(r.buffer)
	take := min(len(data), max(0, available))
	before := len(r.buffer)
	if err := r.appendBuffer(data[:take], r.limits.Head+len(headEnd)); err != nil {
		return used, err
	}
	if end := bytes.Index(r.buffer[from:], []byte(headEnd)); end >= 0 {
		end += from
		used += end + len(headEnd) - before
		err := r.parseHead(r.buffer[:end])
		r.freeBuffer()
		r.searched = 0
		return used, err
	}
	if r.searched = len(r.buffer); r.searched >= r.limits.Head+len(headEnd) {
		return used, newError(http.StatusRequestHeaderFieldsTooLarge, "the head is larger than %d bytes", r.limits.Head)
	}
	if r.lines += bytes.Count(data[:take], []byte("\n")); r.lines > maxHeadLines {
		return used, newError(http.StatusRequestHeaderFieldsTooLarge, "there are more than %d header fields", maxFields)
	}
	if r.searched > 0 && !r.canStartHead() {
		return used, newError(http.StatusBadRequest, "this is no HTTP/1.1 message")
	}
	return used + take, nil
}

// canStartHead reports whether the first byte can start a head, so that a TLS handshake on a plaintext port is refused
// immediately.
func (r *Reader) canStartHead() bool {
	c := r.buffer[0]
	return r.response && c == 'H' || !r.response && isToken(c)
}

// parseHead parses a complete head, without the empty line at its end.
func (r *Reader) parseHead(raw []byte) error {
	text := string(raw) // one copy, which all strings of the message share
	m := &Message{budget: r.budget}
	if err := m.reserve(len(text)+typicalFields*fieldSize, cap(r.buffer)); err != nil {
		return err
	}
	err := r.parseLines(m, text)
	if err == nil {
		err = m.reserve((cap(m.Fields)-typicalFields)*fieldSize, cap(r.buffer))
	}
	if err != nil {
		m.Drop()
		return err
	}
	r.message, r.state = m, headComplete
	return nil
}

// parseLines parses the lines of a head.
func (r *Reader) parseLines(m *Message, text string) error {
	start, rest, _ := strings.Cut(text, "\r\n")
	var err error
	if r.response {
		err = m.parseStatusLine(start)
	} else {
		err = m.parseRequestLine(start)
	}
	if err != nil {
		return err
	}
	m.Fields = make([]Field, 0, typicalFields)
	for rest != "" {
		var line string
		if line, rest, _ = strings.Cut(rest, "\r\n"); len(m.Fields) == maxFields {
			return newError(http.StatusRequestHeaderFieldsTooLarge, "there are more than %d header fields", maxFields)
		}
		f, err := parseField(line)
		if err != nil {
			return err
		}
		m.Fields = append(m.Fields, f)
	}
	return nil
}

func (m *Message) parseRequestLine(line string) error {
	var version string
	var hasTarget, hasVersion bool
	m.Method, line, hasTarget = strings.Cut(line, " ")
	m.Target, version, hasVersion = strings.Cut(line, " ")
	if !hasTarget || !hasVersion || m.Method == "" || !every(m.Method, isToken) || m.Target == "" || !every(m.Target, isVisible) {
		return newError(http.StatusBadRequest, "the request line is not METHOD TARGET HTTP/1.1")
	}
	if m.Target[0] != '/' && m.Target != "*" {
		return newError(http.StatusBadRequest, "the request's target is no path")
	}
	return m.parseVersion(version)
}

func (m *Message) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < http.StatusContinue {
		return newError(http.StatusBadGateway, "the status line is not HTTP/1.1 CODE REASON")
	}
	m.Status, m.Reason = status, reason
	if !every(reason, isText) {
		return newError(http.StatusBadGateway, "the status line contains control characters")
	}
	return m.parseVersion(version)
}

func (m *Message) parseVersion(v string) error {
	switch v {
	case "HTTP/1.1":
		m.Minor = 1
	case "HTTP/1.0":
	default:
		return newError(http.StatusHTTPVersionNotSupported, "the version is neither HTTP/1.1 nor HTTP/1.0")
	}
	return nil
}

func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || !every(name, isToken) {
		return Field{}, newError(http.StatusBadRequest, "a header line is not NAME: VALUE")
	}
	value = strings.Trim(value, " \t")
	if !every(value, isText) {
		return Field{}, newError(http.StatusBadRequest, "the value of %s holds control characters", name)
	}
	return Field{name, value}, nil
}

// every reports whether all bytes of a string satisfy a predicate.
func every(s string, is func(byte) bool) bool {
	for i := range len(s) {
		if !is(s[i]) {
			return false
		}
	}
	return true
}

// tokenTable has true for the bytes that a token may contain (RFC 9110, 5.6.2).
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

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) int {
	switch {
	case c <= '9':
		return int(c - '0')
	case c <= 'F':
		return int(c-'A') + 10
	default:
		return int(c-'a') + 10
	}
}
