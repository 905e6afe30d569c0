package artifact

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"dapplefront/build"
	"dapplefront/internal/atomicfile"
)

// Folders of a bundle, as a mirror serves them; files are in contentDir.
const (
	manifestDir  = "manifest"
	signatureDir = "signatures"
)

// Pack makes a bundle of a folder: it writes the files to out/sha256 and the manifest, whose Files it fills in, to
// out/manifest/DIGEST, and returns the manifest's digest. It fails for anything but regular files and folders.
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

// packFile copies one file into the bundle and describes it.
func packFile(folder, path string, e fs.DirEntry, out string) (f build.File, err error) {
	if !e.Type().IsRegular() {
		return f, fmt.Errorf("%s: a plain file expected", path)
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
