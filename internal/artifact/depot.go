// Package artifact keeps the files of builds on a host, by their SHA-256: two builds share what is equal. A file is
// fetched under a temporary name, synced, checked and only then renamed, so that whatever stands under a digest is that
// digest's content, also after a kill or a full disk. Builds are folders of hard links to it.
package artifact

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"dapplefront/build"
)

// Store is one folder. Only one process may hold it.
type Store struct {
	dir   string
	limit int64
	lock  *os.File
}

// ErrHeld says that another process holds the folder; ErrFull that a file would pass the limit on bytes held.
var (
	ErrLocked = errors.New("another agent holds this folder")
	ErrFull   = errors.New("the limit on bytes held is reached")
)

// Open takes a folder, which is made if it is missing. limit bounds the bytes of all files in it, those being fetched
// included.
func Open(dir string, limit int64) (*Store, error) {
	for _, sub := range []string{"sha256", "part", "builds"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, fmt.Errorf("depot: %w", err)
		}
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("depot: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("depot %s: %w", dir, ErrLocked)
	}
	return &Store{dir: dir, limit: limit, lock: lock}, nil
}

// Close lets go of the folder.
func (d *Store) Close() error { return d.lock.Close() }

func (d *Store) blob(digest string) string { return filepath.Join(d.dir, "sha256", digest) }
func (d *Store) part(digest string) string { return filepath.Join(d.dir, "part", digest) }

// Has tells whether a file is there, whole and checked.
func (d *Store) Has(f build.File) bool {
	s, err := os.Stat(d.blob(f.SHA256))
	return err == nil && s.Mode().IsRegular() && s.Size() == f.Size
}

// UsedBytes is how many bytes are held.
func (d *Store) UsedBytes() (n int64, err error) {
	for _, sub := range []string{"sha256", "part"} {
		all, err := os.ReadDir(filepath.Join(d.dir, sub))
		if err != nil {
			return 0, fmt.Errorf("depot: %w", err)
		}
		for _, e := range all {
			if s, err := e.Info(); err == nil {
				n += s.Size()
			}
		}
	}
	return n, nil
}

// room tells whether a file fits beside what is held.
func (d *Store) room(f build.File, have int64) error {
	used, err := d.UsedBytes()
	if err != nil {
		return err
	}
	if used+f.Size-have > d.limit {
		return fmt.Errorf("%w: %d bytes held, %d more wanted, %d allowed", ErrFull, used, f.Size-have, d.limit)
	}
	return nil
}

// settle checks a fetched part and puts it in its place. A part that is not what it should be is removed.
func (d *Store) settle(f build.File) error {
	part := d.part(f.SHA256)
	if err := same(part, f); err != nil {
		_ = os.Remove(part)
		return err
	}
	if err := os.Chmod(part, 0o555); err != nil { // one that runs may share its content with one that doesn't
		return err
	}
	if err := os.Rename(part, d.blob(f.SHA256)); err != nil {
		return err
	}
	return syncDir(filepath.Join(d.dir, "sha256"))
}

// DigestMismatchError says that a file is not what its digest says.
type DigestMismatchError struct{ Path, Want, Got string }

func (w *DigestMismatchError) Error() string {
	return fmt.Sprintf("%s: wrong bytes: %.12s expected, not %.12s", w.Path, w.Want, w.Got)
}

// same reads a whole file and tells whether it has the size and digest that it should, and is on disk.
func same(path string, f build.File) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	sum := sha256.New()
	n, err := io.Copy(sum, file)
	if err != nil {
		return err
	}
	if got := hex.EncodeToString(sum.Sum(nil)); n != f.Size || got != f.SHA256 {
		return &DigestMismatchError{f.Path, f.SHA256, got}
	}
	return file.Sync()
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Verify reads all files of a build again: what stood on disk for a while may have changed.
func (d *Store) Verify(m *build.Manifest) error {
	for _, f := range m.Files {
		if err := same(d.blob(f.SHA256), f); err != nil {
			var wrong *DigestMismatchError
			if errors.As(err, &wrong) {
				_ = os.Remove(d.blob(f.SHA256)) // it is fetched anew
			}
			return err
		}
	}
	return nil
}

// Install lays out a checked build as a folder and returns its path. It is there whole or not at all.
func (d *Store) Install(digest string, m *build.Manifest) (string, error) {
	dir := filepath.Join(d.dir, "builds", digest)
	if _, err := os.Stat(dir); err == nil {
		return dir, nil
	}
	tmp := dir + ".tmp"
	if err := os.RemoveAll(tmp); err != nil {
		return "", err
	}
	for _, f := range m.Files {
		to := filepath.Join(tmp, filepath.FromSlash(f.Path))
		if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
			return "", err
		}
		if err := os.Link(d.blob(f.SHA256), to); err != nil {
			return "", err
		}
	}
	if err := os.Rename(tmp, dir); err != nil {
		return "", err
	}
	return dir, syncDir(filepath.Join(d.dir, "builds"))
}

// CollectGarbage removes all but some builds, by their digests: folders, and files that none of them needs.
func (d *Store) CollectGarbage(keep map[string]*build.Manifest) error {
	needed := map[string]bool{}
	for _, m := range keep {
		for _, f := range m.Files {
			needed[f.SHA256] = true
		}
	}
	var first error
	sweep := func(sub string, stays func(string) bool) {
		all, err := os.ReadDir(filepath.Join(d.dir, sub))
		for _, e := range all {
			if !stays(e.Name()) {
				if err2 := os.RemoveAll(filepath.Join(d.dir, sub, e.Name())); err == nil {
					err = err2
				}
			}
		}
		if first == nil {
			first = err
		}
	}
	sweep("builds", func(name string) bool { return keep[name] != nil })
	sweep("sha256", func(name string) bool { return needed[name] })
	sweep("part", func(name string) bool { return needed[trimMark(name)] })
	return first
}
