package build

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxNesting bounds the nesting depth of objects and lists.
const maxNesting = 17

// decodeStrict decodes JSON and rejects input that two decoders could interpret differently: unknown or repeated
// fields, or data after the end.
func decodeStrict(raw []byte, into any) error {
	if err := rejectAmbiguous(raw); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// rejectAmbiguous fails if an object has two fields whose names differ at most in case, or if data follows the first
// value.
func rejectAmbiguous(raw []byte) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	var open scopes
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			if len(open) > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		closed, err := open.accept(token)
		if err != nil {
			return err
		}
		if closed && len(open) == 0 {
			if _, err := d.Token(); !errors.Is(err, io.EOF) {
				return errors.New("something follows its end")
			}
			return nil
		}
	}
}

// scope is an object or list whose end has not been read yet.
type scope struct {
	names      map[string]bool // field names of an object, in lower case; nil for a list
	expectName bool            // for an object: the next token is a field name
}

// scopes are the objects and lists that enclose a token, the innermost last.
type scopes []*scope

// accept updates the scopes by one token. It reports whether the token closed a scope. It fails for a repeated name and
// for nesting that is too deep.
func (s *scopes) accept(token json.Token) (closed bool, err error) {
	switch token {
	case json.Delim('{'), json.Delim('['):
		if len(*s) >= maxNesting {
			return false, errors.New("it is nested too deeply")
		}
		inner := &scope{}
		if token == json.Delim('{') {
			inner.names, inner.expectName = map[string]bool{}, true
		}
		*s = append(*s, inner)
		return false, nil
	case json.Delim('}'), json.Delim(']'):
		*s = (*s)[:len(*s)-1]
		closed = true
	}
	if len(*s) == 0 {
		return closed, nil
	}
	innermost := (*s)[len(*s)-1]
	if innermost.names == nil {
		return closed, nil
	}
	if closed || !innermost.expectName { // the value is complete: a field name or the end of the object is next
		innermost.expectName = true
		return closed, nil
	}
	return false, innermost.addName(token)
}

// addName records the name of a field. The next token is its value.
func (s *scope) addName(token json.Token) error {
	text, _ := token.(string)
	name := strings.ToLower(text)
	if s.names[name] {
		return fmt.Errorf("%q stands twice", name)
	}
	s.names[name], s.expectName = true, false
	return nil
}
