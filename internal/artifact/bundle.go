package artifact

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"dapplefront/build"
	"dapplefront/internal/atomicfile"
)

// Folders of a bundle, under the names by which mirrors serve them. Its files are in contentDir.
const (
	manifestDir  = "manifest"
	signatureDir = "signatures"
)

// Pack creates a bundle from a folder and returns the manifest's digest. It writes the files to out/sha256, sets the
// manifest's Files, and writes the manifest to out/manifest/DIGEST. It fails if the folder contains anything other than
// regular files and folders.
func Pack(folder, out string, m *build.Manifest) (string, error) {
	for _, sub := range []string{contentDir, manifestDir, signatureDir} {
		if err := os.MkdirAll(filepath.Join(out, sub), 0o755); err != nil {
			return "", err
		}
	}
	m.Files = nil
	err := filepath.WalkDir(folder, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		f, err := packFile(folder, path, e, out)
		if err == nil {
			m.Files = append(m.Files, f)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	raw, err := m.Bytes()
	if err != nil {
		return "", err
	}
	digest := build.Digest(raw)
	return digest, atomicfile.Write(filepath.Join(out, manifestDir, digest), raw, 0o644)
}

// packFile copies one file into the bundle and returns its entry for the manifest.
func packFile(folder, path string, e fs.DirEntry, out string) (f build.File, err error) {
	if !e.Type().IsRegular() {
		return f, fmt.Errorf("%s: not a regular file", path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	info, err := e.Info()
	if err != nil {
		return f, err
	}
	relative, err := filepath.Rel(folder, path)
	if err != nil {
		return f, err
	}
	f = build.File{Path: filepath.ToSlash(relative), Size: int64(len(raw)), SHA256: build.Digest(raw), Executable: info.Mode()&0o111 != 0}
	return f, atomicfile.Write(filepath.Join(out, contentDir, f.SHA256), raw, 0o644)
}
