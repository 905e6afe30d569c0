// Package orca parses load reports of Open Request Cost Aggregation (ORCA): the response header endpoint-load-metrics in
// its three forms, TEXT, JSON and BIN, and the header endpoint-load-metrics-bin. The message is
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

// Names of the headers.
const (
	Header    = "Endpoint-Load-Metrics"
	BinHeader = "Endpoint-Load-Metrics-Bin"
)

// Named metrics for values that have no field of their own in the report.
const (
	MetricActive  = "active"     // requests in progress
	MetricWaiting = "waiting"    // requests in the queue
	MetricService = "service_ms" // recent mean processing time of a request, without its time in the queue, in milliseconds
)

const (
	maxReportBytes      = 4096 // maximum size of a header value; enough for a few dozen named metrics
	ticksPerMillisecond = 10   // of policy.Time
)

// Parse parses the value of Header. An error says which part is invalid; the report must not be used then.
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
	return nil, fmt.Errorf("load report: must begin with TEXT, JSON or BIN, not %.20q", form)
}

// ParseBin parses the value of BinHeader, which is base64 with or without padding.
func ParseBin(value string) (*orcav3.OrcaLoadReport, error) {
	value = strings.TrimSpace(value)
	raw, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		raw, err = base64.RawStdEncoding.DecodeString(value)
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

// parseText parses a comma-separated list of name=number or name:number.
func parseText(text string) (*orcav3.OrcaLoadReport, error) {
	r := &orcav3.OrcaLoadReport{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			name, value, ok = strings.Cut(part, ":")
		}
		name = strings.TrimSpace(name)
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || name == "" || err != nil {
			return nil, fmt.Errorf("load report: expected name=number, got %.40q", part)
		}
		switch name {
		case "cpu_utilization":
			r.CpuUtilization = number
		case "mem_utilization":
			r.MemUtilization = number
		case "application_utilization":
			r.ApplicationUtilization = number
		case "rps", "rps_fractional":
			r.RpsFractional = number
		case "eps":
			r.Eps = number
		default:
			if r.NamedMetrics == nil {
				r.NamedMetrics = map[string]float64{}
			}
			r.NamedMetrics[strings.TrimPrefix(name, "named_metrics.")] = number
		}
	}
	return r, validate(r)
}

// validate rejects values that are negative, infinite or not a number, in the fields that Load uses.
func validate(r *orcav3.OrcaLoadReport) error {
	fields := map[string]float64{"cpu_utilization": r.CpuUtilization, "rps": r.RpsFractional,
		"application_utilization": r.ApplicationUtilization}
	for _, metrics := range []map[string]float64{fields, r.NamedMetrics} {
		for name, v := range metrics {
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				return fmt.Errorf("load report: %s is %v, must be finite and not negative", name, v)
			}
		}
	}
	return nil
}

// Load converts the report to a policy.LoadReport, in which values that were not reported are negative. The message doesn't
// distinguish a utilization or a rate of 0 from an absent one, so a 0 there counts as not reported.
func Load(r *orcav3.OrcaLoadReport) *policy.LoadReport {
	l := &policy.LoadReport{ActiveRequests: -1, QueuedRequests: -1, CPUUtilization: -1, MeanLatency: -1, RequestsPerSecond: -1}
	if v, ok := r.NamedMetrics[MetricActive]; ok {
		l.ActiveRequests = v
	}
	if v, ok := r.NamedMetrics[MetricWaiting]; ok {
		l.QueuedRequests = v
	}
	if v, ok := r.NamedMetrics[MetricService]; ok {
		l.MeanLatency = v * ticksPerMillisecond
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
