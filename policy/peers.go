package policy

// This file keeps what peers tell, packs and unpacks it. Nothing is decided here.

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// decayTime is how long sums of what was seen last: about as long as a host's trouble or a jam takes to be
// another.
const decayTime = 3 * Second

// decayFactor is what is left of a sum after a span.
func decayFactor(span Time) float64 { return math.Exp(-float64(max(0, span)) / float64(decayTime)) }

// healthStats sums up sends at a host or a way, faded.
type healthStats struct {
	at                           Time
	attempts, failures, slowdown float64
}

// decayedTo is a repute's sums at a later moment.
func (p healthStats) decayedTo(now Time) healthStats {
	if p.attempts == 0 {
		return healthStats{at: now} // nothing to fade, as for most hosts at most routers
	}
	f := decayFactor(now - p.at)
	return healthStats{now, p.attempts * f, p.failures * f, p.slowdown * f}
}

func (p *healthStats) add(x healthStats) {
	y := p.decayedTo(max(x.at, p.at))
	*p = healthStats{y.at, y.attempts + x.attempts, y.failures + x.failures, y.slowdown + x.slowdown}
}

// admissionStats sums up a category's sends: how many are out, and of those answered their usual and their real times.
type admissionStats struct {
	at                              Time
	inFlight, usualLatency, latency float64
}

func (p admissionStats) decayedTo(now Time) admissionStats {
	f := decayFactor(now - p.at)
	return admissionStats{now, p.inFlight * f, p.usualLatency * f, p.latency * f}
}

func (p *admissionStats) add(x admissionStats) {
	y := p.decayedTo(max(x.at, p.at))
	*p = admissionStats{y.at, y.inFlight + x.inFlight, y.usualLatency + x.usualLatency, y.latency + x.latency}
}

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

// hostByID is the listed host of an id, or nil.
func (r *Router) hostByID(id uint32) *Host {
	at, ok := slices.BinarySearchFunc(r.hosts, id, func(host *Host, id uint32) int { return int(host.ID) - int(id) })
	if !ok {
		return nil
	}
	return r.hosts[at]
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

// peerHealth is what peers tell of a host, each word weighed.
func (h *Host) peerHealth(now Time, first, second float64) healthStats {
	a, b := h.healthByHops[1].decayedTo(now), h.healthByHops[2].decayedTo(now)
	return healthStats{now, first*a.attempts + second*b.attempts, first*a.failures + second*b.failures, first*a.slowdown + second*b.slowdown}
}

// summarize is what this router has to tell: of its categories, its way, and of hosts of which more than least
// is known.
func (r *Router) summarize(least float64) gossipSummary {
	d := gossipSummary{remotePath: r.paths[remoteZones].decayedTo(r.now)}
	r.countInFlight()
	for _, class := range r.classes {
		x := class.ownStats.decayedTo(r.now)
		x.inFlight = float64(class.inFlight)
		d.classes = append(d.classes, x)
	}
	for _, host := range r.hosts {
		if d.nearbyHost == nil && r.localityOf(host) == localZone {
			d.nearbyHost = host
		}
		for hop := range 2 {
			w := host.healthByHops[hop].decayedTo(r.now)
			if hop == 0 {
				n := float64(host.stuckAttempts(r.now, stuckFactor))
				w.attempts, w.failures = w.attempts+n, w.failures+n
			}
			if w.attempts > least {
				d.hosts = append(d.hosts, hostReport{host, hop, w})
			}
		}
	}
	return d
}

// unsentComplaintMessages are messages on complaints that no peer has been told, each once.
func (r *Router) unsentComplaintMessages() (all [][]byte) {
	for _, b := range r.windows {
		if n := r.unsentComplaints[b.build]; n > 0 {
			all = append(all, encodeComplaints(b.build, n))
			delete(r.unsentComplaints, b.build)
		}
	}
	return all
}

// mergeClassStats adds up what a peer tells of its categories.
func (r *Router) mergeClassStats(d gossipSummary) {
	r.activePeers, r.lastGossipAt = 1+r.activePeers*decayFactor(r.now-r.lastGossipAt), r.now
	for i, class := range r.classes {
		class.peerStats.add(d.classes[i])
	}
}

// mergeLocalReport adds up what a peer nearby tells of its way and of hosts.
func (r *Router) mergeLocalReport(d gossipSummary) {
	r.peerRemotePath.add(d.remotePath)
	for _, w := range d.hosts {
		w.host.healthByHops[w.hops+1].add(w.healthStats)
	}
}

// countInFlight counts the sends of each category that are out at hosts that do well, over ways that do: a cut is
// no jam.
func (r *Router) countInFlight() {
	for _, class := range r.classes {
		class.inFlight = 0
	}
	both := r.mergesZones()
	for _, host := range r.hosts {
		if host.health != healthy || !both && r.localityOf(host) == remoteZones {
			continue
		}
		for _, attempt := range host.inFlight {
			attempt.Request.Class.inFlight++
		}
	}
}

// remotePathStats is what is known of the way to the rest, own sends and what those nearby told of theirs.
func (r *Router) remotePathStats() healthStats {
	w := r.peerRemotePath
	w.add(r.paths[remoteZones].decayedTo(r.now))
	return w
}
