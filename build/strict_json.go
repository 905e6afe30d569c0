package build

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxNesting bounds the nesting of objects and lists.
const maxNesting = 17

// decodeStrict decodes JSON that no two readers could understand differently: without unknown or repeated fields, and
// with nothing after the end.
func decodeStrict(raw []byte, into any) error {
	if err := rejectAmbiguous(raw); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// rejectAmbiguous checks that no object names a field twice, in any case, and that nothing follows the first object.
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

// scope is an object or list that has begun and not ended.
type scope struct {
	names      map[string]bool // of an object, in lower case; nil for a list
	expectName bool            // of an object: the next token is a name
}

// scopes are those around a token, the innermost last.
type scopes []*scope

// accept follows one token. It reports whether the token ended a scope, and fails for a repeated name.
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
	if closed || !innermost.expectName { // the end of a value: a name or the object's end is next
		innermost.expectName = true
		return closed, nil
	}
	return false, innermost.addName(token)
}

// addName notes a field's name; its value is next.
func (s *scope) addName(token json.Token) error {
	text, _ := token.(string)
	name := strings.ToLower(text)
	if s.names[name] {
		return fmt.Errorf("%q stands twice", name)
	}
	s.names[name], s.expectName = true, false
	return nil
}
