// Package http1 reads and writes HTTP/1.1 messages (RFC 9110, RFC 9112) piece by piece, without sockets: bytes in,
// whole messages out. It is strict where laxness lets two readers disagree about where a message ends: a bare line
// feed, folded lines, space before a colon, two lengths, or a length beside chunks are refused.
//
// Feed a Reader whatever arrived and act on what Read reports:
//
//	for {
//		n, event, err := r.Read(data)
//		data = data[n:]
//		if err != nil || event == http1.NeedMore {
//			break // err is an *Error, with the status that fits
//		}
//		if event == http1.MessageRead {
//			m := r.Take()
//		}
//	}
package http1

import "strings"

// Field is one header line, its name as sent.
type Field struct{ Name, Value string }

// Message is a request (Method is set) or a response (Status is set), with its whole body.
type Message struct {
	Method, Target string
	Status         int
	Reason         string
	Minor          int // of the version 1.x
	Fields         []Field
	Body           []byte

	reserved int // bytes of the budget that the body holds
	budget   *Budget
}

// Get is the value of the first field of that name, in any case; empty if there is none.
func (m *Message) Get(name string) string {
	v, _ := m.Lookup(name)
	return v
}

// Lookup is the value of the first field of that name and whether there is one.
func (m *Message) Lookup(name string) (string, bool) {
	for i := range m.Fields {
		if f := &m.Fields[i]; sameToken(f.Name, name) {
			return f.Value, true
		}
	}
	return "", false
}

// Closes reports whether the connection ends with this message (RFC 9112, 9.3).
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

// Drop gives back the memory that the body holds of its budget. The body must not be read after it.
func (m *Message) Drop() {
	if m.budget != nil {
		m.budget.Release(m.reserved)
	}
	m.Body, m.reserved = nil, 0
}

// isHopByHop are the fields that concern one connection only (RFC 9110, 7.6.1), beside those that Connection names.
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

// AppendFields appends the end-to-end fields, but for those that skip is true of; skip may be nil.
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

// inList reports whether a name stands in a list that is separated by commas.
func inList(list, name string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if sameToken(strings.TrimSpace(item), name) {
			return true
		}
	}
	return false
}

// sameToken reports whether two tokens, such as field names, are the same in any case. EqualFold alone takes letters beyond
// ASCII for some within it, which other programs on the way don't.
func sameToken(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// AppendField appends one header line.
func AppendField(to []byte, name, value string) []byte {
	to = append(to, name...)
	to = append(to, ':', ' ')
	to = append(to, value...)
	return append(to, '\r', '\n')
}
