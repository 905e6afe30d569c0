package inifile

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParse_ReportsAllMistakesWithTheirLines(t *testing.T) {
	f := Parse("f.ini", `
[a]
span = 5
share = 120%
share = 3%
rate = fast
size = 3MB
where = nowhere
word = other
on = yes
nets = 10.0.0.1/8
nonsense
odd = 1
[b
[c]
x = 1 # said
`)
	section := f.Section("a")
	section.Duration("span", "1s")
	section.Share("share", "1%")
	section.Float("rate", "1", 0, 10)
	section.Bytes("size", "1KiB")
	section.Address("where", "127.0.0.1:1")
	section.OneOf("word", "one", "one", "two")
	section.Bool("on", "off")
	section.Networks("nets", "")
	section.Text("needed", "!")
	require.Equal(t, 1, f.Section("c").Int("x", "0", 0, 5))
	text := f.Err().Error()
	for _, want := range []string{"f.ini:3: [a] span = 5: a time with a unit", "f.ini:4: [a] share = 120%: a share",
		"f.ini:5: share has already been set on line 4", "f.ini:6: [a] rate = fast: a number from 0 to 10 expected", "f.ini:7: [a] size",
		"f.ini:8: [a] where", "f.ini:9: [a] word = other: one or two expected", "f.ini:10: [a] on = yes: on or off expected",
		"f.ini:11: [a] nets", "f.ini:12: name = value expected", `f.ini:13: unknown key "odd" in [a]`, "f.ini:14: [section] expected",
		"f.ini:2: [a] needed is missing"} {
		require.Contains(t, text, want)
	}
}

func TestSection_ReturnsValuesAndDefaults(t *testing.T) {
	s := Parse("f.ini", "[a]\nspan = 250ms\nlist = x, y ,\nsize = 2MiB\nshares = 1%, 50%\n[kind one]\n[kind two]\n")
	p := s.Section("a")
	require.Equal(t, 250*time.Millisecond, p.Duration("span", "1s"))
	require.Equal(t, []string{"x", "y"}, p.List("list", ""))
	require.Equal(t, 2<<20, p.Bytes("size", "1B"))
	require.Equal(t, []float64{.01, .5}, p.Shares("shares", "1%"))
	require.Equal(t, time.Second, p.Duration("other", "1s"))
	_, names := s.Sections("kind")
	require.Equal(t, []string{"one", "two"}, names)
	require.NoError(t, s.Err())
}

func TestRead_ReportsMissingFile(t *testing.T) {
	s := Read(filepath.Join(t.TempDir(), "none.ini"))
	s.Section("a").Text("b", "!")
	require.ErrorIs(t, func() error { _, err := os.Stat("none"); return err }(), os.ErrNotExist)
	require.ErrorContains(t, s.Err(), "can't be read")
}
