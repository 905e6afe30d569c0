package platformsettings

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

const nestedSettings = `{"Balancers":3,"Rank":1,"MyZone":"here","Categories":[
	{"Name":"quote","AimUs":380000,"Importance":1.0,"LateValue":0.2,"Semantics":"repeatable","DedupScope":"all","WindowUs":5000000},
	{"Name":"pay","AimUs":250000,"Importance":3,"Semantics":"once","DedupScope":"cell","Stream":false,"WindowUs":0}],
	"Parties":[],"Permissions":{"MaxAttempts":6,"RetryAfter":true,"MaxRetryAfterUs":2000000},"RegistryMode":"on_request",
	"Obligations":{"DrainGraceUs":2000000,"StartCapacity":0.33},"Report":{"Fields":["rps","avg_ms","active"],"How":"inline"},
	"Extra":{"Control":"share","StageCap":[0.096,0.48,1.0],"AyesNeeded":2,"MetricsPeriodUs":1500000,"SampledShare":0.5}}`

var flattenedSettings = Values{"Balancers": "3", "Rank": "1", "MyZone": "here", "Categories.count": "2", "Categories.0.Name": "quote",
	"Categories.0.AimUs": "380000", "Categories.0.Importance": "1", "Categories.0.LateValue": "0.2",
	"Categories.0.Semantics": "repeatable", "Categories.0.DedupScope": "all", "Categories.0.WindowUs": "5000000",
	"Categories.1.Name": "pay", "Categories.1.AimUs": "250000", "Categories.1.Importance": "3", "Categories.1.Semantics": "once",
	"Categories.1.DedupScope": "cell", "Categories.1.Stream": "false", "Parties.count": "0", "Permissions.MaxAttempts": "6",
	"Permissions.RetryAfter": "1", "Permissions.MaxRetryAfterUs": "2000000", "RegistryMode": "on_request",
	"Obligations.DrainGraceUs": "2000000", "Obligations.StartCapacity": "0.33", "Report.Fields": "rps,avg_ms,active",
	"Extra.Control": "share", "Extra.StageCap": "0.096,0.48,1", "Extra.AyesNeeded": "2", "Extra.MetricsPeriodUs": "1500000",
	"Extra.SampledShare": "0.5"}

func TestRead_GivesSameSettingsForPairsAndJSON(t *testing.T) {
	p, err := Flatten([]byte(nestedSettings))
	require.NoError(t, err)
	got, want := Read(p, 7), Read(flattenedSettings, 7)
	require.Equal(t, want, got)
	require.Equal(t, 3, got.Router.Routers)
	require.Equal(t, policy.Time(3800), got.Router.Classes[0].LatencyObjective)
	require.Equal(t, policy.NonIdempotent, got.Router.Classes[1].Idempotency)
	require.Equal(t, policy.CellScope, got.Router.Classes[1].DedupScope)
	require.Equal(t, []float64{0.096, 0.48, 1}, got.Router.Release.ExposureCaps)
	require.Equal(t, policy.Time(20000), got.Router.Limits.MaxRetryAfter)
	require.Equal(t, policy.Time(15000), got.StatsWindow)
}

func TestFlatten_RejectsInvalidJSONWithPath(t *testing.T) {
	for _, text := range []string{``, `7`, `[1]`, `{"a":`, `{"a":[1,{"b":2}]}`} {
		_, err := Flatten([]byte(text))
		require.Error(t, err, text)
	}
	_, err := Flatten([]byte(`{"a":{"b":[1,{"c":2}]}}`))
	require.ErrorContains(t, err, "a.b")
}

func TestParseReport_RejectsMalformedReports(t *testing.T) {
	r := ReportFields{"rps", "avg_ms", "active"}
	got, err := ParseReport("active=7, rps=2.5,avg_ms=40")
	require.NoError(t, err)
	require.Equal(t, r.FromValues([]float64{2.5, 40, 7}), got)
	require.Equal(t, &policy.LoadReport{ActiveRequests: 7, QueuedRequests: -1, CPUUtilization: -1, MeanLatency: 400, RequestsPerSecond: 2.5}, got)
	for _, text := range []string{"", "active", "active=", "active=x", "active=NaN", "active=-1", "active=1,,", "active=+Inf", "\x00"} {
		_, err := ParseReport(text)
		require.Error(t, err, text)
	}
	require.Nil(t, r.FromValues(nil))
}
