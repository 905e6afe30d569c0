package artifact

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"

	"dapplefront/build"
)

// DigestMismatchError says that a file's content is not what its digest says. Want and Got are digests in hexadecimal.
type DigestMismatchError struct{ Path, Want, Got string }

// Error names the file and the beginnings of both digests.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("%s: wrong bytes: %.12s expected, not %.12s", e.Path, e.Want, e.Got)
}

// Verify reads all files of a build again, as files may change on disk. It returns a *DigestMismatchError for the first
// that has other content, and removes that one, so that it is fetched again.
func (s *Store) Verify(m *build.Manifest) error {
	for _, f := range m.Files {
		path := s.contentPath(f.SHA256)
		if err := verifyFile(path, f); err != nil {
			var mismatch *DigestMismatchError
			if errors.As(err, &mismatch) {
				_ = os.Remove(path)
			}
			return err
		}
	}
	return nil
}

// verifyFile checks the size and digest of a file and syncs it to disk.
func verifyFile(path string, f build.File) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // it is only read
	sum := sha256.New()
	n, err := io.Copy(sum, file)
	if err != nil {
		return err
	}
	if got := hex.EncodeToString(sum.Sum(nil)); n != f.Size || got != f.SHA256 {
		return &DigestMismatchError{Path: f.Path, Want: f.SHA256, Got: got}
	}
	return file.Sync()
}

// syncDir makes the names in a folder durable.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it is only read
	return f.Sync()
}
