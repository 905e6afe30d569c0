package build

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"aead.dev/minisign"
)

// Key is one signer.
type Key struct {
	Name      string    `json:"name"`
	PublicKey string    `json:"public"` // minisign's text form
	NotBefore time.Time `json:"from"`
	NotAfter  time.Time `json:"to"`
	Revoked   bool      `json:"revoked,omitempty"`
}

// KeyRing is who is trusted. A later Ring takes its place only when the keys of the present one have signed it.
type KeyRing struct {
	Format     int    `json:"format"`  // 1
	Version    int    `json:"version"` // from 1; a lower one never takes the place of a higher
	Threshold  int    `json:"threshold"`
	Keys       []Key  `json:"keys"`
	Group      string `json:"group"`
	MinVersion int    `json:"floor"` // builds below it are refused, unless a take-back orders them
}

// Reason is why something was refused.
type Reason string

// Reasons, as they are reported.
const (
	TooFewSignatures Reason = "too few signatures"
	BadSignature     Reason = "a signature is wrong"
	UnknownKey       Reason = "no key of the ring signed it"
	KeyNotValid      Reason = "a key is not valid at this time"
	KeyRevoked       Reason = "a key is revoked"
	WrongGroup       Reason = "it is for another host group"
	BelowMinVersion  Reason = "it is older than the floor"
	StaleKeyRing     Reason = "the ring is not newer than the present one"
	Malformed        Reason = "it is malformed"
)

// RefusedError is the error of a check that failed.
type RefusedError struct {
	Reason Reason
	Detail string
}

func (r *RefusedError) Error() string {
	if r.Detail == "" {
		return string(r.Reason)
	}
	return string(r.Reason) + ": " + r.Detail
}

func refused(r Reason, format string, values ...any) error {
	return &RefusedError{r, fmt.Sprintf(format, values...)}
}

// ReadKeyRing reads a ring and checks that it makes sense.
func ReadKeyRing(raw []byte) (*KeyRing, error) {
	if len(raw) > MaxManifestBytes {
		return nil, refused(Malformed, "ring: %d bytes", len(raw))
	}
	if err := once(raw); err != nil {
		return nil, refused(Malformed, "ring: %v", err)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	var r KeyRing
	if err := d.Decode(&r); err != nil {
		return nil, refused(Malformed, "ring: %v", err)
	}
	return &r, r.Validate()
}

// Validate tells the first thing that makes no sense.
func (r *KeyRing) Validate() error {
	switch {
	case r.Format != 1:
		return refused(Malformed, "ring: format: 1 expected, not %d", r.Format)
	case r.Version < 1:
		return refused(Malformed, "ring: version: 1 or more expected")
	case r.Threshold < 1 || r.Threshold > len(r.Keys) || len(r.Keys) > 100:
		return refused(Malformed, "ring: threshold: 1 to the number of keys (%d) expected, not %d", len(r.Keys), r.Threshold)
	case !word(r.Group):
		return refused(Malformed, "ring: group: letters, digits, dots and dashes expected, not %q", r.Group)
	case r.MinVersion < 0:
		return refused(Malformed, "ring: floor: 0 or more expected")
	}
	names, ids := map[string]bool{}, map[uint64]bool{}
	for i, k := range r.Keys {
		var p minisign.PublicKey
		if err := p.UnmarshalText([]byte(k.PublicKey)); err != nil {
			return refused(Malformed, "ring: keys[%d].public: %v", i, err)
		}
		if !word(k.Name) || names[k.Name] || ids[p.ID()] {
			return refused(Malformed, "ring: keys[%d]: a name and a key of its own expected", i)
		}
		if !k.NotBefore.Before(k.NotAfter) {
			return refused(Malformed, "ring: keys[%d]: from before to expected", i)
		}
		names[k.Name], ids[p.ID()] = true, true
	}
	return nil
}

// signers checks signatures over a message. Each must be good and of a key that is valid now; each key counts once.
func (r *KeyRing) signers(message []byte, signatures [][]byte, now time.Time) (names []string, err error) {
	if len(signatures) > 100 {
		return nil, refused(Malformed, "%d signatures", len(signatures))
	}
	var first error
	note := func(err error) {
		if first == nil {
			first = err
		}
	}
	for _, text := range signatures {
		var s minisign.Signature
		if err := s.UnmarshalText(text); err != nil {
			note(refused(BadSignature, "%v", err))
			continue
		}
		i := slices.IndexFunc(r.Keys, func(k Key) bool {
			var p minisign.PublicKey
			return p.UnmarshalText([]byte(k.PublicKey)) == nil && p.ID() == s.KeyID
		})
		if i < 0 {
			note(refused(UnknownKey, "key %X", s.KeyID))
			continue
		}
		k := r.Keys[i]
		var p minisign.PublicKey
		_ = p.UnmarshalText([]byte(k.PublicKey))
		switch {
		case k.Revoked:
			note(refused(KeyRevoked, "%s", k.Name))
		case now.Before(k.NotBefore) || !now.Before(k.NotAfter):
			note(refused(KeyNotValid, "%s is valid from %s to %s", k.Name, k.NotBefore.Format(time.RFC3339), k.NotAfter.Format(time.RFC3339)))
		case !minisign.Verify(p, message, text):
			note(refused(BadSignature, "of %s", k.Name))
		case !slices.Contains(names, k.Name):
			names = append(names, k.Name)
		}
	}
	if len(names) >= r.Threshold {
		return names, nil
	}
	var why *RefusedError
	if errors.As(first, &why) {
		return names, &RefusedError{why.Reason, strings.TrimPrefix(fmt.Sprintf("%s (%d of %d signatures count)", why.Detail, len(names),
			r.Threshold), " ")}
	}
	return names, refused(TooFewSignatures, "%d of %d", len(names), r.Threshold)
}

// Verify checks a manifest's bytes: enough good signatures, for this ring's host group, not below the floor unless
// takeBack orders it. Only then is it read as a build.
func (r *KeyRing) Verify(raw []byte, signatures [][]byte, now time.Time, takeBack bool) (*Manifest, []string, error) {
	names, err := r.signers(raw, signatures, now)
	if err != nil {
		return nil, names, err
	}
	m, err := ReadManifest(raw)
	switch {
	case err != nil:
		return nil, names, refused(Malformed, "%v", err)
	case m.Group != r.Group:
		return nil, names, refused(WrongGroup, "%s, not %s", m.Group, r.Group)
	case m.Version < r.MinVersion && !takeBack:
		return nil, names, refused(BelowMinVersion, "build %d, floor %d", m.Version, r.MinVersion)
	}
	return m, names, nil
}

// Next checks a later ring, signed by the keys of this one, and returns it.
func (r *KeyRing) Next(raw []byte, signatures [][]byte, now time.Time) (*KeyRing, error) {
	if _, err := r.signers(raw, signatures, now); err != nil {
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
