package build

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"aead.dev/minisign"
)

// verifySignatures returns the names of the keys that have signed a message. Each key counts once. If there are fewer
// keys than the threshold, it fails with the reason why the first invalid signature was refused, or with
// TooFewSignatures if all signatures are valid.
func (r *KeyRing) verifySignatures(message []byte, signatures [][]byte, now time.Time) (signers []string, err error) {
	if len(signatures) > maxSignatures {
		return nil, refused(Malformed, "%d signatures", len(signatures))
	}
	var first *RefusedError
	for _, text := range signatures {
		signer, refusal := r.verifySignature(message, text, now)
		switch {
		case refusal != nil && first == nil:
			first = refusal
		case refusal == nil && !slices.Contains(signers, signer):
			signers = append(signers, signer)
		}
	}
	if len(signers) >= r.Threshold {
		return signers, nil
	}
	if first != nil {
		detail := fmt.Sprintf("%s (%d of %d signatures count)", first.Detail, len(signers), r.Threshold)
		return signers, &RefusedError{first.Reason, strings.TrimPrefix(detail, " ")}
	}
	return signers, refused(TooFewSignatures, "%d of %d", len(signers), r.Threshold)
}

// verifySignature returns the name of the key that made a signature, or the reason why the signature is not valid now.
func (r *KeyRing) verifySignature(message, text []byte, now time.Time) (signer string, refusal *RefusedError) {
	var s minisign.Signature
	if err := s.UnmarshalText(text); err != nil {
		return "", refused(BadSignature, "%v", err)
	}
	k, public, ok := r.findKey(s.KeyID)
	switch {
	case !ok:
		return "", refused(UnknownKey, "key %X", s.KeyID)
	case k.Revoked:
		return "", refused(KeyRevoked, "%s", k.Name)
	case now.Before(k.NotBefore) || !now.Before(k.NotAfter):
		return "", refused(KeyNotValid, "%s is valid from %s to %s", k.Name, k.NotBefore.Format(time.RFC3339), k.NotAfter.Format(time.RFC3339))
	case !minisign.Verify(public, message, text):
		return "", refused(BadSignature, "of %s", k.Name)
	}
	return k.Name, nil
}

// findKey returns the key with a minisign key ID, and its decoded form.
func (r *KeyRing) findKey(id uint64) (Key, minisign.PublicKey, bool) {
	for _, k := range r.Keys {
		var public minisign.PublicKey
		if public.UnmarshalText([]byte(k.PublicKey)) == nil && public.ID() == id {
			return k, public, true
		}
	}
	return Key{}, minisign.PublicKey{}, false
}
