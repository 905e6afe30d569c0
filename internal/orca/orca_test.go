package orca

import (
	"encoding/base64"
	"testing"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"dapplefront/policy"
)

func TestParse_ReadsSameReportFromAllForms(t *testing.T) {
	raw, err := proto.Marshal(&orcav3.OrcaLoadReport{CpuUtilization: .25, RpsFractional: 12.5,
		NamedMetrics: map[string]float64{MetricActive: 3, MetricService: 20, MetricWaiting: 0}})
	require.NoError(t, err)
	want := &policy.LoadReport{ActiveRequests: 3, QueuedRequests: 0, CPUUtilization: .25, MeanLatency: 200, RequestsPerSecond: 12.5}
	for _, text := range []string{
		"TEXT cpu_utilization=0.25, rps_fractional=12.5,named_metrics.active=3,named_metrics.service_ms=20,named_metrics.waiting=0",
		`JSON {"cpu_utilization":0.25,"rpsFractional":12.5,"named_metrics":{"active":3,"service_ms":20,"waiting":0},"later":1}`,
		"BIN " + base64.StdEncoding.EncodeToString(raw)} {
		r, err := Parse(text)
		require.NoError(t, err, text)
		require.Equal(t, want, Load(r), text)
	}
	r, err := ParseBin(base64.StdEncoding.EncodeToString(raw))
	require.NoError(t, err)
	require.Equal(t, want, Load(r))
}

func TestLoad_UnreportedFieldsAreNegative(t *testing.T) {
	r, err := Parse("TEXT eps=1")
	require.NoError(t, err)
	require.Equal(t, &policy.LoadReport{ActiveRequests: -1, QueuedRequests: -1, CPUUtilization: -1, MeanLatency: -1, RequestsPerSecond: -1}, Load(r))
}

func TestParse_RejectsInvalidReports(t *testing.T) {
	for _, bad := range []string{"", "XML <a/>", "TEXT cpu_utilization", "TEXT cpu_utilization=much", "TEXT cpu_utilization=-1",
		"TEXT named_metrics.active=NaN", "JSON {", "JSON []", "BIN ???", "BIN AAAA", "TEXT rps=+Inf"} {
		_, err := Parse(bad)
		require.Error(t, err, bad)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("TEXT cpu_utilization=0.3")
	f.Add(`JSON {"cpu_utilization":1}`)
	f.Add("BIN CQAAAAAAANA/")
	f.Fuzz(func(t *testing.T, text string) {
		if r, err := Parse(text); err == nil {
			if l := Load(r); l.ActiveRequests < -1 || l.CPUUtilization < -1 || l.RequestsPerSecond < -1 || l.MeanLatency < -10 {
				t.Fatalf("%q gives %+v", text, l)
			}
		}
	})
}
