package artifact

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"aead.dev/minisign"

	"dapplefront/build"
	"dapplefront/internal/atomicfile"
)

// Sign adds a signature to the bundle in out, made with the private key in keyFile. password decrypts an encrypted key.
// It does nothing if the bundle already has a valid signature by that key.
func Sign(out, digest, keyFile, password string) error {
	raw, err := os.ReadFile(filepath.Join(out, manifestDir, digest))
	if err != nil {
		return err
	}
	if _, err := build.ReadManifest(raw); err != nil || build.Digest(raw) != digest {
		return errors.Join(fmt.Errorf("%s: invalid manifest or wrong digest", digest), err)
	}
	private, err := readPrivateKey(keyFile, password)
	if err != nil {
		return err
	}
	signatures, err := readSignatures(out, digest)
	if err != nil {
		return err
	}
	public := private.Public().(minisign.PublicKey)
	for _, s := range signatures {
		if minisign.Verify(public, raw, []byte(s)) {
			return nil
		}
	}
	text, err := json.Marshal(append(signatures, string(minisign.Sign(private, raw))))
	if err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(out, signatureDir, digest), text, 0o644)
}

func readPrivateKey(file, password string) (private minisign.PrivateKey, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return private, err
	}
	if minisign.IsEncrypted(text) {
		private, err = minisign.DecryptKey(password, text)
	} else {
		err = private.UnmarshalText(text)
	}
	if err != nil {
		return private, fmt.Errorf("key %s: %w", file, err)
	}
	return private, nil
}

// readSignatures returns the signatures of a bundle, or none if it has not been signed.
func readSignatures(out, digest string) (signatures []string, err error) {
	raw, err := os.ReadFile(filepath.Join(out, signatureDir, digest))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil {
		err = json.Unmarshal(raw, &signatures)
	}
	return signatures, err
}

// Verify verifies the signatures and all files of the bundle in out, as an agent does, and returns the names of the
// signers. A *build.RefusedError says why an agent would refuse the bundle.
func Verify(out, digest string, ring *build.KeyRing, now time.Time) (*build.Manifest, []string, error) {
	raw, err := os.ReadFile(filepath.Join(out, manifestDir, digest))
	if err != nil {
		return nil, nil, err
	}
	if build.Digest(raw) != digest {
		return nil, nil, &build.RefusedError{Reason: build.Malformed, Detail: "the manifest has a different digest"}
	}
	texts, err := readSignatures(out, digest)
	if err != nil {
		return nil, nil, &build.RefusedError{Reason: build.BadSignature, Detail: err.Error()}
	}
	var signatures [][]byte
	for _, s := range texts {
		signatures = append(signatures, []byte(s))
	}
	m, signers, err := ring.Verify(raw, signatures, now, false)
	if err != nil {
		return nil, signers, err
	}
	for _, f := range m.Files {
		if err := verifyFile(filepath.Join(out, contentDir, f.SHA256), f); err != nil {
			return nil, signers, &build.RefusedError{Reason: build.Malformed, Detail: err.Error()}
		}
	}
	return m, signers, nil
}
