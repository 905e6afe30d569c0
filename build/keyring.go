package build

import (
	"time"

	"aead.dev/minisign"
)

// Limits of a key ring.
const (
	keyRingFormat = 1
	maxKeys       = 100
	maxSignatures = 100 // beside one manifest or key ring
)

// Key is the public key of one signer. It is valid from NotBefore until before NotAfter.
type Key struct {
	Name      string    `json:"name"`
	PublicKey string    `json:"public"` // in minisign's text form
	NotBefore time.Time `json:"from"`
	NotAfter  time.Time `json:"to"`
	Revoked   bool      `json:"revoked,omitempty"`
}

// KeyRing says whose signatures count. A later key ring replaces it only with signatures by its keys.
type KeyRing struct {
	Format     int    `json:"format"`    // 1
	Version    int    `json:"version"`   // from 1; a key ring is never replaced by one of a lower or equal version
	Threshold  int    `json:"threshold"` // signatures by different keys that a build needs
	Keys       []Key  `json:"keys"`
	Group      string `json:"group"` // the host group
	MinVersion int    `json:"floor"` // builds below it are refused, unless a rollback orders them
}

// ReadKeyRing decodes and validates a key ring. Its errors are *RefusedError.
func ReadKeyRing(raw []byte) (*KeyRing, error) {
	if len(raw) > MaxManifestBytes {
		return nil, refused(Malformed, "ring: %d bytes", len(raw))
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
		return refused(Malformed, "ring: group: letters, digits, dots and dashes expected, not %q", r.Group)
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
			return refused(Malformed, "ring: keys[%d]: a name and a key of its own expected", i)
		}
		if !k.NotBefore.Before(k.NotAfter) {
			return refused(Malformed, "ring: keys[%d]: from before to expected", i)
		}
		names[k.Name], ids[public.ID()] = true, true
	}
	return nil
}

// Verify verifies the bytes of a manifest: enough valid signatures, this key ring's host group, and a version not below
// the minimum unless a rollback orders it. The manifest is decoded only after its signatures have been verified. It
// returns the names of the signers, also with an error; errors are *RefusedError.
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

// Next verifies the bytes of a later key ring, which this one's keys must have signed, and returns it. Its version must be
// higher, its minimum version not lower. Errors are *RefusedError.
func (r *KeyRing) Next(raw []byte, signatures [][]byte, now time.Time) (*KeyRing, error) {
	if _, err := r.verifySignatures(raw, signatures, now); err != nil {
		return nil, err
	}
	next, err := ReadKeyRing(raw)
	switch {
	case err != nil:
		return nil, err
	case next.Version <= r.Version:
		return nil, refused(StaleKeyRing, "version %d, %d is held", next.Version, r.Version)
	case next.Group != r.Group:
		return nil, refused(WrongGroup, "%s, not %s", next.Group, r.Group)
	case next.MinVersion < r.MinVersion:
		return nil, refused(BelowMinVersion, "floor %d, %d is held: a floor never falls", next.MinVersion, r.MinVersion)
	}
	return next, nil
}
