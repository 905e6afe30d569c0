// Package http1 parses HTTP/1.1 messages (RFC 9110, RFC 9112) incrementally, and writes their header fields. It uses no
// sockets: it turns bytes into complete messages. It refuses what parsers interpret differently, because two programs could
// then disagree about where a message ends: a bare line feed, folded lines, space before a colon, two lengths, or both a
// length and a transfer coding.
//
// Pass the bytes that have arrived to a Reader and act on what Read reports:
//
//	for {
//		n, event, err := r.Read(data)
//		data = data[n:]
//		if err != nil || event == http1.NeedMore {
//			break // err is an *Error, with a suitable status
//		}
//		if event == http1.MessageRead {
//			m := r.Take()
//		}
//	}
package http1

import "strings"

// Field is one header field. Its name is spelled as in the message.
type Field struct{ Name, Value string }

// Message is a request (Method is set) or a response (Status is set), with its complete body.
type Message struct {
	Method, Target string
	Status         int
	Reason         string
	Minor          int // minor version: 0 for HTTP/1.0, 1 for HTTP/1.1
	Fields         []Field
	Body           []byte

	reserved int     // number of bytes of the budget that the message holds
	budget   *Budget // nil if there is none
}

// Get returns the value of the first field with that name, or "" if there is none. Names are not case-sensitive.
func (m *Message) Get(name string) string {
	v, _ := m.Lookup(name)
	return v
}

// Lookup returns the value of the first field with that name, and whether there is one. Names are not case-sensitive.
func (m *Message) Lookup(name string) (string, bool) {
	for i := range m.Fields {
		if f := &m.Fields[i]; sameToken(f.Name, name) {
			return f.Value, true
		}
	}
	return "", false
}

// Closes reports whether the connection is to be closed after this message (RFC 9112, 9.3).
func (m *Message) Closes() bool {
	keep := m.Minor > 0
	for _, f := range m.Fields {
		if !sameToken(f.Name, "connection") {
			continue
		}
		for option := range strings.SplitSeq(f.Value, ",") {
			switch option = strings.TrimSpace(option); {
			case sameToken(option, "close"):
				return true
			case sameToken(option, "keep-alive"):
				keep = true
			}
		}
	}
	return !keep
}

// Drop drops the body and returns the message's bytes to the budget. The body must not be used afterwards, and nothing of the
// message may be kept for long.
func (m *Message) Drop() {
	if m.budget != nil {
		m.budget.Release(m.reserved)
	}
	m.Body, m.reserved = nil, 0
}

// reserve reserves n more bytes for a message. buffered is what its reader holds for it besides.
func (m *Message) reserve(n, buffered int) error {
	if m.budget != nil && !m.budget.Reserve(n, m.reserved+buffered+n) {
		return errBudgetExhausted
	}
	m.reserved += n
	return nil
}

// isHopByHop reports whether a field is not forwarded, mostly because it concerns a single connection (RFC 9110, 7.6.1).
// The fields that Connection lists are not forwarded either.
func isHopByHop(name string) bool {
	switch len(name) {
	case 2:
		return strings.EqualFold(name, "te")
	case 7:
		return strings.EqualFold(name, "trailer") || strings.EqualFold(name, "upgrade")
	case 10:
		return strings.EqualFold(name, "connection") || strings.EqualFold(name, "keep-alive")
	case 14:
		return strings.EqualFold(name, "content-length")
	case 16:
		return strings.EqualFold(name, "proxy-connection")
	case 17:
		return strings.EqualFold(name, "transfer-encoding")
	case 18:
		return strings.EqualFold(name, "proxy-authenticate")
	case 19:
		return strings.EqualFold(name, "proxy-authorization")
	case 6:
		return strings.EqualFold(name, "expect")
	}
	return false
}

// AppendFields appends the end-to-end fields, except those for which skip reports true. skip may be nil.
func (m *Message) AppendFields(to []byte, skip func(name string) bool) []byte {
	connectionOptions := ""
	for _, f := range m.Fields {
		if sameToken(f.Name, "connection") {
			connectionOptions += "," + f.Value
		}
	}
	for _, f := range m.Fields {
		if isHopByHop(f.Name) || skip != nil && skip(f.Name) || connectionOptions != "" && inList(connectionOptions, f.Name) {
			continue
		}
		to = AppendField(to, f.Name, f.Value)
	}
	return to
}

// inList reports whether a comma-separated list contains a name.
func inList(list, name string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if sameToken(strings.TrimSpace(item), name) {
			return true
		}
	}
	return false
}

// sameToken reports whether two tokens, such as field names, are equal when case is ignored. EqualFold alone is not enough:
// it treats some non-ASCII letters as equal to ASCII ones, and other programs on the path don't. Such letters have more
// bytes than the ASCII ones, so that the comparison of lengths rejects them.
func sameToken(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// AppendField appends one header line.
func AppendField(to []byte, name, value string) []byte {
	to = append(to, name...)
	to = append(to, ':', ' ')
	to = append(to, value...)
	return append(to, '\r', '\n')
}
