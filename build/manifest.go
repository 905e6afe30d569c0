package build

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"
	"unicode/utf8"
)

// Limits of a manifest. The manifests of real services are far smaller.
const (
	MaxManifestBytes = 1 << 20 // of the manifest itself
	MaxFiles         = 10_000
	MaxPathBytes     = 400
	MaxTotalBytes    = 64 << 30 // of all files

	manifestFormat    = 1
	maxVersion        = 65535
	maxStartArguments = 100
	maxDuration       = time.Hour
)

// File is one file of a build.
type File struct {
	Path       string `json:"path"` // relative to the build's folder, with slashes
	Size       int64  `json:"size"` // bytes
	SHA256     string `json:"sha256"`
	Executable bool   `json:"run,omitempty"`
}

// Duration is a duration whose JSON form is a string with a unit, such as "5s".
type Duration time.Duration

// UnmarshalJSON accepts durations above 0 and up to one hour.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed <= 0 || parsed > maxDuration {
		return fmt.Errorf("a time with a unit, up to 1h, expected, not %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON returns the duration as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Manifest describes a build. The first element of Start is the path of an executable file, the others are its
// arguments. {port} in an argument is replaced by the port on which the process must listen.
type Manifest struct {
	Format  int      `json:"format"` // 1
	Name    string   `json:"name"`
	Group   string   `json:"group"`   // the host group that may run the build
	Version int      `json:"version"` // number of the build, 1 or more; later builds have higher numbers
	Files   []File   `json:"files"`
	Start   []string `json:"start"`
	Ready   struct {
		Path   string   `json:"path"`   // of an HTTP health check that returns status 200 once the build is ready
		Within Duration `json:"within"` // time from the start of the process until it must be ready
	} `json:"ready"`
	Drain struct {
		Within Duration `json:"within"` // time between SIGTERM and SIGKILL
	} `json:"drain"`
}

// Digest returns the SHA-256 digest of bytes in hexadecimal. The digest of a manifest's bytes identifies the build.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// ReadManifest decodes and validates a manifest. It refuses input that two decoders could interpret differently:
// unknown or repeated fields, or data after the end. The error names the field.
func ReadManifest(raw []byte) (*Manifest, error) {
	if len(raw) > MaxManifestBytes {
		return nil, fmt.Errorf("manifest: %d bytes, at most %d expected", len(raw), MaxManifestBytes)
	}
	if !utf8.Valid(raw) {
		return nil, errors.New("manifest: it is not UTF-8")
	}
	var m Manifest
	if err := decodeStrict(raw, &m); err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return &m, nil
}

// Bytes validates the manifest and returns the encoded form that signers sign.
func (m *Manifest) Bytes() ([]byte, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(m, "", "  ")
	return append(raw, '\n'), err
}

// Size returns the total size of all files in bytes.
func (m *Manifest) Size() (n int64) {
	for _, f := range m.Files {
		n += f.Size
	}
	return n
}
