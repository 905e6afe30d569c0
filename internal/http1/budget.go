package http1

import "sync/atomic"

// Budget bounds the bytes that message bodies hold in all. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget allows limit bytes in all.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes n bytes, or none and reports false where that would pass the limit.
func (b *Budget) Reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Release gives n bytes back.
func (b *Budget) Release(n int) { b.used.Add(int64(-n)) }

// Used is how many bytes are held.
func (b *Budget) Used() int64 { return b.used.Load() }
