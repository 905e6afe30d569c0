package platformsettings

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"dapplefront/policy"
)

// ReportFields are the names of a load report's fields, in the order that the settings give.
type ReportFields []string

// FromValues builds a load report from values in the order of the fields. A negative value means that the field is not
// reported. If values is nil, there is no report and FromValues returns nil.
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

// ParseReport parses a load report of name=value pairs, such as "active=7,rps=2.5". Unknown names are skipped. If any pair
// is malformed, it returns an error and no report.
func ParseReport(text string) (*policy.LoadReport, error) {
	const maxQuoted = 100 // bytes of the report in the error
	r := emptyReport()
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil, fmt.Errorf("malformed load report %q", text[:min(len(text), maxQuoted)])
		}
		setField(r, name, v)
	}
	return r, nil
}

// emptyReport returns a report without any values.
func emptyReport() *policy.LoadReport {
	return &policy.LoadReport{ActiveRequests: -1, QueuedRequests: -1, CPUUtilization: -1, MeanLatency: -1, RequestsPerSecond: -1}
}

// setField sets the report's field for a name from "Parameters" in the operators' page on the wire. Unknown names are
// skipped.
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
