package artifact

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"aead.dev/minisign"

	"dapplefront/build"
)

// GenerateKeys generates a key pair for each name. It writes the private keys to dir as NAME.key, encrypted if there is
// a password. It adds the public keys to the key ring and writes the result as ring.json. The keys are valid from
// notBefore to notAfter. It fails if one of the files exists.
func GenerateKeys(dir string, names []string, password string, ring build.KeyRing, notBefore, notAfter time.Time) (*build.KeyRing, error) {
	type newFile struct {
		path string
		text []byte
	}
	files := make([]newFile, 1, 1+len(names)) // the first is the key ring
	for _, name := range names {
		public, private, err := generateKey(password)
		if err != nil {
			return nil, err
		}
		ring.Keys = append(ring.Keys, build.Key{
			Name: name, PublicKey: string(public), NotBefore: notBefore.UTC().Truncate(time.Second),
			NotAfter: notAfter.UTC().Truncate(time.Second),
		})
		files = append(files, newFile{filepath.Join(dir, name+".key"), private})
	}
	if err := ring.Validate(); err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(ring, "", "  ")
	if err != nil {
		return nil, err
	}
	files[0] = newFile{filepath.Join(dir, "ring.json"), text}
	for _, f := range files {
		if _, err := os.Stat(f.path); err == nil {
			return nil, fmt.Errorf("%s already exists", f.path)
		}
	}
	for _, f := range files {
		if err := writeNew(f.path, f.text); err != nil {
			return nil, err
		}
	}
	return &ring, nil
}

// generateKey returns the public and the private key of a new key pair in minisign's text form.
func generateKey(password string) (publicText, privateText []byte, err error) {
	public, private, err := minisign.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if password != "" {
		privateText, err = minisign.EncryptKey(password, private)
	} else {
		privateText, err = private.MarshalText()
	}
	if err != nil {
		return nil, nil, err
	}
	publicText, err = public.MarshalText()
	return publicText, privateText, err
}

// writeNew creates a file that only the owner can access. It fails if the file exists.
func writeNew(path string, text []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Close())
}
