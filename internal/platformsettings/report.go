package platformsettings

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"dapplefront/policy"
)

// ReportFields are the names of a load report's fields, in their order, as the settings name them.
type ReportFields []string

// FromValues reads a report of values in the order of the fields. What is not reported is negative; no values are no
// report.
func (f ReportFields) FromValues(values []float64) *policy.LoadReport {
	if values == nil {
		return nil
	}
	r := emptyReport()
	for i := range min(len(f), len(values)) {
		setField(r, f[i], values[i])
	}
	return r
}

// ParseReport reads a report of names with values, such as "active=7,rps=2.5", of any known fields. A part that can't be
// read is an error, and nothing of the report counts then.
func ParseReport(text string) (*policy.LoadReport, error) {
	const maxQuoted = 100 // bytes of the report in the error
	r := emptyReport()
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil, fmt.Errorf("the load report %q can't be read", text[:min(len(text), maxQuoted)])
		}
		setField(r, name, v)
	}
	return r, nil
}

// emptyReport is a report without any value.
func emptyReport() *policy.LoadReport {
	return &policy.LoadReport{ActiveRequests: -1, QueuedRequests: -1, CPUUtilization: -1, MeanLatency: -1, RequestsPerSecond: -1}
}

// setField maps a field of "Parameters" in the operators' page on the wire to the report's. Others are skipped.
func setField(r *policy.LoadReport, name string, value float64) {
	const ticksPerMillisecond = 10
	switch name {
	case "active":
		r.ActiveRequests = value
	case "waiting":
		r.QueuedRequests = value
	case "cpu":
		r.CPUUtilization = value
	case "avg_ms":
		r.MeanLatency = value * ticksPerMillisecond
	case "rps":
		r.RequestsPerSecond = value
	}
}
