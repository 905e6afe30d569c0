package scenario

import (
	"bytes"
	"os"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

// testdata/report.json was written by the program at commit d72f78e from a result with every field set. The test guards the
// keys and the order of the JSON report.
func TestResult_WriteJSONMatchesStoredReport(t *testing.T) {
	var r Result
	count := 0
	setFields(reflect.ValueOf(&r).Elem(), &count)
	var got bytes.Buffer
	require.NoError(t, r.WriteJSON(&got))
	want, err := os.ReadFile("testdata/report.json")
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}

// setFields recursively sets every exported field of a value. It derives numbers and texts from count, which it increments
// for each value, so that they differ from each other.
func setFields(v reflect.Value, count *int) {
	*count++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				setFields(v.Field(i), count)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setFields(v.Elem(), count)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setFields(v.Index(0), count)
	case reflect.Array:
		for i := range v.Len() {
			setFields(v.Index(i), count)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		setFields(key, count)
		setFields(value, count)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text" + strconv.Itoa(*count))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*count))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*count))
	case reflect.Float64:
		v.SetFloat(float64(*count) / 8)
	}
}

// testdata/report.txt is the expected text report of a result with every field set.
func TestResult_PrintMatchesStoredReport(t *testing.T) {
	var r Result
	count := 0
	setFields(reflect.ValueOf(&r).Elem(), &count)
	for _, score := range r.Scores {
		r.Scores["quote"] = score
	}
	r.Latencies["quote"] = []time.Duration{30 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond}
	r.Stages[0].Phase, r.Transitions[0].Phase = policy.Released, policy.Released
	r.Transitions[0].Build, r.Transitions[0].Stage = r.Stages[0].Build, r.Stages[0].Stage
	r.Agents.PhaseDurations["fetching"] = []time.Duration{3 * time.Second, time.Second}
	var got bytes.Buffer
	require.NoError(t, r.Print(&got))
	want, err := os.ReadFile("testdata/report.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}
