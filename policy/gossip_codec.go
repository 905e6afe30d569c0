package policy

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// hostReport is a router's report on one host. hops is 0 for the router's own attempts and 1 for those that peers reported.
type hostReport struct {
	host *Host
	hops int
	healthStats
}

// gossipSummary is the content of a summary, the regular message of one router to another.
type gossipSummary struct {
	nearbyHost *Host // a host in the sender's zone, which identifies that zone; nil if there is none
	remotePath healthStats
	classes    []admissionStats // in the order of the configuration
	hosts      []hostReport
}

// keepWorst sorts the host reports by failures, most first, and drops all beyond the limit.
func (s *gossipSummary) keepWorst(limit int) {
	slices.SortStableFunc(s.hosts, func(a, b hostReport) int {
		if c := cmp.Compare(b.failures, a.failures); c != 0 {
			return c
		}
		return cmp.Compare(b.attempts, a.attempts)
	})
	s.hosts = s.hosts[:min(limit, len(s.hosts))]
}

// The first byte of a message is its kind.
//
// A summary consists of these fields, in little-endian order: its kind and the number of classes, 1 byte each; the ID of a
// host in the sender's zone, 4 bytes, 0 if there is none; attempts and failures on the path to other zones, 1 byte each; for
// each class the attempts in flight, 1 byte, and the sums of the usual and of the actual latencies, 2 bytes each; for each
// host its ID, 4 bytes, and hops, attempts, failures and mean slowdown, 1 byte each.
//
// A message on complaints consists of its kind, 1 byte; the build, 2 bytes; and the number of complaints, 1 byte.
const (
	messageSummary    = 1
	messageComplaints = 2

	summaryHeaderBytes = 8
	classStatsBytes    = 5
	hostReportBytes    = 8
	complaintsBytes    = 4

	countScale    = 8.0  // attempts and failures are in eighths
	slowdownScale = 16.0 // slowdowns are in sixteenths
	latencyScale  = 100  // sums of latencies are in hundredths of a second
)

func toByte(x float64) byte { return byte(math.Round(max(0, min(255, x)))) }

func toUint16(x float64) uint16 { return uint16(min(math.MaxUint16, x)) }

// encode encodes the summary. It omits the last host reports if the message would exceed maxBytes.
func (s gossipSummary) encode(maxBytes int) []byte {
	b := []byte{messageSummary, byte(len(s.classes))}
	id := uint32(0)
	if s.nearbyHost != nil {
		id = s.nearbyHost.ID
	}
	b = binary.LittleEndian.AppendUint32(b, id)
	b = append(b, toByte(s.remotePath.attempts*countScale), toByte(s.remotePath.failures*countScale))
	for _, class := range s.classes {
		b = append(b, toByte(class.inFlight))
		b = binary.LittleEndian.AppendUint16(b, toUint16(class.usualLatency/latencyScale))
		b = binary.LittleEndian.AppendUint16(b, toUint16(class.latency/latencyScale))
	}
	for _, report := range s.hosts {
		if len(b)+hostReportBytes > maxBytes {
			break
		}
		meanSlowdown := report.slowdown / max(0.01, report.attempts)
		b = binary.LittleEndian.AppendUint32(b, report.host.ID)
		b = append(b, byte(report.hops), toByte(report.attempts*countScale), toByte(report.failures*countScale),
			toByte(meanSlowdown*slowdownScale))
	}
	return b
}

// decodeSummary decodes a summary. ok is false unless the whole message is a valid summary. It omits reports on hosts that
// are not listed and reports with an invalid number of hops.
func (r *Router) decodeSummary(b []byte) (summary gossipSummary, ok bool) {
	reportBytes := len(b) - summaryHeaderBytes - classStatsBytes*len(r.classes)
	if reportBytes < 0 || b[0] != messageSummary || int(b[1]) != len(r.classes) || reportBytes%hostReportBytes != 0 {
		return summary, false
	}
	summary.nearbyHost = r.hostByID(binary.LittleEndian.Uint32(b[2:]))
	summary.remotePath = healthStats{at: r.now, attempts: float64(b[6]) / countScale,
		failures: min(float64(b[6]), float64(b[7])) / countScale}
	b = b[summaryHeaderBytes:]
	for range r.classes {
		summary.classes = append(summary.classes, admissionStats{at: r.now, inFlight: float64(b[0]),
			usualLatency: float64(binary.LittleEndian.Uint16(b[1:])) * latencyScale,
			latency:      float64(binary.LittleEndian.Uint16(b[3:])) * latencyScale})
		b = b[classStatsBytes:]
	}
	for ; len(b) > 0; b = b[hostReportBytes:] {
		host, attempts := r.hostByID(binary.LittleEndian.Uint32(b)), float64(b[5])/countScale
		if host == nil || b[4] > 1 {
			continue
		}
		summary.hosts = append(summary.hosts, hostReport{host, int(b[4]), healthStats{at: r.now, attempts: attempts,
			failures: min(attempts, float64(b[6])/countScale), slowdown: attempts * float64(b[7]) / slowdownScale}})
	}
	return summary, true
}

func encodeComplaints(build, n int) []byte {
	return append(binary.LittleEndian.AppendUint16([]byte{messageComplaints}, uint16(build)), byte(min(255, n)))
}

func decodeComplaints(b []byte) (build, n int, ok bool) {
	if len(b) != complaintsBytes || b[0] != messageComplaints {
		return 0, 0, false
	}
	return int(binary.LittleEndian.Uint16(b[1:])), int(b[3]), true
}
