package platformsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"dapplefront/policy"
)

// microsecondsPerTick is the resolution of policy.Time.
const microsecondsPerTick = 100

// FromMicroseconds converts microseconds to the policy's time; parts of a tick are dropped.
func FromMicroseconds(us int64) policy.Time { return policy.Time(us / microsecondsPerTick) }

// ToMicroseconds converts the policy's time to microseconds.
func ToMicroseconds(t policy.Time) int64 { return int64(t) * microsecondsPerTick }

// PathError is a mistake in the settings.
type PathError struct {
	Path   string
	Reason string
}

func (e *PathError) Error() string { return e.Path + ": " + e.Reason }

// Values are settings by path, as "Permissions.MaxAttempts". A list of objects is stored as its length at PATH.count and
// its parts at PATH.0 and so on, a list of plain values as one value with commas between them.
type Values map[string]string

// Int is the whole number at path; 0 if it is absent or not a number.
func (v Values) Int(path string) int64 { return int64(v.Float(path)) }

// Float is the number at path; 0 if it is absent or not a number.
func (v Values) Float(path string) float64 { return float(v[path]) }

// Bool reports whether path is switched on.
func (v Values) Bool(path string) bool { return v[path] == "true" || v[path] == "1" }

// List is the list of plain values at path.
func (v Values) List(path string) []string {
	if v[path] == "" {
		return nil
	}
	return strings.Split(v[path], ",")
}

// time is the time at path, which is given in microseconds.
func (v Values) time(path string) policy.Time { return FromMicroseconds(v.Int(path)) }

// count is the length of the list of objects at path.
func (v Values) count(path string) int { return int(v.Int(path + ".count")) }

func float(text string) float64 {
	f, _ := strconv.ParseFloat(text, 64) // 0 for what is not a number
	return f
}

// Flatten reads a JSON object as values by path. A *PathError names a list that mixes plain values with others.
func Flatten(text []byte) (Values, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var object map[string]any
	if err := d.Decode(&object); err != nil {
		return nil, err
	}
	v := Values{}
	for name, value := range object {
		if err := v.put(name, value); err != nil {
			return nil, err
		}
	}
	return v, nil
}

func (v Values) put(path string, value any) error {
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			if err := v.put(path+"."+name, inner); err != nil {
				return err
			}
		}
	case []any:
		return v.putList(path, value)
	case nil:
	default:
		v[path] = fmt.Sprint(value)
	}
	return nil
}

func (v Values) putList(path string, list []any) error {
	var plain []string
	for i, item := range list {
		switch item.(type) {
		case map[string]any, []any:
			if err := v.put(fmt.Sprintf("%s.%d", path, i), item); err != nil {
				return err
			}
		default:
			plain = append(plain, fmt.Sprint(item))
		}
	}
	switch {
	case plain == nil:
		v[path+".count"] = strconv.Itoa(len(list))
	case len(plain) < len(list):
		return &PathError{path, "plain values and others in one list"}
	default:
		v[path] = strings.Join(plain, ",")
	}
	return nil
}
