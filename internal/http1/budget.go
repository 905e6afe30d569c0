package http1

import "sync/atomic"

// Budget limits the total number of bytes that message bodies hold. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves n bytes. If that would exceed the limit, it reserves none and reports false.
func (b *Budget) Reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Release returns n bytes to the budget.
func (b *Budget) Release(n int) { b.used.Add(int64(-n)) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }
