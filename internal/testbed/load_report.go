package testbed

import (
	"encoding/base64"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dapplefront/internal/orca"
)

const (
	loadReportInterval = 100 * time.Millisecond // minimum time between two stored reports
	maxLoadReports     = 64                     // number of stored reports, from which Fault.LoadReportDelay selects
)

// loadReport is the load of a backend at a given time.
type loadReport struct {
	at time.Time
	*orcav3.OrcaLoadReport
}

// addLoadReport adds the load report to a response, in one of the three formats of ORCA. The backend's id determines the
// format.
func (b *Backend) addLoadReport(h http.Header) {
	report := b.currentLoadReport()
	var text string
	switch b.ID % 3 {
	case 0:
		text = fmt.Sprintf("TEXT rps_fractional=%g,named_metrics.%s=%g,named_metrics.%s=%g", report.RpsFractional, orca.MetricActive,
			report.NamedMetrics[orca.MetricActive], orca.MetricService, report.NamedMetrics[orca.MetricService])
	case 1:
		raw, err := protojson.MarshalOptions{Multiline: false}.Marshal(report.OrcaLoadReport)
		if err != nil {
			slog.Warn("testbed: load report not encoded", "error", err)
		}
		text = "JSON " + string(raw)
	default:
		raw, err := proto.Marshal(report.OrcaLoadReport)
		if err != nil {
			slog.Warn("testbed: load report not encoded", "error", err)
		}
		text = "BIN " + base64.StdEncoding.EncodeToString(raw)
	}
	h.Set(orca.Header, text)
}

// currentLoadReport returns the newest report that is at least Fault.LoadReportDelay old, or the oldest if none is.
func (b *Backend) currentLoadReport() loadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if n := len(b.loadReports); n == 0 || now.Sub(b.loadReports[n-1].at) > loadReportInterval {
		b.loadReports = append(b.loadReports, loadReport{now, &orcav3.OrcaLoadReport{
			RpsFractional: float64(b.served) / max(1, now.Sub(b.createdAt).Seconds()),
			NamedMetrics: map[string]float64{
				orca.MetricActive: float64(b.active), orca.MetricService: float64(b.serviceTimeAvg.Milliseconds()),
			},
		}})
		if len(b.loadReports) > maxLoadReports {
			b.loadReports = b.loadReports[1:]
		}
	}
	current := b.loadReports[0]
	for _, report := range b.loadReports {
		if now.Sub(report.at) >= b.fault.LoadReportDelay {
			current = report
		}
	}
	return current
}
