package policy

import (
	"math"
	"slices"
)

// gossipState holds what peers reported, except reports on single hosts and classes.
type gossipState struct {
	localPeers  []int       // ranks of the peers in this zone that sent messages most recently
	activePeers float64     // decayed number of summaries received, which estimates the number of peers that sent one recently
	receivedAt  Time        // when the last summary was received
	remotePath  healthStats // the path to other zones, as reported by peers in this zone

	complaints       map[int]int // number of complaints by build, received by all routers
	unsentComplaints map[int]int // number of complaints by build, received by this router and not sent to peers yet
}

// Weights of attempts that a peer reports, relative to this router's own attempts: firstHandWeight for attempts that the
// peer made, secondHandWeight for attempts of another router that the peer passes on. They are below 1 because each router
// has its own connections.
const firstHandWeight, secondHandWeight = 0.5, 0.5

// decayTime is the time constant by which sums of observations decay: about the time after which a host's fault or an
// overload has changed.
const decayTime = 3 * Second

// decayFactor returns the share of a sum that remains after a span.
func decayFactor(span Time) float64 { return math.Exp(-float64(max(0, span)) / float64(decayTime)) }

// healthStats sums up attempts at a host or over a network path, with decay. slowdown is the sum of the attempts' slowdowns.
type healthStats struct {
	at                           Time
	attempts, failures, slowdown float64
}

// decayedTo returns the sums as of a later time.
func (s healthStats) decayedTo(now Time) healthStats {
	if s.attempts == 0 {
		return healthStats{at: now} // nothing to decay, which is the case for most hosts at most routers
	}
	f := decayFactor(now - s.at)
	return healthStats{now, s.attempts * f, s.failures * f, s.slowdown * f}
}

func (s *healthStats) add(x healthStats) {
	y := s.decayedTo(max(x.at, s.at))
	*s = healthStats{y.at, y.attempts + x.attempts, y.failures + x.failures, y.slowdown + x.slowdown}
}

// peerHealth returns the weighted sums of what peers report on a host.
func (h *Host) peerHealth(now Time) healthStats {
	const first, second = firstHandWeight, secondHandWeight
	a, b := h.healthByHops[1].decayedTo(now), h.healthByHops[2].decayedTo(now)
	return healthStats{at: now, attempts: first*a.attempts + second*b.attempts,
		failures: first*a.failures + second*b.failures, slowdown: first*a.slowdown + second*b.slowdown}
}

// sendGossip sends this router's recent observations, and what peers reported on their own attempts, to a random peer,
// usually one in this zone. A peer's report is passed on only once, so that it does not come back as new. If each of
// hundreds of routers sends a host one attempt in ten seconds, only gossip lets them detect that the host fails before
// it has failed attempts of every router. Complaints are rare and are sent to all peers.
func (r *Router) sendGossip() {
	const reviewsPerMessage = 5
	const localPerAnyPeer = 3 // one message in this many goes to a peer drawn from all peers
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

// GossipReceived processes a message from the peer with the given rank. It adds no host to the endpoint list and
// doesn't change the limits of exposure and slow start. A message that can't be decoded is dropped. Reports on network
// paths and hosts count only if the peer is in the same zone.
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

// mergeClassStats adds a peer's statistics on classes.
func (r *Router) mergeClassStats(summary gossipSummary) {
	r.gossip.activePeers, r.gossip.receivedAt = 1+r.gossip.activePeers*decayFactor(r.now-r.gossip.receivedAt), r.now
	for i, class := range r.classes {
		class.peerStats.add(summary.classes[i])
	}
}

// mergeLocalReport adds the statistics on the path to other zones and on hosts that a peer in this zone reports.
func (r *Router) mergeLocalReport(summary gossipSummary) {
	r.gossip.remotePath.add(summary.remotePath)
	for _, report := range summary.hosts {
		report.host.healthByHops[report.hops+1].add(report.healthStats)
	}
}

// summarize returns this router's report on its classes, on its path to other zones and on the hosts with enough attempts.
// Its own stuck attempts count as failed.
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

// unsentComplaintMessages returns the messages on complaints that were not sent yet. Each complaint is returned once.
func (r *Router) unsentComplaintMessages() (messages [][]byte) {
	for _, window := range r.analysis.windows {
		if n := r.gossip.unsentComplaints[window.build]; n > 0 {
			messages = append(messages, encodeComplaints(window.build, n))
			delete(r.gossip.unsentComplaints, window.build)
		}
	}
	return messages
}
