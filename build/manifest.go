// Package build describes builds so that a host can tell, before it starts one, that it is what those who are trusted
// have signed: a Manifest lists the files with their SHA-256, how to start the build, how to tell that it is ready and
// how to drain it; a Ring says whose signatures count, from when to when, and how many of them it takes.
//
// Signatures are Ed25519 in minisign's format (https://jedisct1.github.io/minisign/), over the manifest's bytes as
// they are. Nothing here reads files or clocks; whoever calls brings bytes and the time.
package build

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path"
	"strings"
	"time"
	"unicode/utf8"
)

// Bounds of a manifest; builds of real services stay far below.
const (
	MaxManifestBytes = 1 << 20 // of the manifest itself
	MaxFiles         = 10_000
	MaxPathBytes     = 400
	MaxTotalBytes    = 64 << 30 // bytes of all files
)

// File is one file of a build.
type File struct {
	Path       string `json:"path"` // relative, with slashes
	Size       int64  `json:"size"` // bytes
	SHA256     string `json:"sha256"`
	Executable bool   `json:"run,omitempty"` // it may be started
}

// Duration is a time with a unit in JSON, such as "5s".
type Duration time.Duration

// UnmarshalJSON reads a time above 0 and up to an hour.
func (s *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > time.Hour {
		return fmt.Errorf("a time with a unit, up to 1h, expected, not %q", text)
	}
	*s = Duration(d)
	return nil
}

// MarshalJSON writes a time with a unit.
func (s Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(s).String()) }

// Manifest is a build. Of the arguments of Start, the first is the path of a file that may run; {port} stands for the
// port that the process is to listen on.
type Manifest struct {
	Format  int      `json:"format"` // 1
	Name    string   `json:"name"`
	Group   string   `json:"group"`   // of hosts that it is for
	Version int      `json:"version"` // the build's number, from 1; later builds have higher ones
	Files   []File   `json:"files"`
	Start   []string `json:"start"`
	Ready   struct {
		Path   string   `json:"path"`   // of an HTTP probe that answers 200 once the build is ready
		Within Duration `json:"within"` // of its start
	} `json:"ready"`
	Drain struct {
		Within Duration `json:"within"` // of the signal to end; then it is killed
	} `json:"drain"`
}

// Digest names a manifest: the SHA-256 of its bytes, in hexadecimal.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// ReadManifest reads a manifest. It takes nothing that two readers could understand differently: no unknown or repeated field,
// nothing after the end. The error names the field.
func ReadManifest(raw []byte) (*Manifest, error) {
	if len(raw) > MaxManifestBytes {
		return nil, fmt.Errorf("manifest: %d bytes, at most %d expected", len(raw), MaxManifestBytes)
	}
	if !utf8.Valid(raw) {
		return nil, errors.New("manifest: it is not UTF-8")
	}
	if err := once(raw); err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	var m Manifest
	if err := d.Decode(&m); err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return &m, nil
}

// once sees that no object names a field twice, in any case, and that nothing follows the first value.
func once(raw []byte) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	type level struct {
		names map[string]bool // nil in a list
		key   bool            // a name comes next
	}
	var levels []*level
	for {
		t, err := d.Token()
		if errors.Is(err, io.EOF) {
			if len(levels) > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		top := func() *level {
			if len(levels) == 0 {
				return nil
			}
			return levels[len(levels)-1]
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			if len(levels) > 16 {
				return errors.New("it is nested too deeply")
			}
			l := &level{}
			if t == json.Delim('{') {
				l.names, l.key = map[string]bool{}, true
			}
			levels = append(levels, l)
			continue
		case json.Delim('}'), json.Delim(']'):
			levels = levels[:len(levels)-1]
			if len(levels) == 0 {
				if _, err := d.Token(); !errors.Is(err, io.EOF) {
					return errors.New("something follows its end")
				}
				return nil
			}
		default:
			if l := top(); l != nil && l.names != nil && l.key {
				name, _ := t.(string)
				if name = strings.ToLower(name); l.names[name] {
					return fmt.Errorf("%q stands twice", name)
				}
				l.names[name], l.key = true, false
				continue
			}
		}
		if l := top(); l != nil && l.names != nil {
			l.key = true
		}
	}
}

// Validate tells the first thing that makes no sense.
func (m *Manifest) Validate() error {
	wrong := func(field, format string, values ...any) error {
		return fmt.Errorf("manifest: %s: %s", field, fmt.Sprintf(format, values...))
	}
	switch {
	case m.Format != 1:
		return wrong("format", "1 expected, not %d", m.Format)
	case !word(m.Name):
		return wrong("name", "letters, digits, dots and dashes expected, not %q", m.Name)
	case !word(m.Group):
		return wrong("group", "letters, digits, dots and dashes expected, not %q", m.Group)
	case m.Version < 1 || m.Version > 65535:
		return wrong("version", "1 to 65535 expected, not %d", m.Version)
	case len(m.Files) == 0 || len(m.Files) > MaxFiles:
		return wrong("files", "1 to %d expected, not %d", MaxFiles, len(m.Files))
	case len(m.Start) == 0 || len(m.Start) > 100:
		return wrong("start", "1 to 100 words expected, not %d", len(m.Start))
	case m.Ready.Within <= 0:
		return wrong("ready.within", "missing")
	case m.Drain.Within <= 0:
		return wrong("drain.within", "missing")
	case !strings.HasPrefix(m.Ready.Path, "/") || strings.ContainsAny(m.Ready.Path, " \r\n"):
		return wrong("ready.path", "a path such as /ready expected, not %q", m.Ready.Path)
	}
	seen, folders, total, starts := map[string]bool{}, map[string]bool{}, int64(0), false
	for i, f := range m.Files {
		at := fmt.Sprintf("files[%d]", i)
		if err := checkPath(f.Path); err != nil {
			return wrong(at+".path", "%v", err)
		}
		folded := strings.ToLower(f.Path) // two that differ by case alone are one file on some disks
		if seen[folded] || folders[folded] {
			return wrong(at+".path", "%q stands twice, or is a folder too", f.Path)
		}
		seen[folded] = true
		for dir := path.Dir(folded); dir != "."; dir = path.Dir(dir) {
			if seen[dir] {
				return wrong(at+".path", "%q lies in what is a file", f.Path)
			}
			folders[dir] = true
		}
		if raw, err := hex.DecodeString(f.SHA256); err != nil || len(raw) != sha256.Size || f.SHA256 != strings.ToLower(f.SHA256) {
			return wrong(at+".sha256", "64 small hexadecimal digits expected")
		}
		if f.Size < 0 || f.Size > MaxTotalBytes {
			return wrong(at+".size", "0 to %d expected, not %d", int64(MaxTotalBytes), f.Size)
		}
		if total += f.Size; total > MaxTotalBytes {
			return wrong("files", "more than %d bytes in all", int64(MaxTotalBytes))
		}
		starts = starts || f.Executable && f.Path == m.Start[0]
	}
	if !starts {
		return wrong("start", "%q is no file of the build that may run", m.Start[0])
	}
	for i, arg := range m.Start {
		if strings.ContainsRune(arg, 0) {
			return wrong(fmt.Sprintf("start[%d]", i), "it holds a zero byte")
		}
	}
	return nil
}

func word(s string) bool {
	if s == "" || len(s) > 100 || s[0] == '.' || s[0] == '-' {
		return false
	}
	for _, c := range s {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// checkPath takes plain paths below the build's folder only.
func checkPath(p string) error {
	switch {
	case p == "" || len(p) > MaxPathBytes:
		return fmt.Errorf("1 to %d bytes expected", MaxPathBytes)
	case strings.ContainsAny(p, "\\\x00:") || strings.IndexFunc(p, func(c rune) bool { return c < ' ' || c == 0x7f }) >= 0:
		return fmt.Errorf("%q holds a character that may not stand in a path", p)
	case path.Clean(p) != p || p[0] == '/' || p == ".." || p == "." || strings.HasPrefix(p, "../"):
		return fmt.Errorf("%q is no plain path below the build's folder", p)
	}
	return nil
}

// Bytes is the manifest as it is signed.
func (m *Manifest) Bytes() ([]byte, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(m, "", "  ")
	return append(raw, '\n'), err
}

// Size is how many bytes all files hold together.
func (m *Manifest) Size() (n int64) {
	for _, f := range m.Files {
		n += f.Size
	}
	return n
}
