// Package inifile reads INI files so that all mistakes are reported together, each with its file and line and with what
// was expected. Times and shares carry units. A key or a section that nobody reads is a mistake.
//
//	f := inifile.Read("router.ini")
//	grace := f.Section("rules").Duration("grace", "2s")
//	if err := f.Done(); err != nil { ... }
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
	lines     map[position]int // where each section and key is
	requested map[position]bool
	sections  []string // in the order of the file
	errs      []SyntaxError
}

// position names a key of a section, or the section itself by an empty key.
type position struct{ section, key string }

// Read reads a file. Its mistakes are reported by Done, as is a file that can't be read.
func Read(file string) *File {
	text, err := os.ReadFile(file)
	f := Parse(file, string(text))
	if err != nil {
		f.errs = []SyntaxError{{file, 0, "can't be read: " + err.Error()}}
	}
	return f
}

// Parse reads a text that came from file.
func Parse(file, text string) *File {
	f := &File{name: file, lines: map[position]int{}, requested: map[position]bool{}}
	lines := strings.Split(text, "\n")
	wellFormed := make([]string, len(lines)) // what the ini package is given; an empty line for one with a mistake
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

// withoutComment is a line without its comment and without spaces around it.
func withoutComment(line string) string {
	line, _, _ = strings.Cut(strings.TrimSpace(line), " #")
	line, _, _ = strings.Cut(line, " ;")
	line = strings.TrimSpace(line)
	if line != "" && (line[0] == '#' || line[0] == ';') {
		return ""
	}
	return line
}

// parseHeader reads the line that starts a section, and sets section. It returns the line in a plain form, or nothing
// for a line with a mistake. A second header of a section is reported and continues it.
func (f *File) parseHeader(line string, number int, section *string) string {
	if !strings.HasSuffix(line, "]") {
		f.addError(number, "[section] expected, not %q", line)
		return ""
	}
	*section = strings.Join(strings.Fields(line[1:len(line)-1]), " ")
	at := position{section: *section}
	if f.lines[at] > 0 {
		f.addError(number, "section [%s] stands on line %d already", *section, f.lines[at])
	} else {
		f.sections = append(f.sections, *section)
	}
	f.lines[at] = number
	return "[" + *section + "]"
}

// parseKey reads a line with a key and its value, and returns it in a plain form; nothing for a line with a mistake.
func (f *File) parseKey(line string, number int, section string) string {
	key, value, ok := strings.Cut(line, "=")
	if key = strings.TrimSpace(key); !ok || key == "" {
		f.addError(number, "name = value expected, not %q", line)
		return ""
	}
	at := position{section, key}
	if f.lines[at] > 0 {
		f.addError(number, "%s stands on line %d already", key, f.lines[at])
		return ""
	}
	f.lines[at] = number
	return key + " = " + strings.TrimSpace(value)
}

func (f *File) addError(line int, format string, values ...any) {
	f.errs = append(f.errs, SyntaxError{f.name, line, fmt.Sprintf(format, values...)})
}

// Err returns all mistakes so far, each a SyntaxError, joined in the order of their lines; nil if there are none. Keys
// and sections that have not been read by then are mistakes. It starts anew after that.
func (f *File) Err() error {
	for at, line := range f.lines {
		if f.requested[at] {
			continue
		}
		if at.key != "" {
			f.addError(line, "no one knows %q in [%s]", at.key, at.section)
		} else {
			f.addError(line, "no one knows the section [%s]", at.section)
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

// Section is the section of that name; one that is absent has only default values.
func (f *File) Section(name string) Section {
	f.requested[position{section: name}] = true
	return Section{f, name}
}

// Sections returns the sections whose names start with kind and a space, in the order of the file, with the rest of
// their names.
func (f *File) Sections(kind string) (sections []Section, names []string) {
	for _, section := range f.sections {
		if name, ok := strings.CutPrefix(section, kind+" "); ok {
			sections, names = append(sections, f.Section(section)), append(names, name)
		}
	}
	return sections, names
}
