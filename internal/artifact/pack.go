package artifact

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"aead.dev/minisign"

	"dapplefront/build"
	"dapplefront/internal/atomicfile"
)

// Pack makes a build of a folder: its files go to out/sha256, its manifest to out/manifest/DIGEST. It returns the
// digest. Links and other things that are no plain files are refused.
func Pack(folder, out string, m *build.Manifest) (string, error) {
	for _, sub := range []string{"sha256", "manifest", "signatures"} {
		if err := os.MkdirAll(filepath.Join(out, sub), 0o755); err != nil {
			return "", err
		}
	}
	m.Files = nil
	err := filepath.WalkDir(folder, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		if !e.Type().IsRegular() {
			return fmt.Errorf("%s: a plain file expected", path)
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		s, err := e.Info()
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(folder, path)
		if err != nil {
			return err
		}
		f := build.File{Path: filepath.ToSlash(rel), Size: int64(len(raw)), SHA256: build.Digest(raw), Executable: s.Mode()&0o111 != 0}
		m.Files = append(m.Files, f)
		return atomicfile.Write(filepath.Join(out, "sha256", f.SHA256), raw, 0o644)
	})
	if err != nil {
		return "", err
	}
	raw, err := m.Bytes()
	if err != nil {
		return "", err
	}
	digest := build.Digest(raw)
	return digest, atomicfile.Write(filepath.Join(out, "manifest", digest), raw, 0o644)
}

func signatures(out, digest string) (all []string, err error) {
	raw, err := os.ReadFile(filepath.Join(out, "signatures", digest))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, &all)
	}
	return all, err
}

// Sign adds a signature by the key in a file to a packed build; one that is there already is not added again.
func Sign(out, digest, key, password string) error {
	raw, err := os.ReadFile(filepath.Join(out, "manifest", digest))
	if err != nil {
		return err
	}
	if _, err := build.ReadManifest(raw); err != nil || build.Digest(raw) != digest {
		return errors.Join(fmt.Errorf("%s is no manifest of that digest", digest), err)
	}
	text, err := os.ReadFile(key)
	if err != nil {
		return err
	}
	var private minisign.PrivateKey
	if minisign.IsEncrypted(text) {
		private, err = minisign.DecryptKey(password, text)
	} else {
		err = private.UnmarshalText(text)
	}
	if err != nil {
		return fmt.Errorf("key %s: %w", key, err)
	}
	all, err := signatures(out, digest)
	if err != nil {
		return err
	}
	own := private.Public().(minisign.PublicKey)
	for _, s := range all {
		if minisign.Verify(own, raw, []byte(s)) {
			return nil
		}
	}
	text, err = json.Marshal(append(all, string(minisign.Sign(private, raw))))
	if err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(out, "signatures", digest), text, 0o644)
}

// Verify checks a packed build as an agent would, files and all. A *build.Refused tells why it is refused.
func Verify(out, digest string, r *build.KeyRing, now time.Time) (*build.Manifest, []string, error) {
	raw, err := os.ReadFile(filepath.Join(out, "manifest", digest))
	if err != nil {
		return nil, nil, err
	}
	if build.Digest(raw) != digest {
		return nil, nil, &build.RefusedError{Reason: build.Malformed, Detail: "the manifest has another digest"}
	}
	texts, err := signatures(out, digest)
	if err != nil {
		return nil, nil, &build.RefusedError{Reason: build.BadSignature, Detail: err.Error()}
	}
	var all [][]byte
	for _, s := range texts {
		all = append(all, []byte(s))
	}
	m, names, err := r.Verify(raw, all, now, false)
	if err != nil {
		return nil, names, err
	}
	for _, f := range m.Files {
		if err := same(filepath.Join(out, "sha256", f.SHA256), f); err != nil {
			return nil, names, &build.RefusedError{Reason: build.Malformed, Detail: err.Error()}
		}
	}
	return m, names, nil
}

// GenerateKeys makes a key pair for each name in a folder, and ring.json, which trusts them. Nothing is written over.
func GenerateKeys(dir string, names []string, password string, r build.KeyRing, from, to time.Time) (*build.KeyRing, error) {
	files := []string{filepath.Join(dir, "ring.json")}
	texts := [][]byte{nil}
	for _, name := range names {
		public, private, err := minisign.GenerateKey(rand.Reader)
		if err != nil {
			return nil, err
		}
		var text []byte
		if password != "" {
			text, err = minisign.EncryptKey(password, private)
		} else {
			text, err = private.MarshalText()
		}
		if err != nil {
			return nil, err
		}
		shown, err := public.MarshalText()
		if err != nil {
			return nil, err
		}
		r.Keys = append(r.Keys, build.Key{Name: name, PublicKey: string(shown), NotBefore: from.UTC().Truncate(time.Second),
			NotAfter: to.UTC().Truncate(time.Second)})
		files, texts = append(files, filepath.Join(dir, name+".key")), append(texts, text)
	}
	if err := r.Validate(); err != nil {
		return nil, err
	}
	var err error
	if texts[0], err = json.MarshalIndent(r, "", "  "); err != nil {
		return nil, err
	}
	if i := slices.IndexFunc(files, func(f string) bool { _, err := os.Stat(f); return err == nil }); i >= 0 {
		return nil, fmt.Errorf("%s is there already", files[i])
	}
	for i, file := range files {
		f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		_, err = io.WriteString(f, string(texts[i]))
		if err2 := f.Close(); err == nil {
			err = err2
		}
		if err != nil {
			return nil, err
		}
	}
	return &r, nil
}
