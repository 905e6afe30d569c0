package artifact

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"dapplefront/build"
)

// Folders of a store.
const (
	contentDir  = "sha256" // verified files by their digests
	partDir     = "part"   // files that are being fetched
	installsDir = "builds" // installed builds by their manifests' digests
)

// ErrLocked means that another process uses the folder, ErrFull that a file would exceed the limit on stored bytes.
var (
	ErrLocked = errors.New("another agent holds this folder")
	ErrFull   = errors.New("the limit on bytes held is reached")
)

// Store is a folder of files and installed builds. Only one process can use it at a time.
type Store struct {
	dir      string
	maxBytes int64
	lock     *os.File
}

// Open opens a store and creates its folder if it is missing. maxBytes bounds the size of all files, including those
// being fetched. Open fails with ErrLocked while another process uses the folder.
func Open(dir string, maxBytes int64) (*Store, error) {
	for _, sub := range []string{contentDir, partDir, installsDir} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, fmt.Errorf("artifact store: %w", err)
		}
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("artifact store: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("artifact store %s: %w", dir, ErrLocked)
	}
	return &Store{dir: dir, maxBytes: maxBytes, lock: lock}, nil
}

// Close releases the lock on the folder.
func (s *Store) Close() error { return s.lock.Close() }

func (s *Store) contentPath(digest string) string { return filepath.Join(s.dir, contentDir, digest) }
func (s *Store) partPath(digest string) string    { return filepath.Join(s.dir, partDir, digest) }

// Has reports whether the store has a file with the digest and size of f. Its content was verified before it was
// stored.
func (s *Store) Has(f build.File) bool {
	info, err := os.Stat(s.contentPath(f.SHA256))
	return err == nil && info.Mode().IsRegular() && info.Size() == f.Size
}

// UsedBytes returns the size of all files, including those being fetched.
func (s *Store) UsedBytes() (n int64, err error) {
	for _, sub := range []string{contentDir, partDir} {
		entries, err := os.ReadDir(filepath.Join(s.dir, sub))
		if err != nil {
			return 0, fmt.Errorf("artifact store: %w", err)
		}
		for _, e := range entries {
			if info, err := e.Info(); err == nil {
				n += info.Size()
			}
		}
	}
	return n, nil
}

// checkCapacity returns ErrFull if the missing rest of a file would exceed maxBytes. fetched is the number of bytes of
// the file that are already stored.
func (s *Store) checkCapacity(f build.File, fetched int64) error {
	used, err := s.UsedBytes()
	if err != nil {
		return err
	}
	if used+f.Size-fetched > s.maxBytes {
		return fmt.Errorf("%w: %d bytes held, %d more wanted, %d allowed", ErrFull, used, f.Size-fetched, s.maxBytes)
	}
	return nil
}

// commit verifies a completely fetched file and moves it into contentDir. If the content is wrong, the file is removed.
func (s *Store) commit(f build.File) error {
	part := s.partPath(f.SHA256)
	if err := verifyFile(part, f); err != nil {
		_ = os.Remove(part)
		return err
	}
	if err := os.Chmod(part, 0o555); err != nil { // an executable may share its content with a file that isn't executable
		return err
	}
	if err := os.Rename(part, s.contentPath(f.SHA256)); err != nil {
		return err
	}
	return syncDir(filepath.Join(s.dir, contentDir))
}
