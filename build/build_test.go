package build

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"aead.dev/minisign"
	"github.com/stretchr/testify/require"
)

var now = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func sample() *Manifest {
	m := &Manifest{Format: 1, Name: "shop", Group: "tacoma", Version: 7, Start: []string{"bin/server", "--port", "{port}"},
		Files: []File{{Path: "bin/server", Size: 5, SHA256: Digest([]byte("hello")), Executable: true}, {Path: "data/a", SHA256: Digest(nil)}}}
	m.Ready.Path, m.Ready.Within, m.Drain.Within = "/ready", Duration(5*time.Second), Duration(time.Second)
	return m
}

// people are three signers, and a ring that wants two of them.
func people(t *testing.T) (*KeyRing, []minisign.PrivateKey) {
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

func why(err error) Reason {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

func TestABuildNeedsEnoughGoodSignatures(t *testing.T) {
	r, keys := people(t)
	raw, err := sample().Bytes()
	require.NoError(t, err)
	sign := func(of ...int) (all [][]byte) {
		for _, i := range of {
			all = append(all, minisign.Sign(keys[i], raw))
		}
		return all
	}
	m, names, err := r.Verify(raw, sign(0, 2), now, false)
	require.NoError(t, err)
	require.Equal(t, []string{"ada", "cyd"}, names)
	require.Equal(t, sample(), m)

	check := func(want Reason, signatures [][]byte, at time.Time) {
		t.Helper()
		_, _, err := r.Verify(raw, signatures, at, false)
		require.Equal(t, want, why(err), "%v", err)
	}
	check(TooFewSignatures, sign(1), now)
	check(TooFewSignatures, sign(1, 1), now)
	check(TooFewSignatures, nil, now)
	check(KeyNotValid, sign(0, 1), now.Add(2*time.Hour))
	check(KeyNotValid, sign(0, 1), now.Add(-2*time.Hour))
	check(BadSignature, [][]byte{sign(0)[0], minisign.Sign(keys[1], append(raw, ' '))}, now)
	check(BadSignature, [][]byte{[]byte("rubbish")}, now)
	_, stranger, _ := minisign.GenerateKey(rand.Reader)
	check(UnknownKey, [][]byte{sign(0)[0], minisign.Sign(stranger, raw)}, now)
	r.Keys[1].Revoked = true
	check(KeyRevoked, sign(0, 1), now)
	m, _, err = r.Verify(raw, sign(0, 1, 2), now, false)
	require.NoError(t, err, "two good ones are enough beside a revoked one")
	require.NotNil(t, m)
}

func TestOtherGroupsAndOldBuildsAreRefused(t *testing.T) {
	r, keys := people(t)
	verify := func(change func(*Manifest), takeBack bool) error {
		m := sample()
		change(m)
		raw, err := m.Bytes()
		require.NoError(t, err)
		_, _, err = r.Verify(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now, takeBack)
		return err
	}
	require.Equal(t, WrongGroup, why(verify(func(m *Manifest) { m.Group = "muscat" }, false)))
	require.Equal(t, BelowMinVersion, why(verify(func(m *Manifest) { m.Version = 4 }, false)))
	require.NoError(t, verify(func(m *Manifest) { m.Version = 4 }, true), "a take-back may order it")
}

func TestKeysChangeByTheOldKeysWord(t *testing.T) {
	r, keys := people(t)
	other, _ := people(t)
	next := *r
	next.Version, next.Keys, next.Threshold = 2, append([]Key{r.Keys[0]}, other.Keys[1:]...), 2
	raw, err := json.Marshal(next)
	require.NoError(t, err)
	got, err := r.Next(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now)
	require.NoError(t, err)
	require.Equal(t, 2, got.Version)
	_, err = r.Next(raw, [][]byte{minisign.Sign(keys[0], raw)}, now)
	require.Equal(t, TooFewSignatures, why(err))
	_, err = got.Next(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now)
	require.Equal(t, UnknownKey, why(err), "a key that was taken out has no word any more")
	back := *r
	raw, _ = json.Marshal(back)
	_, err = r.Next(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now)
	require.Equal(t, StaleKeyRing, why(err))
	back.Version, back.MinVersion = 3, 1
	raw, _ = json.Marshal(back)
	_, err = r.Next(raw, [][]byte{minisign.Sign(keys[0], raw), minisign.Sign(keys[1], raw)}, now)
	require.Equal(t, BelowMinVersion, why(err))
}

func TestManifestsThatMakeNoSense(t *testing.T) {
	raw, err := sample().Bytes()
	require.NoError(t, err)
	for want, bad := range map[string]string{
		"plain path":          strings.Replace(string(raw), `"data/a"`, `"../a"`, 1),
		"no plain path":       strings.Replace(string(raw), `"data/a"`, `"/etc/a"`, 1),
		"is no plain":         strings.Replace(string(raw), `"data/a"`, `"data//a"`, 1),
		"may not stand":       strings.Replace(string(raw), `"data/a"`, `"data\\a"`, 1),
		"stands twice":        strings.Replace(string(raw), `"data/a"`, `"BIN/Server"`, 1),
		"in what is a file":   strings.Replace(string(raw), `"data/a"`, `"bin/server/a"`, 1),
		"sha256":              strings.Replace(string(raw), Digest(nil), "00", 1),
		"may run":             strings.Replace(string(raw), `"start": [`, `"start": ["data/a",`, 1),
		"unknown field":       strings.Replace(string(raw), `"name"`, `"nickname": "x", "name"`, 1),
		`"version" stands`:    strings.Replace(string(raw), `"version"`, `"Version": 9, "version"`, 1),
		"follows its end":     string(raw) + "{}",
		"unexpected EOF":      string(raw[:len(raw)/2]),
		"ready.path":          strings.Replace(string(raw), `"/ready"`, `"ready"`, 1),
		"a time with a unit":  strings.Replace(string(raw), `"5s"`, `"5"`, 1),
		"version: 1 to 65535": strings.Replace(string(raw), `"version": 7`, `"version": 0`, 1),
		"files[0].size":       strings.Replace(string(raw), `"size": 5`, `"size": -5`, 1),
		"format: 1 expected":  strings.Replace(string(raw), `"format": 1`, `"format": 2`, 1),
		"group: letters":      strings.Replace(string(raw), `"tacoma"`, `"../x"`, 1),
	} {
		_, err := ReadManifest([]byte(bad))
		require.ErrorContains(t, err, want)
	}
}

func FuzzRead(f *testing.F) {
	raw, _ := sample().Bytes()
	f.Add(raw)
	f.Add([]byte(`{"format":1,"files":[{"path":"../x"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := ReadManifest(raw)
		if err != nil {
			return
		}
		again, err := m.Bytes()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadManifest(again); err != nil {
			t.Fatalf("what was read is not to be read again: %v", err)
		}
		for _, file := range m.Files {
			if strings.HasPrefix(file.Path, "/") || strings.Contains("/"+file.Path+"/", "/../") {
				t.Fatalf("path %q", file.Path)
			}
		}
	})
}
