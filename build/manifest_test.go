package build

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sampleManifest() *Manifest {
	m := &Manifest{Format: 1, Name: "shop", Group: "tacoma", Version: 7, Start: []string{"bin/server", "--port", "{port}"},
		Files: []File{{Path: "bin/server", Size: 5, SHA256: Digest([]byte("hello")), Executable: true}, {Path: "data/a", SHA256: Digest(nil)}}}
	m.Ready.Path, m.Ready.Within, m.Drain.Within = "/ready", Duration(5*time.Second), Duration(time.Second)
	return m
}

func TestReadManifest_NamesInvalidField(t *testing.T) {
	raw, err := sampleManifest().Bytes()
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
	raw, _ := sampleManifest().Bytes()
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
			t.Fatalf("a decoded manifest is refused after it was encoded again: %v", err)
		}
		for _, file := range m.Files {
			if strings.HasPrefix(file.Path, "/") || strings.Contains("/"+file.Path+"/", "/../") {
				t.Fatalf("path %q is not below the build's folder", file.Path)
			}
		}
	})
}
