package inifile

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Required is the default of a key that has to be in the file.
const Required = "!"

// errUnexpected makes parseValue report what was expected.
var errUnexpected = errors.New("other")

// Section is one section of a file. Its methods that read a key return the value, or the default where the key is absent;
// the default Required makes an absent key a mistake. After a mistake they return the zero value, and File.Done reports it.
type Section struct {
	file *File
	name string
}

// Has reports whether the section is in the file.
func (s Section) Has() bool { return s.Line() > 0 }

// Line is the line that the section starts on; 0 if it is absent.
func (s Section) Line() int { return s.file.lines[position{section: s.name}] }

// AddError reports a mistake at a key, or at the section if the key is empty or absent.
func (s Section) AddError(key, format string, values ...any) {
	line := s.file.lines[position{s.name, key}]
	if line == 0 {
		line = max(1, s.Line())
	}
	s.file.addError(line, "[%s] "+format, append([]any{s.name}, values...)...)
}

// Text is the value of a key.
func (s Section) Text(key, byDefault string) string {
	at := position{s.name, key}
	s.file.requested[at] = true
	if s.file.lines[at] == 0 {
		if byDefault == Required {
			s.AddError("", "%s is missing", key)
			return ""
		}
		return byDefault
	}
	value := s.file.ini.Section(s.name).Key(key).String()
	if value == "" {
		s.AddError(key, "%s has no value", key)
	}
	return value
}

// parseValue reads a value by parse and reports what was expected where that fails.
func parseValue[T any](s Section, key, byDefault, expected string, parse func(string) (T, error)) (value T) {
	text := s.Text(key, byDefault)
	if text == "" {
		return value
	}
	value, err := parse(text)
	if err != nil {
		s.AddError(key, "%s = %s: %s expected", key, text, expected)
	}
	return value
}

// parseList reads values with commas between them, all or none.
func parseList[T any](text string, parse func(string) (T, error)) ([]T, error) {
	var values []T
	for part := range strings.SplitSeq(text, ",") {
		value, err := parse(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// Duration is a time with a unit, 0 or more.
func (s Section) Duration(key, byDefault string) time.Duration {
	return parseValue(s, key, byDefault, "a time with a unit, such as 250ms or 2s,", func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		if text == "0" || d < 0 || err != nil {
			return 0, errUnexpected
		}
		return d, nil
	})
}

// Share is a percentage from 0% to 100%, as a number from 0 to 1.
func (s Section) Share(key, byDefault string) float64 {
	return parseValue(s, key, byDefault, "a share from 0% to 100%", parseShare)
}

// Shares is a list of shares.
func (s Section) Shares(key, byDefault string) []float64 {
	return parseValue(s, key, byDefault, "shares from 0% to 100%, with commas between them,", func(text string) ([]float64, error) {
		return parseList(text, parseShare)
	})
}

func parseShare(text string) (float64, error) {
	const percent = 100
	digits, ok := strings.CutSuffix(text, "%")
	v, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if inRange := v >= 0 && v <= percent; !ok || err != nil || !inRange {
		return 0, errUnexpected
	}
	return v / percent, nil
}

// Float is a number from low to high.
func (s Section) Float(key, byDefault string, low, high float64) float64 {
	return parseValue(s, key, byDefault, fmt.Sprintf("a number from %g to %g", low, high), func(text string) (float64, error) {
		v, err := strconv.ParseFloat(text, 64)
		if inRange := v >= low && v <= high; err != nil || !inRange || math.IsInf(v, 0) {
			return 0, errUnexpected
		}
		return v, nil
	})
}

// Int is a whole number from low to high.
func (s Section) Int(key, byDefault string, low, high int) int {
	return parseValue(s, key, byDefault, fmt.Sprintf("a whole number from %d to %d", low, high), func(text string) (int, error) {
		v, err := strconv.Atoi(text)
		if err != nil || v < low || v > high {
			return 0, errUnexpected
		}
		return v, nil
	})
}

// Seed is a whole number of 64 bits.
func (s Section) Seed(key, byDefault string) uint64 {
	return parseValue(s, key, byDefault, "a whole number", func(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) })
}

// Bool is on or off.
func (s Section) Bool(key, byDefault string) bool {
	return s.OneOf(key, byDefault, "on", "off") == "on"
}

// OneOf is one of the allowed values.
func (s Section) OneOf(key, byDefault string, allowed ...string) string {
	return parseValue(s, key, byDefault, strings.Join(allowed, " or "), func(text string) (string, error) {
		if !slices.Contains(allowed, text) {
			return "", errUnexpected
		}
		return text, nil
	})
}

// byteUnits are the units of sizes. B comes last, as the others end in it.
var byteUnits = []struct {
	suffix string
	bytes  int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Bytes is a size with a unit - B, KiB, MiB or GiB - from 1 B to 1 TiB, in bytes.
func (s Section) Bytes(key, byDefault string) int {
	return parseValue(s, key, byDefault, "a size with a unit, such as 64KiB or 1MiB,", parseBytes)
}

func parseBytes(text string) (int, error) {
	const maxBytes = 1 << 40
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(digits))
		if err != nil || n < 1 || n > maxBytes/unit.bytes {
			return 0, errUnexpected
		}
		return n * unit.bytes, nil
	}
	return 0, errUnexpected
}

// List is a list of texts with commas between them; empty ones are left out.
func (s Section) List(key, byDefault string) (texts []string) {
	for part := range strings.SplitSeq(s.Text(key, byDefault), ",") {
		if part = strings.TrimSpace(part); part != "" {
			texts = append(texts, part)
		}
	}
	return texts
}

// Address is HOST:PORT, with a numeric port.
func (s Section) Address(key, byDefault string) string {
	return parseValue(s, key, byDefault, "an address such as 127.0.0.1:8080", func(text string) (string, error) {
		host, port, err := net.SplitHostPort(text)
		n, notNumeric := strconv.Atoi(port)
		if err != nil || notNumeric != nil || n < 0 || n > math.MaxUint16 || host == "" {
			return "", errUnexpected
		}
		return text, nil
	})
}

// Networks is a list of address ranges such as 10.0.0.0/8.
func (s Section) Networks(key, byDefault string) []netip.Prefix {
	return parseValue(s, key, byDefault, "networks such as 10.1.0.0/16, with commas between them,", func(text string) ([]netip.Prefix, error) {
		return parseList(text, func(part string) (netip.Prefix, error) {
			prefix, err := netip.ParsePrefix(part)
			if err != nil || prefix != prefix.Masked() {
				return netip.Prefix{}, errUnexpected
			}
			return prefix, nil
		})
	})
}
