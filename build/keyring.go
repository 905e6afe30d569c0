package build

import (
	"time"

	"aead.dev/minisign"
)

// Format version and limits of a key ring.
const (
	keyRingFormat = 1
	maxKeys       = 100
	maxSignatures = 100 // of one manifest or key ring
)

// Key is the public key of one signer. It is valid from NotBefore, inclusive, to NotAfter, exclusive.
type Key struct {
	Name      string    `json:"name"`
	PublicKey string    `json:"public"` // in minisign's text form
	NotBefore time.Time `json:"from"`
	NotAfter  time.Time `json:"to"`
	Revoked   bool      `json:"revoked,omitempty"`
}

// KeyRing holds the keys whose signatures are accepted. Only a key ring signed by these keys can replace it.
type KeyRing struct {
	Format     int    `json:"format"`    // 1
	Version    int    `json:"version"`   // 1 or more; a key ring is replaced only by one with a higher version
	Threshold  int    `json:"threshold"` // number of different keys that must have signed a build or the next key ring
	Keys       []Key  `json:"keys"`
	Group      string `json:"group"` // the host group whose builds are accepted
	MinVersion int    `json:"floor"` // builds with a lower version are refused, unless a rollback orders them
}

// ReadKeyRing decodes and validates a key ring. Its errors are *RefusedError.
func ReadKeyRing(raw []byte) (*KeyRing, error) {
	if len(raw) > MaxManifestBytes {
		return nil, refused(Malformed, "ring: too large: %d bytes", len(raw))
	}
	var r KeyRing
	if err := decodeStrict(raw, &r); err != nil {
		return nil, refused(Malformed, "ring: %v", err)
	}
	return &r, r.Validate()
}

// Validate returns a *RefusedError that names the first field that is invalid.
func (r *KeyRing) Validate() error {
	switch {
	case r.Format != keyRingFormat:
		return refused(Malformed, "ring: format: 1 expected, not %d", r.Format)
	case r.Version < 1:
		return refused(Malformed, "ring: version: 1 or more expected")
	case r.Threshold < 1 || r.Threshold > len(r.Keys) || len(r.Keys) > maxKeys:
		return refused(Malformed, "ring: threshold: 1 to the number of keys (%d) expected, not %d", len(r.Keys), r.Threshold)
	case !isName(r.Group):
		return refused(Malformed, "ring: group: letters, digits, dots, dashes and underscores expected, not %q", r.Group)
	case r.MinVersion < 0:
		return refused(Malformed, "ring: floor: 0 or more expected")
	}
	names, ids := map[string]bool{}, map[uint64]bool{}
	for i, k := range r.Keys {
		var public minisign.PublicKey
		if err := public.UnmarshalText([]byte(k.PublicKey)); err != nil {
			return refused(Malformed, "ring: keys[%d].public: %v", i, err)
		}
		if !isName(k.Name) || names[k.Name] || ids[public.ID()] {
			return refused(Malformed, "ring: keys[%d]: valid name expected, name and public key must be unique", i)
		}
		if !k.NotBefore.Before(k.NotAfter) {
			return refused(Malformed, "ring: keys[%d]: from must be before to", i)
		}
		names[k.Name], ids[public.ID()] = true, true
	}
	return nil
}

// Verify verifies the bytes of a manifest: it needs Threshold valid signatures, this key ring's host group and, unless
// a rollback orders the build, a version of at least MinVersion. The manifest is decoded only after its signatures have
// been verified. Verify returns the names of the signers even if it fails. Its errors are *RefusedError.
func (r *KeyRing) Verify(raw []byte, signatures [][]byte, now time.Time, allowBelowMinVersion bool) (*Manifest, []string, error) {
	signers, err := r.verifySignatures(raw, signatures, now)
	if err != nil {
		return nil, signers, err
	}
	m, err := ReadManifest(raw)
	switch {
	case err != nil:
		return nil, signers, refused(Malformed, "%v", err)
	case m.Group != r.Group:
		return nil, signers, refused(WrongGroup, "%s, not %s", m.Group, r.Group)
	case m.Version < r.MinVersion && !allowBelowMinVersion:
		return nil, signers, refused(BelowMinVersion, "build %d, floor %d", m.Version, r.MinVersion)
	}
	return m, signers, nil
}

// Next verifies the bytes of a later key ring and returns it. Keys of this key ring must have signed it, it must be for
// the same host group, its version must be higher, and its minimum version must not be lower. Its errors are
// *RefusedError.
func (r *KeyRing) Next(raw []byte, signatures [][]byte, now time.Time) (*KeyRing, error) {
	if _, err := r.verifySignatures(raw, signatures, now); err != nil {
		return nil, err
	}
	next, err := ReadKeyRing(raw)
	switch {
	case err != nil:
		return nil, err
	case next.Version <= r.Version:
		return nil, refused(StaleKeyRing, "version %d, current version %d", next.Version, r.Version)
	case next.Group != r.Group:
		return nil, refused(WrongGroup, "%s, not %s", next.Group, r.Group)
	case next.MinVersion < r.MinVersion:
		return nil, refused(BelowMinVersion, "floor %d, current floor %d: the floor must not decrease", next.MinVersion, r.MinVersion)
	}
	return next, nil
}
