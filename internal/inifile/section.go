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

// Required is the default value of a key that must be in the file.
const Required = "!"

// errUnexpected makes parseValue report what was expected. Its text is not shown.
var errUnexpected = errors.New("unexpected value")

// Section is one section of a file. Its methods that read a key return the value, or the default value if the key is absent.
// With the default value Required, an absent key is a mistake. After a mistake the methods return the zero value, and
// File.Err reports the mistake.
type Section struct {
	file *File
	name string
}

// Has reports whether the section is in the file.
func (s Section) Has() bool { return s.Line() > 0 }

// Line returns the number of the line on which the section starts; 0 if the section is absent.
func (s Section) Line() int { return s.file.lines[position{section: s.name}] }

// AddError adds a mistake at the line of a key, or at the line of the section if the key is empty or absent.
func (s Section) AddError(key, format string, values ...any) {
	line := s.file.lines[position{s.name, key}]
	if line == 0 {
		line = max(1, s.Line())
	}
	s.file.addError(line, "[%s] "+format, append([]any{s.name}, values...)...)
}

// Text returns the value of a key.
func (s Section) Text(key, defaultValue string) string {
	at := position{s.name, key}
	s.file.requested[at] = true
	if s.file.lines[at] == 0 {
		if defaultValue == Required {
			s.AddError("", "%s is missing", key)
			return ""
		}
		return defaultValue
	}
	value := s.file.ini.Section(s.name).Key(key).String()
	if value == "" {
		s.AddError(key, "%s has no value", key)
	}
	return value
}

// parseValue parses the value of a key. If parse fails, it reports what was expected.
func parseValue[T any](s Section, key, defaultValue, expected string, parse func(string) (T, error)) (value T) {
	text := s.Text(key, defaultValue)
	if text == "" {
		return value
	}
	value, err := parse(text)
	if err != nil {
		s.AddError(key, "%s = %s: %s expected", key, text, expected)
	}
	return value
}

// parseList parses comma-separated values. It returns no values if one of them can't be parsed.
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

// Duration returns a time with a unit, 0 or more.
func (s Section) Duration(key, defaultValue string) time.Duration {
	return parseValue(s, key, defaultValue, "a time with a unit, such as 250ms or 2s,", func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		if text == "0" || d < 0 || err != nil {
			return 0, errUnexpected
		}
		return d, nil
	})
}

// Share returns a percentage from 0% to 100% as a number from 0 to 1.
func (s Section) Share(key, defaultValue string) float64 {
	return parseValue(s, key, defaultValue, "a share from 0% to 100%", parseShare)
}

// Shares returns a list of shares.
func (s Section) Shares(key, defaultValue string) []float64 {
	return parseValue(s, key, defaultValue, "comma-separated shares from 0% to 100%", func(text string) ([]float64, error) {
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

// Float returns a number from low to high.
func (s Section) Float(key, defaultValue string, low, high float64) float64 {
	return parseValue(s, key, defaultValue, fmt.Sprintf("a number from %g to %g", low, high), func(text string) (float64, error) {
		v, err := strconv.ParseFloat(text, 64)
		if inRange := v >= low && v <= high; err != nil || !inRange || math.IsInf(v, 0) {
			return 0, errUnexpected
		}
		return v, nil
	})
}

// Int returns a whole number from low to high.
func (s Section) Int(key, defaultValue string, low, high int) int {
	return parseValue(s, key, defaultValue, fmt.Sprintf("a whole number from %d to %d", low, high), func(text string) (int, error) {
		v, err := strconv.Atoi(text)
		if err != nil || v < low || v > high {
			return 0, errUnexpected
		}
		return v, nil
	})
}

// Seed returns an unsigned whole number of 64 bits.
func (s Section) Seed(key, defaultValue string) uint64 {
	return parseValue(s, key, defaultValue, "a whole number", func(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) })
}

// Bool returns true for on and false for off.
func (s Section) Bool(key, defaultValue string) bool {
	return s.OneOf(key, defaultValue, "on", "off") == "on"
}

// OneOf returns one of the allowed values.
func (s Section) OneOf(key, defaultValue string, allowed ...string) string {
	return parseValue(s, key, defaultValue, strings.Join(allowed, " or "), func(text string) (string, error) {
		if !slices.Contains(allowed, text) {
			return "", errUnexpected
		}
		return text, nil
	})
}

// byteUnits are the units of sizes. B comes last because it is a suffix of the others.
var byteUnits = []struct {
	suffix string
	bytes  int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Bytes returns a size from 1 B to 1 TiB in bytes. The unit in the file is B, KiB, MiB or GiB.
func (s Section) Bytes(key, defaultValue string) int {
	return parseValue(s, key, defaultValue, "a size with a unit, such as 64KiB or 1MiB,", parseBytes)
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

// List returns a list of comma-separated texts without the empty ones.
func (s Section) List(key, defaultValue string) (texts []string) {
	for part := range strings.SplitSeq(s.Text(key, defaultValue), ",") {
		if part = strings.TrimSpace(part); part != "" {
			texts = append(texts, part)
		}
	}
	return texts
}

// Address returns an address of the form HOST:PORT with a numeric port.
func (s Section) Address(key, defaultValue string) string {
	return parseValue(s, key, defaultValue, "an address such as 127.0.0.1:8080", func(text string) (string, error) {
		host, port, err := net.SplitHostPort(text)
		n, notNumeric := strconv.Atoi(port)
		if err != nil || notNumeric != nil || n < 0 || n > math.MaxUint16 || host == "" {
			return "", errUnexpected
		}
		return text, nil
	})
}

// Networks returns a list of address ranges such as 10.0.0.0/8.
func (s Section) Networks(key, defaultValue string) []netip.Prefix {
	return parseValue(s, key, defaultValue, "comma-separated networks such as 10.1.0.0/16", func(text string) ([]netip.Prefix, error) {
		return parseList(text, func(part string) (netip.Prefix, error) {
			prefix, err := netip.ParsePrefix(part)
			if err != nil || prefix != prefix.Masked() {
				return netip.Prefix{}, errUnexpected
			}
			return prefix, nil
		})
	})
}
