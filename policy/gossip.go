package policy

import (
	"math"
	"slices"
)

// gossipState is what peers told that is not of one host or class.
type gossipState struct {
	localPeers  []int   // ranks of the peers in this zone that were heard last
	activePeers float64 // peers heard lately, decayed
	receivedAt  Time
	remotePath  healthStats // the path to other zones, by peers in this one

	complaints       map[int]int // by build, of all routers
	unsentComplaints map[int]int // own ones that no peer has been told
}

const firstHandWeight, secondHandWeight = 0.5, 0.5 // of an own send, a peer's word weighs: its links are its own

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

// peerHealth is what peers tell of a host, each word weighed.
func (h *Host) peerHealth(now Time, first, second float64) healthStats {
	a, b := h.healthByHops[1].decayedTo(now), h.healthByHops[2].decayedTo(now)
	return healthStats{now, first*a.attempts + second*b.attempts, first*a.failures + second*b.failures, first*a.slowdown + second*b.slowdown}
}

// remotePathStats is what is known of the way to the rest, own sends and what those nearby told of theirs.
func (r *Router) remotePathStats() healthStats {
	w := r.gossip.remotePath
	w.add(r.zones.paths[remoteZones].decayedTo(r.now))
	return w
}

// sendGossip tells a peer drawn by chance, nearby where any is known, what was met lately and what peers told of
// theirs: passed on once, so that no word comes back as new. Where hundreds meet a host once in ten seconds
// each, only so they know it before it has failed them all. Complaints are rare and go to all.
func (r *Router) sendGossip() {
	const oneIn, kin, many = 5, 3, 16 // looks; of those nearby but one in so many; words, the worst first
	const least = 0.3                 // of a send: older is forgotten
	if r.limits.MaxGossipBytes == 0 || r.routers < 2 || r.random.intN(oneIn) > 0 {
		return
	}
	for _, blame := range r.unsentComplaintMessages() {
		r.effects.Gossip(Broadcast, blame)
	}
	d := r.summarize(least)
	d.keepWorst(many)
	peer := (r.rank + 1 + r.random.intN(r.routers-1)) % r.routers
	if len(r.gossip.localPeers) > 0 && r.random.intN(kin) > 0 {
		peer = r.gossip.localPeers[r.random.intN(len(r.gossip.localPeers))]
	}
	r.effects.Gossip(peer, d.encode(r.limits.MaxGossipBytes))
}

// GossipReceived takes in a peer's word. It names no host that the own list has not and moves no bound of a rule; what
// can't be read is dropped whole. Of a way only those know who stand at the same end.
func (r *Router) GossipReceived(now Time, peer int, body []byte) {
	const known = 16 // fellows
	r.now = now
	if build, n, ok := decodeComplaints(body); ok {
		r.gossip.complaints[build] += n
		return
	}
	d, ok := r.decodeSummary(body)
	if !ok || peer == r.rank {
		return
	}
	if r.mergeClassStats(d); d.nearbyHost == nil || r.localityOf(d.nearbyHost) != localZone {
		return
	}
	if !slices.Contains(r.gossip.localPeers, peer) {
		r.gossip.localPeers = appendBounded(r.gossip.localPeers, peer, known)
	}
	r.mergeLocalReport(d)
	for _, w := range d.hosts {
		if w.host.health == healthy && r.isFailing(w.host) {
			r.transitionHealth(w.host, hostFailing)
		}
	}
}

// mergeClassStats adds up what a peer tells of its categories.
func (r *Router) mergeClassStats(d gossipSummary) {
	r.gossip.activePeers, r.gossip.receivedAt = 1+r.gossip.activePeers*decayFactor(r.now-r.gossip.receivedAt), r.now
	for i, class := range r.classes {
		class.peerStats.add(d.classes[i])
	}
}

// mergeLocalReport adds up what a peer nearby tells of its way and of hosts.
func (r *Router) mergeLocalReport(d gossipSummary) {
	r.gossip.remotePath.add(d.remotePath)
	for _, w := range d.hosts {
		w.host.healthByHops[w.hops+1].add(w.healthStats)
	}
}

// summarize is what this router has to tell: of its categories, its way, and of hosts of which more than least
// is known.
func (r *Router) summarize(least float64) gossipSummary {
	d := gossipSummary{remotePath: r.zones.paths[remoteZones].decayedTo(r.now)}
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
	for _, b := range r.analysis.windows {
		if n := r.gossip.unsentComplaints[b.build]; n > 0 {
			all = append(all, encodeComplaints(b.build, n))
			delete(r.gossip.unsentComplaints, b.build)
		}
	}
	return all
}
