// Package inifile reads INI files so that every mistake is told at once, with its file and line and with what was
// expected. Times and shares carry units. A key that no one asks for is a mistake.
//
//	s := sheet.Read("router.ini")
//	grace := s.Part("rules").Span("grace", "2s")
//	if err := s.Done(); err != nil { ... }
package inifile

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// SyntaxError is one thing wrong with a file.
type SyntaxError struct {
	File string
	Line int
	Text string
}

func (m SyntaxError) Error() string { return fmt.Sprintf("%s:%d: %s", m.File, m.Line, m.Text) }

// File is one file.
type File struct {
	name      string
	ini       *ini.File
	lines     map[[2]string]int
	requested map[[2]string]bool
	sections  []string
	errs      []SyntaxError
}

// Read reads a file. What is wrong with it is told by Done.
func Read(file string) *File {
	text, err := os.ReadFile(file)
	s := Parse(file, string(text))
	if err != nil {
		s.errs = []SyntaxError{{file, 0, "can't be read: " + err.Error()}}
	}
	return s
}

// Parse reads text that came from file.
func Parse(file, text string) *File {
	s := &File{name: file, lines: map[[2]string]int{}, requested: map[[2]string]bool{}}
	section := ""
	var kept []string // what ini is given: lines known to be well formed
	for i, line := range strings.Split(text, "\n") {
		kept = append(kept, "")
		line, _, _ = strings.Cut(strings.TrimSpace(line), " #")
		line, _, _ = strings.Cut(line, " ;")
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		at := [2]string{section, ""}
		if line[0] == '[' {
			if !strings.HasSuffix(line, "]") {
				s.addError(i+1, "[section] expected, not %q", line)
				continue
			}
			section = strings.Join(strings.Fields(line[1:len(line)-1]), " ")
			if at = [2]string{section, ""}; s.lines[at] > 0 {
				s.addError(i+1, "section [%s] stands on line %d already", section, s.lines[at])
			} else {
				s.sections = append(s.sections, section)
			}
			s.lines[at] = i + 1
			kept[i] = "[" + section + "]"
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if key = strings.TrimSpace(key); !ok || key == "" {
			s.addError(i+1, "name = value expected, not %q", line)
			continue
		}
		if at[1] = key; s.lines[at] > 0 {
			s.addError(i+1, "%s stands on line %d already", key, s.lines[at])
			continue
		}
		s.lines[at] = i + 1
		kept[i] = key + " = " + strings.TrimSpace(value)
	}
	var err error
	s.ini, err = ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true,
		PreserveSurroundedQuote: true, UnescapeValueCommentSymbols: false}, []byte(strings.Join(kept, "\n")))
	if err != nil {
		s.addError(1, "%v", err)
		s.ini = ini.Empty()
	}
	return s
}

func (s *File) addError(line int, format string, values ...any) {
	s.errs = append(s.errs, SyntaxError{s.name, line, fmt.Sprintf(format, values...)})
}

// Done tells all mistakes, in order of their lines; nil if there are none.
func (s *File) Done() error {
	for at, line := range s.lines {
		if at[1] != "" && !s.requested[at] {
			s.addError(line, "no one knows %q in [%s]", at[1], at[0])
		} else if at[1] == "" && !s.requested[at] {
			s.addError(line, "no one knows the section [%s]", at[0])
		}
	}
	slices.SortStableFunc(s.errs, func(a, b SyntaxError) int { return cmp.Compare(a.Line, b.Line) })
	var all []error
	for _, m := range s.errs {
		all = append(all, m)
	}
	s.errs = nil
	return errors.Join(all...)
}

// Section is one section.
type Section struct {
	file *File
	name string
}

// Section is the section of that name; one that is absent has only default values.
func (s *File) Section(name string) Section {
	s.requested[[2]string{name, ""}] = true
	return Section{s, name}
}

// Sections are the sections whose names start with word and a space, with the rest of their names, in order.
func (s *File) Sections(word string) (parts []Section, names []string) {
	for _, section := range s.sections {
		if name, ok := strings.CutPrefix(section, word+" "); ok {
			parts, names = append(parts, s.Section(section)), append(names, name)
		}
	}
	return parts, names
}

// Has tells whether the section stands in the file.
func (p Section) Has() bool { return p.file.lines[[2]string{p.name, ""}] > 0 }

// Line is where the section starts.
func (p Section) Line() int { return p.file.lines[[2]string{p.name, ""}] }

// AddError tells a mistake of a key, or of the section where the key is empty or absent.
func (p Section) AddError(key, format string, values ...any) {
	line := p.file.lines[[2]string{p.name, key}]
	if line == 0 {
		line = max(1, p.Line())
	}
	p.file.addError(line, "[%s] "+format, append([]any{p.name}, values...)...)
}

// Text is the value of a key, or without; a key with no default ("!") must stand in the file.
func (p Section) Text(key, without string) string {
	at := [2]string{p.name, key}
	p.file.requested[at] = true
	if p.file.lines[at] == 0 {
		if without == "!" {
			p.AddError("", "%s is missing", key)
			return ""
		}
		return without
	}
	v := p.file.ini.Section(p.name).Key(key).String()
	if v == "" {
		p.AddError(key, "%s has no value", key)
	}
	return v
}

// parseValue reads a value, and tells what was expected where it is another one.
func parseValue[T any](p Section, key, without, expected string, of func(string) (T, error)) (v T) {
	text := p.Text(key, without)
	if text == "" {
		return v
	}
	v, err := of(text)
	if err != nil {
		p.AddError(key, "%s = %s: %s expected", key, text, expected)
	}
	return v
}

var errUnexpected = errors.New("other")

// Duration is a time with a unit, 0 or more.
func (p Section) Duration(key, without string) time.Duration {
	return parseValue(p, key, without, "a time with a unit, such as 250ms or 2s,", func(s string) (time.Duration, error) {
		d, err := time.ParseDuration(s)
		if s == "0" || d < 0 || err != nil {
			return 0, errUnexpected
		}
		return d, nil
	})
}

// Share is a percentage from 0% to 100%, as a number from 0 to 1.
func (p Section) Share(key, without string) float64 {
	return parseValue(p, key, without, "a share from 0% to 100%", parseShare)
}

// Shares are several of them.
func (p Section) Shares(key, without string) []float64 {
	return parseValue(p, key, without, "shares from 0% to 100%, with commas between them,", func(s string) (all []float64, err error) {
		for part := range strings.SplitSeq(s, ",") {
			v, err := parseShare(strings.TrimSpace(part))
			if err != nil {
				return nil, err
			}
			all = append(all, v)
		}
		return all, nil
	})
}

func parseShare(s string) (float64, error) {
	digits, ok := strings.CutSuffix(s, "%")
	v, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if !ok || err != nil || !(v >= 0 && v <= 100) {
		return 0, errUnexpected
	}
	return v / 100, nil
}

// Float is a number from low to high.
func (p Section) Float(key, without string, low, high float64) float64 {
	return parseValue(p, key, without, fmt.Sprintf("a number from %g to %g", low, high), func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || !(v >= low && v <= high) || math.IsInf(v, 0) {
			return 0, errUnexpected
		}
		return v, nil
	})
}

// Int is a whole number from low to high.
func (p Section) Int(key, without string, low, high int) int {
	return parseValue(p, key, without, fmt.Sprintf("a whole number from %d to %d", low, high), func(s string) (int, error) {
		v, err := strconv.Atoi(s)
		if err != nil || v < low || v > high {
			return 0, errUnexpected
		}
		return v, nil
	})
}

// Seed is a whole number from 0 on.
func (p Section) Seed(key, without string) uint64 {
	return parseValue(p, key, without, "a whole number", func(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) })
}

// Bool is on or off.
func (p Section) Bool(key, without string) bool {
	return p.OneOf(key, without, "on", "off") == "on"
}

// OneOf is one of some words.
func (p Section) OneOf(key, without string, words ...string) string {
	return parseValue(p, key, without, strings.Join(words, " or "), func(s string) (string, error) {
		if !slices.Contains(words, s) {
			return "", errUnexpected
		}
		return s, nil
	})
}

// Bytes is a size with a unit: B, KiB, MiB or GiB.
func (p Section) Bytes(key, without string) int {
	return parseValue(p, key, without, "a size with a unit, such as 64KiB or 1MiB,", func(s string) (int, error) {
		for _, unit := range []struct {
			name string
			size int
		}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}} {
			if digits, ok := strings.CutSuffix(s, unit.name); ok {
				n, err := strconv.Atoi(strings.TrimSpace(digits))
				if err != nil || n < 1 || n > (1<<40)/unit.size {
					return 0, errUnexpected
				}
				return n * unit.size, nil
			}
		}
		return 0, errUnexpected
	})
}

// List are words with commas between them.
func (p Section) List(key, without string) (words []string) {
	for part := range strings.SplitSeq(p.Text(key, without), ",") {
		if part = strings.TrimSpace(part); part != "" {
			words = append(words, part)
		}
	}
	return words
}

// Address is HOST:PORT.
func (p Section) Address(key, without string) string {
	return parseValue(p, key, without, "an address such as 127.0.0.1:8080", func(s string) (string, error) {
		host, port, err := net.SplitHostPort(s)
		n, numeric := strconv.Atoi(port)
		if err != nil || numeric != nil || n < 0 || n > 65535 || host == "" {
			return "", errUnexpected
		}
		return s, nil
	})
}

// Networks are address ranges such as 10.0.0.0/8, with commas between them.
func (p Section) Networks(key, without string) []netip.Prefix {
	return parseValue(p, key, without, "networks such as 10.1.0.0/16, with commas between them,", func(s string) (all []netip.Prefix, err error) {
		for part := range strings.SplitSeq(s, ",") {
			n, err := netip.ParsePrefix(strings.TrimSpace(part))
			if err != nil || n != n.Masked() {
				return nil, errUnexpected
			}
			all = append(all, n)
		}
		return all, nil
	})
}
