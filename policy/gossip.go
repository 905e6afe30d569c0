package policy

import (
	"math"
	"slices"
)

// gossipState is what peers reported that is not of one host or class.
type gossipState struct {
	localPeers  []int   // ranks of the peers in this zone that sent messages last
	activePeers float64 // peers that sent messages lately, decayed
	receivedAt  Time
	remotePath  healthStats // the path to other zones, by peers in this one

	complaints       map[int]int // by build, of all routers
	unsentComplaints map[int]int // own ones not sent yet
}

// An attempt that a peer reports counts for so much of an own one, as its connections are its own: reported by the router
// that made it, and passed on once.
const firstHandWeight, secondHandWeight = 0.5, 0.5

// decayTime is how long sums of what was observed last: about as long as a host's fault or an overload takes to be another.
const decayTime = 3 * Second

// decayFactor is what is left of a sum after a span.
func decayFactor(span Time) float64 { return math.Exp(-float64(max(0, span)) / float64(decayTime)) }

// healthStats adds up attempts at a host or over a network path, decayed; slowdown is the sum of the attempts' slowdowns.
type healthStats struct {
	at                           Time
	attempts, failures, slowdown float64
}

// decayedTo gives the sums at a later moment.
func (s healthStats) decayedTo(now Time) healthStats {
	if s.attempts == 0 {
		return healthStats{at: now} // nothing to decay, as for most hosts at most routers
	}
	f := decayFactor(now - s.at)
	return healthStats{now, s.attempts * f, s.failures * f, s.slowdown * f}
}

func (s *healthStats) add(x healthStats) {
	y := s.decayedTo(max(x.at, s.at))
	*s = healthStats{y.at, y.attempts + x.attempts, y.failures + x.failures, y.slowdown + x.slowdown}
}

// peerHealth is what peers report of a host, weighed.
func (h *Host) peerHealth(now Time) healthStats {
	const first, second = firstHandWeight, secondHandWeight
	a, b := h.healthByHops[1].decayedTo(now), h.healthByHops[2].decayedTo(now)
	return healthStats{at: now, attempts: first*a.attempts + second*b.attempts,
		failures: first*a.failures + second*b.failures, slowdown: first*a.slowdown + second*b.slowdown}
}

// sendGossip sends a peer drawn by chance, mostly one in this zone, what this router observed lately and what peers reported
// of their own attempts: that is passed on once, so that nothing comes back as new. Where hundreds of routers meet a host
// once in ten seconds each, only so they know of its failures before it has failed them all. Complaints are rare and go to
// all peers.
func (r *Router) sendGossip() {
	const reviewsPerMessage = 5
	const localPerAnyPeer = 3 // one message in so many goes to a peer drawn from all
	const maxHosts = 16
	if r.limits.MaxGossipBytes == 0 || r.routers < 2 || r.random.intN(reviewsPerMessage) > 0 {
		return
	}
	for _, message := range r.unsentComplaintMessages() {
		r.effects.Gossip(Broadcast, message)
	}
	summary := r.summarize()
	summary.keepWorst(maxHosts)
	peer := (r.rank + 1 + r.random.intN(r.routers-1)) % r.routers
	if len(r.gossip.localPeers) > 0 && r.random.intN(localPerAnyPeer) > 0 {
		peer = r.gossip.localPeers[r.random.intN(len(r.gossip.localPeers))]
	}
	r.effects.Gossip(peer, summary.encode(r.limits.MaxGossipBytes))
}

// GossipReceived takes a message of the peer of a rank. It adds no host to the endpoint list and moves no limit of exposure
// or slow start. A message that can't be decoded is dropped. Reports on network paths and hosts
// count only from peers in the own zone.
func (r *Router) GossipReceived(now Time, peer int, body []byte) {
	const keptPeers = 16
	r.now = now
	if build, n, ok := decodeComplaints(body); ok {
		r.gossip.complaints[build] += n
		return
	}
	summary, ok := r.decodeSummary(body)
	if !ok || peer == r.rank {
		return
	}
	r.mergeClassStats(summary)
	if summary.nearbyHost == nil || r.localityOf(summary.nearbyHost) != localZone {
		return
	}
	if !slices.Contains(r.gossip.localPeers, peer) {
		r.gossip.localPeers = appendBounded(r.gossip.localPeers, peer, keptPeers)
	}
	r.mergeLocalReport(summary)
	for _, report := range summary.hosts {
		if report.host.health == healthy && r.isFailing(report.host) {
			r.transitionHealth(report.host, hostFailing)
		}
	}
}

// mergeClassStats adds a peer's statistics of classes.
func (r *Router) mergeClassStats(summary gossipSummary) {
	r.gossip.activePeers, r.gossip.receivedAt = 1+r.gossip.activePeers*decayFactor(r.now-r.gossip.receivedAt), r.now
	for i, class := range r.classes {
		class.peerStats.add(summary.classes[i])
	}
}

// mergeLocalReport adds the reports of a peer in this zone on the path to other zones and on hosts.
func (r *Router) mergeLocalReport(summary gossipSummary) {
	r.gossip.remotePath.add(summary.remotePath)
	for _, report := range summary.hosts {
		report.host.healthByHops[report.hops+1].add(report.healthStats)
	}
}

// summarize makes this router's report on its classes, its path to other zones and the hosts that enough is known of.
func (r *Router) summarize() gossipSummary {
	const minAttempts = 0.3 // decayed
	summary := gossipSummary{remotePath: r.zones.paths[remoteZones].decayedTo(r.now)}
	r.countInFlight()
	for _, class := range r.classes {
		stats := class.ownStats.decayedTo(r.now)
		stats.inFlight = float64(class.inFlight)
		summary.classes = append(summary.classes, stats)
	}
	for _, host := range r.hosts {
		if summary.nearbyHost == nil && r.localityOf(host) == localZone {
			summary.nearbyHost = host
		}
		for hops := range 2 {
			stats := host.healthByHops[hops].decayedTo(r.now)
			if hops == 0 {
				stuck := float64(host.stuckAttempts(r.now))
				stats.attempts, stats.failures = stats.attempts+stuck, stats.failures+stuck
			}
			if stats.attempts > minAttempts {
				summary.hosts = append(summary.hosts, hostReport{host, hops, stats})
			}
		}
	}
	return summary
}

// unsentComplaintMessages gives the messages on complaints that were not sent yet, each once.
func (r *Router) unsentComplaintMessages() (messages [][]byte) {
	for _, window := range r.analysis.windows {
		if n := r.gossip.unsentComplaints[window.build]; n > 0 {
			messages = append(messages, encodeComplaints(window.build, n))
			delete(r.gossip.unsentComplaints, window.build)
		}
	}
	return messages
}
