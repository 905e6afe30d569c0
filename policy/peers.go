package policy

// This file keeps what peers tell, packs and unpacks it. Nothing is decided here.

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// fading is how long sums of what was seen last: about as long as a host's trouble or a jam takes to be
// another.
const fading = 3 * Second

// fade is what is left of a sum after a span.
func fade(span Time) float64 { return math.Exp(-float64(max(0, span)) / float64(fading)) }

// repute sums up sends at a host or a way, faded.
type repute struct {
	at           Time
	n, bad, pace float64
}

// as is a repute's sums at a later moment.
func (p repute) as(now Time) repute {
	if p.n == 0 {
		return repute{at: now} // nothing to fade, as for most hosts at most routers
	}
	f := fade(now - p.at)
	return repute{now, p.n * f, p.bad * f, p.pace * f}
}

func (p *repute) add(x repute) {
	y := p.as(max(x.at, p.at))
	*p = repute{y.at, y.n + x.n, y.bad + x.bad, y.pace + x.pace}
}

// rush sums up a category's sends: how many are out, and of those answered their usual and their real times.
type rush struct {
	at              Time
	out, work, took float64
}

func (p rush) as(now Time) rush {
	f := fade(now - p.at)
	return rush{now, p.out * f, p.work * f, p.took * f}
}

func (p *rush) add(x rush) {
	y := p.as(max(x.at, p.at))
	*p = rush{y.at, y.out + x.out, y.work + x.work, y.took + x.took}
}

// saying is a word on a host; hop 0 is first hand, 1 was told by who met it.
type saying struct {
	host *Host
	hop  int
	repute
}

// digest is what one router tells another.
type digest struct {
	stands *Host // one near the sender, if any
	way    repute
	rushes []rush
	words  []saying
}

// worst keeps so many words, those with most bad first.
func (d *digest) worst(many int) {
	slices.SortStableFunc(d.words, func(a, b saying) int {
		if c := cmp.Compare(b.bad, a.bad); c != 0 {
			return c
		}
		return cmp.Compare(b.n, a.n)
	})
	d.words = d.words[:min(many, len(d.words))]
}

const (
	kindDigest, kindBlame = 1, 2
	headBytes, rushBytes  = 8, 5
	wordBytes             = 8
	grain                 = 8.0  // counts are told in eighths
	paceGrain             = 16.0 // paces in sixteenths
	spell                 = 100  // sums of times in hundredths of a second
)

func small(x float64) byte { return byte(math.Round(max(0, min(255, x)))) }

func (d digest) pack(most int) []byte {
	b := []byte{kindDigest, byte(len(d.rushes))}
	id := uint32(0)
	if d.stands != nil {
		id = d.stands.ID
	}
	b = binary.LittleEndian.AppendUint32(b, id)
	b = append(b, small(d.way.n*grain), small(d.way.bad*grain))
	for _, x := range d.rushes {
		b = append(b, small(x.out))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(math.MaxUint16, x.work/spell)))
		b = binary.LittleEndian.AppendUint16(b, uint16(min(math.MaxUint16, x.took/spell)))
	}
	for _, w := range d.words {
		if len(b)+wordBytes > most {
			break
		}
		b = binary.LittleEndian.AppendUint32(b, w.host.ID)
		b = append(b, byte(w.hop), small(w.n*grain), small(w.bad*grain), small(w.pace/max(0.01, w.n)*paceGrain))
	}
	return b
}

// unpack reads a digest; what is not one to the last byte is none at all. Hosts that are not listed are
// left out.
func (r *Router) unpack(b []byte) (d digest, ok bool) {
	if len(b) < headBytes || b[0] != kindDigest || int(b[1]) != len(r.cats) ||
		len(b) < headBytes+rushBytes*len(r.cats) || (len(b)-headBytes-rushBytes*len(r.cats))%wordBytes != 0 {
		return d, false
	}
	d.stands = r.named(binary.LittleEndian.Uint32(b[2:]))
	d.way = repute{at: r.now, n: float64(b[6]) / grain, bad: min(float64(b[6]), float64(b[7])) / grain}
	b = b[headBytes:]
	for range r.cats {
		d.rushes = append(d.rushes, rush{r.now, float64(b[0]), float64(binary.LittleEndian.Uint16(b[1:])) * spell,
			float64(binary.LittleEndian.Uint16(b[3:])) * spell})
		b = b[rushBytes:]
	}
	for ; len(b) > 0; b = b[wordBytes:] {
		h, n := r.named(binary.LittleEndian.Uint32(b)), float64(b[5])/grain
		if h == nil || b[4] > 1 {
			continue
		}
		d.words = append(d.words, saying{h, int(b[4]),
			repute{r.now, n, min(n, float64(b[6])/grain), n * float64(b[7]) / paceGrain}})
	}
	return d, true
}

// named is the listed host of an id, or nil.
func (r *Router) named(id uint32) *Host {
	at, ok := slices.BinarySearchFunc(r.hosts, id, func(h *Host, id uint32) int { return int(h.ID) - int(id) })
	if !ok {
		return nil
	}
	return r.hosts[at]
}

func packBlame(build, n int) []byte {
	return append(binary.LittleEndian.AppendUint16([]byte{kindBlame}, uint16(build)), byte(min(255, n)))
}

func unpackBlame(b []byte) (build, n int, ok bool) {
	if len(b) != 4 || b[0] != kindBlame {
		return 0, 0, false
	}
	return int(binary.LittleEndian.Uint16(b[1:])), int(b[3]), true
}

// rumour is what peers tell of a host, each word weighed.
func (h *Host) rumour(now Time, first, second float64) repute {
	a, b := h.words[1].as(now), h.words[2].as(now)
	return repute{now, first*a.n + second*b.n, first*a.bad + second*b.bad, first*a.pace + second*b.pace}
}

// lore is what this router has to tell: of its categories, its way, and of hosts of which more than least
// is known.
func (r *Router) lore(least float64) digest {
	d := digest{way: r.ways[far].as(r.now)}
	r.waits()
	for _, c := range r.cats {
		x := c.seen.as(r.now)
		x.out = float64(c.out)
		d.rushes = append(d.rushes, x)
	}
	for _, h := range r.hosts {
		if d.stands == nil && r.side(h) == near {
			d.stands = h
		}
		for hop := range 2 {
			w := h.words[hop].as(r.now)
			if hop == 0 {
				n := float64(h.stuck(r.now, tardy))
				w.n, w.bad = w.n+n, w.bad+n
			}
			if w.n > least {
				d.words = append(d.words, saying{h, hop, w})
			}
		}
	}
	return d
}

// unsaidBlames are messages on complaints that no peer has been told, each once.
func (r *Router) unsaidBlames() (all [][]byte) {
	for _, b := range r.books {
		if n := r.unsaid[b.build]; n > 0 {
			all = append(all, packBlame(b.build, n))
			delete(r.unsaid, b.build)
		}
	}
	return all
}

// crowdTold adds up what a peer tells of its categories.
func (r *Router) crowdTold(d digest) {
	r.voices, r.heardAt = 1+r.voices*fade(r.now-r.heardAt), r.now
	for i, c := range r.cats {
		c.told.add(d.rushes[i])
	}
}

// nearTold adds up what a peer nearby tells of its way and of hosts.
func (r *Router) nearTold(d digest) {
	r.toldWay.add(d.way)
	for _, w := range d.words {
		w.host.words[w.hop+1].add(w.repute)
	}
}

// waits counts the sends of each category that are out at hosts that do well, over ways that do: a cut is
// no jam.
func (r *Router) waits() {
	for _, c := range r.cats {
		c.out = 0
	}
	both := r.together()
	for _, h := range r.hosts {
		if h.health != fit || !both && r.side(h) == far {
			continue
		}
		for _, s := range h.open {
			s.Request.Class.out++
		}
	}
}

// way is what is known of the way to the rest, own sends and what those nearby told of theirs.
func (r *Router) way() repute {
	w := r.toldWay
	w.add(r.ways[far].as(r.now))
	return w
}
