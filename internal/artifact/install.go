package artifact

import (
	"os"
	"path/filepath"

	"dapplefront/build"
)

// Install creates the folder of a verified build and returns its path. The folder exists only once it is complete.
func (s *Store) Install(digest string, m *build.Manifest) (string, error) {
	dir := filepath.Join(s.dir, installsDir, digest)
	if _, err := os.Stat(dir); err == nil {
		return dir, nil
	}
	temporary := dir + ".tmp"
	if err := os.RemoveAll(temporary); err != nil {
		return "", err
	}
	for _, f := range m.Files {
		path := filepath.Join(temporary, filepath.FromSlash(f.Path))
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return "", err
		}
		if err := os.Link(s.contentPath(f.SHA256), path); err != nil {
			return "", err
		}
	}
	if err := os.Rename(temporary, dir); err != nil {
		return "", err
	}
	return dir, syncDir(filepath.Join(s.dir, installsDir))
}

// CollectGarbage removes all installed builds whose digests are not in keep, and all files that no build in keep needs.
// It continues after an error and returns the first one.
func (s *Store) CollectGarbage(keep map[string]*build.Manifest) error {
	needed := map[string]bool{}
	for _, m := range keep {
		for _, f := range m.Files {
			needed[f.SHA256] = true
		}
	}
	var first error
	for _, err := range []error{
		s.removeExcept(installsDir, func(name string) bool { return keep[name] != nil }),
		s.removeExcept(contentDir, func(name string) bool { return needed[name] }),
		s.removeExcept(partDir, func(name string) bool { return needed[partDigest(name)] }),
	} {
		if first == nil {
			first = err
		}
	}
	return first
}

// removeExcept removes the entries of a folder for which keep returns false. It continues after an error and returns
// the first one.
func (s *Store) removeExcept(sub string, keep func(name string) bool) error {
	entries, first := os.ReadDir(filepath.Join(s.dir, sub))
	for _, e := range entries {
		if keep(e.Name()) {
			continue
		}
		if err := os.RemoveAll(filepath.Join(s.dir, sub, e.Name())); first == nil {
			first = err
		}
	}
	return first
}
