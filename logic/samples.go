package logic

// This file keeps what was seen and adds it up. Nothing is decided here.

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
)

// chance draws evenly from 0 up to n.
func (r *Router) chance(n int) int {
	r.drawn++
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.seed), r.drawn))
	x := h.Sum64()
	return int((x ^ x>>32) % uint64(n))
}

// keep appends and forgets all but the last n or more.
func keep[T any](all []T, x T, n int) []T {
	if len(all) >= 2*n {
		all = slices.Clone(all[len(all)-n:])
	}
	return append(all, x)
}

// since counts the moments after from; a category narrows the count.
func since(all []moment, from Time, c *Category) (n float64) {
	for i := len(all) - 1; i >= 0 && all[i].at > from; i-- {
		if c == nil || all[i].cat == c {
			n++
		}
	}
	return n
}

// above is the value that a share of all lies above.
func above[T cmp.Ordered](all []T, share float64) T {
	return slices.Sorted(slices.Values(all))[int(float64(len(all)-1)*(1-share))]
}

// book is what is kept of a build.
func (r *Router) book(build int) *book {
	for _, b := range r.books {
		if b.build == build {
			return b
		}
	}
	r.books = keep(r.books, &book{build: build}, 4)
	return r.books[len(r.books)-1]
}

// words sums up samples by host, the ones with most bad last.
func words(all []sample, of func(sample) bool) (sums []word) {
	for _, s := range all {
		if !of(s) {
			continue
		}
		i := slices.IndexFunc(sums, func(x word) bool { return x.host == s.host })
		if i < 0 {
			i, sums = len(sums), append(sums, word{host: s.host})
		}
		sums[i].n, sums[i].pace = sums[i].n+1, sums[i].pace+s.pace
		if s.fate != Finished {
			sums[i].bad++
		}
	}
	slices.SortStableFunc(sums, func(a, b word) int { return int(a.bad - b.bad) })
	return sums
}

// enter takes a change to the host list into the hosts, which stand in an order that is the same everywhere.
func (r *Router) enter(l Listing) {
	h := l.Host
	if !h.listed {
		h.listed = true
		at, _ := slices.BinarySearchFunc(r.hosts, h, func(a, b *Host) int { return int(a.ID) - int(b.ID) })
		r.hosts = slices.Insert(r.hosts, at, h)
	}
	if h.Up != l.Up || h.Build != l.Build { // another process: what the last one did says nothing of it
		h.past, h.health, h.load = nil, fit, nil
	}
	h.Location, h.Cell, h.Standing, h.Build, h.Size, h.Up = l.Location, l.Cell, l.Standing, l.Build, l.Size, l.Up
}

// count is how many hosts there are of a kind.
func (r *Router) count(is func(*Host) bool) (n float64) {
	for _, h := range r.hosts {
		if is(h) {
			n++
		}
	}
	return n
}
