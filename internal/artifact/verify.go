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

// DigestMismatchError means that the content of a file doesn't match its digest. Want and Got are digests in
// hexadecimal.
type DigestMismatchError struct{ Path, Want, Got string }

// Error returns a text with the file's path and the first digits of both digests.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("%s: wrong bytes: %.12s expected, not %.12s", e.Path, e.Want, e.Got)
}

// Verify reads and verifies all files of a build, because files may change on disk. It returns a *DigestMismatchError
// for the first file with wrong content and removes that file, so that it is fetched again.
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
	defer func() { _ = file.Close() }() // opened only for reading
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

// syncDir syncs a folder to disk, so that renames in it survive a crash.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened only for reading
	return f.Sync()
}
