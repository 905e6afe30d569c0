package build

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path"
	"strings"
)

const maxNameBytes = 100 // length limit for the names of builds, groups and signers

// invalid returns the error for an invalid field of a manifest.
func invalid(field, format string, values ...any) error {
	return fmt.Errorf("manifest: %s: %s", field, fmt.Sprintf(format, values...))
}

// Validate returns an error that names the first field that is invalid.
func (m *Manifest) Validate() error {
	switch {
	case m.Format != manifestFormat:
		return invalid("format", "1 expected, not %d", m.Format)
	case !isName(m.Name):
		return invalid("name", "letters, digits, dots and dashes expected, not %q", m.Name)
	case !isName(m.Group):
		return invalid("group", "letters, digits, dots and dashes expected, not %q", m.Group)
	case m.Version < 1 || m.Version > maxVersion:
		return invalid("version", "1 to 65535 expected, not %d", m.Version)
	case len(m.Files) == 0 || len(m.Files) > MaxFiles:
		return invalid("files", "1 to %d expected, not %d", MaxFiles, len(m.Files))
	case len(m.Start) == 0 || len(m.Start) > maxStartArguments:
		return invalid("start", "1 to 100 words expected, not %d", len(m.Start))
	case m.Ready.Within <= 0:
		return invalid("ready.within", "missing")
	case m.Drain.Within <= 0:
		return invalid("drain.within", "missing")
	case !strings.HasPrefix(m.Ready.Path, "/") || strings.ContainsAny(m.Ready.Path, " \r\n"):
		return invalid("ready.path", "a path such as /ready expected, not %q", m.Ready.Path)
	}
	if err := m.validateFiles(); err != nil {
		return err
	}
	return m.validateStart()
}

func (m *Manifest) validateFiles() error {
	paths := pathSet{files: map[string]bool{}, folders: map[string]bool{}}
	var total int64
	for i, f := range m.Files {
		field := fmt.Sprintf("files[%d]", i)
		if err := validatePath(f.Path); err != nil {
			return invalid(field+".path", "%v", err)
		}
		if err := paths.add(f.Path); err != nil {
			return invalid(field+".path", "%v", err)
		}
		if raw, err := hex.DecodeString(f.SHA256); err != nil || len(raw) != sha256.Size || f.SHA256 != strings.ToLower(f.SHA256) {
			return invalid(field+".sha256", "64 small hexadecimal digits expected")
		}
		if f.Size < 0 || f.Size > MaxTotalBytes {
			return invalid(field+".size", "0 to %d expected, not %d", int64(MaxTotalBytes), f.Size)
		}
		if total += f.Size; total > MaxTotalBytes {
			return invalid("files", "more than %d bytes in all", int64(MaxTotalBytes))
		}
	}
	return nil
}

func (m *Manifest) validateStart() error {
	if !m.isExecutable(m.Start[0]) {
		return invalid("start", "%q is no file of the build that may run", m.Start[0])
	}
	for i, argument := range m.Start {
		if strings.ContainsRune(argument, 0) {
			return invalid(fmt.Sprintf("start[%d]", i), "it holds a zero byte")
		}
	}
	return nil
}

func (m *Manifest) isExecutable(path string) bool {
	for _, f := range m.Files {
		if f.Executable && f.Path == path {
			return true
		}
	}
	return false
}

// pathSet detects paths that collide, including on case-insensitive file systems.
type pathSet struct {
	files, folders map[string]bool // in lower case
}

func (s pathSet) add(p string) error {
	folded := strings.ToLower(p)
	if s.files[folded] || s.folders[folded] {
		return fmt.Errorf("%q stands twice, or is a folder too", p)
	}
	s.files[folded] = true
	for dir := path.Dir(folded); dir != "."; dir = path.Dir(dir) {
		if s.files[dir] {
			return fmt.Errorf("%q lies in what is a file", p)
		}
		s.folders[dir] = true
	}
	return nil
}

// isName reports whether a text consists of at most maxNameBytes ASCII letters, digits, dots, dashes and underscores,
// isn't empty and doesn't begin with a dot or dash.
func isName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '.' || s[0] == '-' {
		return false
	}
	for _, c := range s {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}

// validatePath accepts only normalized relative paths below the build's folder.
func validatePath(p string) error {
	isControl := func(c rune) bool { return c < ' ' || c == 0x7f }
	switch {
	case p == "" || len(p) > MaxPathBytes:
		return fmt.Errorf("1 to %d bytes expected", MaxPathBytes)
	case strings.ContainsAny(p, "\\\x00:") || strings.IndexFunc(p, isControl) >= 0:
		return fmt.Errorf("%q holds a character that may not stand in a path", p)
	case path.Clean(p) != p || p[0] == '/' || p == ".." || p == "." || strings.HasPrefix(p, "../"):
		return fmt.Errorf("%q is no plain path below the build's folder", p)
	}
	return nil
}
