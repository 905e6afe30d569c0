package policy

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// hostReport is a word on a host; hop 0 is first hand, 1 was told by who met it.
type hostReport struct {
	host *Host
	hops int
	healthStats
}

// gossipSummary is what one router tells another.
type gossipSummary struct {
	nearbyHost *Host // one near the sender, if any
	remotePath healthStats
	classes    []admissionStats
	hosts      []hostReport
}

// keepWorst keeps so many words, those with most bad first.
func (d *gossipSummary) keepWorst(many int) {
	slices.SortStableFunc(d.hosts, func(a, b hostReport) int {
		if c := cmp.Compare(b.failures, a.failures); c != 0 {
			return c
		}
		return cmp.Compare(b.attempts, a.attempts)
	})
	d.hosts = d.hosts[:min(many, len(d.hosts))]
}

const (
	messageSummary, messageComplaints   = 1, 2
	summaryHeaderBytes, classStatsBytes = 8, 5
	hostReportBytes                     = 8
	countScale                          = 8.0  // counts are told in eighths
	slowdownScale                       = 16.0 // paces in sixteenths
	latencyScale                        = 100  // sums of times in hundredths of a second
)

func toByte(x float64) byte { return byte(math.Round(max(0, min(255, x)))) }

func (d gossipSummary) encode(most int) []byte {
	b := []byte{messageSummary, byte(len(d.classes))}
	id := uint32(0)
	if d.nearbyHost != nil {
		id = d.nearbyHost.ID
	}
	b = binary.LittleEndian.AppendUint32(b, id)
	b = append(b, toByte(d.remotePath.attempts*countScale), toByte(d.remotePath.failures*countScale))
	for _, x := range d.classes {
		b = append(b, toByte(x.inFlight))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(math.MaxUint16, x.usualLatency/latencyScale)))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(math.MaxUint16, x.latency/latencyScale)))
	}
	for _, w := range d.hosts {
		if len(b)+hostReportBytes > most {
			break
		}
		b = binary.LittleEndian.AppendUint32(b, w.host.ID)
		b = append(b, byte(w.hops), toByte(w.attempts*countScale), toByte(w.failures*countScale), toByte(w.slowdown/max(0.01, w.attempts)*slowdownScale))
	}
	return b
}

// decodeSummary reads a digest; what is not one to the last byte is none at all. Hosts that are not listed are
// left out.
func (r *Router) decodeSummary(b []byte) (d gossipSummary, ok bool) {
	if len(b) < summaryHeaderBytes || b[0] != messageSummary || int(b[1]) != len(r.classes) ||
		len(b) < summaryHeaderBytes+classStatsBytes*len(r.classes) || (len(b)-summaryHeaderBytes-classStatsBytes*len(r.classes))%hostReportBytes != 0 {
		return d, false
	}
	d.nearbyHost = r.hostByID(binary.LittleEndian.Uint32(b[2:]))
	d.remotePath = healthStats{at: r.now, attempts: float64(b[6]) / countScale, failures: min(float64(b[6]), float64(b[7])) / countScale}
	b = b[summaryHeaderBytes:]
	for range r.classes {
		d.classes = append(d.classes, admissionStats{r.now, float64(b[0]), float64(binary.LittleEndian.Uint16(b[1:])) * latencyScale,
			float64(binary.LittleEndian.Uint16(b[3:])) * latencyScale})
		b = b[classStatsBytes:]
	}
	for ; len(b) > 0; b = b[hostReportBytes:] {
		host, n := r.hostByID(binary.LittleEndian.Uint32(b)), float64(b[5])/countScale
		if host == nil || b[4] > 1 {
			continue
		}
		d.hosts = append(d.hosts, hostReport{host, int(b[4]),
			healthStats{r.now, n, min(n, float64(b[6])/countScale), n * float64(b[7]) / slowdownScale}})
	}
	return d, true
}

func encodeComplaints(build, n int) []byte {
	return append(binary.LittleEndian.AppendUint16([]byte{messageComplaints}, uint16(build)), byte(min(255, n)))
}

func decodeComplaints(b []byte) (build, n int, ok bool) {
	if len(b) != 4 || b[0] != messageComplaints {
		return 0, 0, false
	}
	return int(binary.LittleEndian.Uint16(b[1:])), int(b[3]), true
}
