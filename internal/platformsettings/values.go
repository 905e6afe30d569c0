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

// FromMicroseconds converts microseconds to the policy's time, truncated to whole ticks.
func FromMicroseconds(us int64) policy.Time { return policy.Time(us / microsecondsPerTick) }

// ToMicroseconds converts the policy's time to microseconds.
func ToMicroseconds(t policy.Time) int64 { return int64(t) * microsecondsPerTick }

// PathError is the error of an invalid setting.
type PathError struct {
	Path   string
	Reason string
}

func (e *PathError) Error() string { return e.Path + ": " + e.Reason }

// Values are settings by path, such as "Permissions.MaxAttempts". A list of objects is stored as its length at PATH.count
// and its objects at PATH.0 and so on. A list of plain values is stored as one comma-separated value.
type Values map[string]string

// Int returns the whole number at path, or 0 if it is absent or not a number.
func (v Values) Int(path string) int64 { return int64(v.Float(path)) }

// Float returns the number at path, or 0 if it is absent or not a number.
func (v Values) Float(path string) float64 { return float(v[path]) }

// Bool reports whether the setting at path is on.
func (v Values) Bool(path string) bool { return v[path] == "true" || v[path] == "1" }

// List returns the list of plain values at path.
func (v Values) List(path string) []string {
	if v[path] == "" {
		return nil
	}
	return strings.Split(v[path], ",")
}

// time returns the duration at path, which is in microseconds, as the policy's time.
func (v Values) time(path string) policy.Time { return FromMicroseconds(v.Int(path)) }

// count returns the length of the list of objects at path.
func (v Values) count(path string) int { return int(v.Int(path + ".count")) }

func float(text string) float64 {
	f, _ := strconv.ParseFloat(text, 64) // 0 if text is not a number
	return f
}

// Flatten converts a JSON object to values by path. It returns a *PathError for a list that mixes plain values with objects
// or lists.
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
		return &PathError{path, "list mixes plain values with objects or lists"}
	default:
		v[path] = strings.Join(plain, ",")
	}
	return nil
}
