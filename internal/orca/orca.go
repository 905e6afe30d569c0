// Package orca reads load reports in the form of the open request cost aggregation (ORCA): the response header
// endpoint-load-metrics in its three forms, TEXT, JSON and BIN, and endpoint-load-metrics-bin. The message is
// xds.data.orca.v3.OrcaLoadReport of the cncf/xds repository.
package orca

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dapplefront/policy"
)

// Names of the header, and of the named metrics that carry what the report has no field of its own for.
const (
	Header    = "Endpoint-Load-Metrics"
	BinHeader = "Endpoint-Load-Metrics-Bin"

	Active  = "active"     // tasks in hand
	Waiting = "waiting"    // tasks in the queue
	Service = "service_ms" // recent time of a task without waiting, in milliseconds
)

const maxReportBytes = 4096 // bytes of a report: a few dozen named metrics

// Parse reads the value of the header Header. An error says which part is wrong; nothing of such a report counts.
func Parse(value string) (*orcav3.OrcaLoadReport, error) {
	if len(value) > maxReportBytes {
		return nil, fmt.Errorf("load report: longer than %d bytes", maxReportBytes)
	}
	form, rest, _ := strings.Cut(strings.TrimSpace(value), " ")
	switch form {
	case "TEXT":
		return parseText(rest)
	case "JSON":
		r := &orcav3.OrcaLoadReport{}
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal([]byte(rest), r); err != nil {
			return nil, fmt.Errorf("load report: %w", err)
		}
		return r, validate(r)
	case "BIN":
		return ParseBin(rest)
	}
	return nil, fmt.Errorf("load report: TEXT, JSON or BIN expected first, not %.20q", form)
}

// ParseBin reads the value of the header BinHeader.
func ParseBin(value string) (*orcav3.OrcaLoadReport, error) {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(value))
	if err != nil {
		raw, err = base64.RawStdEncoding.DecodeString(strings.TrimSpace(value))
	}
	r := &orcav3.OrcaLoadReport{}
	if err == nil {
		err = proto.Unmarshal(raw, r)
	}
	if err != nil {
		return nil, fmt.Errorf("load report: %w", err)
	}
	return r, validate(r)
}

func parseText(text string) (*orcav3.OrcaLoadReport, error) {
	r := &orcav3.OrcaLoadReport{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			name, value, ok = strings.Cut(part, ":")
		}
		name = strings.TrimSpace(name)
		figure, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || name == "" || err != nil {
			return nil, fmt.Errorf("load report: name=number expected, not %.40q", part)
		}
		switch name {
		case "cpu_utilization":
			r.CpuUtilization = figure
		case "mem_utilization":
			r.MemUtilization = figure
		case "application_utilization":
			r.ApplicationUtilization = figure
		case "rps", "rps_fractional":
			r.RpsFractional = figure
		case "eps":
			r.Eps = figure
		default:
			if r.NamedMetrics == nil {
				r.NamedMetrics = map[string]float64{}
			}
			r.NamedMetrics[strings.TrimPrefix(name, "named_metrics.")] = figure
		}
	}
	return r, validate(r)
}

// validate turns away figures that no host can mean.
func validate(r *orcav3.OrcaLoadReport) error {
	wrong := func(name string, v float64) error {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return fmt.Errorf("load report: %s is %v, a number from 0 expected", name, v)
		}
		return nil
	}
	for name, v := range map[string]float64{"cpu_utilization": r.CpuUtilization, "rps": r.RpsFractional,
		"application_utilization": r.ApplicationUtilization} {
		if err := wrong(name, v); err != nil {
			return err
		}
	}
	for name, v := range r.NamedMetrics {
		if err := wrong(name, v); err != nil {
			return err
		}
	}
	return nil
}

// Load is a report in the module's words; what was not reported is negative. The form can't tell a busy share or a
// rate of 0 from none, so 0 counts as not reported there.
func Load(r *orcav3.OrcaLoadReport) *policy.LoadReport {
	l := &policy.LoadReport{ActiveRequests: -1, QueuedRequests: -1, CPUUtilization: -1, MeanLatency: -1, RequestsPerSecond: -1}
	if v, ok := r.NamedMetrics[Active]; ok {
		l.ActiveRequests = v
	}
	if v, ok := r.NamedMetrics[Waiting]; ok {
		l.QueuedRequests = v
	}
	if v, ok := r.NamedMetrics[Service]; ok {
		l.MeanLatency = v * 10
	}
	if l.CPUUtilization = r.ApplicationUtilization; l.CPUUtilization == 0 {
		l.CPUUtilization = r.CpuUtilization
	}
	if l.CPUUtilization == 0 {
		l.CPUUtilization = -1
	}
	if l.RequestsPerSecond = r.RpsFractional; l.RequestsPerSecond == 0 {
		l.RequestsPerSecond = -1
	}
	return l
}
