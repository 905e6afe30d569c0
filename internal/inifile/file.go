// Package inifile reads INI files and reports all mistakes together, each with its file, its line and what was expected.
// Durations, shares and sizes have units. A key or a section that the program does not read is a mistake.
//
//	f := inifile.Read("router.ini")
//	grace := f.Section("rules").Duration("grace", "2s")
//	if err := f.Err(); err != nil { ... }
package inifile

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// SyntaxError is one mistake in a file.
type SyntaxError struct {
	File string
	Line int // from 1; 0 for the file as a whole
	Text string
}

func (e SyntaxError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// File is one file. It is not safe for concurrent use.
type File struct {
	name      string
	ini       *ini.File
	lines     map[position]int  // line numbers of sections and keys
	requested map[position]bool // sections and keys that the program has read
	sections  []string          // in the order of the file
	errs      []SyntaxError
}

// position identifies a key of a section, or the section itself if key is empty.
type position struct{ section, key string }

// Read reads a file. Err reports its mistakes, or that the file can't be read.
func Read(file string) *File {
	text, err := os.ReadFile(file)
	f := Parse(file, string(text))
	if err != nil {
		f.errs = []SyntaxError{{file, 0, "can't be read: " + err.Error()}}
	}
	return f
}

// Parse reads the text of a file. The parameter file is the name that errors give to it.
func Parse(file, text string) *File {
	f := &File{name: file, lines: map[position]int{}, requested: map[position]bool{}}
	lines := strings.Split(text, "\n")
	wellFormed := make([]string, len(lines)) // input of the ini package; lines with mistakes are empty
	section := ""
	for i, line := range lines {
		switch line = withoutComment(line); {
		case line == "":
		case line[0] == '[':
			wellFormed[i] = f.parseHeader(line, i+1, &section)
		default:
			wellFormed[i] = f.parseKey(line, i+1, section)
		}
	}
	var err error
	f.ini, err = ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true,
		PreserveSurroundedQuote: true, UnescapeValueCommentSymbols: false}, []byte(strings.Join(wellFormed, "\n")))
	if err != nil {
		f.addError(1, "%v", err)
		f.ini = ini.Empty()
	}
	return f
}

// withoutComment returns a line without its comment and without surrounding spaces.
func withoutComment(line string) string {
	line, _, _ = strings.Cut(strings.TrimSpace(line), " #")
	line, _, _ = strings.Cut(line, " ;")
	line = strings.TrimSpace(line)
	if line != "" && (line[0] == '#' || line[0] == ';') {
		return ""
	}
	return line
}

// parseHeader parses a section header and stores its name in section. It returns the header in normalized form, or "" if it
// is malformed. A second header of the same section is reported as a mistake and continues the section.
func (f *File) parseHeader(line string, number int, section *string) string {
	if !strings.HasSuffix(line, "]") {
		f.addError(number, "[section] expected, not %q", line)
		return ""
	}
	*section = strings.Join(strings.Fields(line[1:len(line)-1]), " ")
	at := position{section: *section}
	if f.lines[at] > 0 {
		f.addError(number, "section [%s] has already been defined on line %d", *section, f.lines[at])
	} else {
		f.sections = append(f.sections, *section)
	}
	f.lines[at] = number
	return "[" + *section + "]"
}

// parseKey parses a line with a key and a value. It returns the line in normalized form, or "" if the line has a mistake.
func (f *File) parseKey(line string, number int, section string) string {
	key, value, ok := strings.Cut(line, "=")
	if key = strings.TrimSpace(key); !ok || key == "" {
		f.addError(number, "name = value expected, not %q", line)
		return ""
	}
	at := position{section, key}
	if f.lines[at] > 0 {
		f.addError(number, "%s has already been set on line %d", key, f.lines[at])
		return ""
	}
	f.lines[at] = number
	return key + " = " + strings.TrimSpace(value)
}

func (f *File) addError(line int, format string, values ...any) {
	f.errs = append(f.errs, SyntaxError{f.name, line, fmt.Sprintf(format, values...)})
}

// Err returns all mistakes found so far, each as a SyntaxError, joined in the order of their lines; nil if there are none.
// Keys and sections that the program has not read by then are mistakes. Err then clears the list of mistakes.
func (f *File) Err() error {
	for at, line := range f.lines {
		if f.requested[at] {
			continue
		}
		if at.key != "" {
			f.addError(line, "unknown key %q in [%s]", at.key, at.section)
		} else {
			f.addError(line, "unknown section [%s]", at.section)
		}
	}
	slices.SortStableFunc(f.errs, func(a, b SyntaxError) int { return cmp.Compare(a.Line, b.Line) })
	var errs []error
	for _, e := range f.errs {
		errs = append(errs, e)
	}
	f.errs = nil
	return errors.Join(errs...)
}

// Section returns the section of that name. A section that is absent has only default values.
func (f *File) Section(name string) Section {
	f.requested[position{section: name}] = true
	return Section{f, name}
}

// Sections returns the sections of a kind, in the order of the file: those with a header of the form [KIND NAME]. names has
// the NAME of each.
func (f *File) Sections(kind string) (sections []Section, names []string) {
	for _, section := range f.sections {
		if name, ok := strings.CutPrefix(section, kind+" "); ok {
			sections, names = append(sections, f.Section(section)), append(names, name)
		}
	}
	return sections, names
}
