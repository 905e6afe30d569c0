package build

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"aead.dev/minisign"
	"github.com/stretchr/testify/require"
)

var now = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// newKeyRing returns a key ring of three keys with a threshold of two, and the matching private keys.
func newKeyRing(t *testing.T) (*KeyRing, []minisign.PrivateKey) {
	t.Helper()
	r := &KeyRing{Format: 1, Version: 1, Threshold: 2, Group: "tacoma", MinVersion: 5}
	var private []minisign.PrivateKey
	for _, name := range []string{"ada", "ben", "cyd"} {
		p, s, err := minisign.GenerateKey(rand.Reader)
		require.NoError(t, err)
		text, err := p.MarshalText()
		require.NoError(t, err)
		r.Keys = append(r.Keys, Key{Name: name, PublicKey: string(text), NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour)})
		private = append(private, s)
	}
	require.NoError(t, r.Validate())
	return r, private
}

// refusalReason returns the reason of a *RefusedError, or "" for other errors.
func refusalReason(err error) Reason {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

func TestKeyRing_RequiresThresholdOfValidSignatures(t *testing.T) {
	r, keys := newKeyRing(t)
	raw, err := sampleManifest().Bytes()
	require.NoError(t, err)
	sign := func(signers ...int) (all [][]byte) {
		for _, i := range signers {
			all = append(all, minisign.Sign(keys[i], raw))
		}
		return all
	}
	m, names, err := r.Verify(raw, sign(0, 2), now, false)
	require.NoError(t, err)
	require.Equal(t, []string{"ada", "cyd"}, names)
	require.Equal(t, sampleManifest(), m)

	check := func(want Reason, signatures [][]byte, at time.Time) {
		t.Helper()
		_, _, err := r.Verify(raw, signatures, at, false)
		require.Equal(t, want, refusalReason(err), "%v", err)
	}
	check(TooFewSignatures, sign(1), now)
	check(TooFewSignatures, sign(1, 1), now)
	check(TooFewSignatures, nil, now)
	check(KeyNotValid, sign(0, 1), now.Add(2*time.Hour))
	check(KeyNotValid, sign(0, 1), now.Add(-2*time.Hour))
	check(BadSignature, [][]byte{sign(0)[0], minisign.Sign(keys[1], append(raw, ' '))}, now)
	check(BadSignature, [][]byte{[]byte("rubbish")}, now)
	_, unknown, _ := minisign.GenerateKey(rand.Reader)
	check(UnknownKey, [][]byte{sign(0)[0], minisign.Sign(unknown, raw)}, now)
	r.Keys[1].Revoked = true
	check(KeyRevoked, sign(0, 1), now)
	m, _, err = r.Verify(raw, sign(0, 1, 2), now, false)
	require.NoError(t, err, "two valid signatures suffice even if a third key is revoked")
	require.NotNil(t, m)
}

func TestKeyRing_RefusesOtherGroupAndVersionBelowMinimum(t *testing.T) {
	r, keys := newKeyRing(t)
	verify := func(change func(*Manifest), allowBelowMinVersion bool) error {
		m := sampleManifest()
		change(m)
		raw, err := m.Bytes()
		require.NoError(t, err)
		_, _, err = r.Verify(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now, allowBelowMinVersion)
		return err
	}
	require.Equal(t, WrongGroup, refusalReason(verify(func(m *Manifest) { m.Group = "muscat" }, false)))
	require.Equal(t, BelowMinVersion, refusalReason(verify(func(m *Manifest) { m.Version = 4 }, false)))
	require.NoError(t, verify(func(m *Manifest) { m.Version = 4 }, true), "a rollback may order a build below the minimum version")
}

func TestKeyRing_NextRequiresSignaturesByCurrentKeys(t *testing.T) {
	r, keys := newKeyRing(t)
	other, _ := newKeyRing(t)
	next := *r
	next.Version, next.Keys, next.Threshold = 2, append([]Key{r.Keys[0]}, other.Keys[1:]...), 2
	raw, err := json.Marshal(next)
	require.NoError(t, err)
	got, err := r.Next(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now)
	require.NoError(t, err)
	require.Equal(t, 2, got.Version)
	_, err = r.Next(raw, [][]byte{minisign.Sign(keys[0], raw)}, now)
	require.Equal(t, TooFewSignatures, refusalReason(err))
	_, err = got.Next(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now)
	require.Equal(t, UnknownKey, refusalReason(err), "signatures by a removed key don't count")
	back := *r
	raw, _ = json.Marshal(back)
	_, err = r.Next(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now)
	require.Equal(t, StaleKeyRing, refusalReason(err))
	back.Version, back.MinVersion = 3, 1
	raw, _ = json.Marshal(back)
	_, err = r.Next(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now)
	require.Equal(t, BelowMinVersion, refusalReason(err))
}
